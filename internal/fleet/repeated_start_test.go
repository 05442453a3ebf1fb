package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// A start without an answer was repeated, and a report listed its run before the repeat came to nothing. The task
// was then started elsewhere beside that run (issue 43, TWICE; day slow-holders of phk-ladu).
func TestRepeatThatIsNotCarriedOutLeavesTheRunThatAReportLists(t *testing.T) {
	for name, err := range map[string]error{
		"not sent in time":  ErrExpired,
		"unhealthy":         &RefusedError{Reason: RefusedUnhealthy},
		"no capacity":       &RefusedError{Reason: RefusedNoCapacity},
		"no ticket":         &RefusedError{Reason: RefusedNoTicket},
		"other incarnation": &RefusedError{Reason: RefusedOtherIncarnation},
		"too late":          &RefusedError{Reason: RefusedDeadlinePassed},
	} {
		t.Run(name, func(t *testing.T) {
			const arrivesAfter = 1200 * time.Millisecond
			w := newWorldWithHolder(t, 1, 2)
			w.orderDelay = arrivesAfter
			id := w.submit(newJob(1, oneAccelerator, 4)).ID
			for len(w.startOrders) == 0 {
				w.run(time.Millisecond)
			}
			first := w.startOrders[0]
			w.orderDelay = time.Hour // the repeat waits in the holder's process
			w.run(orderTimeout)
			w.deliver(w.holder(), StartAnswered{Order: first.Start, Err: ErrInDoubt})
			for len(w.startOrders) == 1 {
				w.run(time.Millisecond)
			}
			w.run(first.at.Add(arrivesAfter + time.Second).Sub(w.now))
			r := w.holder().state.servers[first.Server].runs[first.Task]
			assert.Equal(t, r.phase, runRunning)
			w.orderDelay = 0
			w.deliver(w.holder(), StartAnswered{Order: w.startOrders[1].Start, Err: err})
			assert.Assert(t, r.current(), "given up although it is at work")
			w.run(10 * time.Second)
			assert.Equal(t, w.oracle.startsOf[first.Task], 1, "started beside a run that is at work")
			assert.Equal(t, w.status(id), job.StatusDone)
		})
	}
}
