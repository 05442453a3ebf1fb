package command

import (
	"context"
	"fmt"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Limits of a gang shape.
const (
	maxGangTasks        = 256
	maxTaskAccelerators = 64
)

// Submit checks a job and passes it to the control loop. The error is an
// *InvalidError, a *control.Refusal, or wraps ports.ErrUnavailable or ports.ErrInDoubt.
func (h *Handler) Submit(ctx context.Context, job model.Job) (control.JobReceipt, error) {
	release, err := h.admit()
	if err != nil {
		return control.JobReceipt{}, err
	}
	defer release()
	if findings := checkJob(job, h.Control.View().Config); len(findings) > 0 {
		return control.JobReceipt{}, &InvalidError{Findings: findings}
	}
	if job.ID == "" {
		job.ID = model.JobID(model.RandomID())
	}
	return h.Control.Submit(ctx, job)
}

// checkJob returns all findings about a job.
func checkJob(job model.Job, current *config.Current) config.Findings {
	var findings config.Findings
	add := func(field, format string, args ...any) {
		findings = append(findings, config.Finding{Field: field, Message: fmt.Sprintf(format, args...)})
	}
	if _, ok := current.Organisations[job.Organisation]; !ok {
		add("organisation", "organisation %q is not configured", job.Organisation)
	}
	if job.Shape.Tasks < 1 || job.Shape.Tasks > maxGangTasks {
		add("shape.tasks", "must be between 1 and %d", maxGangTasks)
	}
	if job.Shape.Accelerators < 1 || job.Shape.Accelerators > maxTaskAccelerators {
		add("shape.accelerators", "must be between 1 and %d", maxTaskAccelerators)
	}
	if !job.Shape.Adjacency.Valid() {
		add("shape.adjacency", "must be server, rack or any")
	}
	if job.DeclaredRuntime < 0 {
		add("declaredRuntime", "must not be negative")
	}
	return findings
}
