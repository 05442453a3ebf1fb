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

// Publisher gives entries to the log and follows what was read back.
// journal.Publisher is one.
type Publisher interface {
	// Submit queues an entry without blocking; done is called with each state of the
	// append. On an error the entry was not taken and done is not called.
	Submit(e journal.Entry, done func(journal.AppendResult)) error
	// Skip tells that reading goes on from a snapshot, of which ObserveSnapshot will tell.
	Skip()
	// Observe tells which entries were read back.
	Observe(entries []journal.LocatedEntry, next int64)
	// ObserveSnapshot tells that reading went on from a snapshot.
	ObserveSnapshot(offset int64, lookup func(entryID string) (journal.Decision, bool))
}

// Peers calls other VMs. Errors wrap ports.ErrUnavailable when the peer
// certainly did nothing and ports.ErrInDoubt otherwise.
type Peers interface {
	Heartbeat(ctx context.Context, address string, h membership.Heartbeat) (membership.Heartbeat, error)
	OfferJob(ctx context.Context, address string, o JobOffer) (OfferAnswer, error)
	HandOverTerm(ctx context.Context, address string, o TermOffer) (accepted bool, err error)
}

// Options are the parts of a Loop. All are required but those with a default.
type Options struct {
	Identity Identity
	Settings Settings // zero: DefaultSettings
	Replica  *replica.State
	Policy   placement.Policy
	Log      Publisher
	Dialer   ports.Dialer
	VMs      ports.VMList
	Peers    Peers
	Reporter invariant.Reporter
	Now      func() time.Time // nil: time.Now
	NewID    func() string    // nil: model.RandomID
}
