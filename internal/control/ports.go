package control

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/platform"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// Appender gives entries to the log. It does not block; results come back through
// Loop.Appended.
type Appender interface {
	Submit(e journal.Entry)
}

// Peers calls other VMs. Errors wrap platform.ErrUnavailable when the peer
// certainly did nothing and platform.ErrInDoubt otherwise.
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
	Appender Appender
	Dialer   platform.Dialer
	VMs      platform.VMList
	Peers    Peers
	Reporter invariant.Reporter
	Now      func() time.Time // nil: time.Now
	NewID    func() string    // nil: model.RandomID
}
