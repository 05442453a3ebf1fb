package standin

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// ExecutionRecord is a backend server's own account of one request.
type ExecutionRecord struct {
	Request model.RequestID `json:"request"`
	Caller  model.CallerID  `json:"caller"`
	Kind    string          `json:"kind"`
	Input   string          `json:"input"` // SHA-256 of the body, hexadecimal
	// Times counts how often the request was executed: 0 or 1.
	Times int `json:"times"`
	// Received counts how often it was sent here, also when it was refused.
	Received int                  `json:"received"`
	State    ports.ExecutionState `json:"state"`
	Started  time.Time            `json:"started"`
	Ended    time.Time            `json:"ended"`
}

// TaskRecord is a backend server's own account of one task. A zero time means that
// it did not happen.
type TaskRecord struct {
	Task         model.TaskID         `json:"task"`
	Job          model.JobID          `json:"job"`
	Attempt      model.AttemptID      `json:"attempt"`
	Organisation model.OrganisationID `json:"organisation"`
	Members      int                  `json:"members"` // the size of the gang
	Accelerators int                  `json:"accelerators"`
	State        ports.TaskState      `json:"state"`
	Held         time.Time            `json:"held"`
	Started      time.Time            `json:"started"`
	Ended        time.Time            `json:"ended"`
	Lease        time.Duration        `json:"lease"` // the longest that was granted
}

// Offer is new work that was sent to a backend server, taken or not.
type Offer struct {
	Time    time.Time       `json:"time"`
	Request model.RequestID `json:"request,omitempty"`
	Task    model.TaskID    `json:"task,omitempty"`
	Refused ports.Refusal   `json:"refused,omitempty"`
}

// BackendRecord is a backend server's own account of its work.
type BackendRecord struct {
	ID         model.BackendServerID `json:"id"`
	Token      model.Token           `json:"token"`
	Executions []ExecutionRecord     `json:"executions"` // ordered by request
	Tasks      []TaskRecord          `json:"tasks"`      // ordered by task
	Offers     []Offer               `json:"offers"`     // ordered by time
}
