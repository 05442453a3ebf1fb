package e2e

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

const callers = 8

// TestVMKilled kills a VM while ticketed requests are in flight. Their callers send them
// again to the other VM, which must not run them a second time.
func TestVMKilled(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	l := startLoad(t, c.vms, callers, callTimeout, kindOrder)
	l.awaitFinished(40)
	c.vms[0].kill()
	l.awaitFinished(80)
	s := c.checkOutcomes(t, l.stop())
	assert.Assert(t, s[model.OutcomeDone] > 0)
}

// TestVMFrozen freezes the term holder with requests in flight until the other VM has
// taken the term, then resumes it. Both must agree on the new holder.
func TestVMFrozen(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	frozen := c.awaitHolder(t, "a", c.vms)
	other := c.vms[0]
	if other == frozen {
		other = c.vms[1]
	}
	l := startLoad(t, c.vms, callers, 2*time.Second, kindOrder, kindQuote)
	l.awaitFinished(40)
	frozen.signal(t, syscall.SIGSTOP)
	c.awaitHolder(t, "a", []*vm{other})
	l.awaitFinished(20)
	frozen.signal(t, syscall.SIGCONT)
	c.awaitStatus(t, c.vms, "both VMs report the same term holder", func(s api.StatusReply) bool {
		return len(s.Terms) == 1 && s.Terms[0].Address == other.peerLink.address
	})
	l.awaitFinished(80)
	s := c.checkOutcomes(t, l.stop())
	assert.Assert(t, s[model.OutcomeDone] > 0)
	c.checkNoViolations(t, c.vms)
}

// TestBackendSilent makes a backend server leave some calls unanswered, before or after
// their effect, while it still accepts connections.
func TestBackendSilent(t *testing.T) {
	t.Parallel()
	tests := []struct {
		silence standin.Silence
		// orderOutcomes lists the outcomes that an order may have besides done. An order
		// that the backend server never saw is not sent to another one.
		orderOutcomes []model.Outcome
	}{
		{standin.SilentBefore, []model.Outcome{model.OutcomeNotRun}},
		{standin.SilentAfter, nil},
	}
	for _, tc := range tests {
		t.Run(string(tc.silence), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, zoneSize{"a", 2, 2})
			l := startLoad(t, c.vms, callers, callTimeout, kindOrder, kindQuote)
			l.awaitFinished(20)
			c.backends[0].setFault(t, standin.Fault{Silent: tc.silence, Paths: []string{ports.PathExecutions}, Times: 6})
			l.awaitFinished(100)
			all := l.stop()
			c.checkOutcomes(t, all)
			checkAllDone(t, all, tc.orderOutcomes...)
		})
	}
}

// TestAnswersLost makes a backend server execute requests but close their connections
// instead of answering. All requests must still be done.
func TestAnswersLost(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	l := startLoad(t, c.vms, callers, callTimeout, kindOrder, kindQuote)
	l.awaitFinished(20)
	c.backends[0].setFault(t, standin.Fault{AnswerLost: true, Paths: []string{ports.PathExecutions}, Times: 20})
	l.awaitFinished(120)
	all := l.stop()
	c.checkOutcomes(t, all)
	checkAllDone(t, all)
}

// TestBackendRestarted restarts a backend server repeatedly with orders in flight. After a
// restart it does not know the orders that it ran before.
func TestBackendRestarted(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	l := startLoad(t, c.vms, callers, callTimeout, kindOrder)
	for range 6 {
		l.awaitFinished(30)
		c.backends[0].setFault(t, standin.Fault{Restart: true})
	}
	l.awaitFinished(30)
	s := c.checkOutcomes(t, l.stop())
	assert.Assert(t, s[model.OutcomeDone] > 0)
}

// longRunMS is the run time of a request that takes longer than a VM waits for open
// connections when it shuts down. Such a request completes only if the VM drains.
const longRunMS = 6000

// TestPlannedStop stops the term holder by SIGTERM under load, while long requests are in
// flight and one of its tickets is unused. All requests must be done.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	leaving := c.awaitHolder(t, "a", c.vms)
	rest := c.without(leaving)
	l := startLoad(t, c.vms, callers, callTimeout, kindOrder, kindQuote)
	l.awaitFinished(40)
	long := startOrders(t, leaving, 4, longRunMS)
	unused, err := leaving.client.NewTicket(t.Context(), api.TicketRequest{})
	assert.NilError(t, err)
	c.awaitRunning(t, long)

	leaving.signal(t, syscall.SIGTERM)
	assert.Equal(t, leaving.exitCode(), 0)
	late := &trackedRequest{id: "late", kind: kindOrder, body: orderBody("late", 0)}
	late.run(t.Context(), rest[0], unused.Ticket)
	l.awaitFinished(80)
	all := append(l.stop(), late)
	all = append(all, long.wait()...)
	c.checkOutcomes(t, all)
	checkAllDone(t, all)
	c.checkNoViolations(t, rest)
}

// leavingLimit is the time within which a leaving backend server may still get new work.
const leavingLimit = 3 * time.Second

// TestBackendLeaving makes a backend server leave under load. It keeps accepting all work,
// so that the test shows whether VMs stop sending it.
func TestBackendLeaving(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 2})
	leaving := c.backends[0]
	l := startLoad(t, c.vms, callers, callTimeout, kindOrder, kindQuote)
	jobs := startJobs(t, c.vms)
	l.awaitFinished(40)
	leftAt := time.Now()
	leaving.setFault(t, standin.Fault{Leaving: true, LeavingAccepts: true})
	eventually(t, func() string {
		offers := c.backends[1].record(t).Offers
		if len(offers) == 0 || offers[len(offers)-1].Time.Before(leftAt.Add(2*leavingLimit)) {
			return "the other backend server has not been sent work after the limit yet"
		}
		return ""
	})
	jobs.stop()
	all := l.stop()
	c.checkOutcomes(t, all)
	checkAllDone(t, all)
	before := 0
	for _, o := range leaving.record(t).Offers {
		if o.Time.Before(leftAt) {
			before++
		}
		if late := o.Time.Sub(leftAt); late > leavingLimit {
			t.Errorf("request %q task %q was sent %s after the backend server began to leave", o.Request, o.Task, late)
		}
	}
	assert.Assert(t, before > 0)
	c.checkGangs(t)
}
