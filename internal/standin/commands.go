package standin

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// command carries out a batch at a time. A batch under an old token is refused whole.
func (b *Backend) command(batch ports.CommandBatch, now time.Time) []ports.TaskResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	fenced := batch.Token.Less(b.token)
	if !fenced {
		b.token = batch.Token
	}
	results := make([]ports.TaskResult, len(batch.Commands))
	for i, c := range batch.Commands {
		refusal := ports.RefusedFenced
		fresh := b.bringsWork(c)
		if !fenced {
			refusal = b.apply(c, now)
		}
		if fresh {
			b.offers = append(b.offers, Offer{Time: now, Task: c.Task, Refused: refusal})
		}
		results[i] = b.result(c, refusal)
	}
	return results
}

func (b *Backend) result(c ports.TaskCommand, refusal ports.Refusal) ports.TaskResult {
	r := ports.TaskResult{Task: c.Task, Refused: refusal}
	if t, ok := b.tasks[c.Task]; ok {
		r.State = t.state
		r.Checkpoint = t.checkpoint
	}
	return r
}

// bringsWork reports whether a command asks for something that the backend server
// does not do yet. Repeats of a hold or a start bring nothing new.
func (b *Backend) bringsWork(c ports.TaskCommand) bool {
	t, known := b.tasks[c.Task]
	switch c.Verb {
	case ports.VerbHold:
		return !known
	case ports.VerbStart:
		return known && t.state == ports.TaskHeld
	default:
		return false
	}
}

// apply carries out one command and returns why it had no effect, or "".
func (b *Backend) apply(c ports.TaskCommand, now time.Time) ports.Refusal {
	t, known := b.tasks[c.Task]
	if !known {
		return b.applyNew(c, now)
	}
	if c.Verb == ports.VerbStop {
		b.stop(t, now)
		return ""
	}
	if !t.state.Active() {
		return ports.RefusedNotActive
	}
	return b.applyActive(t, c, now)
}

func (b *Backend) applyNew(c ports.TaskCommand, now time.Time) ports.Refusal {
	if c.Verb != ports.VerbHold {
		return ports.RefusedNoTask
	}
	if b.refusesWork() {
		return ports.RefusedLeaving
	}
	if b.accelerators-b.acceleratorsInUse() < c.Accelerators {
		return ports.RefusedFull
	}
	b.tasks[c.Task] = newTask(c, now)
	return ""
}

func (b *Backend) applyActive(t *task, c ports.TaskCommand, now time.Time) ports.Refusal {
	switch c.Verb {
	case ports.VerbStart:
		return b.start(t, c, now)
	case ports.VerbCheckpoint:
		t.save(now)
	default: // hold again, renew
		t.renew(c.Lease, now)
	}
	return ""
}

func (b *Backend) start(t *task, c ports.TaskCommand, now time.Time) ports.Refusal {
	if t.state == ports.TaskHeld {
		if b.refusesWork() {
			return ports.RefusedLeaving
		}
		t.start(now)
	}
	t.renew(c.Lease, now)
	return ""
}

func (b *Backend) stop(t *task, now time.Time) {
	if t.state.Active() {
		t.end(ports.TaskStopped, now)
	}
}

func (b *Backend) acceleratorsInUse() int {
	n := 0
	for _, t := range b.tasks {
		if t.state.Active() {
			n += t.hold.Accelerators
		}
	}
	return n
}

// advance lets time pass for all tasks and forgets those that ended long ago.
func (b *Backend) advance(now time.Time) {
	failAll := b.faults.current().FailAll
	for id, t := range b.tasks {
		t.advance(now, failAll)
		if !t.state.Active() && now.Sub(t.ended) > endedTaskKeep {
			delete(b.tasks, id)
		}
	}
}

func (b *Backend) refusesWork() bool {
	f := b.faults.current()
	return f.Leaving && !f.LeavingAccepts
}
