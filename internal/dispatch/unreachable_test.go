package dispatch

import (
	"context"
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
