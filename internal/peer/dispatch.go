package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/peer/peerpb"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Forward runs a request at another VM.
func (c *Clients) Forward(ctx context.Context, address string, r dispatch.Request) (dispatch.Result, error) {
	in := &peerpb.ForwardRequest{
		RequestId:    string(r.ID),
		Ticket:       r.Ticket,
		Kind:         r.Kind,
		Organisation: string(r.Organisation),
		Caller:       string(r.Caller),
		Body:         r.Body,
		Hops:         int32(r.Hops),
	}
	if !r.Deadline.IsZero() {
		in.DeadlineUnixMs = r.Deadline.UnixMilli()
	}
	reply, err := call(ctx, func(ctx context.Context) (*peerpb.OutcomeReply, error) {
		return c.stubsFor(address).dispatch.Forward(ctx, in)
	})
	if err != nil {
		return dispatch.Result{}, err
	}
	return resultFromProto(reply), nil
}

// Lookup asks another VM for the outcome of a request.
func (c *Clients) Lookup(ctx context.Context, address string, id model.RequestID, ticket string) (dispatch.Result, error) {
	in := &peerpb.LookupRequest{RequestId: string(id), Ticket: ticket}
	reply, err := call(ctx, func(ctx context.Context) (*peerpb.OutcomeReply, error) {
		return c.stubsFor(address).dispatch.Lookup(ctx, in)
	})
	if err != nil {
		return dispatch.Result{}, err
	}
	return resultFromProto(reply), nil
}

// HandOver transfers the arbitration of tickets to another VM. The error wraps
// ports.ErrUnavailable if that VM refused them or could not be reached.
func (c *Clients) HandOver(ctx context.Context, address string, from model.Incarnation, tickets []dispatch.TicketState) error {
	in := &peerpb.HandOverTicketsRequest{FromIncarnation: string(from)}
	for _, t := range tickets {
		in.Tickets = append(in.Tickets, ticketToProto(t))
	}
	reply, err := call(ctx, func(ctx context.Context) (*peerpb.HandOverTicketsReply, error) {
		return c.stubsFor(address).dispatch.HandOverTickets(ctx, in)
	})
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return fmt.Errorf("%w: %s refused the tickets", ports.ErrUnavailable, address)
	}
	return nil
}

// DispatchServer serves the Dispatch service from a dispatcher.
type DispatchServer struct {
	Service dispatch.Service
}

// Forward runs a request for another VM.
func (s *DispatchServer) Forward(ctx context.Context, in *peerpb.ForwardRequest) (*peerpb.OutcomeReply, error) {
	r := dispatch.Request{
		ID:           model.RequestID(in.RequestId),
		Ticket:       in.Ticket,
		Kind:         in.Kind,
		Organisation: model.OrganisationID(in.Organisation),
		Caller:       model.CallerID(in.Caller),
		Body:         in.Body,
		Hops:         int(in.Hops),
	}
	if in.DeadlineUnixMs != 0 {
		r.Deadline = time.UnixMilli(in.DeadlineUnixMs)
	}
	return resultToProto(s.Service.Do(ctx, r)), nil
}

// Lookup returns the outcome of a request, or a NotFound error if this VM does not know
// the request.
func (s *DispatchServer) Lookup(ctx context.Context, in *peerpb.LookupRequest) (*peerpb.OutcomeReply, error) {
	result, ok := s.Service.LookupLocal(ctx, model.RequestID(in.RequestId), in.Ticket)
	if !ok {
		return nil, twirp.NotFoundError("request is not known here")
	}
	return resultToProto(result), nil
}

// HandOverTickets takes over the arbitration of tickets.
func (s *DispatchServer) HandOverTickets(_ context.Context, in *peerpb.HandOverTicketsRequest) (*peerpb.HandOverTicketsReply, error) {
	tickets := make([]dispatch.TicketState, 0, len(in.Tickets))
	for _, t := range in.Tickets {
		tickets = append(tickets, ticketFromProto(t))
	}
	err := s.Service.AdoptTickets(model.Incarnation(in.FromIncarnation), tickets)
	return &peerpb.HandOverTicketsReply{Accepted: err == nil}, nil
}

func resultFromProto(r *peerpb.OutcomeReply) dispatch.Result {
	return dispatch.Result{
		Request:    model.RequestID(r.RequestId),
		Outcome:    model.Outcome(r.Outcome),
		Reason:     model.Reason(r.Reason),
		Body:       r.Body,
		Digest:     r.Digest,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}

func resultToProto(r dispatch.Result) *peerpb.OutcomeReply {
	return &peerpb.OutcomeReply{
		RequestId:    string(r.Request),
		Outcome:      string(r.Outcome),
		Reason:       string(r.Reason),
		Body:         r.Body,
		Length:       int64(len(r.Body)),
		Digest:       r.Digest,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

func ticketToProto(t dispatch.TicketState) *peerpb.TicketState {
	out := &peerpb.TicketState{
		Ticket:        t.Ticket,
		RequestId:     string(t.Request),
		BackendServer: t.Backend,
		InFlight:      t.InFlight,
		Binding:       t.Binding,
		BodyDropped:   t.BodyDropped,
	}
	if t.Result != nil {
		out.Outcome = string(t.Result.Outcome)
		out.Reason = string(t.Result.Reason)
		out.Body = t.Result.Body
		out.Digest = t.Result.Digest
		out.RetryAfterMs = t.Result.RetryAfter.Milliseconds()
	}
	return out
}

func ticketFromProto(t *peerpb.TicketState) dispatch.TicketState {
	out := dispatch.TicketState{
		Ticket:   t.Ticket,
		Request:  model.RequestID(t.RequestId),
		InFlight: t.InFlight,
		Backend:  t.BackendServer,
		Binding:  t.Binding,

		BodyDropped: t.BodyDropped,
	}
	if t.Outcome != "" {
		out.Result = &dispatch.Result{
			Request: out.Request,
			Outcome: model.Outcome(t.Outcome),
			Reason:  model.Reason(t.Reason),
			Body:    t.Body,
			Digest:  t.Digest,

			RetryAfter: time.Duration(t.RetryAfterMs) * time.Millisecond,
		}
	}
	return out
}
