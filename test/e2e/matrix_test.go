package e2e

import (
	"fmt"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/faultmatrix"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

const (
	// slowLogMS is the delay of each call to the log.
	slowLogMS = 1500
	// listLagMS delays updates of the VM list for longer than the test runs.
	listLagMS = 3_600_000
	// floodOrders is more than the 16 slots of two backend servers.
	floodOrders = 48
	floodRunMS  = 300
)

// cell is the test of one step of a request while a fault is in effect.
type cell struct {
	step faultmatrix.Step
	test func(*testing.T, *cluster)
}

var requestCells = []cell{
	{faultmatrix.StepMint, testMint},
	{faultmatrix.StepForward, testForward},
	{faultmatrix.StepQueue, testQueue},
	{faultmatrix.StepSend, testSend},
	{faultmatrix.StepAnswer, testAnswer},
	{faultmatrix.StepLookup, testLookup},
	{faultmatrix.StepDrain, testDrain}, // ends a VM, so it comes last
}

// TestMatrixRequestsWithoutLog checks that no step of a request needs the log.
func TestMatrixRequestsWithoutLog(t *testing.T) {
	tests := []struct {
		fault  faultmatrix.Fault
		inject func(*testing.T, *cluster)
	}{
		{faultmatrix.FaultLogDown, cutLog},
		{faultmatrix.FaultLogSlow, slowLog},
	}
	for _, tc := range tests {
		t.Run(string(tc.fault), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, zoneSize{"a", 2, 2})
			tc.inject(t, c)
			for _, cell := range requestCells {
				faultmatrix.RunCell(t, cell.step, tc.fault, func(t *testing.T) { cell.test(t, c) })
			}
		})
	}
}

// TestMatrixRequestsUnderStaleList kills a backend server that the VM list shows as live
// until the end of the test.
func TestMatrixRequestsUnderStaleList(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	assert.NilError(t, standin.PutFault(t.Context(), c.platformURL, standin.Fault{ListLagMS: listLagMS}))
	dead := c.backends[1]
	dead.kill()
	c.backends = c.backends[:1]
	assert.NilError(t, standin.RemoveVM(t.Context(), c.platformURL, dead.address))
	faultmatrix.RunCell(t, faultmatrix.StepAnswer, faultmatrix.FaultListStale, func(t *testing.T) { testAnswer(t, c) })
	faultmatrix.RunCell(t, faultmatrix.StepLookup, faultmatrix.FaultListStale, func(t *testing.T) { testLookup(t, c) })
}

func cutLog(t *testing.T, c *cluster) {
	c.platformLinks["a"].cut()
	c.awaitStatus(t, c.vms, "log unreachable", func(s api.StatusReply) bool { return !s.Platform.Reachable })
}

func slowLog(t *testing.T, c *cluster) {
	assert.NilError(t, standin.PutFault(t.Context(), c.platformURL, standin.Fault{SlowMS: slowLogMS}))
}

// testMint uses a ticket at the VM that minted it.
func testMint(t *testing.T, c *cluster) {
	o := startOrders(t, c.vms[0], 4, shortRunMS)
	all := o.wait()
	c.checkOutcomes(t, all)
	checkAllDone(t, all)
}

// testForward uses a ticket at another VM than the one that minted it, then again at the
// VM that minted it. Both must give the same answer.
func testForward(t *testing.T, c *cluster) {
	ticket, err := c.vms[0].client.NewTicket(t.Context(), api.TicketRequest{})
	assert.NilError(t, err)
	r := &trackedRequest{id: "forwarded", kind: kindOrder, body: orderBody("forwarded", shortRunMS)}
	assert.Assert(t, r.run(t.Context(), c.vms[1], ticket.Ticket))
	assert.Assert(t, r.run(t.Context(), c.vms[0], ticket.Ticket))
	c.checkOutcomes(t, []*trackedRequest{r})
	checkAllDone(t, []*trackedRequest{r})
	assert.DeepEqual(t, r.answers[0], r.answers[1])
}

// testQueue sends more orders than there are slots.
func testQueue(t *testing.T, c *cluster) {
	o := startOrders(t, c.vms[0], floodOrders, floodRunMS)
	eventually(t, func() string {
		s, err := c.vms[0].client.Status(t.Context())
		if err != nil {
			return err.Error()
		}
		for _, q := range s.Queues {
			if q.Queued > 0 {
				return ""
			}
		}
		return fmt.Sprintf("nothing is queued: %+v", s.Queues)
	})
	all := o.wait()
	c.checkOutcomes(t, all)
	checkAllDone(t, all)
}

// testSend makes each backend server neither execute nor answer some requests.
func testSend(t *testing.T, c *cluster) {
	all := c.runOrdersUnder(t, standin.Fault{Silent: standin.SilentBefore, Times: 2})
	checkAllDone(t, all, model.OutcomeNotRun)
}

// testAnswer makes each backend server execute some requests but close the connection
// instead of answering.
func testAnswer(t *testing.T, c *cluster) {
	checkAllDone(t, c.runOrdersUnder(t, standin.Fault{AnswerLost: true, Times: 2}))
}

// testLookup makes each backend server execute some requests without answering, so that
// only a look-up returns the outcome.
func testLookup(t *testing.T, c *cluster) {
	checkAllDone(t, c.runOrdersUnder(t, standin.Fault{Silent: standin.SilentAfter, Times: 2}))
}

// runOrdersUnder sends orders while a fault is injected into executions on each backend
// server, and checks the outcomes.
func (c *cluster) runOrdersUnder(t *testing.T, f standin.Fault) []*trackedRequest {
	t.Helper()
	f.Paths = []string{ports.PathExecutions}
	for _, b := range c.backends {
		b.setFault(t, f)
	}
	all := startOrders(t, c.vms[0], 2*callers, shortRunMS).wait()
	for _, b := range c.backends {
		b.setFault(t, standin.Fault{})
	}
	c.checkOutcomes(t, all)
	return all
}

// testDrain stops a VM by SIGTERM while long orders are in flight and one of its tickets
// is unused.
func testDrain(t *testing.T, c *cluster) {
	leaving, other := c.vms[0], c.vms[1]
	o := startOrders(t, leaving, 4, longRunMS)
	unused, err := leaving.client.NewTicket(t.Context(), api.TicketRequest{})
	assert.NilError(t, err)
	c.awaitRunning(t, o)
	leaving.signal(t, syscall.SIGTERM)
	assert.Equal(t, leaving.exitCode(), 0)
	late := &trackedRequest{id: "late", kind: kindOrder, body: orderBody("late", shortRunMS)}
	late.run(t.Context(), other, unused.Ticket)
	all := append(o.wait(), late)
	c.checkOutcomes(t, all)
	checkAllDone(t, all)
}
