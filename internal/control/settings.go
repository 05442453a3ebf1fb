package control

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Identity is what a VM knows of itself.
type Identity struct {
	Incarnation model.Incarnation
	Address     string // IP:port that peers reach
	AZ          model.AZ
	Region      model.Region
}

// Settings are the durations and bounds of the control loop.
type Settings struct {
	TickInterval      time.Duration // between Ticked events
	HeartbeatInterval time.Duration
	// HolderTimeout is how long a term holder may be silent before a challenger acts.
	HolderTimeout time.Duration
	// ClaimStagger separates the challengers of one term by their position.
	ClaimStagger time.Duration
	// FenceBackoff is how long a fenced holder leaves the term to others.
	FenceBackoff      time.Duration
	Lease             time.Duration // of tasks on backend servers
	RenewInterval     time.Duration
	CommandTimeout    time.Duration // for one batch or status poll
	CheckpointTimeout time.Duration // before a preempted gang is stopped without a checkpoint
	PollInterval      time.Duration // between status polls by the term holder
	IdlePollInterval  time.Duration // between status polls by other VMs
	LiveTimeout       time.Duration // a backend server is lost after this silence
	VMListInterval    time.Duration // between reads of the VM list
	SubmitTimeout     time.Duration // for read-back before a submission is answered
	RetryDelay        time.Duration // before a refused gang is placed again
	DrainTimeout      time.Duration // for a successor to take over
	FailedServerLimit int           // healthy backend servers that fail a job before it is ended
	Snapshot          journal.SnapshotRule
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		TickInterval:      100 * time.Millisecond,
		HeartbeatInterval: 500 * time.Millisecond,
		HolderTimeout:     2 * time.Second,
		ClaimStagger:      500 * time.Millisecond,
		FenceBackoff:      30 * time.Second,
		Lease:             6 * time.Second,
		RenewInterval:     1500 * time.Millisecond,
		CommandTimeout:    500 * time.Millisecond,
		CheckpointTimeout: 500 * time.Millisecond,
		PollInterval:      time.Second,
		IdlePollInterval:  5 * time.Second,
		LiveTimeout:       3 * time.Second,
		VMListInterval:    time.Second,
		SubmitTimeout:     time.Second,
		RetryDelay:        500 * time.Millisecond,
		DrainTimeout:      3 * time.Second,
		FailedServerLimit: 3,
	}
}

// PartialBound is how long a part of a gang may run after another member ended
// early: at most one renewal round follows, its commands wait for one answer and
// are sent within the next timeout, and the lease then lapses.
func (s Settings) PartialBound() time.Duration {
	return s.Lease + s.RenewInterval + 2*s.CommandTimeout
}

// gatherTime is how long every backend server that answers takes at most to report
// anew.
func (s Settings) gatherTime() time.Duration {
	return s.PollInterval + 2*s.CommandTimeout
}
