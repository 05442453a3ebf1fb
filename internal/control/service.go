// Package control owns the control state of a VM: the replica of the log, terms, jobs,
// leases and backend server health. One goroutine applies events to the state by State.Step,
// which does no I/O and returns actions; other goroutines execute the actions.
package control

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobWaiting       JobState = "waiting"
	JobHolding       JobState = "holding"
	JobStarting      JobState = "starting"
	JobRunning       JobState = "running"
	JobCheckpointing JobState = "checkpointing"
	JobStopping      JobState = "stopping"
	JobDone          JobState = "done"
	JobFailed        JobState = "failed"
	JobCancelled     JobState = "cancelled"
)

// Ended reports whether the job will not run again.
func (s JobState) Ended() bool {
	return s == JobDone || s == JobFailed || s == JobCancelled
}

// JobStatus is the status of one job as this VM knows it.
type JobStatus struct {
	Job   model.Job `json:"job"`
	State JobState  `json:"state"`
	// Reason says why a job waits or how it ended.
	Reason model.Reason `json:"reason,omitempty"`
	// Durable is set once the job was read back from the log.
	Durable  bool                    `json:"durable"`
	Attempt  model.AttemptID         `json:"attempt,omitempty"`
	Attempts int                     `json:"attempts"`
	Servers  []model.BackendServerID `json:"servers,omitempty"`
	Borrowed bool                    `json:"borrowed"`
}

// JobReceipt answers a submission.
type JobReceipt struct {
	Job     model.JobID `json:"job"`
	Durable bool        `json:"durable"` // false: not read back from the log so far
	HomeAZ  model.AZ    `json:"homeAZ"`
}

// CancelReceipt answers a cancellation. Cancelling an ended job changes nothing.
type CancelReceipt struct {
	Job     model.JobID `json:"job"`
	State   JobState    `json:"state"`
	Durable bool        `json:"durable"`
}

// BackendState is the state of a backend server as this VM knows it.
type BackendState struct {
	Server      model.BackendServer `json:"server"`
	Live        bool                `json:"live"`
	Leaving     bool                `json:"leaving"`
	Quarantined bool                `json:"quarantined"`
	FreeSlots   int                 `json:"freeSlots"`
	Incarnation string              `json:"incarnation,omitempty"` // of its latest report to this VM
	LastSeen    time.Time           `json:"lastSeen"`
}

// Condition summarises a BackendState.
type Condition string

// The conditions of a backend server.
const (
	ConditionLive        Condition = "live"
	ConditionLeaving     Condition = "leaving"
	ConditionQuarantined Condition = "quarantined"
	ConditionLost        Condition = "lost"
)

// Condition returns the reason why the backend server gets no new work, or ConditionLive.
func (b BackendState) Condition() Condition {
	switch {
	case !b.Live:
		return ConditionLost
	case b.Leaving:
		return ConditionLeaving
	case b.Quarantined:
		return ConditionQuarantined
	default:
		return ConditionLive
	}
}

// TermState is the term of an availability zone as this VM knows it.
type TermState struct {
	AZ          model.AZ          `json:"az"`
	Holder      model.Incarnation `json:"holder"`
	Address     string            `json:"address"`
	Token       model.Token       `json:"token"`
	HeldLocally bool              `json:"mine"`
}

// GuaranteeState reports a guarantee that cannot be honoured in full.
type GuaranteeState struct {
	Organisation model.OrganisationID `json:"organisation"`
	Guarantee    model.Guarantee      `json:"guarantee"`
	Honoured     int                  `json:"honoured"` // of Guarantee.Count
}

// PeerState is the state of another VM as this one knows it.
type PeerState struct {
	Address     string            `json:"address"`
	Incarnation model.Incarnation `json:"incarnation"`
	AZ          model.AZ          `json:"az"`
	Alive       bool              `json:"alive"`
	Leaving     bool              `json:"leaving"`
	Applied     int64             `json:"applied"`
}

// View is an immutable copy of the control state for queries and request routing.
type View struct {
	Time              time.Time
	Incarnation       model.Incarnation
	AZ                model.AZ
	Ready             bool
	Applied           int64 // offset of the last record applied
	Config            *config.Current
	LogReachable      bool
	LogReachableSince time.Time // when LogReachable last changed
	ConfigStalled     string    // set if configuration stopped at a record newer than this VM's schema
	Terms             map[model.AZ]TermState
	Backends          map[model.BackendServerID]BackendState
	// BackendsVersion increases when Backends is rebuilt; otherwise views share the map.
	BackendsVersion  int64
	Peers            []PeerState
	GuaranteesAtRisk []GuaranteeState
	Fragmentation    float64
	Violations       int64
	JobsByState      map[JobState]int
	VMs              []ports.VMEntry
	PartialReason    string // set if this VM may know only part of the state
	ConfigHistory    []journal.Decision
	lookup           func(model.JobID) (JobStatus, bool)
	list             func(model.OrganisationID) []JobStatus
}

// Job returns the status of a job that this VM knows.
func (v *View) Job(id model.JobID) (JobStatus, bool) { return v.lookup(id) }

// Jobs returns the jobs of an organisation, or all for an empty ID, ordered by ID.
func (v *View) Jobs(org model.OrganisationID) []JobStatus { return v.list(org) }

// Service is the interface of the control loop for commands and queries.
type Service interface {
	// Submit accepts a job whose shape was checked, or returns a *Refusal.
	Submit(ctx context.Context, job model.Job) (JobReceipt, error)
	// Cancel cancels jobs, all in one step of the loop. A job that is not known gets a receipt
	// with an empty state.
	Cancel(ctx context.Context, ids []model.JobID) ([]CancelReceipt, error)
	// Publish appends a configuration change whose records were checked, reads it
	// back and returns the verdict. The verdict is unknown when ctx ends first.
	Publish(ctx context.Context, entryID string, change journal.ConfigChange) (journal.Decision, error)
	// Decision returns the verdict on an entry that this VM has replayed.
	Decision(ctx context.Context, entryID string) (journal.Decision, bool)
	// View returns the latest view. It never returns nil.
	View() *View
}

// Refusal is the error of a command that certainly had no effect.
type Refusal struct {
	Reason     model.Reason
	Message    string
	RetryAfter time.Duration // 0 if a retry does not help
}

// Error returns the message.
func (r *Refusal) Error() string { return r.Message }
