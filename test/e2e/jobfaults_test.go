package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

// TestCommandsUnanswered makes the backend servers leave commands unanswered, before or
// after their effect, or close the connection after it, while a job starts.
func TestCommandsUnanswered(t *testing.T) {
	t.Parallel()
	for _, f := range []standin.Fault{
		{Silent: standin.SilentBefore, Times: 2},
		{Silent: standin.SilentAfter, Times: 2},
		{AnswerLost: true, Times: 2},
	} {
		f.Paths = []string{ports.PathCommands}
		t.Run(fmt.Sprintf("silent %s lost %t", f.Silent, f.AnswerLost), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, zoneSize{"a", 2, 2})
			for _, b := range c.backends {
				b.setFault(t, f)
			}
			submitJob(t, c.vms[0], gangJob("gang-1", "a", 700))
			awaitDurable(t, c.vms[1], "gang-1")
			c.checkGangs(t)
			c.checkNoViolations(t, c.vms)
		})
	}
}

// TestLogAnswersLost makes the platform store records but lose its answers while jobs are
// submitted. Each job must still run exactly once.
func TestLogAnswersLost(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	lost := standin.Fault{AnswerLost: true, Paths: []string{ports.PathLog}, Times: 40}
	assert.NilError(t, standin.PutFault(t.Context(), c.platformURL, lost))
	for n := range 4 {
		id := model.JobID(fmt.Sprintf("job-%d", n))
		submitJob(t, c.vms[n%2], smallJob(id))
		awaitDurable(t, c.vms[(n+1)%2], id)
	}
	c.checkGangs(t)
	assert.Equal(t, len(c.attempts(t)), 4)
	c.checkNoViolations(t, c.vms)
}

// TestHolderFrozen freezes the term holder for longer than a lease while a gang runs, then
// resumes it. The gang must run to its end, and only once.
func TestHolderFrozen(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	submitJob(t, c.vms[0], gangJob("gang-1", "a", 9000))
	awaitJob(t, c.vms[0], "gang-1", control.JobRunning)
	frozen := c.awaitHolder(t, "a", c.vms)
	rest := c.without(frozen)
	frozen.signal(t, syscall.SIGSTOP)
	c.awaitHolder(t, "a", rest)
	leaseEnd := time.Now().Add(control.DefaultSettings().Lease)
	eventually(t, func() string {
		if time.Now().Before(leaseEnd) {
			return "the lease may not have expired yet"
		}
		return ""
	})
	frozen.signal(t, syscall.SIGCONT)
	for _, v := range c.vms {
		awaitDurable(t, v, "gang-1")
	}
	c.checkGangs(t)
	assert.Equal(t, len(c.attempts(t)["gang-1"]), 1)
	c.checkNoViolations(t, c.vms)
}

// TestServerForgetsEndedTask restarts a backend server right after a task ended there, so
// that it no longer knows the task. The job is not idempotent and has run, so it must not
// run again.
func TestServerForgetsEndedTask(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	for n := range 3 {
		id := model.JobID(fmt.Sprintf("once-%d", n))
		submitJob(t, c.vms[0], smallJob(id))
		ran := c.awaitTaskDone(t, id)
		ran.setFault(t, standin.Fault{Restart: true})
	}
	deadline := time.Now().Add(control.DefaultSettings().Lease)
	eventually(t, func() string {
		if time.Now().Before(deadline) {
			return "a second attempt may still start"
		}
		return ""
	})
	c.checkGangs(t)
	c.checkNoViolations(t, c.vms)
}

// awaitTaskDone waits until a task of a job is done and returns its backend server.
func (c *cluster) awaitTaskDone(t *testing.T, id model.JobID) *backend {
	t.Helper()
	var found *backend
	eventually(t, func() string {
		for _, b := range c.backends {
			for _, task := range b.record(t).Tasks {
				if task.Job == id && task.State == ports.TaskDone {
					found = b
					return ""
				}
			}
		}
		return fmt.Sprintf("no task of %s is done", id)
	})
	return found
}

// TestUnrecordedJobOutlivesHolder kills the term holder while a gang runs that only this
// holder knows, because the log is unreachable. The successor must find the gang on the
// backend servers, let it run to its end, and record it when the log is reachable again.
func TestUnrecordedJobOutlivesHolder(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	holder := c.awaitHolder(t, "a", c.vms)
	rest := c.without(holder)
	cutLog(t, c)
	receipt := submitJob(t, holder, gangJob("gang-1", "a", 7000))
	assert.Assert(t, !receipt.Durable)
	awaitJob(t, holder, "gang-1", control.JobRunning)
	holder.kill()
	c.awaitHolder(t, "a", rest)
	eventually(t, func() string {
		if list := c.attempts(t)["gang-1"]; len(list) != 1 || !list[0].completed() {
			return fmt.Sprintf("gang-1 has not run to its end in one attempt: %s", describeAttempts(list))
		}
		return ""
	})
	c.platformLinks["a"].heal(t)
	submitJob(t, rest[0], smallJob("later"))
	awaitDurable(t, rest[0], "later")
	c.checkGangs(t)
	assert.Equal(t, len(c.attempts(t)["gang-1"]), 1)
	c.checkNoViolations(t, rest)
	status, err := rest[0].client.Job(t.Context(), "gang-1")
	assert.NilError(t, err) // a caller that gets "not found" would submit the job again
	assert.Equal(t, status.State, control.JobDone)
}
