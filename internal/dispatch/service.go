// Package dispatch runs requests in the slots of backend servers: queues,
// fairness, limits, shedding, routing, retries and truthful outcomes.
package dispatch

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Request is one caller's ask.
type Request struct {
	ID           model.RequestID
	Ticket       string // required unless the kind is idempotent
	Kind         string
	Organisation model.OrganisationID
	Caller       model.CallerID
	Body         []byte
	Deadline     time.Time // zero: the kind's deadline from now
	Hops         int       // VMs that forwarded it already
}

// Result is the truthful outcome of a request.
type Result struct {
	Request    model.RequestID
	Outcome    model.Outcome
	Reason     model.Reason
	Body       []byte
	Digest     string        // SHA-256 of Body, hexadecimal
	RetryAfter time.Duration // 0: a retry does not help
}

// BackendView is a backend server as routing sees it.
type BackendView struct {
	Server      model.BackendServer
	Live        bool
	Leaving     bool
	Quarantined bool
	FreeSlots   int
}

// PeerView is another VM as routing sees it.
type PeerView struct {
	Address     string
	Incarnation model.Incarnation
	AZ          model.AZ
	Alive       bool
	Leaving     bool
}

// View is the immutable snapshot that traffic reads. It is published by the control loop.
type View struct {
	AZ       model.AZ
	Region   model.Region
	Config   *config.Current
	Backends []BackendView
	Peers    []PeerView
}

// Peers sends requests to other VMs. Errors wrap ports.ErrUnavailable when the
// peer certainly did nothing and ports.ErrInDoubt otherwise.
type Peers interface {
	Forward(ctx context.Context, address string, r Request) (Result, error)
	Lookup(ctx context.Context, address string, id model.RequestID, ticket string) (Result, error)
	HandOver(ctx context.Context, address string, from model.Incarnation, tickets []TicketState) error
}

// TicketState is the arbitration state of one ticket, as handed over.
type TicketState struct {
	Ticket   string
	Request  model.RequestID
	Binding  string  // digest of the request that first used the ticket
	Result   *Result // nil while unused or in flight
	InFlight bool
	Backend  string // address of the backend server that it was sent to; empty: not sent
	// BodyDropped is set when Result was done but its body is no longer kept.
	BodyDropped bool
}

// Ports are the dispatcher's connections to the outside.
type Ports struct {
	View   func() *View
	Dialer ports.Dialer
	Peers  Peers
}

// QueueState is the number of queued and running requests of one class.
type QueueState struct {
	Class   model.Class `json:"class"`
	Queued  int         `json:"queued"`
	Running int         `json:"running"`
}

// Service is the part of the dispatcher that the API and the peers use.
type Service interface {
	// Do runs a request to its outcome. It returns no error: every request has an outcome.
	Do(ctx context.Context, r Request) Result
	// Lookup returns the outcome that is known for a request, by ID or ticket. A
	// ticket that another VM arbitrates is asked for there.
	Lookup(ctx context.Context, id model.RequestID, ticket string) (Result, bool)
	// LookupLocal is Lookup without asking another VM. Peers.Lookup ends here.
	LookupLocal(ctx context.Context, id model.RequestID, ticket string) (Result, bool)
	// MintTicket returns a ticket that this VM arbitrates.
	MintTicket(ttl time.Duration) string
	// AdoptTickets takes over the arbitration of tickets from a leaving VM.
	AdoptTickets(from model.Incarnation, tickets []TicketState) error
	// Queues returns the load per class.
	Queues() []QueueState
	// Drain refuses new work, finishes or hands over every request, and returns
	// when none is left or ctx ends; those left get a truthful outcome.
	Drain(ctx context.Context) error
}
