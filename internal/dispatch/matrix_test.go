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

// cellTest is the setup of one cell of the fault matrix: three VMs, the first of which
// mints the ticket of the request.
type cellTest struct {
	t       *testing.T
	cluster *testCluster
	calls   callLog
	arbiter *vm
	other   *vm
	third   *vm
	server  *fakeServer // the first one; most cells have only this one
	request Request     // with a ticket of the arbiter
}

// matrixCell is one cell of the fault matrix. Its scenario injects the fault and runs
// requests. After that the faults are cleared, the request is retried on every VM, and
// all results are checked.
type matrixCell struct {
	step     faultmatrix.Step
	fault    faultmatrix.Fault
	servers  int // 0 means one
	scenario func(s *cellTest)
}

const recoveryTime = 100 * time.Second // exceeds the time of any fault, freeze or look-up

func (c matrixCell) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3, max(c.servers, 1))
		s := &cellTest{t: t, cluster: cluster, arbiter: cluster.vms["vm-0"], other: cluster.vms["vm-1"], third: cluster.vms["vm-2"]}
		s.server = cluster.servers["backend-0"]
		s.request = s.arbiter.newOrder("1")
		defer func() {
			cluster.close()
			time.Sleep(recoveryTime)
		}()
		c.scenario(s)
		s.clearFaults()
		s.calls.retryOnAllVMs(t, cluster, s.request)
		time.Sleep(recoveryTime)
		s.calls.retryOnAllVMs(t, cluster, s.request)
		s.calls.check(t, cluster)
	})
}

func (s *cellTest) clearFaults() {
	s.cluster.mu.Lock()
	s.cluster.peerFault = nil
	s.cluster.mu.Unlock()
	for _, server := range s.cluster.servers {
		server.mu.Lock()
		server.faults, server.failAll, server.serviceTime = nil, false, 20*time.Millisecond
		server.mu.Unlock()
	}
}

// callExpecting runs a request on a VM and asserts that it gets one of the outcomes.
func (s *cellTest) callExpecting(m *vm, r Request, want ...model.Outcome) Result {
	s.t.Helper()
	res := s.calls.call(context.Background(), m, r)
	assert.Assert(s.t, slices.Contains(want, res.Outcome), "%s: %s", res.Outcome, res.Reason)
	return res
}

// startCall runs a request in the background. Only the call log uses the result.
func (s *cellTest) startCall(m *vm, r Request) {
	go s.calls.call(context.Background(), m, r)
	time.Sleep(5 * time.Millisecond)
}

