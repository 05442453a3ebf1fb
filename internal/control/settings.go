package control

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Identity identifies a VM.
type Identity struct {
	Incarnation model.Incarnation
	Address     string // IP:port at which peers reach the VM
	AZ          model.AZ
	Region      model.Region
}

// Settings are the durations and bounds of the control loop.
type Settings struct {
	TickInterval      time.Duration // between Ticked events
	HeartbeatInterval time.Duration
	// HolderTimeout is how long other VMs hear nothing from the term holder before one takes over.
	HolderTimeout time.Duration
	// ClaimStagger is the delay per position between the VMs that may claim the term.
	ClaimStagger time.Duration
	// FenceBackoff is how long a fenced holder does not claim the term again.
	FenceBackoff      time.Duration
	Lease             time.Duration // of tasks on backend servers
	RenewInterval     time.Duration
	CommandTimeout    time.Duration // for one batch or status poll
	CheckpointTimeout time.Duration // after which a preempted gang is stopped without a checkpoint
	PollInterval      time.Duration // between status polls by the term holder
	IdlePollInterval  time.Duration // between status polls by other VMs
	LiveTimeout       time.Duration // a backend server that does not answer for this long is lost
	VMListInterval    time.Duration // between reads of the VM list
	SubmitTimeout     time.Duration // for read-back; then a command is answered as not durable
	RetryDelay        time.Duration // before a job is placed again, an entry resubmitted or an offer repeated
	DrainTimeout      time.Duration // after which a planned stop no longer waits for a successor or for entries
	FailedServerLimit int           // a job that failed on this many healthy backend servers is ended
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

// PartialBound is how long the other members of a gang may run after one ended early. At most
// one more renewal follows, within RenewInterval. Its commands may wait one CommandTimeout for
// the answer to the previous batch and are sent within another. No later command extends the
// leases, so they lapse after Lease.
func (s Settings) PartialBound() time.Duration {
	return s.Lease + s.RenewInterval + 2*s.CommandTimeout
}

// holdTimeout is how long after its decision a hold that gets an answer takes effect at most. The
// previous batch to the server and its own are each sent within one CommandTimeout and answered
// within another.
func (s Settings) holdTimeout() time.Duration { return 4 * s.CommandTimeout }

// surveyTimeout is the time within which every backend server that answers has sent a
// new status report.
func (s Settings) surveyTimeout() time.Duration {
	return s.PollInterval + 2*s.CommandTimeout
}
