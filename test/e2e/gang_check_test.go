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

// clock is the layout of times in messages.
const clock = "15:04:05.000"

// attempt is what the backend servers recorded of one attempt of a job.
type attempt struct {
	job     model.JobID
	id      model.AttemptID
	members int
	tasks   []standin.TaskRecord // those that started
}

// attempts collects the started tasks of all backend servers.
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

func endOf(r standin.TaskRecord, now time.Time) time.Time {
	if r.State.Active() {
		return now
	}
	return r.Ended
}

// whole reports whether every member ran to its end.
func (a *attempt) whole() bool {
	return len(a.tasks) == a.members && !slices.ContainsFunc(a.tasks, func(r standin.TaskRecord) bool {
		return r.State != ports.TaskDone
	})
}

// partial returns how long a part of the members ran while others did not.
func (a *attempt) partial(now time.Time) time.Duration {
	if len(a.tasks) < a.members {
		return a.lastEnd(now).Sub(a.firstStart())
	}
	late := a.lastStart().Sub(a.firstStart())
	first := a.firstEnd(now)
	if first.IsZero() {
		return late
	}
	return max(late, a.lastEnd(now).Sub(first))
}

// describeAttempts lists the started tasks of the attempts of a job.
func describeAttempts(list []*attempt) string {
	var b strings.Builder
	for _, a := range list {
		for _, r := range a.tasks {
			fmt.Fprintf(&b, "\n  attempt %s task %s %s held %s started %s ended %s",
				a.id, r.Task, r.State, r.Held.Format(clock), r.Started.Format(clock), r.Ended.Format(clock))
		}
	}
	return b.String()
}

// checkGangs checks that no gang ran partially for longer than its lease, that no
// two attempts of a job ran at once, and that no job ran whole twice but those that
// may be repeated.
func (c *cluster) checkGangs(t *testing.T, idempotent ...model.JobID) {
	t.Helper()
	lease := control.DefaultSettings().Lease
	all := c.attempts(t)
	now := time.Now()
	for job, list := range all {
		whole := 0
		for n, a := range list {
			if p := a.partial(now); p > lease {
				t.Errorf("attempt %s of %s ran partially for %s: %s", a.id, job, p, describeAttempts(list))
			}
			if n > 0 && a.firstStart().Before(list[n-1].lastEnd(now)) {
				t.Errorf("attempts %s and %s of %s ran at once: %s", list[n-1].id, a.id, job, describeAttempts(list))
			}
			if a.whole() {
				whole++
			}
		}
		if whole > 1 && !slices.Contains(idempotent, job) {
			t.Errorf("%s ran whole %d times: %s", job, whole, describeAttempts(list))
		}
	}
}
