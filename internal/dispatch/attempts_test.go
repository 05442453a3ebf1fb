package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// forgetKinds makes all VMs refuse requests as of unknown kinds. The caller holds cluster.mu.
func (cluster *testCluster) forgetKinds() { cluster.view.Config = nil }

// A leaving VM forwarded a request, got no answer, and forwarded it again. It told its caller `not run` when the
// repeat was not carried out, although the first call ran.
func TestRepeatOfAForwardDoesNotProveTheFirstNotRun(t *testing.T) {
	for name, repeat := range map[string]func(*testCluster) wireFault{
		"not sent": func(*testCluster) wireFault { return wireRefused },
		"refused": func(cluster *testCluster) wireFault {
			cluster.forgetKinds()
			return wireOK
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, 1, func(t *testing.T, cluster *testCluster) {
				var calls callLog
				leavingVM := cluster.vms["vm-0"]
				leavingVM.startDrain()
				forwards := 0
				cluster.peerFault = func(call, _, _ string) wireFault {
					if call != "forward" {
						return wireOK
					}
					if forwards++; forwards == 1 {
						return wireCutAfter
					}
					return repeat(cluster)
				}
				r := newQuote("1")
				res := calls.call(context.Background(), leavingVM, r)
				time.Sleep(time.Second)
				assert.Equal(t, forwards, 2)
				assert.Equal(t, cluster.executions(r.ID), 1)
				assert.Equal(t, res.Outcome, model.OutcomeUnknown, "told %s: %s", res.Outcome, res.Reason)
				calls.check(t, cluster)
			})
		})
	}
}

// fullArbiter is a VM to which the first forward gets no answer, and that has no memory for the ticket of the next.
type fullArbiter struct {
	Peers
	forwards int
}

func (f *fullArbiter) Forward(_ context.Context, _ string, r Request) (Result, error) {
	if f.forwards++; f.forwards == 1 {
		return Result{}, ports.ErrInDoubt
	}
	return notRunResult(r.ID, NotRunProof{kind: proofNeverSent, reason: ReasonTicketMemoryFull, retryAfter: time.Second}), nil
}

// An arbiter without memory for a ticket settles nothing for it: a forward that has not arrived yet may still run.
func TestArbiterWithoutMemoryDoesNotProveAnEarlierForwardNotRun(t *testing.T) {
	withCluster(t, 2, 1, func(t *testing.T, cluster *testCluster) {
		m, arbiter := cluster.vms["vm-0"], &fullArbiter{}
		m.ports.Peers = arbiter
		res := m.Do(context.Background(), cluster.vms["vm-1"].newOrder("1"))
		assert.Equal(t, arbiter.forwards, 2)
		assert.Equal(t, res.Outcome, model.OutcomeUnknown, "told %s: %s", res.Outcome, res.Reason)
	})
}

// A leaving VM forwarded a request and looked up its outcome by its ID, which callers choose. It was told that of an
// earlier request, and took it for that of its own: the answer of another caller, or `not run` before the request ran.
func TestForwardIsNotAnsweredByAnEarlierRequestOfItsID(t *testing.T) {
	for name, refused := range map[string]bool{"of another caller": false, "refused before": true} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, 1, func(t *testing.T, cluster *testCluster) {
				var calls callLog
				leavingVM, other := cluster.vms["vm-0"], cluster.vms["vm-1"]
				earlier, r := newQuote("1"), newQuote("1")
				if refused {
					config := cluster.view.Config
					cluster.change(func(v *View) { v.Config = nil })
					assert.Equal(t, other.Do(context.Background(), earlier).Outcome, model.OutcomeNotRun)
					cluster.change(func(v *View) { v.Config = config })
				} else {
					earlier.Caller = "another"
					assert.Equal(t, other.Do(context.Background(), earlier).Outcome, model.OutcomeDone)
				}
				leavingVM.startDrain()
				fail := failCalls("forward", wireDelayed)
				cluster.peerFault = func(call, _, _ string) wireFault { return fail(call) }
				res := calls.call(context.Background(), leavingVM, r)
				assert.Equal(t, res.Outcome, model.OutcomeDone, "told %s: %s", res.Outcome, res.Reason)
				assert.Equal(t, string(res.Body), expectedBody(r))
				time.Sleep(recoveryTime)
				calls.check(t, cluster)
			})
		})
	}
}

// A look-up by ID told the outcome of the newest attempt, `not run`, although an earlier attempt of the request was
// running, had run or may have.
func TestRefusedAttemptDoesNotProveAnEarlierOneNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		fault     wireFault     // of all calls to the server
		repeat    time.Duration // when the refused attempt is made
		then, end model.Outcome // what is known after the refused attempt, and after the earlier one
	}{
		"running":  {wireOK, 10 * time.Millisecond, unknown, done},
		"done":     {wireOK, time.Second, done, done},
		"in doubt": {wireSilent, 20 * time.Second, unknown, unknown},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 1, 1, func(t *testing.T, cluster *testCluster) {
				m := cluster.vms["vm-0"]
				cluster.servers["backend-0"].faults = func(string) wireFault { return c.fault }
				r := newQuote("1")
				go m.Do(context.Background(), r)
				time.Sleep(c.repeat)
				cluster.change(func(v *View) { v.Config = nil })
				assert.Equal(t, m.Do(context.Background(), r).Outcome, model.OutcomeNotRun)
				found, ok := m.Lookup(context.Background(), r.ID, "")
				assert.Assert(t, ok)
				assert.Equal(t, found.Outcome, c.then, found.Reason)
				time.Sleep(recoveryTime)
				found, _ = m.Lookup(context.Background(), r.ID, "")
				assert.Equal(t, found.Outcome, c.end, found.Reason)
			})
		})
	}
}

// All attempts of a ticket have one outcome: `not run` ends a doubt about it.
func TestSettledTicketEndsTheDoubtAboutAnID(t *testing.T) {
	withCluster(t, 1, 1, func(t *testing.T, cluster *testCluster) {
		m := cluster.vms["vm-0"]
		s := cluster.servers["backend-0"]
		s.setFaults(func(string) wireFault { return wireSilent })
		r := m.newOrder("1")
		assert.Equal(t, m.Do(context.Background(), r).Outcome, model.OutcomeUnknown)
		s.setFaults(nil)
		time.Sleep(2 * resolveAfterDeadline)
		assert.Equal(t, m.Do(context.Background(), r).Outcome, model.OutcomeNotRun)
		found, ok := m.Lookup(context.Background(), r.ID, "")
		assert.Assert(t, ok)
		assert.Equal(t, found.Outcome, model.OutcomeNotRun)
	})
}
