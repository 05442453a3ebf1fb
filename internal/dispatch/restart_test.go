package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// faultOnce returns the faults of a server whose first call of a kind suffers f.
func faultOnce(call string, f wireFault) func(string) wireFault {
	done := false
	return func(c string) wireFault {
		if c != call || done {
			return wireOK
		}
		done = true
		return f
	}
}

// An order whose answer was lost is not told `not run`, and not run again, because a restarted server
// does not know it.
func TestRestartedServerDoesNotProveAnOrderNotRun(t *testing.T) {
	for _, serviceTime := range []time.Duration{20 * time.Millisecond, 5 * time.Second} { // ended, or running at the restart
		withCluster(t, 3, 2, func(t *testing.T, cluster *testCluster) {
			var calls callLog
			for _, s := range cluster.servers {
				s.serviceTime = serviceTime
				s.faults = faultOnce("execute", wireAnswerLost)
			}
			go func() {
				time.Sleep(200 * time.Millisecond)
				for _, s := range cluster.servers {
					s.restart()
				}
			}()
			r := cluster.vms["vm-0"].newOrder("1")
			res := calls.call(context.Background(), cluster.vms["vm-0"], r)
			assert.Equal(t, res.Outcome, model.OutcomeUnknown)
			calls.retryOnAllVMs(t, cluster, r)
			calls.check(t, cluster)
			assert.Equal(t, cluster.executions("1"), 1)
		})
	}
}

// An order that a look-up has found not run is not run by the next incarnation, which its call reaches late.
func TestOrderFoundNotRunDoesNotReachTheNextIncarnation(t *testing.T) {
	withCluster(t, 1, 1, func(t *testing.T, cluster *testCluster) {
		var calls callLog
		s := cluster.servers["backend-0"]
		s.faults = faultOnce("execute", wireDelayed)
		r := cluster.vms["vm-0"].newOrder("1")
		res := calls.call(context.Background(), cluster.vms["vm-0"], r)
		t.Logf("told %s: %s", res.Outcome, res.Reason)
		s.restart()
		time.Sleep(wireDelay)
		calls.check(t, cluster)
	})
}

// A VM that does not know of a restart yet learns the new incarnation from its refusal, and the request runs there.
func TestRequestReachesARestartedServer(t *testing.T) {
	withCluster(t, 1, 1, func(t *testing.T, cluster *testCluster) {
		var calls callLog
		s, m := cluster.servers["backend-0"], cluster.vms["vm-0"]
		assert.Equal(t, calls.call(context.Background(), m, m.newOrder("1")).Outcome, model.OutcomeDone)
		s.restart()
		assert.Equal(t, calls.call(context.Background(), m, m.newOrder("2")).Outcome, model.OutcomeDone)
		assert.Equal(t, calls.call(context.Background(), m, m.newOrder("3")).Outcome, model.OutcomeDone)
		assert.Equal(t, s.refusals, 1)
		calls.check(t, cluster)
	})
}
