package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// TestUnreachableServerIsNotHammered bounds the sends to the only server while it
// refuses connections at once.
func TestUnreachableServerIsNotHammered(t *testing.T) {
	inWorld(t, 1, 1, func(t *testing.T, w *world) {
		calls := 0
		w.servers["backend-0"].faults = func(call string) wireFault {
			if call == "execute" {
				calls++
			}
			return wireRefused
		}
		started := time.Now()
		res := w.vms["vm-0"].Do(context.Background(), quote("1"))
		assert.Equal(t, res.Outcome, model.OutcomeNotRun)
		assert.Equal(t, time.Since(started), 10*time.Second)
		assert.Assert(t, calls < 100, "%d sends", calls)
	})
}

// TestSilentServerIsLeft loses all that one of two backend servers sends and gets.
func TestSilentServerIsLeft(t *testing.T) {
	inWorld(t, 1, 2, func(t *testing.T, w *world) {
		m := w.vms["vm-0"]
		silent := w.servers["backend-0"]
		silent.faults = func(string) wireFault { return wireSilent }
		ask := func(from, n int) {
			for i := range n {
				res := m.Do(context.Background(), quote(fmt.Sprint(from+i)))
				assert.Equal(t, res.Outcome, model.OutcomeDone)
			}
		}
		ask(0, 20) // hedged on the other one
		go m.Do(context.Background(), m.order("in flight"))
		time.Sleep(10 * time.Second) // pings notice by then
		started := time.Now()
		ask(100, 20)
		assert.Assert(t, time.Since(started) < time.Second, "%s", time.Since(started))
	})
}
