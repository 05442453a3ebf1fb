package standin

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// ExecutionRecord is a backend server's own record of one request.
type ExecutionRecord struct {
	Request model.RequestID `json:"request"`
	Caller  model.CallerID  `json:"caller"`
	Kind    string          `json:"kind"`
	Input   string          `json:"input"` // SHA-256 of the body, hexadecimal
	// Times counts how often the request was executed: 0 or 1.
	Times int `json:"times"`
	// Received counts how often the request arrived, including arrivals refused because of an
	// earlier lookup, but not those refused because the backend server was full or leaving.
	Received int                  `json:"received"`
	State    ports.ExecutionState `json:"state"`
	Started  time.Time            `json:"started"`
	Ended    time.Time            `json:"ended"`
}

// TaskRecord is a backend server's own record of one task. A zero time means that the
// event did not happen.
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
	Lease        time.Duration        `json:"lease"` // the longest lease granted
}

// Offer is new work that was sent to a backend server, whether it was accepted or refused.
type Offer struct {
	Time    time.Time       `json:"time"`
	Request model.RequestID `json:"request,omitempty"`
	Task    model.TaskID    `json:"task,omitempty"`
	Refused ports.Refusal   `json:"refused,omitempty"`
}

// BackendRecord is a backend server's own record of its work.
type BackendRecord struct {
	ID         model.BackendServerID `json:"id"`
	Token      model.Token           `json:"token"`
	Executions []ExecutionRecord     `json:"executions"` // ordered by request
	Tasks      []TaskRecord          `json:"tasks"`      // ordered by task
	Offers     []Offer               `json:"offers"`     // ordered by time
}
