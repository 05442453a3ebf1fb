package fleet

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// JobStatus returns the recorded state of a job.
func (s *State) JobStatus(id model.JobID) (status job.Status, known bool) {
	st := s.jobs.Job(id)
	if st == nil {
		return "", false
	}
	return st.Recorded, true
}

// Cancelled reports whether a job's cancellation is known.
func (s *State) Cancelled(id model.JobID) bool {
	st := s.jobs.Job(id)
	return st != nil && st.Cancelled
}

// Pending counts the jobs of a queue for which no task has started.
func (s *State) Pending(queue string) int {
	n := 0
	s.jobs.ForEach(func(st *job.State) {
		if st.Job.Queue == queue && st.Recorded == job.StatusQueued {
			n++
		}
	})
	return n
}

// CouldFit reports whether the largest capacity that some listed backend server has had suffices for
// a task of the step: one that has shrunk may grow again. It returns true if none is listed. A VM that
// does not follow the list goes by the holder's summary of it.
func (s *State) CouldFit(service string, step *job.Step) bool {
	if !s.role.active {
		capacities := s.role.largest[service]
		return len(capacities) == 0 || covered(capacities, step.Reserved())
	}
	seen := false
	for _, v := range s.servers {
		if !v.listed || v.entry.Service != service {
			continue
		}
		seen = true
		if step.Reserved().FitsIn(v.largest) {
			return true
		}
	}
	return !seen
}

// Synced reports whether the stored records have been read.
func (s *State) Synced() bool { return s.synced() }

// StoreSilence is the time since the store's last answer.
func (s *State) StoreSilence() time.Duration { return s.now.Sub(s.storeAnsweredAt) }

// HolderForwardAddress is where the holder of the term receives forwarded calls; empty if this
// VM is the holder or the holder is not known.
func (s *State) HolderForwardAddress() string {
	switch {
	case s.holdsTerm():
		return ""
	case s.claim.Offset >= 0:
		return s.claim.Forward
	case s.term.holder.Node != "":
		return s.term.holder.Forward
	default:
		return s.role.holderForward
	}
}

// HoldsTerm reports whether this VM holds the term.
func (s *State) HoldsTerm() bool { return s.holdsTerm() }

// NeedsFreshRecords reports whether this VM has to read new records without delay, since it
// holds the term or may take it soon.
func (s *State) NeedsFreshRecords() bool {
	return s.holdsTerm() || s.term.claiming || s.now.Sub(s.term.holderHeardAt) > 2*heartbeatInterval
}
