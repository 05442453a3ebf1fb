package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// TestRetriesToUnreachableServerAreBounded bounds the sends to the only server while it
// refuses connections at once.
func TestRetriesToUnreachableServerAreBounded(t *testing.T) {
	withCluster(t, 1, 1, func(t *testing.T, cluster *testCluster) {
		calls := 0
		cluster.servers["backend-0"].faults = func(call string) wireFault {
			if call == "execute" {
				calls++
			}
			return wireRefused
		}
		started := time.Now()
		res := cluster.vms["vm-0"].Do(context.Background(), newQuote("1"))
		assert.Equal(t, res.Outcome, model.OutcomeNotRun)
		assert.Equal(t, time.Since(started), 10*time.Second)
		assert.Assert(t, calls < 100, "%d sends, want fewer than 100", calls)
	})
}

// TestSilentServerIsLeft makes one of two backend servers lose all calls. Once pings have
// noticed it, requests go to the other server without delay.
func TestSilentServerIsLeft(t *testing.T) {
	withCluster(t, 1, 2, func(t *testing.T, cluster *testCluster) {
		m := cluster.vms["vm-0"]
		silent := cluster.servers["backend-0"]
		silent.faults = func(string) wireFault { return wireSilent }
		callAll := func(from, n int) {
			for i := range n {
				res := m.Do(context.Background(), newQuote(fmt.Sprint(from+i)))
				assert.Equal(t, res.Outcome, model.OutcomeDone)
			}
		}
		callAll(0, 20) // each is answered at the latest by a hedge on the other server
		go m.Do(context.Background(), m.newOrder("in flight"))
		time.Sleep(10 * time.Second) // pings have failed by then
		started := time.Now()
		callAll(100, 20)
		assert.Assert(t, time.Since(started) < time.Second, "20 requests took %s", time.Since(started))
	})
}
