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

// TestVMKilled kills a VM with ticketed requests in flight. Their callers ask the
// other VM, which must not run them again.
func TestVMKilled(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	l := startLoad(t, c.vms, callers, callTimeout, kindOrder)
	l.awaitMore(40)
	c.vms[0].kill()
	l.awaitMore(80)
	s := c.compare(t, l.stop())
	assert.Assert(t, s[model.OutcomeDone] > 0)
}

// TestVMFrozen freezes a VM with requests in flight for longer than its term
// lasts, and thaws it.
func TestVMFrozen(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	frozen := c.holder(t, "a", c.vms)
	other := c.vms[0]
	if other == frozen {
		other = c.vms[1]
	}
	l := startLoad(t, c.vms, callers, 2*time.Second, kindOrder, kindQuote)
	l.awaitMore(40)
	frozen.signal(t, syscall.SIGSTOP)
	c.holder(t, "a", []*vm{other})
	l.awaitMore(20)
	frozen.signal(t, syscall.SIGCONT)
	c.await(t, c.vms, "one holder seen by both", func(s api.StatusReply) bool {
		return len(s.Terms) == 1 && s.Terms[0].Address == other.front.address
	})
	l.awaitMore(80)
	s := c.compare(t, l.stop())
	assert.Assert(t, s[model.OutcomeDone] > 0)
	c.noViolations(t, c.vms)
}

// TestBackendSilent has a backend server leave calls unanswered, before and after
// their effect, while it answers new connections.
func TestBackendSilent(t *testing.T) {
	t.Parallel()
	tests := []struct {
		silence standin.Silence
		// orders lists what an order may be told beside done. One that the backend
		// server never saw is not sent to another.
		orders []model.Outcome
	}{
		{standin.SilentBefore, []model.Outcome{model.OutcomeNotRun}},
		{standin.SilentAfter, nil},
	}
	for _, tc := range tests {
		t.Run(string(tc.silence), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, zone{"a", 2, 2})
			l := startLoad(t, c.vms, callers, callTimeout, kindOrder, kindQuote)
			l.awaitMore(20)
			c.backends[0].fault(t, standin.Fault{Silent: tc.silence, Paths: []string{ports.PathExecutions}, Times: 6})
			l.awaitMore(100)
			all := l.stop()
			c.compare(t, all)
			noneCut(t, all, tc.orders...)
		})
	}
}

// TestAnswersLost has a backend server close connections after the effect.
func TestAnswersLost(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	l := startLoad(t, c.vms, callers, callTimeout, kindOrder, kindQuote)
	l.awaitMore(20)
	c.backends[0].fault(t, standin.Fault{AnswerLost: true, Paths: []string{ports.PathExecutions}, Times: 20})
	l.awaitMore(120)
	all := l.stop()
	c.compare(t, all)
	noneCut(t, all)
}

// TestBackendRestarted has a backend server start anew, again and again, with
// orders in flight. It knows nothing then of those that it ran.
func TestBackendRestarted(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	l := startLoad(t, c.vms, callers, callTimeout, kindOrder)
	for range 6 {
		l.awaitMore(30)
		c.backends[0].fault(t, standin.Fault{Restart: true})
	}
	l.awaitMore(30)
	s := c.compare(t, l.stop())
	assert.Assert(t, s[model.OutcomeDone] > 0)
}

// longRunMS is the run time of a request that outlasts the bound on closing
// connections, so that only a drain finishes it.
const longRunMS = 6000

// TestPlannedStop ends the term holder by SIGTERM under load, with long requests in
// flight and with a ticket that is not yet used.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	leaving := c.holder(t, "a", c.vms)
	rest := c.without(leaving)
	l := startLoad(t, c.vms, callers, callTimeout, kindOrder, kindQuote)
	l.awaitMore(40)
	long := startOrders(t, leaving, 4, longRunMS)
	unused, err := leaving.client.NewTicket(t.Context(), api.TicketRequest{})
	assert.NilError(t, err)
	c.awaitRunning(t, long)

	leaving.signal(t, syscall.SIGTERM)
	assert.Equal(t, leaving.exitCode(), 0)
	late := &told{id: "late", kind: kindOrder, body: orderBody("late", 0)}
	late.run(t.Context(), rest[0], unused.Ticket)
	l.awaitMore(80)
	all := append(l.stop(), late)
	all = append(all, long.wait()...)
	c.compare(t, all)
	noneCut(t, all)
	c.noViolations(t, rest)
}

// leavingBound is the time after which a leaving backend server gets no new work.
const leavingBound = 3 * time.Second

// TestBackendLeaving has a backend server leave under load. It takes all the work
// that it is sent, so that only the senders' restraint shows.
func TestBackendLeaving(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zone{"a", 2, 2})
	leaving := c.backends[0]
	l := startLoad(t, c.vms, callers, callTimeout, kindOrder, kindQuote)
	jobs := startJobs(t, c.vms)
	l.awaitMore(40)
	left := time.Now()
	leaving.fault(t, standin.Fault{Leaving: true, LeavingAccepts: true})
	eventually(t, func() string {
		offers := c.backends[1].record(t).Offers
		if len(offers) == 0 || offers[len(offers)-1].Time.Before(left.Add(2*leavingBound)) {
			return "the other backend server has no late work yet"
		}
		return ""
	})
	jobs.stop()
	all := l.stop()
	c.compare(t, all)
	noneCut(t, all)
	before := 0
	for _, o := range leaving.record(t).Offers {
		if o.Time.Before(left) {
			before++
		}
		if late := o.Time.Sub(left); late > leavingBound {
			t.Errorf("request %q task %q came %s after the backend server began to leave", o.Request, o.Task, late)
		}
	}
	assert.Assert(t, before > 0)
	c.checkGangs(t)
}
