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
	// slowLogMS delays each call to the log.
	slowLogMS = 1500
	// listLagMS makes the VM list stay as it is for the whole test.
	listLagMS = 3_600_000
	// floodOrders are more than the 16 slots of two backend servers.
	floodOrders = 48
	floodRunMS  = 300
)

// cell proves the steps of a request under a fault that is in force.
type cell struct {
	step  faultmatrix.Step
	prove func(*testing.T, *cluster)
}

var requestCells = []cell{
	{faultmatrix.StepMint, proveMint},
	{faultmatrix.StepForward, proveForward},
	{faultmatrix.StepQueue, proveQueue},
	{faultmatrix.StepSend, proveSend},
	{faultmatrix.StepAnswer, proveAnswer},
	{faultmatrix.StepLookup, proveLookup},
	{faultmatrix.StepDrain, proveDrain}, // ends a VM, so it comes last
}

// TestMatrixRequestsWithoutLog proves that no step of a request needs the log.
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
			c := startCluster(t, zone{"a", 2, 2})
			tc.inject(t, c)
			for _, cell := range requestCells {
				faultmatrix.RunCell(t, cell.step, tc.fault, func(t *testing.T) { cell.prove(t, c) })
			}
		})
	}
}

// TestMatrixRequestsUnderStaleList has a backend server die that the VM list shows
// as live until the end.
func TestMatrixRequestsUnderStaleList(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	assert.NilError(t, standin.PutFault(t.Context(), c.platformURL, standin.Fault{ListLagMS: listLagMS}))
	dead := c.backends[1]
	dead.kill()
	c.backends = c.backends[:1]
	assert.NilError(t, standin.RemoveVM(t.Context(), c.platformURL, dead.address))
	faultmatrix.RunCell(t, faultmatrix.StepAnswer, faultmatrix.FaultListStale, func(t *testing.T) { proveAnswer(t, c) })
	faultmatrix.RunCell(t, faultmatrix.StepLookup, faultmatrix.FaultListStale, func(t *testing.T) { proveLookup(t, c) })
}

func cutLog(t *testing.T, c *cluster) {
	c.links["a"].cut()
	c.await(t, c.vms, "log unreachable", func(s api.StatusReply) bool { return !s.Platform.Reachable })
}

func slowLog(t *testing.T, c *cluster) {
	assert.NilError(t, standin.PutFault(t.Context(), c.platformURL, standin.Fault{SlowMS: slowLogMS}))
}

// proveMint uses a ticket at the VM that minted it.
func proveMint(t *testing.T, c *cluster) {
	o := startOrders(t, c.vms[0], 4, shortRunMS)
	all := o.wait()
	c.compare(t, all)
	noneCut(t, all)
}

// proveForward uses a ticket at another VM than the one that minted it, and again
// at that one.
func proveForward(t *testing.T, c *cluster) {
	ticket, err := c.vms[0].client.NewTicket(t.Context(), api.TicketRequest{})
	assert.NilError(t, err)
	r := &told{id: "forwarded", kind: kindOrder, body: orderBody("forwarded", shortRunMS)}
	assert.Assert(t, r.run(t.Context(), c.vms[1], ticket.Ticket))
	assert.Assert(t, r.run(t.Context(), c.vms[0], ticket.Ticket))
	c.compare(t, []*told{r})
	noneCut(t, []*told{r})
	assert.DeepEqual(t, r.answers[0], r.answers[1])
}

// proveQueue sends more orders than there are slots.
func proveQueue(t *testing.T, c *cluster) {
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
	c.compare(t, all)
	noneCut(t, all)
}

// proveSend has each backend server leave sends unanswered and unexecuted.
func proveSend(t *testing.T, c *cluster) {
	all := c.ordersUnder(t, standin.Fault{Silent: standin.SilentBefore, Times: 2})
	noneCut(t, all, model.OutcomeNotRun)
}

// proveAnswer has each backend server cut the connection instead of answering.
func proveAnswer(t *testing.T, c *cluster) {
	noneCut(t, c.ordersUnder(t, standin.Fault{AnswerLost: true, Times: 2}))
}

// proveLookup has each backend server leave executed requests unanswered, so that
// only a look-up brings the outcome.
func proveLookup(t *testing.T, c *cluster) {
	noneCut(t, c.ordersUnder(t, standin.Fault{Silent: standin.SilentAfter, Times: 2}))
}

// ordersUnder sends orders while each backend server shows a fault in executions,
// and compares the outcomes with the record.
func (c *cluster) ordersUnder(t *testing.T, f standin.Fault) []*told {
	t.Helper()
	f.Paths = []string{ports.PathExecutions}
	for _, b := range c.backends {
		b.fault(t, f)
	}
	all := startOrders(t, c.vms[0], 2*callers, shortRunMS).wait()
	for _, b := range c.backends {
		b.fault(t, standin.Fault{})
	}
	c.compare(t, all)
	return all
}

// proveDrain ends a VM by SIGTERM with long orders in flight and an unused ticket.
func proveDrain(t *testing.T, c *cluster) {
	leaving, other := c.vms[0], c.vms[1]
	o := startOrders(t, leaving, 4, longRunMS)
	unused, err := leaving.client.NewTicket(t.Context(), api.TicketRequest{})
	assert.NilError(t, err)
	c.awaitRunning(t, o)
	leaving.signal(t, syscall.SIGTERM)
	assert.Equal(t, leaving.exitCode(), 0)
	late := &told{id: "late", kind: kindOrder, body: orderBody("late", shortRunMS)}
	late.run(t.Context(), other, unused.Ticket)
	all := append(o.wait(), late)
	c.compare(t, all)
	noneCut(t, all)
}
