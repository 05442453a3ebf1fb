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

func quote(id string) Request {
	return Request{ID: model.RequestID(id), Kind: kindQuote, Organisation: "org", Caller: "clerk", Body: []byte("bead " + id)}
}

func (m *vm) order(id string) Request {
	return Request{
		ID: model.RequestID(id), Ticket: m.MintTicket(time.Minute),
		Kind: kindOrder, Organisation: "org", Caller: "clerk", Body: []byte("ferrules " + id),
	}
}

// inWorld runs a test in virtual time and ends the world after it.
func inWorld(t *testing.T, vms, servers int, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, vms, servers)
		defer func() {
			w.close()
			time.Sleep(recovery) // fakes that are still silent or late
		}()
		f(t, w)
	})
}

func wholeAnswer(r Request) string {
	return fmt.Sprintf("%s|%s|%s|%s", r.ID, r.Organisation, r.Caller, r.Body)
}

func TestDone(t *testing.T) {
	inWorld(t, 1, 2, func(t *testing.T, w *world) {
		m := w.vms["vm-0"]
		r := quote("1")
		res := m.Do(context.Background(), r)
		assert.Equal(t, res.Outcome, model.OutcomeDone)
		assert.Equal(t, string(res.Body), wholeAnswer(r))
		again, ok := m.Lookup(context.Background(), "1", "")
		assert.Assert(t, ok)
		assert.DeepEqual(t, again, res)
	})
}

func TestNonIdempotentNeedsTicket(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		m := w.vms["vm-0"]
		r := m.order("1")
		r.Ticket = ""
		res := m.Do(context.Background(), r)
		assert.Equal(t, res.Outcome, model.OutcomeNotRun)
		assert.Equal(t, res.Reason, ReasonNoTicket)
		assert.Equal(t, w.executions("1"), 0)
	})
}

func TestRetryThroughAnyVM(t *testing.T) {
	inWorld(t, 3, 2, func(t *testing.T, w *world) {
		r := w.vms["vm-0"].order("1")
		first := w.vms["vm-1"].Do(context.Background(), r)
		assert.Equal(t, first.Outcome, model.OutcomeDone)
		for _, m := range w.vms {
			assert.DeepEqual(t, m.Do(context.Background(), r), first)
		}
		assert.Equal(t, w.executions("1"), 1)
		r.Body = []byte("other")
		res := w.vms["vm-2"].Do(context.Background(), r)
		assert.Equal(t, res.Reason, ReasonTicketReused)
	})
}

func TestConcurrentUsesShareOneRun(t *testing.T) {
	inWorld(t, 3, 2, func(t *testing.T, w *world) {
		r := w.vms["vm-0"].order("1")
		results := make(chan Result, len(w.vms))
		for _, m := range w.vms {
			go func() { results <- m.Do(context.Background(), r) }()
		}
		for range w.vms {
			assert.Equal(t, string((<-results).Body), wholeAnswer(r))
		}
		assert.Equal(t, w.executions("1"), 1)
	})
}

func TestDrainFinishesAndHandsOver(t *testing.T) {
	inWorld(t, 2, 1, func(t *testing.T, w *world) {
		giver := w.vms["vm-0"]
		used, unused := giver.order("used"), giver.order("unused")
		first := giver.Do(context.Background(), used)
		assert.NilError(t, giver.Drain(context.Background()))
		w.kill(giver)
		other := w.vms["vm-1"]
		assert.DeepEqual(t, other.Do(context.Background(), used), first)
		assert.Equal(t, other.Do(context.Background(), unused).Outcome, model.OutcomeDone)
		assert.Equal(t, w.executions("used"), 1)
		assert.Equal(t, w.executions("unused"), 1)
	})
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	inWorld(t, 1, 2, func(t *testing.T, w *world) {
		m := w.vms["vm-0"]
		w.change(func(v *View) { v.Backends[0].Leaving = true })
		for i := range 20 {
			res := m.Do(context.Background(), quote(fmt.Sprint(i)))
			assert.Equal(t, res.Outcome, model.OutcomeDone)
		}
		assert.Equal(t, len(w.servers["backend-0"].order), 0)
	})
}

func TestFrozenArbiter(t *testing.T) {
	inWorld(t, 2, 1, func(t *testing.T, w *world) {
		arbiter := w.vms["vm-0"]
		r := arbiter.order("1")
		w.freeze(arbiter, time.Minute)
		res := w.vms["vm-1"].Do(context.Background(), r)
		assert.Equal(t, res.Outcome, model.OutcomeUnknown)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, w.executions("1") <= 1)
	})
}

func TestCrossedAnswerReachesNobody(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		m := w.vms["vm-0"]
		for _, r := range []Request{quote("1"), m.order("2")} {
			w.servers["backend-0"].faults = breakCalls("execute", wireCrossed)
			res := m.Do(context.Background(), r)
			assert.Equal(t, res.Outcome, model.OutcomeDone)
			assert.Equal(t, string(res.Body), wholeAnswer(r))
		}
	})
}
