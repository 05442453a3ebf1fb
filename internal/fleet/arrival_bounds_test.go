package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A successor was to repeat a start of the previous holder, gave it up, and placed the task elsewhere at once,
// although the start of the previous holder could still arrive.
func TestGivenUpRepeatOfAStartDoesNotHideTheFirstOrder(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	at, other := restartedServers(t, w)
	late := lostStart(t, w, at)
	w.holder().dead = true
	at.draining, at.drainingSince = true, w.now
	other.unlisted = false
	assertNotElsewhere(t, w, late, at)
}

// The time of day of a VM was ahead of the holder's, so that a start order seemed to have arrived before it could.
func TestTimeOfDayDoesNotShortenTheWaitForAStart(t *testing.T) {
	for _, readLate := range []bool{false, true} {
		w := newWorldWithHolder(t, 3, 2)
		for _, n := range w.nodes {
			if n != w.holder() {
				n.ahead = 3 * time.Second
			}
		}
		late, _ := givenUpStart(t, w)
		w.run(100 * time.Millisecond)
		until := w.holder().state.arrivals[late.Task].until
		w.holder().dead = true
		if readLate {
			for _, n := range w.nodes {
				n.dead = true
			}
			w.addNode().ahead = 3 * time.Second
		}
		runUntil(w, "a successor holds the term", func() bool { return w.holder() != nil })
		assert.Assert(t, !w.holder().state.arrivals[late.Task].until.Before(until), "read late: %v", readLate)
	}
}

// A start order was under way when the restart of its backend server was noticed. The time of arrival counted from then,
// not from the end of the call.
func TestStartUnderWayAtARestartCountsFromTheEndOfItsCall(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	at, _ := restartedServers(t, w)
	w.orderDelay = time.Minute // the order is under way
	sent := len(w.startOrders)
	w.submit(newJob(1, oneAccelerator, 60))
	runUntil(w, "the start is ordered", func() bool { return len(w.startOrders) > sent })
	order := w.startOrders[sent].Start
	at.crash(w)
	w.listServers()
	w.run(orderTimeout)
	ended := w.now
	w.deliver(w.holder(), StartAnswered{Order: order, Err: ErrInDoubt})
	w.run(2 * time.Second)
	assert.Assert(t, !w.holder().state.arrivals[order.Task].until.Before(ended.Add(maxDeliveryDelay)))
}

// A run was removed while a start order for it was under way, which can arrive in the next incarnation.
func TestStartUnderWayAtTheEndOfItsRunIsExpected(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	at, _ := restartedServers(t, w)
	w.orderDelay = time.Minute
	sent := len(w.startOrders)
	w.submit(newJob(1, oneAccelerator, 60))
	runUntil(w, "the start is ordered", func() bool { return len(w.startOrders) > sent })
	order := w.startOrders[sent].Start
	w.run(orderTimeout)
	w.deliver(w.holder(), StartAnswered{Order: order, Err: ErrInDoubt})
	runUntil(w, "the start is repeated", func() bool { return len(w.startOrders) > sent+1 })
	repeated := w.startOrders[len(w.startOrders)-1].Start
	_, err := at.start(w, order, "the first order")
	assert.NilError(t, err)
	at.end(w, at.runs[order.Task], EndedFailed)
	w.holder().state.servers[at.id].nextHoldAt = w.now
	w.run(100 * time.Millisecond)
	w.run(orderTimeout)
	ended := w.now
	w.deliver(w.holder(), StartAnswered{Order: repeated, Err: ErrInDoubt})
	assert.Assert(t, !w.holder().state.arrivals[order.Task].until.Before(ended.Add(maxDeliveryDelay)))
}
