package query

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// holderTimeout bounds the question to a term holder.
const holderTimeout = time.Second

// PeerJobs asks another VM for what it knows of a job.
type PeerJobs interface {
	Job(ctx context.Context, address string, id model.JobID) (status control.JobStatus, known bool, err error)
}

// Job returns the status of a job. While the job is open and another VM schedules
// it, that VM is asked, since the log holds no phases and reasons; this VM's own
// knowledge is the answer when it cannot be reached.
func (h *Handler) Job(ctx context.Context, id model.JobID) (control.JobStatus, bool) {
	view := h.Control.View()
	status, known := view.Job(id)
	if !known || status.State.Ended() {
		return status, known
	}
	holder := view.Terms[status.Job.HomeAZ]
	if holder.HeldLocally || holder.Address == "" {
		return status, known
	}
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	asked, ok, err := h.PeerJobs.Job(ctx, holder.Address, id)
	if err != nil || !ok {
		return status, known
	}
	return asked, true
}
