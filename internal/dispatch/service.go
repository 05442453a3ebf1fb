// Package dispatch runs requests in the slots of backend servers: queueing, fair sharing,
// limits, load shedding, routing and retries. Every request gets an outcome, which
// is `unknown` unless another one is certain.
package dispatch

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Request is a request of a caller.
type Request struct {
	ID           model.RequestID
	Ticket       string // required unless the kind is idempotent
	Kind         string
	Organisation model.OrganisationID
	Caller       model.CallerID
	Body         []byte
	Deadline     time.Time // zero: the default deadline of the kind, from now
	Hops         int       // number of times that VMs forwarded it
}

// Result is the outcome of a request.
type Result struct {
	Request    model.RequestID
	Outcome    model.Outcome
	Reason     model.Reason
	Body       []byte
	Digest     string        // SHA-256 of Body, hexadecimal
	RetryAfter time.Duration // 0: a retry does not help
}

// BackendView is the state of a backend server that routing uses.
type BackendView struct {
	Server      model.BackendServer
	Live        bool
	Leaving     bool
	Quarantined bool
	FreeSlots   int
	// Incarnation is that of the server's latest report. Empty if the server does not tell it.
	Incarnation string
}

// PeerView is the state of another VM that routing uses.
type PeerView struct {
	Address     string
	Incarnation model.Incarnation
	AZ          model.AZ
	Alive       bool
	Leaving     bool
}

// View is the immutable snapshot that request handling reads. The control loop publishes
// it.
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

// TicketState is the arbitration state of one ticket, as sent in a hand-over.
type TicketState struct {
	Ticket   string
	Request  model.RequestID
	Binding  string  // digest of the request that first used the ticket
	Result   *Result // nil while unused or in flight
	InFlight bool
	Backend  string // address of the backend server that got the request; empty: not sent
	// BodyDropped is set when the outcome is done but the body is no longer kept.
	BodyDropped bool
}

// Ports are the interfaces through which the dispatcher reaches the rest of the system.
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
	// Do runs a request and returns its outcome. It returns no error because every request
	// has an outcome.
	Do(ctx context.Context, r Request) Result
	// Lookup returns the known outcome of a request, by ID or ticket. If another VM
	// arbitrates the ticket, that VM is asked.
	Lookup(ctx context.Context, id model.RequestID, ticket string) (Result, bool)
	// LookupLocal is Lookup without asking another VM. It serves Peers.Lookup calls of
	// other VMs.
	LookupLocal(ctx context.Context, id model.RequestID, ticket string) (Result, bool)
	// MintTicket returns a new ticket that this VM arbitrates.
	MintTicket(ttl time.Duration) string
	// AdoptTickets takes over the arbitration of tickets from a leaving VM.
	AdoptTickets(from model.Incarnation, tickets []TicketState) error
	// Queues returns the number of queued and running requests per class.
	Queues() []QueueState
	// Drain refuses new work, finishes or hands over every request, and returns when none
	// is left or ctx ends. Requests that are left then get an outcome that says what is
	// known of them.
	Drain(ctx context.Context) error
}
