package fleet

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pgregory.net/rapid"

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

// overload is the state machine of a random run in which start orders get no answer, wait in the holder's process until
// it is too late to send them, or are refused, in series and at the same time.
type overload struct{ *machine }

func (o *overload) changeExpireShare(*rapid.T) { o.expireShare = float64(o.draw("expire", 3)) * 0.25 }

func (o *overload) refuseStarts(*rapid.T) {
	s := o.server()
	s.refusesStarts = []Refusal{"", RefusedUnhealthy, RefusedNoCapacity}[o.draw("refusal", 3)]
	o.at(time.Duration(200+o.draw("length", 3000))*time.Millisecond, func() { s.refusesStarts = "" })
}

// answerSlowly lets orders arrive at once and their answers too late.
func (o *overload) answerSlowly(*rapid.T) {
	o.answerDelay = 3 * callTimeout
	o.at(time.Duration(500+o.draw("slow", 4000))*time.Millisecond, func() { o.answerDelay = 0 })
}

// refuseOrders has a backend server refuse all stops, or all orders: none of them proves anything of a run.
func (o *overload) refuseOrders(*rapid.T) {
	s := o.server()
	refused := []*Refusal{&s.refusesStops, &s.refuses}[o.draw("refused", 2)]
	*refused = []Refusal{RefusedUnhealthy, RefusedOtherIncarnation}[o.draw("why", 2)]
	o.at(time.Duration(200+o.draw("length", 3000))*time.Millisecond, func() { *refused = "" })
}

// reportSlowly lets reports arrive after the answers to orders that were sent later.
func (o *overload) reportSlowly(*rapid.T) {
	o.reportDelay = callTimeout
	o.at(time.Duration(500+o.draw("slow", 4000))*time.Millisecond, func() { o.reportDelay = 0 })
}

// TestRandomStartsThatAreNotCarriedOut checks that no task runs twice beside start orders without an answer, repeats
// that are not sent or refused, and lost holders.
func TestRandomStartsThatAreNotCarriedOut(t *testing.T) {
	t.Parallel()
	playOverload(t, func(*overload) map[string]func(*rapid.T) { return nil })
}

// The same beside stops that are refused or get no answer, and late reports.
func TestRandomStopsThatAreNotCarriedOut(t *testing.T) {
	t.Parallel()
	playOverload(t, func(o *overload) map[string]func(*rapid.T) {
		o.stopTime = 300 * time.Millisecond
		return map[string]func(*rapid.T){"cancel": o.cancelJob, "server": o.changeServer, "orders": o.refuseOrders, "reports": o.reportSlowly}
	})
}

// playOverload plays random overload, with further actions, until all jobs have ended.
func playOverload(t *testing.T, further func(*overload) map[string]func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		o := &overload{&machine{world: newWorld(t, uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")), 3, 6), t: t}}
		actions := map[string]func(*rapid.T){
			"submit": o.submitJob, "submit2": o.submitJob, "submit3": o.submitJob, "expire": o.changeExpireShare, "refuse": o.refuseStarts, "refuse2": o.refuseStarts,
			"slow": o.answerSlowly, "slow2": o.answerSlowly, "late": o.changeLateShare, "freeze": o.freezeVM, "kill": o.killVM,
			"pass": o.passTime, "pass2": o.passTime, "pass3": o.passTime,
		}
		maps.Copy(actions, further(o))
		o.run(4 * time.Second)
		t.Repeat(actions)
		o.run(5 * time.Second) // the scheduled ends of all faults
		o.expireShare = 0
		o.endFaults()
		o.run(settleTime)
		o.oracle.checkAllEnded()
	})
}

// A stop that is refused or gets no answer proves nothing of the start before it, which may still arrive: reports
// without the run are no reason to start the task elsewhere.
func TestStopThatIsNotCarriedOutProvesNothingOfAStart(t *testing.T) {
	for name, err := range map[string]error{
		"unhealthy":         &RefusedError{Reason: RefusedUnhealthy},
		"other incarnation": &RefusedError{Reason: RefusedOtherIncarnation},
		"malformed":         &RefusedError{Reason: RefusedMalformed},
		"not sent":          ErrNoEffect,
		"no answer":         ErrInDoubt,
	} {
		t.Run(name, func(t *testing.T) {
			const arrivesAfter = 2 * time.Second
			w := newWorldWithHolder(t, 1, 2)
			w.orderDelay = arrivesAfter
			id := w.submit(newJob(1, oneAccelerator, 4)).ID
			for len(w.startOrders) == 0 {
				w.run(time.Millisecond)
			}
			first := w.startOrders[0]
			w.orderDelay = 0
			s := w.servers[first.Server]
			s.draining, s.refusesStops = true, RefusedUnhealthy
			w.run(orderTimeout)
			w.deliver(w.holder(), StartAnswered{Order: first.Start, Err: ErrInDoubt})
			r := w.holder().state.servers[first.Server].runs[first.Task]
			for !r.stopping || !r.inFlight {
				w.run(time.Millisecond)
			}
			w.deliver(w.holder(), StopAnswered{Order: Stop{Server: first.Server, Task: first.Task, Run: first.Run, Token: first.Token}, Err: err})
			w.run(first.at.Add(arrivesAfter + 100*time.Millisecond).Sub(w.now))
			assert.Equal(t, w.oracle.startsOf[first.Task], 1, "started elsewhere before its start arrived")
			assert.Equal(t, len(s.runs), 1)
			s.refusesStops = ""
			w.run(15 * time.Second)
			assert.Equal(t, w.status(id), job.StatusDone)
		})
	}
}
