package peer

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/peer/peerpb"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// fakeDispatcher accepts handed-over tickets unless refuse is set.
type fakeDispatcher struct {
	dispatch.Service
	refuse  bool
	tickets []dispatch.TicketState
}

func (f *fakeDispatcher) AdoptTickets(_ model.Incarnation, tickets []dispatch.TicketState) error {
	if f.refuse {
		return errors.New("stopping")
	}
	f.tickets = tickets
	return nil
}

func (f *fakeDispatcher) Do(_ context.Context, r dispatch.Request) dispatch.Result {
	return dispatch.Result{Request: r.ID, Outcome: model.OutcomeDone, Body: r.Body, Digest: ports.Digest(r.Body)}
}

// startServer starts a server over a fake dispatcher and returns its address.
func startServer(t *testing.T, f *fakeDispatcher) string {
	t.Helper()
	server := httptest.NewServer(peerpb.NewDispatchServer(&DispatchServer{Service: f}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestHandOverKeepsEveryField(t *testing.T) {
	f := &fakeDispatcher{}
	address := startServer(t, f)
	sent := []dispatch.TicketState{{
		Ticket: "t", Request: "r", Binding: "b", InFlight: true, Backend: "10.0.0.1:1", BodyDropped: true,
		Result: &dispatch.Result{Request: "r", Outcome: model.OutcomeDone, Reason: "x", Body: []byte("y"), Digest: "d", RetryAfter: 1e9},
	}, {Ticket: "unused"}}
	assert.NilError(t, NewClients().HandOver(t.Context(), address, "me", sent))
	assert.DeepEqual(t, f.tickets, sent)
}

// A refused hand-over had no effect, so the draining VM may offer the tickets to another VM.
func TestRefusedHandOverIsNotInDoubt(t *testing.T) {
	address := startServer(t, &fakeDispatcher{refuse: true})
	err := NewClients().HandOver(t.Context(), address, "me", nil)
	assert.ErrorIs(t, err, ports.ErrUnavailable)
}

func TestForwardCarriesTheRequest(t *testing.T) {
	address := startServer(t, &fakeDispatcher{})
	result, err := NewClients().Forward(t.Context(), address, dispatch.Request{ID: "r", Body: []byte("body")})
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, model.OutcomeDone)
	assert.Equal(t, string(result.Body), "body")
}

func TestUnreachablePeerIsNotInDoubt(t *testing.T) {
	server := httptest.NewServer(nil)
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := NewClients().Forward(t.Context(), address, dispatch.Request{ID: "r"})
	assert.ErrorIs(t, err, ports.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, ports.ErrInDoubt))
}
