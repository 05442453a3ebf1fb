package query

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// holderTimeout is the timeout of the call to a term holder.
const holderTimeout = time.Second

// PeerJobs returns the status of a job as another VM knows it.
type PeerJobs interface {
	Job(ctx context.Context, address string, id model.JobID) (status control.JobStatus, known bool, err error)
}

// Job returns the status of a job. If the job has not ended and another VM schedules it,
// Job asks that VM, since the log does not record the phase of a job or the reason why it
// waits. If that VM does not know the job or cannot be reached, the result is what this
// VM knows.
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
	peerStatus, ok, err := h.PeerJobs.Job(ctx, holder.Address, id)
	if err != nil || !ok {
		return status, known
	}
	return peerStatus, true
}
