package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// giveUpRun has the holder take the run of a task that is at work for one that has ended.
func giveUpRun(w *world, name string, at *fakeServer) {
	s := w.holder().state
	v := s.servers[at.id]
	s.requeue(v, v.runs[name], "given up by the test")
}

// A task was placed again on the backend server where an earlier run of it was at work. The reports that listed that
// run were passed over, and both ran at once (day slow-holders of swanbank-ribs, seed 49 on 82aa74c).
func TestReportOfAnEarlierRunKeepsTheNextOneFromStarting(t *testing.T) {
	w := newWorldWithHolder(t, 1, 1)
	name, at := runningTask(t, w, 6, 2*time.Second)
	giveUpRun(w, name, at)
	w.store.down = true // the next placement waits for its record
	w.run(800 * time.Millisecond)
	w.store.down = false
	w.run(20 * time.Second) // the stand-in finds two runs at once
	key, _, err := job.ParseTaskName(name)
	assert.NilError(t, err)
	assert.Equal(t, w.status(key.Job), job.StatusDone)
}

// The start of the newer run is on its way when a report tells of the earlier one.
func TestEarlierRunIsStoppedWhereTheNextOneIsOrdered(t *testing.T) {
	w := newWorldWithHolder(t, 1, 1)
	name, at := runningTask(t, w, 60, 2*time.Second)
	giveUpRun(w, name, at)
	w.orderDelay = 2 * time.Second
	w.run(3 * time.Second) // the stand-in finds two runs at once
	assert.Equal(t, at.runs[name].order.Run, w.holder().state.servers[at.id].runs[name].number)
}

// The start of the newer run is refused while the earlier run, which a report has told of, is still at work.
func TestEarlierRunIsKnownWhenTheNextOneIsGivenUp(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	at, other := idle(t, w)
	name, _ := runningTask(t, w, 60, 2*time.Second)
	giveUpRun(w, name, at)
	w.orderDelay = time.Second
	w.stopTime = 20 * time.Second
	at.refusesStarts = RefusedNoCapacity
	v := w.holder().state.servers[at.id]
	runUntil(w, "a report tells of the earlier run", func() bool { return v.runs[name] != nil && v.runs[name].earlier != 0 })
	other.unlisted = false
	w.orderDelay = 0
	w.run(30 * time.Second) // the oracle finds two runs at once
	assert.Equal(t, len(w.oracle.running[name]), 1, "the task is not at work")
}
