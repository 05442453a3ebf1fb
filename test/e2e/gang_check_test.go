package e2e

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

// timeLayout is the format of times in messages.
const timeLayout = "15:04:05.000"

// attempt holds what the backend servers recorded of one attempt of a job.
type attempt struct {
	job     model.JobID
	id      model.AttemptID
	members int
	tasks   []standin.TaskRecord // the started ones
}

// attempts returns the attempts of each job that have started tasks, ordered by their
// first start.
func (c *cluster) attempts(t *testing.T) map[model.JobID][]*attempt {
	t.Helper()
	byID := make(map[model.AttemptID]*attempt)
	byJob := make(map[model.JobID][]*attempt)
	for _, b := range c.backends {
		for _, task := range b.record(t).Tasks {
			if task.Started.IsZero() {
				continue
			}
			a, ok := byID[task.Attempt]
			if !ok {
				a = &attempt{job: task.Job, id: task.Attempt, members: task.Members}
				byID[task.Attempt] = a
				byJob[task.Job] = append(byJob[task.Job], a)
			}
			a.tasks = append(a.tasks, task)
		}
	}
	for _, list := range byJob {
		slices.SortFunc(list, func(x, y *attempt) int { return x.firstStart().Compare(y.firstStart()) })
	}
	return byJob
}

func (a *attempt) firstStart() time.Time {
	return slices.MinFunc(a.tasks, func(x, y standin.TaskRecord) int { return x.Started.Compare(y.Started) }).Started
}

func (a *attempt) lastStart() time.Time {
	return slices.MaxFunc(a.tasks, func(x, y standin.TaskRecord) int { return x.Started.Compare(y.Started) }).Started
}

func (a *attempt) firstEnd(now time.Time) time.Time {
	return slices.MinFunc(a.tasks, func(x, y standin.TaskRecord) int { return endOf(x, now).Compare(endOf(y, now)) }).Ended
}

func (a *attempt) lastEnd(now time.Time) time.Time {
	last := slices.MaxFunc(a.tasks, func(x, y standin.TaskRecord) int { return endOf(x, now).Compare(endOf(y, now)) })
	return endOf(last, now)
}

// endOf returns when a task ended; now if it is still active.
func endOf(r standin.TaskRecord, now time.Time) time.Time {
	if r.State.Active() {
		return now
	}
	return r.Ended
}

// completed reports whether every member ran to its end.
func (a *attempt) completed() bool {
	return len(a.tasks) == a.members && !slices.ContainsFunc(a.tasks, func(r standin.TaskRecord) bool {
		return r.State != ports.TaskDone
	})
}

// partialTime returns how long some members ran while others did not.
func (a *attempt) partialTime(now time.Time) time.Duration {
	if len(a.tasks) < a.members {
		return a.lastEnd(now).Sub(a.firstStart())
	}
	startGap := a.lastStart().Sub(a.firstStart())
	first := a.firstEnd(now)
	if first.IsZero() {
		return startGap
	}
	return max(startGap, a.lastEnd(now).Sub(first))
}

// describeAttempts lists the started tasks of the attempts of a job.
func describeAttempts(list []*attempt) string {
	var b strings.Builder
	for _, a := range list {
		for _, r := range a.tasks {
			fmt.Fprintf(&b, "\n  attempt %s task %s %s held %s started %s ended %s",
				a.id, r.Task, r.State, r.Held.Format(timeLayout), r.Started.Format(timeLayout), r.Ended.Format(timeLayout))
		}
	}
	return b.String()
}

// checkGangs checks that no gang ran partially for longer than its lease, that no two
// attempts of a job ran at the same time, and that only the given idempotent jobs ran to
// their end more than once.
func (c *cluster) checkGangs(t *testing.T, idempotent ...model.JobID) {
	t.Helper()
	lease := control.DefaultSettings().Lease
	all := c.attempts(t)
	now := time.Now()
	for job, list := range all {
		completed := 0
		for n, a := range list {
			if p := a.partialTime(now); p > lease {
				t.Errorf("attempt %s of %s ran partially for %s: %s", a.id, job, p, describeAttempts(list))
			}
			if n > 0 && a.firstStart().Before(list[n-1].lastEnd(now)) {
				t.Errorf("attempts %s and %s of %s ran at the same time: %s", list[n-1].id, a.id, job, describeAttempts(list))
			}
			if a.completed() {
				completed++
			}
		}
		if completed > 1 && !slices.Contains(idempotent, job) {
			t.Errorf("%s ran to its end %d times: %s", job, completed, describeAttempts(list))
		}
	}
}
