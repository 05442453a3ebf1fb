package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A backend server started again shortly after its earlier start, while a start order was on its way, and was then cut
// off. The holder took the answer for that of the incarnation that it knew, counted the lease by that one's clock, and
// started the task elsewhere while it was still at work in the new incarnation.
func TestAnswerOfTheNextIncarnationDoesNotCountOnTheEarlierClock(t *testing.T) {
	w := newWorldWithHolder(t, 1, 1)
	other := w.servers["s00"]
	w.run(30 * time.Second) // leases of earlier holders no longer count
	other.draining = true
	at := w.addServer()
	runUntil(w, "the report of a new backend server", func() bool {
		v := w.holder().state.servers[at.id]
		return v != nil && v.hasReported
	})
	w.run(1800 * time.Millisecond)
	w.orderDelay = time.Hour // it is carried out below
	w.submit(newJob(1, oneAccelerator, 30))
	runUntil(w, "the start order", func() bool { return len(w.startOrders) > 0 })
	order := w.startOrders[0]
	assert.Equal(t, order.Server, at.id)
	other.draining = false
	at.crash(w)
	clock, err := at.start(w, order.Start, "the order on its way")
	assert.NilError(t, err)
	cutOff(w, at)
	at.unlisted, w.orderDelay = true, 0
	w.run(linkDelay)
	w.deliver(w.holder(), StartAnswered{Order: order.Start, Clock: clock})
	// The hold that follows is carried out, and its answer is lost.
	_, err = at.hold(w, Hold{Token: order.Token, Deadline: w.holder().state.servers[at.id].deadline})
	assert.NilError(t, err)
	w.run(30 * time.Second) // the oracle finds two runs at once
	assert.Equal(t, w.oracle.startsOf[order.Task], 2, "the task does not run again")
}
