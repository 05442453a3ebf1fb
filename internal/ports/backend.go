package ports

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// TaskState is the state of a task on a backend server.
type TaskState string

// The states of a task. Held and running tasks keep their accelerators until
// their lease expires; then the backend server stops the task.
const (
	TaskHeld         TaskState = "held"
	TaskRunning      TaskState = "running"
	TaskStopped      TaskState = "stopped"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskLeaseExpired TaskState = "lapsed"
)

// Active reports whether the task still occupies accelerators.
func (s TaskState) Active() bool { return s == TaskHeld || s == TaskRunning }

// Verb names a command to a task.
type Verb string

// The commands. Hold reserves accelerators, Start runs a held task, Renew extends
// the lease, Checkpoint saves progress, Stop ends the task and frees accelerators.
// All are idempotent for the same task.
const (
	VerbHold       Verb = "hold"
	VerbStart      Verb = "start"
	VerbRenew      Verb = "renew"
	VerbCheckpoint Verb = "checkpoint"
	VerbStop       Verb = "stop"
)

// TaskCommand is one command to one task.
type TaskCommand struct {
	Verb         Verb                 `json:"verb"`
	Task         model.TaskID         `json:"task"`
	Job          model.JobID          `json:"job,omitempty"`          // hold
	Attempt      model.AttemptID      `json:"attempt,omitempty"`      // hold
	Organisation model.OrganisationID `json:"organisation,omitempty"` // hold
	Accelerators int                  `json:"accelerators,omitempty"` // hold
	Members      int                  `json:"members,omitempty"`      // hold: the size of the gang
	Lease        time.Duration        `json:"lease,omitempty"`        // hold, start, renew; starts at receipt
	Payload      string               `json:"payload,omitempty"`      // hold
	Checkpoint   string               `json:"checkpoint,omitempty"`   // hold: resume from here
}

// CommandBatch is a list of commands under one fencing token. A backend server
// refuses the whole batch if it has seen a newer token.
type CommandBatch struct {
	Token    model.Token   `json:"token"`
	Commands []TaskCommand `json:"commands"`
}

// Refusal is the reason why a command had no effect.
type Refusal string

// The refusals of a backend server.
const (
	RefusedFenced    Refusal = "fenced"  // a newer token was seen
	RefusedFull      Refusal = "full"    // no accelerators or slots free
	RefusedLeaving   Refusal = "leaving" // no new work is taken
	RefusedNoTask    Refusal = "no such task"
	RefusedNotActive Refusal = "not active" // the task ended or its lease expired
	// RefusedOtherIncarnation answers a request that is meant for another incarnation of the server.
	RefusedOtherIncarnation Refusal = "other incarnation"
)

// TaskResult answers one TaskCommand. An empty Refused means that it took effect.
type TaskResult struct {
	Task       model.TaskID `json:"task"`
	Refused    Refusal      `json:"refused,omitempty"`
	State      TaskState    `json:"state"`
	Checkpoint string       `json:"checkpoint,omitempty"`
}

// TaskReport is the state of one task in a BackendStatus.
type TaskReport struct {
	Task         model.TaskID         `json:"task"`
	Job          model.JobID          `json:"job"`
	Attempt      model.AttemptID      `json:"attempt"`
	Organisation model.OrganisationID `json:"organisation"`
	Accelerators int                  `json:"accelerators"`
	Members      int                  `json:"members"`
	State        TaskState            `json:"state"`
	Checkpoint   string               `json:"checkpoint,omitempty"`
	Error        string               `json:"error,omitempty"`
	// Usage is the share of the accelerators in use, 0 to 1. It is reported with a delay.
	Usage float64 `json:"usage"`
}

// BackendStatus is the status that a backend server reports. Ended tasks stay
// listed for a limited time.
type BackendStatus struct {
	ID        model.BackendServerID `json:"id"`
	Leaving   bool                  `json:"leaving"`
	FreeSlots int                   `json:"freeSlots"`
	Token     model.Token           `json:"token"` // the newest seen
	// Incarnation differs after each restart of the server. Empty if the server does not tell it.
	Incarnation string       `json:"incarnation,omitempty"`
	Tasks       []TaskReport `json:"tasks"`
}

// Execution is a request as sent to a backend server.
type Execution struct {
	Request      model.RequestID      `json:"request"`
	Kind         string               `json:"kind"`
	Organisation model.OrganisationID `json:"organisation"`
	Caller       model.CallerID       `json:"caller"`
	Body         []byte               `json:"body"`
	// Incarnation is the server's incarnation that the request is meant for; another one refuses it, since it
	// does not know what became of the request before. Empty if it is not known.
	Incarnation string `json:"incarnation,omitempty"`
	// Timeout is how long the sender waits; after that the backend server may abort.
	Timeout time.Duration `json:"timeout"`
}

// ExecutionState is the state of a request on a backend server.
type ExecutionState string

// The states of an execution. Refused means that it never ran on this backend server.
const (
	ExecutionRunning ExecutionState = "running"
	ExecutionDone    ExecutionState = "done"
	ExecutionFailed  ExecutionState = "failed"
	ExecutionRefused ExecutionState = "refused"
)

// Answer is a backend server's answer to an Execution or to a lookup of one.
type Answer struct {
	Request model.RequestID `json:"request"`
	State   ExecutionState  `json:"state"`
	Refused Refusal         `json:"refused,omitempty"`
	Body    []byte          `json:"body,omitempty"`
	Length  int             `json:"length"`
	Digest  string          `json:"digest,omitempty"` // SHA-256 of Body, hexadecimal
	Error   string          `json:"error,omitempty"`
	// FreeSlots is the number of free slots when the answer was written.
	FreeSlots int `json:"freeSlots"`
	// Incarnation is that of the server. Empty if the server does not tell it.
	Incarnation string `json:"incarnation,omitempty"`
}

// Backend is the port to one backend server. Errors wrap ErrUnavailable if the
// call certainly had no effect there and ErrInDoubt otherwise.
type Backend interface {
	Status(ctx context.Context) (BackendStatus, error)
	// Command executes a batch; results are in the order of the commands.
	Command(ctx context.Context, batch CommandBatch) ([]TaskResult, error)
	// Execute runs a request and waits for its answer. A backend server executes
	// each request ID at most once and answers a repeat with the state of the first execution.
	Execute(ctx context.Context, e Execution) (Answer, error)
	// Lookup returns the state of a request. It uses another connection than the one
	// that carried the request. The error wraps ErrNotFound if the backend server never
	// received the request; it then refuses the request from now on. If the backend server
	// may have restarted since the request was sent, its answer is no proof and the error
	// wraps ErrInDoubt.
	Lookup(ctx context.Context, id model.RequestID) (Answer, error)
	// Ping checks that the connection works.
	Ping(ctx context.Context) error
}

// Dialer returns the port to the backend server at an address. The ports are
// cached and safe for concurrent use.
type Dialer interface {
	Backend(address string) Backend
}
