package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A successor repeated a start of the previous holder as soon as the backend server of it had reported, before another
// one, which reported right after it, told that an earlier run of the task was at work there.
func TestStartOfAPreviousHolderIsNotRepeatedBeforeTheOthersReport(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	at, other := w.servers["s01"], w.servers["s00"] // the first one reports first
	other.unlisted = true
	w.run(30 * time.Second)
	early := lostStart(t, w, at) // run 1, under way
	cutOff(w, at)
	other.unlisted = false
	s := w.holder().state
	runUntil(w, "the next placement", func() bool { return s.servers[other.id] != nil && s.servers[other.id].runs[early.Task] != nil })
	cutOff(w, other) // placed, and not ordered yet
	runUntil(w, "the order of run 2", func() bool { return w.startOrders[len(w.startOrders)-1].Server == other.id })
	w.run(10 * time.Millisecond) // it is lost
	w.holder().dead = true
	// the late order of run 1 is the first call of a new incarnation
	at.crash(w)
	_, err := at.start(w, early, "a late order")
	assert.NilError(t, err)
	clear(w.cutLinks)
	w.run(10 * time.Second) // the oracle finds two runs at once
	assert.Equal(t, len(w.oracle.running[early.Task]), 1, "the task does not run again")
}
