package control

import (
	"encoding/json"
	"iter"
	"slices"
	"strconv"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// fixedConfig is a configuration that never changes.
type fixedConfig struct{ current *config.Current }

func (c fixedConfig) Apply(journal.LocatedEntry) journal.Decision {
	return journal.Decision{Verdict: journal.VerdictAccepted}
}
func (c fixedConfig) Current() *config.Current       { return c.current }
func (c fixedConfig) Stalled() string                { return "" }
func (c fixedConfig) History(int) []journal.Decision { return nil }
func (c fixedConfig) Encode() ([]byte, error)        { return json.Marshal("fixed") }
func (c fixedConfig) Restore([]byte) error           { return nil }

// fakeTask is a task on a fakeServer.
type fakeTask struct {
	ports.TaskReport
	leaseEnd time.Time
	started  time.Time // zero: never ran
	ends     time.Time // when the work is done
	ended    time.Time // when it stopped running or being held
}

// fakeServer is a backend server with leases and fencing in virtual time.
type fakeServer struct {
	info        model.BackendServer
	token       model.Token
	tasks       map[model.TaskID]*fakeTask
	leaving     bool
	dead        bool
	failAll     bool
	incarnation int
	// past holds the tasks of earlier incarnations.
	past []*fakeTask
	// newest is the newest token in a batch that this incarnation got. It is the oracle's own
	// record, apart from token, by which the server fences.
	newest model.Token
	// staleCommands counts the commands that were not refused as fenced although the incarnation
	// had got a newer token before.
	staleCommands int
	failsJob      func(model.JobID) bool
	runtime       func(model.JobID) time.Duration
}

func (f *fakeServer) free() int {
	n := f.info.Accelerators
	for _, t := range f.tasks {
		if t.State.Active() {
			n -= t.Accelerators
		}
	}
	return n
}

// advanceTo updates the states of the tasks to time now.
func (f *fakeServer) advanceTo(now time.Time) {
	for _, t := range f.tasks {
		switch {
		case t.State == ports.TaskRunning && !t.ends.After(now) && !t.ends.After(t.leaseEnd):
			t.State, t.ended = ports.TaskDone, t.ends
		case t.State.Active() && !t.leaseEnd.After(now):
			t.State, t.ended = ports.TaskLeaseExpired, t.leaseEnd
		}
	}
}

// die kills the server and all its tasks.
func (f *fakeServer) die(now time.Time) {
	f.advanceTo(now)
	f.dead = true
	for _, t := range f.tasks {
		if t.State.Active() {
			t.State, t.ended = ports.TaskStopped, now
		}
	}
}

// restart replaces the server by a new incarnation under the same ID: it has neither tasks nor a token.
func (f *fakeServer) restart(now time.Time) {
	f.advanceTo(now)
	for _, t := range f.tasks {
		if t.State.Active() {
			t.State, t.ended = ports.TaskStopped, now
		}
		f.past = append(f.past, t)
	}
	f.tasks = make(map[model.TaskID]*fakeTask)
	f.token, f.newest = model.Token{}, model.Token{}
	f.incarnation++
}

// allTasks returns the tasks of all incarnations.
func (f *fakeServer) allTasks() iter.Seq[*fakeTask] {
	return func(yield func(*fakeTask) bool) {
		for _, t := range f.past {
			if !yield(t) {
				return
			}
		}
		for _, t := range f.tasks {
			if !yield(t) {
				return
			}
		}
	}
}

func (f *fakeServer) status(now time.Time) ports.BackendStatus {
	f.advanceTo(now)
	st := ports.BackendStatus{ID: f.info.ID, Leaving: f.leaving, FreeSlots: f.free(), Token: f.token, Incarnation: strconv.Itoa(f.incarnation)}
	for _, id := range eventloop.SortedKeys(f.tasks) {
		st.Tasks = append(st.Tasks, f.tasks[id].TaskReport)
	}
	return st
}

func (f *fakeServer) command(b ports.CommandBatch, now time.Time) []ports.TaskResult {
	f.advanceTo(now)
	results := f.applyBatch(b, now)
	if b.Token.Less(f.newest) {
		for _, r := range results {
			if r.Refused != ports.RefusedFenced {
				f.staleCommands++
			}
		}
	} else {
		f.newest = b.Token
	}
	return results
}

func (f *fakeServer) applyBatch(b ports.CommandBatch, now time.Time) []ports.TaskResult {
	fenced := b.Token.Less(f.token)
	if f.token.Less(b.Token) {
		f.token = b.Token
	}
	var results []ports.TaskResult
	for _, c := range b.Commands {
		if fenced {
			results = append(results, ports.TaskResult{Task: c.Task, Refused: ports.RefusedFenced})
			continue
		}
		results = append(results, f.applyCommand(c, now))
	}
	return results
}

func (f *fakeServer) applyCommand(c ports.TaskCommand, now time.Time) ports.TaskResult {
	t := f.tasks[c.Task]
	r := ports.TaskResult{Task: c.Task}
	if t == nil && c.Verb == ports.VerbHold {
		return f.hold(c, now)
	}
	if t == nil {
		r.Refused = ports.RefusedNoTask
		return r
	}
	r.State = t.State
	if !t.State.Active() {
		r.Refused = ports.RefusedNotActive
		return r
	}
	switch c.Verb {
	case ports.VerbStart:
		if f.leaving && t.State == ports.TaskHeld {
			r.Refused = ports.RefusedLeaving // as for a hold; the task stays held
			return r
		}
		f.start(t, now)
		t.leaseEnd = now.Add(c.Lease)
	case ports.VerbRenew:
		t.leaseEnd = now.Add(c.Lease)
	case ports.VerbCheckpoint:
		t.Checkpoint = "checkpoint of " + string(t.Attempt)
	case ports.VerbStop:
		t.State, t.ended = ports.TaskStopped, now
	}
	r.State = t.State
	r.Checkpoint = t.Checkpoint
	return r
}

func (f *fakeServer) hold(c ports.TaskCommand, now time.Time) ports.TaskResult {
	r := ports.TaskResult{Task: c.Task}
	switch {
	case f.leaving:
		r.Refused = ports.RefusedLeaving
		return r
	case f.free() < c.Accelerators:
		r.Refused = ports.RefusedFull
		return r
	}
	f.tasks[c.Task] = &fakeTask{
		TaskReport: ports.TaskReport{
			Task:         c.Task,
			Job:          c.Job,
			Attempt:      c.Attempt,
			Organisation: c.Organisation,
			Accelerators: c.Accelerators,
			Members:      c.Members,
			State:        ports.TaskHeld,
			Checkpoint:   c.Checkpoint,
		},
		leaseEnd: now.Add(c.Lease),
	}
	r.State = ports.TaskHeld
	return r
}

func (f *fakeServer) start(t *fakeTask, now time.Time) {
	if t.State == ports.TaskRunning {
		return
	}
	t.started = now
	if f.failAll || f.failsJob(t.Job) {
		t.State, t.ended, t.Error = ports.TaskFailed, now, "injected failure"
		return
	}
	t.State = ports.TaskRunning
	t.ends = now.Add(f.runtime(t.Job))
}

// fakeLog is the platform's log.
type fakeLog struct {
	entries []journal.LocatedEntry
	down    bool
	// loseAnswers makes appends succeed and loses their answers.
	loseAnswers bool
	delay       time.Duration
}

func (l *fakeLog) append(e journal.Entry, now time.Time) int64 {
	offset := int64(len(l.entries) + 1)
	l.entries = append(l.entries, journal.LocatedEntry{Offset: offset, Time: now, Entry: e})
	return offset
}

func (l *fakeLog) from(next int64) ([]journal.LocatedEntry, int64) {
	if next > int64(len(l.entries)) {
		return nil, next
	}
	return slices.Clone(l.entries[next-1:]), int64(len(l.entries) + 1)
}
