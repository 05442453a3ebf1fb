package query

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// fakeControl returns a fixed view.
type fakeControl struct {
	control.Service
	view *control.View
}

func (f fakeControl) View() *control.View { return f.view }

// fakePeerJobs returns a fixed answer and records the address that was asked.
type fakePeerJobs struct {
	address string
	status  control.JobStatus
	known   bool
	err     error
}

func (f *fakePeerJobs) Job(_ context.Context, address string, _ model.JobID) (control.JobStatus, bool, error) {
	f.address = address
	return f.status, f.known, f.err
}

func jobStatus(state control.JobState, reason model.Reason) control.JobStatus {
	return control.JobStatus{Job: model.Job{ID: "j", HomeAZ: "b"}, State: state, Reason: reason}
}

func TestJobAsksTheTermHolder(t *testing.T) {
	local := jobStatus(control.JobWaiting, "second-hand")
	holder := control.TermState{AZ: "b", Address: "10.0.0.2:1"}
	heldLocally := control.TermState{AZ: "b", Address: "10.0.0.1:1", HeldLocally: true}
	tests := []struct {
		name   string
		local  control.JobStatus
		term   control.TermState
		holder fakePeerJobs
		want   model.Reason
	}{
		{"holder knows more", local, holder, fakePeerJobs{status: jobStatus(control.JobWaiting, "quota"), known: true}, "quota"},
		{"holder knows nothing", local, holder, fakePeerJobs{}, "second-hand"},
		{"holder unreachable", local, holder, fakePeerJobs{err: ports.ErrUnavailable}, "second-hand"},
		{"own term", local, heldLocally, fakePeerJobs{status: jobStatus(control.JobWaiting, "quota"), known: true}, "second-hand"},
		{"no holder", local, control.TermState{}, fakePeerJobs{known: true}, "second-hand"},
		{"ended", jobStatus(control.JobDone, "end"), holder, fakePeerJobs{known: true}, "end"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			view := control.NewViewWithJobs([]control.JobStatus{tc.local})
			view.Terms = map[model.AZ]control.TermState{"b": tc.term}
			h := &Handler{Control: fakeControl{view: view}, PeerJobs: &tc.holder}
			status, known := h.Job(t.Context(), "j")
			assert.Assert(t, known)
			assert.Equal(t, status.Reason, tc.want)
		})
	}
}
