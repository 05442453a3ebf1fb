package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// A start without an answer was repeated, and a report listed its run while the repeat was under way. The backend server
// started again before the repeat arrived, which began the run in the next incarnation; nobody heard of that. The lease of
// the earlier incarnation counted, and the task was placed elsewhere beside the run.
func TestRepeatBeginsARunThatWasListedInTheNextIncarnation(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	at, other := idle(t, w)
	answers := [2]string{string(at.id), w.holder().name}
	w.cutOneWay[answers] = true
	orders := len(w.startOrders)
	name := job.GroupKey{Job: w.submit(newJob(1, oneAccelerator, 60)).ID}.TaskName(0)
	runUntil(w, "the start begins its run", func() bool { return at.runs[name] != nil })
	w.orderDelay = 500 * time.Millisecond
	runUntil(w, "the repeat", func() bool { return len(w.startOrders) == orders+2 })
	w.cutOneWay[answers] = false
	v := w.holder().state.servers[at.id]
	runUntil(w, "a report lists the run", func() bool { return v.runs[name].phase == runRunning })
	w.cutOneWay[answers] = true
	at.crash(w)
	at.unlisted, other.unlisted = true, false // the next incarnation does not reach the store
	runUntil(w, "the repeat begins the run again", func() bool { return at.runs[name] != nil })
	cutOff(w, at)
	w.run(30 * time.Second) // the oracle finds two runs at once
	assert.Equal(t, len(w.oracle.running[name]), 1, "the task is not at work")
}
