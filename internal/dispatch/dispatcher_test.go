package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

func newQuote(id string) Request {
	return Request{ID: model.RequestID(id), Kind: kindQuote, Organisation: "org", Caller: "clerk", Body: []byte("bead " + id)}
}

func (m *vm) newOrder(id string) Request {
	return Request{
		ID: model.RequestID(id), Ticket: m.MintTicket(time.Minute),
		Kind: kindOrder, Organisation: "org", Caller: "clerk", Body: []byte("ferrules " + id),
	}
}

// withCluster runs a test on a cluster in virtual time and closes the cluster after it.
func withCluster(t *testing.T, vms, servers int, f func(t *testing.T, cluster *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, vms, servers)
		defer func() {
			cluster.close()
			time.Sleep(recoveryTime) // until the delayed calls of the fakes have ended
		}()
		f(t, cluster)
	})
}

func expectedBody(r Request) string {
	return fmt.Sprintf("%s|%s|%s|%s", r.ID, r.Organisation, r.Caller, r.Body)
}

func TestDone(t *testing.T) {
	withCluster(t, 1, 2, func(t *testing.T, cluster *testCluster) {
		m := cluster.vms["vm-0"]
		r := newQuote("1")
		res := m.Do(context.Background(), r)
		assert.Equal(t, res.Outcome, model.OutcomeDone)
		assert.Equal(t, string(res.Body), expectedBody(r))
		found, ok := m.Lookup(context.Background(), "1", "")
		assert.Assert(t, ok)
		assert.DeepEqual(t, found, res)
	})
}

func TestNonIdempotentNeedsTicket(t *testing.T) {
	withCluster(t, 1, 1, func(t *testing.T, cluster *testCluster) {
		m := cluster.vms["vm-0"]
		r := m.newOrder("1")
		r.Ticket = ""
		res := m.Do(context.Background(), r)
		assert.Equal(t, res.Outcome, model.OutcomeNotRun)
		assert.Equal(t, res.Reason, ReasonNoTicket)
		assert.Equal(t, cluster.executions("1"), 0)
	})
}

func TestRetryThroughAnyVM(t *testing.T) {
	withCluster(t, 3, 2, func(t *testing.T, cluster *testCluster) {
		r := cluster.vms["vm-0"].newOrder("1")
		first := cluster.vms["vm-1"].Do(context.Background(), r)
		assert.Equal(t, first.Outcome, model.OutcomeDone)
		for _, m := range cluster.vms {
			assert.DeepEqual(t, m.Do(context.Background(), r), first)
		}
		assert.Equal(t, cluster.executions("1"), 1)
		r.Body = []byte("other")
		res := cluster.vms["vm-2"].Do(context.Background(), r)
		assert.Equal(t, res.Reason, ReasonTicketReused)
	})
}

func TestConcurrentUsesShareOneRun(t *testing.T) {
	withCluster(t, 3, 2, func(t *testing.T, cluster *testCluster) {
		r := cluster.vms["vm-0"].newOrder("1")
		results := make(chan Result, len(cluster.vms))
		for _, m := range cluster.vms {
			go func() { results <- m.Do(context.Background(), r) }()
		}
		for range cluster.vms {
			assert.Equal(t, string((<-results).Body), expectedBody(r))
		}
		assert.Equal(t, cluster.executions("1"), 1)
	})
}

func TestDrainFinishesAndHandsOver(t *testing.T) {
	withCluster(t, 2, 1, func(t *testing.T, cluster *testCluster) {
		leavingVM := cluster.vms["vm-0"]
		used, unused := leavingVM.newOrder("used"), leavingVM.newOrder("unused")
		first := leavingVM.Do(context.Background(), used)
		assert.NilError(t, leavingVM.Drain(context.Background()))
		cluster.kill(leavingVM)
		other := cluster.vms["vm-1"]
		assert.DeepEqual(t, other.Do(context.Background(), used), first)
		assert.Equal(t, other.Do(context.Background(), unused).Outcome, model.OutcomeDone)
		assert.Equal(t, cluster.executions("used"), 1)
		assert.Equal(t, cluster.executions("unused"), 1)
	})
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	withCluster(t, 1, 2, func(t *testing.T, cluster *testCluster) {
		m := cluster.vms["vm-0"]
		cluster.change(func(v *View) { v.Backends[0].Leaving = true })
		for i := range 20 {
			res := m.Do(context.Background(), newQuote(fmt.Sprint(i)))
			assert.Equal(t, res.Outcome, model.OutcomeDone)
		}
		assert.Equal(t, len(cluster.servers["backend-0"].executed), 0)
	})
}

func TestFrozenArbiter(t *testing.T) {
	withCluster(t, 2, 1, func(t *testing.T, cluster *testCluster) {
		arbiter := cluster.vms["vm-0"]
		r := arbiter.newOrder("1")
		cluster.freeze(arbiter, time.Minute)
		res := cluster.vms["vm-1"].Do(context.Background(), r)
		assert.Equal(t, res.Outcome, model.OutcomeUnknown)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, cluster.executions("1") <= 1)
	})
}

func TestCrossedAnswerReachesNobody(t *testing.T) {
	withCluster(t, 1, 1, func(t *testing.T, cluster *testCluster) {
		m := cluster.vms["vm-0"]
		for _, r := range []Request{newQuote("1"), m.newOrder("2")} {
			cluster.servers["backend-0"].faults = failCalls("execute", wireWrongAnswer)
			res := m.Do(context.Background(), r)
			assert.Equal(t, res.Outcome, model.OutcomeDone)
			assert.Equal(t, string(res.Body), expectedBody(r))
		}
	})
}