// failCalls returns a function that makes the calls with the given name suffer the
// faults, one each in order. Further calls have no fault.
func failCalls(name string, faults ...wireFault) func(string) wireFault {
	return func(call string) wireFault {
		if call != name || len(faults) == 0 {
			return wireOK
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

func (s *cellTest) failServerCalls(name string, faults ...wireFault) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.server.faults = failCalls(name, faults...)
}

func (s *cellTest) failPeerCalls(name string, faults ...wireFault) {
	f := failCalls(name, faults...)
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.cluster.peerFault = func(call, _, _ string) wireFault { return f(call) }
}

func (s *cellTest) isolate(m *vm) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.cluster.peerFault = func(_, from, to string) wireFault {
		if from == m.address || to == m.address {
			return wireSilent
		}
		return wireOK
	}
}

// fillSlots occupies all slots of the server for the time d.
func (s *cellTest) fillSlots(d time.Duration) {
	s.server.mu.Lock()
	s.server.serviceTime = d
	s.server.mu.Unlock()
	for i := range s.server.slots {
		r := newQuote(fmt.Sprintf("fill-%d", i))
		r.Deadline = time.Now().Add(2 * d)
		s.startCall(s.arbiter, r)
	}
	time.Sleep(50 * time.Millisecond)
}

const (
	done    = model.OutcomeDone
	failed  = model.OutcomeFailed
	notRun  = model.OutcomeNotRun
	unknown = model.OutcomeUnknown
)

func (s *cellTest) assertRuns(n int) {
	s.t.Helper()
	assert.Equal(s.t, s.cluster.executions(s.request.ID), n)
}

var mintCells = []matrixCell{
	{faultmatrix.StepMint, faultmatrix.FaultKilled, 1, func(s *cellTest) {
		s.cluster.kill(s.arbiter)
		s.callExpecting(s.other, s.request, unknown)
		s.assertRuns(0)
	}},
	{faultmatrix.StepMint, faultmatrix.FaultFrozen, 1, func(s *cellTest) {
		s.cluster.freeze(s.arbiter, time.Minute)
		s.callExpecting(s.other, s.request, unknown)
	}},
	{faultmatrix.StepMint, faultmatrix.FaultZoneCut, 1, func(s *cellTest) {
		s.isolate(s.arbiter)
		s.request = s.arbiter.newOrder("2")
		s.callExpecting(s.arbiter, s.request, done)
	}},
	{faultmatrix.StepMint, faultmatrix.FaultListStale, 1, func(s *cellTest) {
		s.cluster.kill(s.arbiter)
		s.cluster.addVM(s.arbiter.address, "reborn") // the view shows the old incarnation too
		s.callExpecting(s.other, s.request, unknown)
		s.assertRuns(0)
	}},
}

var forwardCells = []matrixCell{
	{faultmatrix.StepForward, faultmatrix.FaultKilled, 1, func(s *cellTest) {
		s.startCall(s.other, s.request)
		s.cluster.kill(s.arbiter)
		s.callExpecting(s.third, s.request, unknown)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultFrozen, 1, func(s *cellTest) {
		s.startCall(s.other, s.request)
		s.cluster.freeze(s.arbiter, time.Minute)
		s.callExpecting(s.third, s.request, unknown)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultCutBefore, 1, func(s *cellTest) {
		s.failPeerCalls("forward", wireCutBefore)
		s.callExpecting(s.other, s.request, done)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultCutAfter, 1, func(s *cellTest) {
		s.failPeerCalls("forward", wireCutAfter)
		s.callExpecting(s.other, s.request, done)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultSilent, 1, func(s *cellTest) {
		s.failPeerCalls("forward", wireSilent)
		s.callExpecting(s.other, s.request, done)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultAnswerLost, 1, func(s *cellTest) {
		s.failPeerCalls("forward", wireAnswerLost)
		s.callExpecting(s.other, s.request, done)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultZoneCut, 1, func(s *cellTest) {
		s.isolate(s.arbiter)
		s.callExpecting(s.other, s.request, unknown)
		s.assertRuns(0)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultListStale, 1, func(s *cellTest) {
		assert.NilError(s.t, s.arbiter.Drain(context.Background()))
		s.cluster.mu.Lock()
		s.arbiter.down = true // and the view still shows it as alive
		s.cluster.mu.Unlock()
		s.callExpecting(s.other, s.request, done)
	}},
	{faultmatrix.StepForward, faultmatrix.FaultBackendFailsAll, 1, func(s *cellTest) {
		s.server.failAll = true
		s.callExpecting(s.other, s.request, failed)
		s.callExpecting(s.third, s.request, failed)
	}},
}

var queueCells = []matrixCell{
	{faultmatrix.StepQueue, faultmatrix.FaultKilled, 1, func(s *cellTest) {
		s.fillSlots(5 * time.Second)
		s.startCall(s.other, s.request)
		s.cluster.kill(s.arbiter)
		s.callExpecting(s.third, s.request, unknown)
		time.Sleep(recoveryTime)
		s.assertRuns(0)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultFrozen, 1, func(s *cellTest) {
		s.fillSlots(5 * time.Second)
		s.startCall(s.other, s.request)
		s.cluster.freeze(s.arbiter, time.Minute)
		s.callExpecting(s.third, s.request, unknown)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultCutBefore, 1, func(s *cellTest) {
		s.fillSlots(5 * time.Second)
		r := newQuote("left")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		res := s.calls.call(ctx, s.arbiter, r)
		assert.Equal(s.t, res.Outcome, notRun)
		time.Sleep(recoveryTime)
		assert.Equal(s.t, s.cluster.executions(r.ID), 0)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultCutAfter, 1, func(s *cellTest) {
		s.fillSlots(2 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		res := s.calls.call(ctx, s.arbiter, s.request)
		assert.Equal(s.t, res.Outcome, unknown)
		s.callExpecting(s.arbiter, s.request, done)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultSilent, 1, func(s *cellTest) {
		s.server.faults = func(string) wireFault { return wireSilent }
		for i := range 30 {
			s.startCall(s.arbiter, newQuote(fmt.Sprint("silent-", i)))
		}
		s.callExpecting(s.arbiter, s.request, notRun, unknown)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultListStale, 4, func(s *cellTest) {
		s.server.faults = func(string) wireFault { return wireRefused } // stopped, but the view still shows it
		for i := range 40 {
			s.callExpecting(s.arbiter, newQuote(fmt.Sprint("stale-", i)), done)
		}
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultZoneCut, 4, func(s *cellTest) {
		s.cluster.change(func(v *View) {
			for i := range v.Backends[:2] {
				v.Backends[i].Server.AZ, v.Backends[i].Server.Region = "far", "far"
			}
		})
		for _, a := range []string{"backend-0", "backend-1"} {
			s.cluster.servers[a].faults = func(string) wireFault { return wireSilent }
		}
		for i := range 20 {
			s.callExpecting(s.arbiter, newQuote(fmt.Sprint("cut-", i)), done)
		}
		assert.Equal(s.t, len(s.server.executed), 0)
	}},
	{faultmatrix.StepQueue, faultmatrix.FaultBackendFailsAll, 8, func(s *cellTest) {
		s.server.failAll = true
		bad := 0
		for i := range 200 {
			r := newQuote(fmt.Sprint("bad-", i))
			r.Organisation = model.OrganisationID(fmt.Sprint("org-", i%2))
			if s.callExpecting(s.arbiter, r, done, failed).Outcome == failed {
				bad++
			}
		}
		assert.Assert(s.t, bad <= 8, "%d requests failed, want at most 8", bad)
	}},
}

var sendCells = []matrixCell{
	{faultmatrix.StepSend, faultmatrix.FaultKilled, 1, func(s *cellTest) {
		s.server.serviceTime = time.Second
		s.startCall(s.arbiter, s.request)
		s.cluster.kill(s.arbiter)
		s.callExpecting(s.other, s.request, unknown)
		s.assertRuns(1)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultFrozen, 1, func(s *cellTest) {
		s.cluster.freeze(s.arbiter, time.Minute)
		go s.arbiter.Do(context.Background(), s.request) // delayed just before it is sent
		s.callExpecting(s.other, s.request, unknown)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultCutBefore, 1, func(s *cellTest) {
		s.failServerCalls("execute", wireCutBefore)
		s.callExpecting(s.arbiter, s.request, notRun)
		s.assertRuns(0)
		s.failServerCalls("execute", wireCutBefore)
		s.callExpecting(s.arbiter, newQuote("q"), done)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultCutAfter, 1, func(s *cellTest) {
		s.failServerCalls("execute", wireCutAfter)
		s.callExpecting(s.arbiter, s.request, done)
		s.assertRuns(1)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultSilent, 1, func(s *cellTest) {
		s.failServerCalls("execute", wireDelayed) // no answer, and delivered much later
		s.callExpecting(s.arbiter, s.request, notRun)
		time.Sleep(recoveryTime)
		s.assertRuns(0)
		s.failServerCalls("execute", wireSilent)
		s.callExpecting(s.arbiter, newQuote("q"), done)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultAnswerLost, 1, func(s *cellTest) {
		s.failServerCalls("execute", wireAnswerLost)
		s.callExpecting(s.arbiter, s.request, done)
		s.assertRuns(1)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultListStale, 2, func(s *cellTest) {
		s.server.leaving = true // the view does not show it yet
		for i := range 20 {
			s.callExpecting(s.arbiter, s.arbiter.newOrder(fmt.Sprint("stale-", i)), done)
		}
		assert.Assert(s.t, s.server.refusals <= 1)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultZoneCut, 2, func(s *cellTest) {
		s.cluster.change(func(v *View) { v.Backends[0].Server.AZ, v.Backends[0].Server.Region = "far", "far" })
		s.cluster.change(func(v *View) { v.Backends[1].Live = false })
		s.server.faults = func(string) wireFault { return wireSilent }
		s.callExpecting(s.arbiter, s.request, unknown, notRun)
	}},
	{faultmatrix.StepSend, faultmatrix.FaultBackendFailsAll, 2, func(s *cellTest) {
		s.server.failAll = true
		s.cluster.servers["backend-1"].failAll = true
		s.callExpecting(s.arbiter, s.request, failed)
		s.callExpecting(s.arbiter, s.request, failed)
		s.assertRuns(1)
	}},
}

var answerCells = []matrixCell{
	{faultmatrix.StepAnswer, faultmatrix.FaultKilled, 1, func(s *cellTest) {
		s.startCall(s.other, s.request)
		time.Sleep(18 * time.Millisecond) // the answer is in transit
		s.cluster.kill(s.arbiter)
		s.callExpecting(s.other, s.request, unknown)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultFrozen, 1, func(s *cellTest) {
		s.startCall(s.other, s.request)
		time.Sleep(18 * time.Millisecond)
		s.cluster.freeze(s.arbiter, time.Minute)
		s.callExpecting(s.third, s.request, unknown)
		time.Sleep(time.Minute)
		s.callExpecting(s.third, s.request, done)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultCutBefore, 1, func(s *cellTest) {
		s.failServerCalls("execute", wireCutAfter) // cut before the first byte of the answer
		s.callExpecting(s.arbiter, s.request, done)
		s.failServerCalls("execute", wireCutAfter)
		s.callExpecting(s.arbiter, newQuote("q"), done)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultCutAfter, 1, func(s *cellTest) {
		s.failServerCalls("execute", wireTruncated) // cut in the middle of the body
		s.callExpecting(s.arbiter, s.request, done)
		s.failServerCalls("execute", wireTruncated)
		s.callExpecting(s.arbiter, newQuote("q"), done)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultSilent, 1, func(s *cellTest) {
		s.failServerCalls("execute", wireAnswerLost, wireAnswerLost)
		s.callExpecting(s.arbiter, newQuote("q"), done)
		s.callExpecting(s.arbiter, s.request, done)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultAnswerLost, 1, func(s *cellTest) {
		s.failPeerCalls("forward", wireCutAfter, wireCutAfter)
		s.callExpecting(s.other, s.request, unknown, done)
		s.callExpecting(s.other, s.request, done)
		s.assertRuns(1)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultZoneCut, 1, func(s *cellTest) {
		s.server.serviceTime = time.Second
		s.startCall(s.other, s.request)
		s.isolate(s.arbiter)
		s.callExpecting(s.other, s.request, unknown)
	}},
	{faultmatrix.StepAnswer, faultmatrix.FaultBackendFailsAll, 1, func(s *cellTest) {
		s.server.failAll = true
		s.failServerCalls("execute", wireCutAfter)
		s.callExpecting(s.arbiter, s.request, failed)
	}},
}

var lookupCells = []matrixCell{
	{faultmatrix.StepLookup, faultmatrix.FaultKilled, 1, func(s *cellTest) {
		s.failServerCalls("execute", wireAnswerLost)
		s.startCall(s.other, s.request)
		time.Sleep(defaultSlowThreshold)
		s.cluster.kill(s.arbiter)
		s.callExpecting(s.other, s.request, unknown)
		s.assertRuns(1)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultFrozen, 1, func(s *cellTest) {
		s.failServerCalls("execute", wireAnswerLost)
		s.startCall(s.arbiter, s.request)
		time.Sleep(defaultSlowThreshold - 10*time.Millisecond)
		s.cluster.freeze(s.arbiter, time.Minute)
		s.callExpecting(s.other, s.request, unknown)
		time.Sleep(time.Minute)
		s.callExpecting(s.other, s.request, done)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultCutBefore, 1, func(s *cellTest) {
		s.failSendAndLookup(wireAnswerLost, wireCutBefore)
		s.callExpecting(s.arbiter, s.request, done)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultCutAfter, 1, func(s *cellTest) {
		// The look-up makes the server refuse the request from then on, the answer to the
		// look-up is lost, and the request itself arrives later.
		s.failSendAndLookup(wireDelayed, wireCutAfter)
		s.callExpecting(s.arbiter, s.request, notRun)
		time.Sleep(recoveryTime)
		s.assertRuns(0)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultSilent, 1, func(s *cellTest) {
		s.failSendAndLookup(wireAnswerLost, wireSilent)
		s.callExpecting(s.arbiter, s.request, done)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultAnswerLost, 1, func(s *cellTest) {
		s.failSendAndLookup(wireDelayed, wireAnswerLost)
		s.callExpecting(s.arbiter, s.request, notRun)
		s.assertRuns(0)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultZoneCut, 1, func(s *cellTest) {
		s.server.faults = func(call string) wireFault {
			if call == "execute" {
				return wireAnswerLost
			}
			return wireSilent
		}
		s.callExpecting(s.arbiter, s.request, unknown)
		s.assertRuns(1)
		time.Sleep(recoveryTime) // meanwhile the arbiter gives up the exchange
		s.callExpecting(s.arbiter, s.request, unknown)
		s.clearFaults()
		s.callExpecting(s.other, s.request, done)
	}},
	{faultmatrix.StepLookup, faultmatrix.FaultBackendFailsAll, 1, func(s *cellTest) {
		s.server.failAll = true
		s.failSendAndLookup(wireAnswerLost, wireWrongAnswer)
		s.callExpecting(s.arbiter, s.request, failed)
	}},
}

// failSendAndLookup makes the first send and the first look-up suffer the given faults.
func (s *cellTest) failSendAndLookup(execute, lookup wireFault) {
	first := map[string]wireFault{"execute": execute, "lookup": lookup}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.server.faults = func(call string) wireFault {
		f := first[call]
		delete(first, call)
		return f
	}
}

// drainArbiter drains the arbiter under load: one ticket is in flight, one is queued, and
// that of s.request is unused. Then it kills the arbiter.
func (s *cellTest) drainArbiter(bound time.Duration) {
	s.server.slots = 1
	s.server.serviceTime = 100 * time.Millisecond
	inFlight := s.arbiter.newOrder("in flight")
	queued := s.arbiter.newOrder("queued")
	s.startCall(s.arbiter, inFlight)
	s.startCall(s.arbiter, queued)
	s.startCall(s.arbiter, newQuote("queued quote"))
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	started := time.Now()
	_ = s.arbiter.Drain(ctx)
	assert.Assert(s.t, time.Since(started) <= bound+time.Second)
	s.cluster.kill(s.arbiter)
	for _, r := range []Request{inFlight, queued} {
		s.callExpecting(s.other, r, done, failed, unknown, notRun)
		s.callExpecting(s.third, r, done, failed, unknown, notRun)
	}
}

const drainBound = 10 * time.Second

var drainCells = []matrixCell{
	{faultmatrix.StepDrain, faultmatrix.FaultKilled, 1, func(s *cellTest) {
		s.failPeerCalls("hand-over", wireSilent)
		s.startCall(s.arbiter, s.arbiter.newOrder("2"))
		go func() { _ = s.arbiter.Drain(context.Background()) }()
		time.Sleep(300 * time.Millisecond)
		s.cluster.kill(s.arbiter)
		s.callExpecting(s.other, s.request, unknown, done)
		time.Sleep(2 * drainBound)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultFrozen, 1, func(s *cellTest) {
		s.failPeerCalls("hand-over", wireCutAfter) // the receiver takes over, but the sender does not learn it
		s.server.serviceTime = time.Second
		s.startCall(s.arbiter, s.request)
		go func() { _ = s.arbiter.Drain(context.Background()) }()
		time.Sleep(1020 * time.Millisecond)
		s.cluster.freeze(s.arbiter, time.Minute)
		s.callExpecting(s.other, s.request, done, unknown)
		s.callExpecting(s.third, s.request, done, unknown)
		time.Sleep(2 * time.Minute)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultCutBefore, 1, func(s *cellTest) {
		s.failPeerCalls("hand-over", wireCutBefore)
		s.drainArbiter(drainBound)
		s.callExpecting(s.other, s.request, done)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultCutAfter, 1, func(s *cellTest) {
		s.failPeerCalls("hand-over", wireCutAfter)
		s.drainArbiter(drainBound)
		s.callExpecting(s.other, s.request, done)
		s.callExpecting(s.third, s.request, done)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultSilent, 1, func(s *cellTest) {
		s.failPeerCalls("hand-over", wireSilent)
		s.drainArbiter(drainBound)
		s.callExpecting(s.third, s.request, done)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultAnswerLost, 1, func(s *cellTest) {
		s.failPeerCalls("hand-over", wireAnswerLost, wireAnswerLost, wireAnswerLost, wireAnswerLost, wireAnswerLost, wireAnswerLost)
		s.drainArbiter(drainBound)
		s.callExpecting(s.other, s.request, done)
		s.callExpecting(s.third, s.request, done)
		first := successorCandidates(s.arbiter.ports.View(), s.arbiter.address, s.arbiter.options.Incarnation)[0]
		s.cluster.kill(s.cluster.vms[first.Address]) // no other VM may act as the arbiter
		s.callExpecting(s.cluster.vms[s.otherThan(first.Address)], s.request, unknown)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultListStale, 1, func(s *cellTest) {
		first := successorCandidates(s.arbiter.ports.View(), s.arbiter.address, s.arbiter.options.Incarnation)[0]
		downVM := s.cluster.vms[first.Address]
		s.cluster.mu.Lock()
		downVM.down = true // and the view still shows it as alive
		s.cluster.mu.Unlock()
		if s.other == downVM {
			s.other = s.third
		}
		s.third = s.other
		s.drainArbiter(drainBound)
		s.callExpecting(s.other, s.request, done)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultZoneCut, 1, func(s *cellTest) {
		s.isolate(s.arbiter)
		s.drainArbiter(drainBound)
		s.callExpecting(s.other, s.request, unknown)
		s.assertRuns(0)
	}},
	{faultmatrix.StepDrain, faultmatrix.FaultBackendFailsAll, 4, func(s *cellTest) {
		for _, server := range s.cluster.servers { // slower than the drain, and then they fail
			server.serviceTime, server.failAll = 15*time.Second, true
		}
		s.startCall(s.arbiter, s.request)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		assert.ErrorContains(s.t, s.arbiter.Drain(ctx), "1 requests")
		s.cluster.kill(s.arbiter)
		s.callExpecting(s.other, s.request, unknown)
		time.Sleep(10 * time.Second)
		s.callExpecting(s.other, s.request, failed)
		s.callExpecting(s.third, s.request, failed)
		s.assertRuns(1)
	}},
}

// otherThan returns the address of a live VM that is neither the given one nor the
// arbiter.
func (s *cellTest) otherThan(address string) string {
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
