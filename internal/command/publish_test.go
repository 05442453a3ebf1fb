package command

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

// stalledControl is the control service of a VM that cannot read the newest
// configuration. It accepts every change.
type stalledControl struct{ control.Service }

func (stalledControl) View() *control.View {
	return &control.View{Config: &config.Current{Revision: 5}, ConfigStalled: "revision 7 has a record of a newer release"}
}

func (stalledControl) Publish(context.Context, string, journal.ConfigChange) (journal.Decision, error) {
	return journal.Decision{Verdict: journal.VerdictAccepted}, nil
}

func TestStalledVMRefusesChanges(t *testing.T) {
	h := Handler{
		Control: stalledControl{},
		Check:   func(*config.Current, []json.RawMessage) config.Findings { return nil },
		Gate:    NewGate(),
	}
	_, err := h.Publish(t.Context(), Change{Records: []json.RawMessage{json.RawMessage(`{}`)}})
	var refusal *control.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, ReasonConfigStalled)

	// With an expected revision, a change can replace the unreadable configuration.
	expected := int64(7)
	published, err := h.Publish(t.Context(), Change{Records: []json.RawMessage{json.RawMessage(`{}`)}, ExpectedRevision: &expected})
	assert.NilError(t, err)
	assert.Equal(t, published.Decision.Verdict, journal.VerdictAccepted)
}
