package standin

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// command executes a batch at the time now. A batch under an old token is refused as a whole.
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
		newWork := b.isNewWork(c)
		if !fenced {
			refusal = b.apply(c, now)
		}
		if newWork {
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

// isNewWork reports whether a command would add work to the backend server. A repeated
// hold or start does not.
func (b *Backend) isNewWork(c ports.TaskCommand) bool {
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

// apply executes one command and returns the reason if it had no effect, or "".
func (b *Backend) apply(c ports.TaskCommand, now time.Time) ports.Refusal {
	t, known := b.tasks[c.Task]
	if !known {
		return b.applyToUnknown(c, now)
	}
	if c.Verb == ports.VerbStop {
		b.stop(t, now)
		return ""
	}
	if !t.state.Active() {
		return ports.RefusedNotActive
	}
	return b.applyToActive(t, c, now)
}

func (b *Backend) applyToUnknown(c ports.TaskCommand, now time.Time) ports.Refusal {
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

func (b *Backend) applyToActive(t *task, c ports.TaskCommand, now time.Time) ports.Refusal {
	switch c.Verb {
	case ports.VerbStart:
		return b.start(t, c, now)
	case ports.VerbCheckpoint:
		t.saveCheckpoint(now)
	default: // repeated hold, or renew
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

// advance simulates the time until now for all tasks and deletes those that ended
// more than endedTaskRetention ago.
func (b *Backend) advance(now time.Time) {
	failAll := b.injector.current().FailAll
	for id, t := range b.tasks {
		t.advance(now, failAll)
		if !t.state.Active() && now.Sub(t.ended) > endedTaskRetention {
			delete(b.tasks, id)
		}
	}
}

func (b *Backend) refusesWork() bool {
	f := b.injector.current()
	return f.Leaving && !f.LeavingAccepts
}
