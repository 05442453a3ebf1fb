package standin

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// endedTaskKeep is how long an ended task stays in the status.
const endedTaskKeep = 10 * time.Minute

// task is one task of a gang on a backend server.
type task struct {
	hold       ports.TaskCommand
	state      ports.TaskState
	payload    Payload
	before     time.Duration // run time that the checkpoint it resumed from had
	leaseUntil time.Time
	longest    time.Duration // the longest lease granted
	held       time.Time
	started    time.Time
	ended      time.Time
	checkpoint string
	err        string
}

func newTask(c ports.TaskCommand, now time.Time) *task {
	t := &task{
		hold:       c,
		state:      ports.TaskHeld,
		payload:    parsePayload([]byte(c.Payload)),
		held:       now,
		checkpoint: c.Checkpoint,
	}
	t.before, _ = time.ParseDuration(c.Checkpoint) // none: it starts over
	t.renew(c.Lease, now)
	return t
}

// renew extends the lease from now on, and never shortens it.
func (t *task) renew(lease time.Duration, now time.Time) {
	t.longest = max(t.longest, lease)
	if until := now.Add(lease); until.After(t.leaseUntil) {
		t.leaseUntil = until
	}
}

func (t *task) start(now time.Time) {
	t.state = ports.TaskRunning
	t.started = now
}

// save makes a checkpoint, which is the run time so far.
func (t *task) save(now time.Time) {
	if t.state == ports.TaskRunning {
		t.checkpoint = t.progress(now).String()
	}
}

func (t *task) progress(now time.Time) time.Duration {
	return t.before + now.Sub(t.started)
}

// advance lets time pass up to now: an active task ends at the end of its run
// time or of its lease, whichever comes first.
func (t *task) advance(now time.Time, failAll bool) {
	if !t.state.Active() {
		return
	}
	if t.state == ports.TaskRunning && failAll {
		t.fail("the backend server fails all tasks", now)
		return
	}
	done := t.started.Add(t.payload.run() - t.before)
	if t.state == ports.TaskRunning && !done.After(now) && !done.After(t.leaseUntil) {
		t.complete(done)
		return
	}
	if !t.leaseUntil.After(now) {
		t.end(ports.TaskLeaseExpired, t.leaseUntil)
	}
}

func (t *task) complete(at time.Time) {
	if t.payload.Fail {
		t.fail("the payload asks for a failure", at)
		return
	}
	t.end(ports.TaskDone, at)
}

func (t *task) fail(message string, at time.Time) {
	t.err = message
	t.end(ports.TaskFailed, at)
}

func (t *task) end(s ports.TaskState, at time.Time) {
	t.state = s
	t.ended = at
}

func (t *task) report(usage float64) ports.TaskReport {
	return ports.TaskReport{
		Task:         t.hold.Task,
		Job:          t.hold.Job,
		Attempt:      t.hold.Attempt,
		Organisation: t.hold.Organisation,
		Accelerators: t.hold.Accelerators,
		Members:      t.hold.Members,
		State:        t.state,
		Checkpoint:   t.checkpoint,
		Error:        t.err,
		Usage:        usage,
	}
}

func (t *task) record() TaskRecord {
	return TaskRecord{
		Task:         t.hold.Task,
		Job:          t.hold.Job,
		Attempt:      t.hold.Attempt,
		Organisation: t.hold.Organisation,
		Members:      t.hold.Members,
		Accelerators: t.hold.Accelerators,
		State:        t.state,
		Held:         t.held,
		Started:      t.started,
		Ended:        t.ended,
		Lease:        t.longest,
	}
}

// usage returns the share of the accelerators that was in use at a time.
func (t *task) usage(at time.Time) float64 {
	if t.started.IsZero() || at.Before(t.started) {
		return 0
	}
	if !t.ended.IsZero() && at.After(t.ended) {
		return 0
	}
	return 1
}
