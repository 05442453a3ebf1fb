package standin

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// endedTaskRetention is how long an ended task stays in the status.
const endedTaskRetention = 10 * time.Minute

// task is one task of a gang on a backend server.
type task struct {
	hold            ports.TaskCommand
	state           ports.TaskState
	payload         Payload
	resumedProgress time.Duration // run time saved in the checkpoint that the task resumed from
	leaseUntil      time.Time
	longestLease    time.Duration
	held            time.Time
	started         time.Time
	ended           time.Time
	checkpoint      string
	errorMessage    string
}

func newTask(c ports.TaskCommand, now time.Time) *task {
	t := &task{
		hold:       c,
		state:      ports.TaskHeld,
		payload:    parsePayload([]byte(c.Payload)),
		held:       now,
		checkpoint: c.Checkpoint,
	}
	t.resumedProgress, _ = time.ParseDuration(c.Checkpoint) // 0 if there is no checkpoint
	t.renew(c.Lease, now)
	return t
}

// renew extends the lease until now plus lease, and never shortens it.
func (t *task) renew(lease time.Duration, now time.Time) {
	t.longestLease = max(t.longestLease, lease)
	if until := now.Add(lease); until.After(t.leaseUntil) {
		t.leaseUntil = until
	}
}

func (t *task) start(now time.Time) {
	t.state = ports.TaskRunning
	t.started = now
}

// saveCheckpoint saves a checkpoint, which contains the run time so far.
func (t *task) saveCheckpoint(now time.Time) {
	if t.state == ports.TaskRunning {
		t.checkpoint = t.progress(now).String()
	}
}

func (t *task) progress(now time.Time) time.Duration {
	return t.resumedProgress + now.Sub(t.started)
}

// advance simulates the time until now: an active task ends at the end of its run
// time or of its lease, whichever comes first.
func (t *task) advance(now time.Time, failAll bool) {
	if !t.state.Active() {
		return
	}
	if t.state == ports.TaskRunning && failAll {
		t.fail("the backend server fails all tasks", now)
		return
	}
	done := t.started.Add(t.payload.runTime() - t.resumedProgress)
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
	t.errorMessage = message
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
		Error:        t.errorMessage,
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
		Lease:        t.longestLease,
	}
}

// usage returns the share of the accelerators that was in use at the given time.
func (t *task) usage(at time.Time) float64 {
	if t.started.IsZero() || at.Before(t.started) {
		return 0
	}
	if !t.ended.IsZero() && at.After(t.ended) {
		return 0
	}
	return 1
}
