// Package api defines the messages of the HTTP API and its client.
package api

import (
	"encoding/json"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/dispatch"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// ConfigChangeRequest publishes records as one configuration change.
type ConfigChangeRequest struct {
	// ID makes a retry of the change idempotent. If it is empty, the VM generates one.
	ID      string            `json:"id,omitempty"`
	Records []json.RawMessage `json:"records"`
	// ExpectedRevision is the revision on which the change is based; nil means the current
	// revision of the VM that receives the change.
	ExpectedRevision *int64 `json:"expectedRevision,omitempty"`
	Comment          string `json:"comment,omitempty"`
	DryRun           bool   `json:"dryRun,omitempty"`
}

// Verdicts on a change in addition to those of package journal.
const (
	VerdictRefused = "refused" // not published because of the findings
	VerdictValid   = "valid"   // dry run without findings
)

// ConfigChangeReply is the verdict on a change.
type ConfigChangeReply struct {
	ID       string          `json:"id"`
	Verdict  string          `json:"verdict"`
	Offset   int64           `json:"offset,omitempty"`
	Winner   int64           `json:"winner,omitempty"` // offset of the change that was accepted instead
	Detail   string          `json:"detail,omitempty"`
	Findings config.Findings `json:"findings,omitempty"`
}

// ConfigReply is the current configuration.
type ConfigReply struct {
	Revision int64             `json:"revision"`
	Records  []json.RawMessage `json:"records"`
	Stalled  string            `json:"stalled,omitempty"` // why the VM cannot read the newest configuration
}

// ConfigHistoryReply lists the decisions on configuration changes, the latest first.
type ConfigHistoryReply struct {
	Decisions []journal.Decision `json:"decisions"`
}

// JobSubmitRequest submits a job.
type JobSubmitRequest struct {
	// ID makes a retry of the submission idempotent. If it is empty, the VM generates one.
	ID              model.JobID          `json:"id,omitempty"`
	Organisation    model.OrganisationID `json:"organisation"`
	Shape           model.GangShape      `json:"shape"`
	Class           string               `json:"class"`
	AZ              model.AZ             `json:"az,omitempty"` // home zone; chosen by the VM if empty
	DeclaredRuntime string               `json:"declaredRuntime,omitempty"`
	Idempotent      bool                 `json:"idempotent,omitempty"`
	Payload         string               `json:"payload,omitempty"`
}

// JobListReply lists jobs.
type JobListReply struct {
	Jobs []control.JobStatus `json:"jobs"`
}

// JobCancelRequest cancels jobs.
type JobCancelRequest struct {
	Jobs []model.JobID `json:"jobs"`
}

// JobCancelReply has one receipt for each job of the request, in the same order.
type JobCancelReply struct {
	Receipts []control.CancelReceipt `json:"receipts"`
}

// RunRequest is a request to run.
type RunRequest struct {
	ID           model.RequestID      `json:"id,omitempty"`
	Ticket       string               `json:"ticket,omitempty"`
	Kind         string               `json:"kind"`
	Organisation model.OrganisationID `json:"organisation"`
	Caller       model.CallerID       `json:"caller"`
	Body         []byte               `json:"body"`
	DeadlineMS   int64                `json:"deadlineMS,omitempty"` // from now; 0: the deadline of the request kind
}

// OutcomeReply is the outcome of a request.
type OutcomeReply struct {
	ID           model.RequestID `json:"id"`
	Outcome      model.Outcome   `json:"outcome"`
	Reason       model.Reason    `json:"reason,omitempty"`
	Body         []byte          `json:"body,omitempty"`
	Length       int             `json:"length"`
	Digest       string          `json:"digest,omitempty"` // SHA-256 of body, hexadecimal
	RetryAfterMS int64           `json:"retryAfterMS,omitempty"`
}

// TicketRequest asks for a ticket.
type TicketRequest struct {
	TTL string `json:"ttl,omitempty"` // a Go duration; the VM's default if empty
}

// TicketReply is a new ticket.
type TicketReply struct {
	Ticket string `json:"ticket"`
}

// StatusReply is one VM's view of the system.
type StatusReply struct {
	Incarnation      model.Incarnation        `json:"incarnation"`
	AZ               model.AZ                 `json:"az"`
	Ready            bool                     `json:"ready"`
	Draining         bool                     `json:"draining"`
	Partial          string                   `json:"partial,omitempty"`
	Applied          int64                    `json:"applied"`
	ConfigRevision   int64                    `json:"configRevision"`
	ConfigStalled    string                   `json:"configStalled,omitempty"`
	Platform         PlatformStatus           `json:"platform"`
	Terms            []control.TermState      `json:"terms"`
	Peers            []control.PeerState      `json:"peers"`
	Backends         BackendCounts            `json:"backends"`
	BackendList      []control.BackendState   `json:"backendList,omitempty"`
	Queues           []dispatch.QueueState    `json:"queues"`
	Jobs             []JobCount               `json:"jobs"`
	GuaranteesAtRisk []control.GuaranteeState `json:"guaranteesAtRisk"`
	Fragmentation    float64                  `json:"fragmentation"`
	Violations       int64                    `json:"invariantViolations"`
}

// PlatformStatus reports whether the platform's log is reachable.
type PlatformStatus struct {
	Reachable     bool   `json:"reachable"`
	StateDuration string `json:"for"` // time since Reachable last changed, as a Go duration
}

// BackendCounts counts backend servers by condition.
type BackendCounts struct {
	Live        int `json:"live"`
	Leaving     int `json:"leaving"`
	Quarantined int `json:"quarantined"`
	Lost        int `json:"lost"`
}

// JobCount is the number of jobs in one state.
type JobCount struct {
	State control.JobState `json:"state"`
	Count int              `json:"count"`
}

// Problem is the body of an error answer, as in RFC 9457.
type Problem struct {
	Type         string          `json:"type"` // one of the Problem constants
	Title        string          `json:"title"`
	Status       int             `json:"status"`
	Detail       string          `json:"detail,omitempty"`
	Reason       model.Reason    `json:"reason,omitempty"`
	RetryAfterMS int64           `json:"retryAfterMS,omitempty"`
	Findings     config.Findings `json:"findings,omitempty"`
}

// The types of problems.
const (
	ProblemBadRequest  = "bad-request"
	ProblemNotFound    = "not-found"
	ProblemRefused     = "refused" // the command certainly had no effect
	ProblemUnavailable = "unavailable"
	ProblemInDoubt     = "in-doubt" // the command may have had an effect
)
