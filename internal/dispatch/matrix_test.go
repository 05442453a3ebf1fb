package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/faultmatrix"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// scene is the stage of one cell: three VMs, of which the first mints the ticket.
type scene struct {
	t       *testing.T
	w       *world
	ledger  ledger
	arbiter *vm
	other   *vm
	third   *vm
	server  *fakeServer // the only one, unless the cell has more
	request Request     // under a ticket of the arbiter
}

// matrixCell injects a fault and asks. The promises are checked after it for every
// answer, and after retries through every VM once the fault is over.
type matrixCell struct {
	step    faultmatrix.Step
	fault   faultmatrix.Fault
	servers int // 0 means one
	prove   func(s *scene)
}

const recovery = 100 * time.Second // longer than any fault, freeze or look-up

func (c matrixCell) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, max(c.servers, 1))
		s := &scene{t: t, w: w, arbiter: w.vms["vm-0"], other: w.vms["vm-1"], third: w.vms["vm-2"]}
		s.server = w.servers["backend-0"]
		s.request = s.arbiter.order("1")
		defer func() {
			w.close()
			time.Sleep(recovery)
		}()
		c.prove(s)
		s.heal()
		s.ledger.retryEverywhere(t, w, s.request)
		time.Sleep(recovery)
		s.ledger.retryEverywhere(t, w, s.request)
		s.ledger.check(t, w)
	})
}

func (s *scene) heal() {
	s.w.mu.Lock()
	s.w.peerFault = nil
	s.w.mu.Unlock()
	for _, server := range s.w.servers {
		server.mu.Lock()
		server.faults, server.failAll, server.service = nil, false, 20*time.Millisecond
		server.mu.Unlock()
	}
}

// ask expects one of the outcomes.
func (s *scene) ask(m *vm, r Request, want ...model.Outcome) Result {
	s.t.Helper()
	res := s.ledger.ask(context.Background(), m, r)
	assert.Assert(s.t, slices.Contains(want, res.Outcome), "%s: %s", res.Outcome, res.Reason)
	return res
}

// start asks in the background; the result is of interest to the ledger alone.
func (s *scene) start(m *vm, r Request) {
	go s.ledger.ask(context.Background(), m, r)
	time.Sleep(5 * time.Millisecond)
}

