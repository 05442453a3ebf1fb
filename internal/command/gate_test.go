package command

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestGateWaitsForCommandsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := NewGate()
		release, ok := gate.Enter()
		assert.Assert(t, ok)
		gate.Close()
		_, ok = gate.Enter()
		assert.Assert(t, !ok, "a closed gate admitted a command")

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, gate.Wait(ctx), context.DeadlineExceeded)
		release()
		assert.NilError(t, gate.Wait(t.Context()))
	})
}

func TestGateClosedWhileEmpty(t *testing.T) {
	gate := NewGate()
	gate.Close()
	gate.Close()
	assert.NilError(t, gate.Wait(t.Context()))
}
