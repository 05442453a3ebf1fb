package control

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// Publisher submits entries to the log and matches them with those read back.
// journal.Publisher implements it.
type Publisher interface {
	// Submit queues an entry without blocking; done is called with each state of the
	// append. If it returns an error, the entry was not queued and done is not called.
	Submit(e journal.Entry, done func(journal.AppendResult)) error
	// Skip announces that reading continues from a snapshot; a call of ObserveSnapshot follows
	// once the snapshot has been restored.
	Skip()
	// Observe passes on the entries that were read back, up to offset next.
	Observe(entries []journal.LocatedEntry, next int64)
	// ObserveSnapshot reports that reading continued from the snapshot at offset; lookup
	// returns the verdicts on the entries that it covers.
	ObserveSnapshot(offset int64, lookup func(entryID string) (journal.Decision, bool))
}

// PeerClient calls other VMs. Errors wrap ports.ErrUnavailable if the call certainly
// had no effect and ports.ErrInDoubt otherwise.
type PeerClient interface {
	Heartbeat(ctx context.Context, address string, h membership.Heartbeat) (membership.Heartbeat, error)
	OfferJob(ctx context.Context, address string, o JobOffer) (OfferAnswer, error)
	HandOverTerm(ctx context.Context, address string, o TermOffer) (accepted bool, err error)
}

// Options are the dependencies of a Loop. Those without a default are required.
type Options struct {
	Identity  Identity
	Settings  Settings // zero: DefaultSettings
	Replica   *replica.State
	Policy    placement.Policy
	Publisher Publisher
	Dialer    ports.Dialer
	VMs       ports.VMList
	Peers     PeerClient
	Reporter  invariant.Reporter
	Now       func() time.Time // nil: time.Now
	NewID     func() string    // nil: model.RandomID
}