// breakCalls gives calls of one name their faults in turn; later ones pass.
func breakCalls(name string, faults ...wireFault) func(string) wireFault {
	return func(call string) wireFault {
		if call != name || len(faults) == 0 {
			return wireOK
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

func (s *scene) breakServer(name string, faults ...wireFault) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.server.faults = breakCalls(name, faults...)
}

func (s *scene) breakPeers(name string, faults ...wireFault) {
	f := breakCalls(name, faults...)
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.w.peerFault = func(call, _, _ string) wireFault { return f(call) }
}

func (s *scene) cutOff(m *vm) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.w.peerFault = func(_, from, to string) wireFault {
		if from == m.address || to == m.address {
			return wireSilent
		}
		return wireOK
	}
}

// fill occupies all slots of the server for a while.
func (s *scene) fill(d time.Duration) {
	s.server.mu.Lock()
	s.server.service = d
	s.server.mu.Unlock()
	for i := range s.server.slots {
		r := quote(fmt.Sprintf("fill-%d", i))
		r.Deadline = time.Now().Add(2 * d)
		s.start(s.arbiter, r)
	}
	time.Sleep(50 * time.Millisecond)
}

const (
	done    = model.OutcomeDone
	failed  = model.OutcomeFailed
	notran  = model.OutcomeNotRun
	unclear = model.OutcomeUnknown
)

func (s *scene) assertRuns(n int) {
	s.t.Helper()
	assert.Equal(s.t, s.w.executions(s.request.ID), n)
}

var mintCells = []matrixCell{
	{faultmatrix.StepMint, faultmatrix.FaultKilled, 1, func(s *scene) {
		s.w.kill(s.arbiter)
		s.ask(s.other, s.request, unclear)
		s.assertRuns(0)
	}},
	{faultmatrix.StepMint, faultmatrix.FaultFrozen, 1, func(s *scene) {
		s.w.freeze(s.arbiter, time.Minute)
		s.ask(s.other, s.request, unclear)
	}},
	{faultmatrix.StepMint, faultmatrix.FaultZoneCut, 1, func(s *scene) {
		s.cutOff(s.arbiter)
		s.request = s.arbiter.order("2")
		s.ask(s.arbiter, s.request, done)
	}},
	{faultmatrix.StepMint, faultmatrix.FaultListStale, 1, func(s *scene) {
		s.w.kill(s.arbiter)
		s.w.addVM(s.arbiter.address, "reborn") // the list shows the old incarnation too
		s.ask(s.other, s.request, unclear)
		s.assertRuns(0)
	}},
}

var forwardCells = []matrixCell{
	{faultmatrix.StepForward, faultmatrix.FaultKilled, 1, func(s *scene) {
		s.start(s.other, s.request)
		s.w.kill(s.arbiter)
		s.ask(s.third, s.request, unclear)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultFrozen, 1, func(s *scene) {
		s.start(s.other, s.request)
		s.w.freeze(s.arbiter, time.Minute)
		s.ask(s.third, s.request, unclear)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultCutBefore, 1, func(s *scene) {
		s.breakPeers("forward", wireCutBefore)
		s.ask(s.other, s.request, done)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultCutAfter, 1, func(s *scene) {
		s.breakPeers("forward", wireCutAfter)
		s.ask(s.other, s.request, done)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultSilent, 1, func(s *scene) {
		s.breakPeers("forward", wireSilent)
		s.ask(s.other, s.request, done)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultAnswerLost, 1, func(s *scene) {
		s.breakPeers("forward", wireLost)
		s.ask(s.other, s.request, done)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultZoneCut, 1, func(s *scene) {
		s.cutOff(s.arbiter)
		s.ask(s.other, s.request, unclear)
		s.assertRuns(0)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultListStale, 1, func(s *scene) {
		assert.NilError(s.t, s.arbiter.Drain(context.Background()))
		s.w.mu.Lock()
		s.arbiter.down = true // and still listed as live
		s.w.mu.Unlock()
		s.ask(s.other, s.request, done)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultBackendFailsAll, 1, func(s *scene) {
		s.server.failAll = true
		s.ask(s.other, s.request, failed)
		s.ask(s.third, s.request, failed)
	}},
}

var queueCells = []matrixCell{
	{faultmatrix.StepQueue, faultmatrix.FaultKilled, 1, func(s *scene) {
		s.fill(5 * time.Second)
		s.start(s.other, s.request)
		s.w.kill(s.arbiter)
		s.ask(s.third, s.request, unclear)
		time.Sleep(recovery)
		s.assertRuns(0)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultFrozen, 1, func(s *scene) {
		s.fill(5 * time.Second)
		s.start(s.other, s.request)
		s.w.freeze(s.arbiter, time.Minute)
		s.ask(s.third, s.request, unclear)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultCutBefore, 1, func(s *scene) {
		s.fill(5 * time.Second)
		r := quote("left")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		res := s.ledger.ask(ctx, s.arbiter, r)
		assert.Equal(s.t, res.Outcome, notran)
		time.Sleep(recovery)
		assert.Equal(s.t, s.w.executions(r.ID), 0)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultCutAfter, 1, func(s *scene) {
		s.fill(2 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		res := s.ledger.ask(ctx, s.arbiter, s.request)
		assert.Equal(s.t, res.Outcome, unclear)
		s.ask(s.arbiter, s.request, done)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultSilent, 1, func(s *scene) {
		s.server.faults = func(string) wireFault { return wireSilent }
		for i := range 30 {
			s.start(s.arbiter, quote(fmt.Sprint("silent-", i)))
		}
		s.ask(s.arbiter, s.request, notran, unclear)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultListStale, 4, func(s *scene) {
		s.server.faults = func(string) wireFault { return wireRefused } // gone, still listed
		for i := range 40 {
			s.ask(s.arbiter, quote(fmt.Sprint("stale-", i)), done)
		}
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultZoneCut, 4, func(s *scene) {
		s.w.change(func(v *View) {
			for i := range v.Backends[:2] {
				v.Backends[i].Server.AZ, v.Backends[i].Server.Region = "far", "far"
			}
		})
		for _, a := range []string{"backend-0", "backend-1"} {
			s.w.servers[a].faults = func(string) wireFault { return wireSilent }
		}
		for i := range 20 {
			s.ask(s.arbiter, quote(fmt.Sprint("cut-", i)), done)
		}
		assert.Equal(s.t, len(s.server.order), 0)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultBackendFailsAll, 8, func(s *scene) {
		s.server.failAll = true
		bad := 0
		for i := range 200 {
			r := quote(fmt.Sprint("bad-", i))
			r.Organisation = model.OrganisationID(fmt.Sprint("org-", i%2))
			if s.ask(s.arbiter, r, done, failed).Outcome == failed {
				bad++
			}
		}
		assert.Assert(s.t, bad <= 8, "%d failed", bad)
	}},
}

var sendCells = []matrixCell{
	{faultmatrix.StepSend, faultmatrix.FaultKilled, 1, func(s *scene) {
		s.server.service = time.Second
		s.start(s.arbiter, s.request)
		s.w.kill(s.arbiter)
		s.ask(s.other, s.request, unclear)
		s.assertRuns(1)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultFrozen, 1, func(s *scene) {
		s.w.freeze(s.arbiter, time.Minute)
		go s.arbiter.Do(context.Background(), s.request) // held back just before the wire
		s.ask(s.other, s.request, unclear)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultCutBefore, 1, func(s *scene) {
		s.breakServer("execute", wireCutBefore)
		s.ask(s.arbiter, s.request, notran)
		s.assertRuns(0)
		s.breakServer("execute", wireCutBefore)
		s.ask(s.arbiter, quote("q"), done)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultCutAfter, 1, func(s *scene) {
		s.breakServer("execute", wireCutAfter)
		s.ask(s.arbiter, s.request, done)
		s.assertRuns(1)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultSilent, 1, func(s *scene) {
		s.breakServer("execute", wireLate) // silent, and delivered long after
		s.ask(s.arbiter, s.request, notran)
		time.Sleep(recovery)
		s.assertRuns(0)
		s.breakServer("execute", wireSilent)
		s.ask(s.arbiter, quote("q"), done)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultAnswerLost, 1, func(s *scene) {
		s.breakServer("execute", wireLost)
		s.ask(s.arbiter, s.request, done)
		s.assertRuns(1)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultListStale, 2, func(s *scene) {
		s.server.leaving = true // the list does not know yet
		for i := range 20 {
			s.ask(s.arbiter, s.arbiter.order(fmt.Sprint("stale-", i)), done)
		}
		assert.Assert(s.t, s.server.refusals <= 1)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultZoneCut, 2, func(s *scene) {
		s.w.change(func(v *View) { v.Backends[0].Server.AZ, v.Backends[0].Server.Region = "far", "far" })
		s.w.change(func(v *View) { v.Backends[1].Live = false })
		s.server.faults = func(string) wireFault { return wireSilent }
		s.ask(s.arbiter, s.request, unclear, notran)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultBackendFailsAll, 2, func(s *scene) {
		s.server.failAll = true
		s.w.servers["backend-1"].failAll = true
		s.ask(s.arbiter, s.request, failed)
		s.ask(s.arbiter, s.request, failed)
		s.assertRuns(1)
	}},
}

var answerCells = []matrixCell{
	{faultmatrix.StepAnswer, faultmatrix.FaultKilled, 1, func(s *scene) {
		s.start(s.other, s.request)
		time.Sleep(18 * time.Millisecond) // the answer is on its way
		s.w.kill(s.arbiter)
		s.ask(s.other, s.request, unclear)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultFrozen, 1, func(s *scene) {
		s.start(s.other, s.request)
		time.Sleep(18 * time.Millisecond)
		s.w.freeze(s.arbiter, time.Minute)
		s.ask(s.third, s.request, unclear)
		time.Sleep(time.Minute)
		s.ask(s.third, s.request, done)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultCutBefore, 1, func(s *scene) {
		s.breakServer("execute", wireCutAfter) // cut before the first byte of the answer
		s.ask(s.arbiter, s.request, done)
		s.breakServer("execute", wireCutAfter)
		s.ask(s.arbiter, quote("q"), done)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultCutAfter, 1, func(s *scene) {
		s.breakServer("execute", wireCut) // cut in the middle of the body
		s.ask(s.arbiter, s.request, done)
		s.breakServer("execute", wireCut)
		s.ask(s.arbiter, quote("q"), done)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultSilent, 1, func(s *scene) {
		s.breakServer("execute", wireLost, wireLost)
		s.ask(s.arbiter, quote("q"), done)
		s.ask(s.arbiter, s.request, done)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultAnswerLost, 1, func(s *scene) {
		s.breakPeers("forward", wireCutAfter, wireCutAfter)
		s.ask(s.other, s.request, unclear, done)
		s.ask(s.other, s.request, done)
		s.assertRuns(1)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultZoneCut, 1, func(s *scene) {
		s.server.service = time.Second
		s.start(s.other, s.request)
		s.cutOff(s.arbiter)
		s.ask(s.other, s.request, unclear)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultBackendFailsAll, 1, func(s *scene) {
		s.server.failAll = true
		s.breakServer("execute", wireCutAfter)
		s.ask(s.arbiter, s.request, failed)
	}},
}

var lookupCells = []matrixCell{
	{faultmatrix.StepLookup, faultmatrix.FaultKilled, 1, func(s *scene) {
		s.breakServer("execute", wireLost)
		s.start(s.other, s.request)
		time.Sleep(silenceDefault)
		s.w.kill(s.arbiter)
		s.ask(s.other, s.request, unclear)
		s.assertRuns(1)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultFrozen, 1, func(s *scene) {
		s.breakServer("execute", wireLost)
		s.start(s.arbiter, s.request)
		time.Sleep(silenceDefault - 10*time.Millisecond)
		s.w.freeze(s.arbiter, time.Minute)
		s.ask(s.other, s.request, unclear)
		time.Sleep(time.Minute)
		s.ask(s.other, s.request, done)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultCutBefore, 1, func(s *scene) {
		s.lookupFaults(wireLost, wireCutBefore)
		s.ask(s.arbiter, s.request, done)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultCutAfter, 1, func(s *scene) {
		// The look-up closes the request at the server, its answer is cut, and the
		// request itself arrives late.
		s.lookupFaults(wireLate, wireCutAfter)
		s.ask(s.arbiter, s.request, notran)
		time.Sleep(recovery)
		s.assertRuns(0)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultSilent, 1, func(s *scene) {
		s.lookupFaults(wireLost, wireSilent)
		s.ask(s.arbiter, s.request, done)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultAnswerLost, 1, func(s *scene) {
		s.lookupFaults(wireLate, wireLost)
		s.ask(s.arbiter, s.request, notran)
		s.assertRuns(0)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultZoneCut, 1, func(s *scene) {
		s.server.faults = func(call string) wireFault {
			if call == "execute" {
				return wireLost
			}
			return wireSilent
		}
		s.ask(s.arbiter, s.request, unclear)
		s.assertRuns(1)
		time.Sleep(recovery) // the arbiter gives up the exchange meanwhile
		s.ask(s.arbiter, s.request, unclear)
		s.heal()
		s.ask(s.other, s.request, done)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultBackendFailsAll, 1, func(s *scene) {
		s.server.failAll = true
		s.lookupFaults(wireLost, wireCrossed)
		s.ask(s.arbiter, s.request, failed)
	}},
}

// lookupFaults breaks the first send and then the first look-up.
func (s *scene) lookupFaults(execute, lookup wireFault) {
	first := map[string]wireFault{"execute": execute, "lookup": lookup}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.server.faults = func(call string) wireFault {
		f := first[call]
		delete(first, call)
		return f
	}
}

// drainArbiter drains under load: one ticket in flight, one queued, one unused.
func (s *scene) drainArbiter(bound time.Duration) {
	s.server.slots = 1
	s.server.service = 100 * time.Millisecond
	inFlight := s.arbiter.order("in flight")
	queued := s.arbiter.order("queued")
	s.start(s.arbiter, inFlight)
	s.start(s.arbiter, queued)
	s.start(s.arbiter, quote("queued quote"))
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	started := time.Now()
	_ = s.arbiter.Drain(ctx)
	assert.Assert(s.t, time.Since(started) <= bound+time.Second)
	s.w.kill(s.arbiter)
	for _, r := range []Request{inFlight, queued} {
		s.ask(s.other, r, done, failed, unclear, notran)
		s.ask(s.third, r, done, failed, unclear, notran)
	}
}

const drainBound = 10 * time.Second

var drainCells = []matrixCell{
	{faultmatrix.StepDrain, faultmatrix.FaultKilled, 1, func(s *scene) {
		s.breakPeers("hand-over", wireSilent)
		s.start(s.arbiter, s.arbiter.order("2"))
		go func() { _ = s.arbiter.Drain(context.Background()) }()
		time.Sleep(300 * time.Millisecond)
		s.w.kill(s.arbiter)
		s.ask(s.other, s.request, unclear, done)
		time.Sleep(2 * drainBound)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultFrozen, 1, func(s *scene) {
		s.breakPeers("hand-over", wireCutAfter) // taken over, the giver does not know
		s.server.service = time.Second
		s.start(s.arbiter, s.request)
		go func() { _ = s.arbiter.Drain(context.Background()) }()
		time.Sleep(1020 * time.Millisecond)
		s.w.freeze(s.arbiter, time.Minute)
		s.ask(s.other, s.request, done, unclear)
		s.ask(s.third, s.request, done, unclear)
		time.Sleep(2 * time.Minute)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultCutBefore, 1, func(s *scene) {
		s.breakPeers("hand-over", wireCutBefore)
		s.drainArbiter(drainBound)
		s.ask(s.other, s.request, done)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultCutAfter, 1, func(s *scene) {
		s.breakPeers("hand-over", wireCutAfter)
		s.drainArbiter(drainBound)
		s.ask(s.other, s.request, done)
		s.ask(s.third, s.request, done)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultSilent, 1, func(s *scene) {
		s.breakPeers("hand-over", wireSilent)
		s.drainArbiter(drainBound)
		s.ask(s.third, s.request, done)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultAnswerLost, 1, func(s *scene) {
		s.breakPeers("hand-over", wireLost, wireLost, wireLost, wireLost, wireLost, wireLost)
		s.drainArbiter(drainBound)
		s.ask(s.other, s.request, done)
		s.ask(s.third, s.request, done)
		first := successors(s.arbiter.ports.View(), s.arbiter.address, s.arbiter.options.Incarnation)[0]
		s.w.kill(s.w.vms[first.Address]) // nobody else may believe to be the arbiter
		s.ask(s.w.vms[s.notOf(first.Address)], s.request, unclear)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultListStale, 1, func(s *scene) {
		first := successors(s.arbiter.ports.View(), s.arbiter.address, s.arbiter.options.Incarnation)[0]
		gone := s.w.vms[first.Address]
		s.w.mu.Lock()
		gone.down = true // and still listed
		s.w.mu.Unlock()
		if s.other == gone {
			s.other = s.third
		}
		s.third = s.other
		s.drainArbiter(drainBound)
		s.ask(s.other, s.request, done)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultZoneCut, 1, func(s *scene) {
		s.cutOff(s.arbiter)
		s.drainArbiter(drainBound)
		s.ask(s.other, s.request, unclear)
		s.assertRuns(0)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultBackendFailsAll, 4, func(s *scene) {
		for _, server := range s.w.servers { // slower than the drain, and fails at last
			server.service, server.failAll = 15*time.Second, true
		}
		s.start(s.arbiter, s.request)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		assert.ErrorContains(s.t, s.arbiter.Drain(ctx), "1 requests")
		s.w.kill(s.arbiter)
		s.ask(s.other, s.request, unclear)
		time.Sleep(10 * time.Second)
		s.ask(s.other, s.request, failed)
		s.ask(s.third, s.request, failed)
		s.assertRuns(1)
	}},
}

// notOf returns the address of a live VM other than the given one and the arbiter.
func (s *scene) notOf(address string) string {
	if s.other.address == address {
		return s.third.address
	}
	return s.other.address
}

func TestMatrixRequests(t *testing.T) {
	cells := slices.Concat(mintCells, forwardCells, queueCells, sendCells, answerCells, lookupCells, drainCells)
	for _, c := range cells {
		faultmatrix.RunCell(t, c.step, c.fault, c.run)
	}
}
