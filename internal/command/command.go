// Package command implements the calls of the API that change state: submitting and
// cancelling jobs, publishing configuration, running requests and issuing tickets.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/dispatch"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// ReasonDraining is the reason for refusing commands during a planned stop.
	ReasonDraining model.Reason = "draining"
	// ReasonConfigStalled is the reason for refusing a configuration change on a VM that
	// cannot read the newest configuration. Without an expected revision, the change would
	// be checked against an old configuration and end in a conflict.
	ReasonConfigStalled model.Reason = "configuration stalled"
)

// drainingRetryAfter is the time in which the traffic moves to another VM.
const drainingRetryAfter = time.Second

// CheckFunc checks new records against the current configuration.
type CheckFunc func(current *config.Current, records []json.RawMessage) config.Findings

// Handler executes commands.
type Handler struct {
	Control   control.Service
	Dispatch  dispatch.Service
	Check     CheckFunc
	TicketTTL time.Duration
	Gate      *Gate
}

// InvalidError reports a command with invalid fields. The command had no effect.
type InvalidError struct {
	Findings config.Findings
}

// Error returns the number of findings and the first of them.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%d findings, the first: %s: %s", len(e.Findings), e.Findings[0].Field, e.Findings[0].Message)
}

// admit enters the gate, or returns a refusal once the gate is closed.
func (h *Handler) admit() (release func(), err error) {
	release, ok := h.Gate.Enter()
	if !ok {
		return nil, &control.Refusal{
			Reason:     ReasonDraining,
			Message:    "this VM is stopping",
			RetryAfter: drainingRetryAfter,
		}
	}
	return release, nil
}

// Run runs a request until its outcome is known. It does not use the gate: while a
// dispatcher drains, it forwards new requests to other VMs and itself waits for the requests
// that it still runs.
func (h *Handler) Run(ctx context.Context, r dispatch.Request) dispatch.Result {
	return h.Dispatch.Do(ctx, r)
}

// MintTicket returns a new ticket. A ttl of 0 selects the default, TicketTTL.
func (h *Handler) MintTicket(ttl time.Duration) (string, error) {
	release, err := h.admit()
	if err != nil {
		return "", err
	}
	defer release()
	if ttl == 0 {
		ttl = h.TicketTTL
	}
	return h.Dispatch.MintTicket(ttl), nil
}

// Cancel cancels jobs.
func (h *Handler) Cancel(ctx context.Context, ids []model.JobID) ([]control.CancelReceipt, error) {
	release, err := h.admit()
	if err != nil {
		return nil, err
	}
	defer release()
	return h.Control.Cancel(ctx, ids)
}

// Change is a configuration change to publish.
type Change struct {
	ID               string
	Records          []json.RawMessage
	ExpectedRevision *int64 // nil: this VM's current revision
	Comment          string
	DryRun           bool
}

// PublishResult is the result of publishing a change.
type PublishResult struct {
	ID       string
	Valid    bool // set by a dry run without findings
	Findings config.Findings
	Decision journal.Decision
}

// Publish checks a change and publishes it if there are no findings.
func (h *Handler) Publish(ctx context.Context, c Change) (PublishResult, error) {
	release, err := h.admit()
	if err != nil {
		return PublishResult{}, err
	}
	defer release()
	view := h.Control.View()
	if view.ConfigStalled != "" && c.ExpectedRevision == nil {
		message := "this VM cannot read the newest configuration; publish through an upgraded VM," +
			" or give the expected revision: " + view.ConfigStalled
		return PublishResult{}, &control.Refusal{Reason: ReasonConfigStalled, Message: message}
	}
	current := view.Config
	if c.ID == "" {
		c.ID = model.RandomID()
	}
	findings := h.Check(current, c.Records)
	if len(findings) > 0 || c.DryRun {
		return PublishResult{ID: c.ID, Valid: len(findings) == 0, Findings: findings}, nil
	}
	change := journal.ConfigChange{
		ExpectedRevision: current.Revision,
		Records:          c.Records,
		Comment:          c.Comment,
	}
	if c.ExpectedRevision != nil {
		change.ExpectedRevision = *c.ExpectedRevision
	}
	decision, err := h.Control.Publish(ctx, c.ID, change)
	return PublishResult{ID: c.ID, Decision: decision}, err
}
