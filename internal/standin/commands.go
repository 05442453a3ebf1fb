package standin

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/platform"
)

// command carries out a batch at a time. A batch under an old token is refused whole.
func (b *Backend) command(batch platform.CommandBatch, now time.Time) []platform.TaskResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	fenced := batch.Token.Less(b.token)
	if !fenced {
		b.token = batch.Token
	}
	results := make([]platform.TaskResult, len(batch.Commands))
	for i, c := range batch.Commands {
		refusal := platform.RefusedFenced
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

func (b *Backend) result(c platform.TaskCommand, refusal platform.Refusal) platform.TaskResult {
	r := platform.TaskResult{Task: c.Task, Refused: refusal}
	if t, ok := b.tasks[c.Task]; ok {
		r.State = t.state
		r.Checkpoint = t.checkpoint
	}
	return r
}

// bringsWork reports whether a command asks for something that the backend server
// does not do yet. Repeats of a hold or a start bring nothing new.
func (b *Backend) bringsWork(c platform.TaskCommand) bool {
	t, known := b.tasks[c.Task]
	switch c.Verb {
	case platform.VerbHold:
		return !known
	case platform.VerbStart:
		return known && t.state == platform.TaskHeld
	default:
		return false
	}
}

// apply carries out one command and returns why it had no effect, or "".
func (b *Backend) apply(c platform.TaskCommand, now time.Time) platform.Refusal {
	t, known := b.tasks[c.Task]
	if !known {
		return b.applyNew(c, now)
	}
	if c.Verb == platform.VerbStop {
		b.stop(t, now)
		return ""
	}
	if !t.state.Active() {
		return platform.RefusedNotActive
	}
	return b.applyActive(t, c, now)
}

func (b *Backend) applyNew(c platform.TaskCommand, now time.Time) platform.Refusal {
	if c.Verb != platform.VerbHold {
		return platform.RefusedNoTask
	}
	if b.refusesWork() {
		return platform.RefusedLeaving
	}
	if b.accelerators-b.acceleratorsInUse() < c.Accelerators {
		return platform.RefusedFull
	}
	b.tasks[c.Task] = newTask(c, now)
	return ""
}

func (b *Backend) applyActive(t *task, c platform.TaskCommand, now time.Time) platform.Refusal {
	switch c.Verb {
	case platform.VerbStart:
		return b.start(t, c, now)
	case platform.VerbCheckpoint:
		t.save(now)
	default: // hold again, renew
		t.renew(c.Lease, now)
	}
	return ""
}

func (b *Backend) start(t *task, c platform.TaskCommand, now time.Time) platform.Refusal {
	if t.state == platform.TaskHeld {
		if b.refusesWork() {
			return platform.RefusedLeaving
		}
		t.start(now)
	}
	t.renew(c.Lease, now)
	return ""
}

func (b *Backend) stop(t *task, now time.Time) {
	if t.state.Active() {
		t.end(platform.TaskStopped, now)
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
