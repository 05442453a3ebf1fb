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

// TestCommandsUnanswered has the backend servers leave commands unanswered before
// and after their effect while jobs start, and close connections after it.
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
			c := startCluster(t, zone{"a", 2, 2})
			for _, b := range c.backends {
				b.fault(t, f)
			}
			submit(t, c.vms[0], gang("gang-1", "a", 700))
			awaitDurable(t, c.vms[1], "gang-1")
			c.checkGangs(t)
			c.noViolations(t, c.vms)
		})
	}
}

// TestLogAnswersLost has the platform store records and lose its answers while jobs
// are submitted.
func TestLogAnswersLost(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	lost := standin.Fault{AnswerLost: true, Paths: []string{ports.PathLog}, Times: 40}
	assert.NilError(t, standin.PutFault(t.Context(), c.platformURL, lost))
	for n := range 4 {
		id := model.JobID(fmt.Sprintf("job-%d", n))
		submit(t, c.vms[n%2], smallJob(id))
		awaitDurable(t, c.vms[(n+1)%2], id)
	}
	c.checkGangs(t)
	assert.Equal(t, len(c.attempts(t)), 4)
	c.noViolations(t, c.vms)
}

// TestHolderFrozen freezes the term holder while a gang runs, for longer than a
// lease, and thaws it. The gang runs whole and once.
func TestHolderFrozen(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	submit(t, c.vms[0], gang("gang-1", "a", 9000))
	awaitJob(t, c.vms[0], "gang-1", control.JobRunning)
	frozen := c.holder(t, "a", c.vms)
	rest := c.without(frozen)
	frozen.signal(t, syscall.SIGSTOP)
	c.holder(t, "a", rest)
	thaw := time.Now().Add(control.DefaultSettings().Lease)
	eventually(t, func() string {
		if time.Now().Before(thaw) {
			return "the lease may last"
		}
		return ""
	})
	frozen.signal(t, syscall.SIGCONT)
	for _, v := range c.vms {
		awaitDurable(t, v, "gang-1")
	}
	c.checkGangs(t)
	assert.Equal(t, len(c.attempts(t)["gang-1"]), 1)
	c.noViolations(t, c.vms)
}

// TestServerForgetsEndedTask restarts a backend server right after a task ended there.
// The job may not be repeated, and it ran: it must not run a second time.
func TestServerForgetsEndedTask(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	for n := range 3 {
		id := model.JobID(fmt.Sprintf("once-%d", n))
		submit(t, c.vms[0], smallJob(id))
		ran := c.awaitTaskDone(t, id)
		ran.fault(t, standin.Fault{Restart: true})
	}
	settled := time.Now().Add(control.DefaultSettings().Lease)
	eventually(t, func() string {
		if time.Now().Before(settled) {
			return "a second attempt may still come"
		}
		return ""
	})
	c.checkGangs(t)
	c.noViolations(t, c.vms)
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

// TestUnrecordedJobOutlivesHolder kills the term holder while it runs a gang that
// only it knows of, since the log is down. The successor finds it on the backend
// servers, lets it run whole, and records it once the log is back.
func TestUnrecordedJobOutlivesHolder(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	holder := c.holder(t, "a", c.vms)
	rest := c.without(holder)
	cutLog(t, c)
	receipt := submit(t, holder, gang("gang-1", "a", 7000))
	assert.Assert(t, !receipt.Durable)
	awaitJob(t, holder, "gang-1", control.JobRunning)
	holder.kill()
	c.holder(t, "a", rest)
	eventually(t, func() string {
		if list := c.attempts(t)["gang-1"]; len(list) != 1 || !list[0].whole() {
			return fmt.Sprintf("gang-1 did not run whole: %s", describeAttempts(list))
		}
		return ""
	})
	c.links["a"].heal(t)
	submit(t, rest[0], smallJob("later"))
	awaitDurable(t, rest[0], "later")
	c.checkGangs(t)
	assert.Equal(t, len(c.attempts(t)["gang-1"]), 1)
	c.noViolations(t, rest)
	status, err := rest[0].client.Job(t.Context(), "gang-1")
	assert.NilError(t, err) // a caller that is told not found submits the job again
	assert.Equal(t, status.State, control.JobDone)
}
