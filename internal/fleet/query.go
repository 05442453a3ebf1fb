package fleet

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
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

// CouldFit reports whether some backend server that is known could hold a task of
// the step when it is empty. Without any known backend server it says yes.
func (s *State) CouldFit(service string, step *job.Step) bool {
	seen := false
	for _, v := range s.servers {
		if !v.listed || v.entry.Service != service {
			continue
		}
		seen = true
		if step.Reserved().FitsIn(v.entry.Capacity) {
			return true
		}
	}
	return !seen
}

// Synced reports whether the stored records have been read.
func (s *State) Synced() bool { return s.synced() }

// StoreSilence is how long the store has not answered.
func (s *State) StoreSilence() time.Duration { return s.now.Sub(s.storeSeen) }

// Holder is the address that takes passed-on calls at the holder of the term, empty
// when it is this VM or not known.
func (s *State) Holder() string {
	if s.acting() || s.claim.Offset < 0 {
		return ""
	}
	return s.claim.Forward
}

// Holding reports whether this VM holds the term.
func (s *State) Holding() bool { return s.acting() }

// Eager reports whether this VM holds the term or may be about to take it, so that it
// has to know the records at once.
func (s *State) Eager() bool {
	return s.acting() || s.term.claiming || s.now.Sub(s.term.heard) > 2*heartbeatInterval
}

// PeerForwards lists where other VMs take passed-on calls.
func (s *State) PeerForwards() []string {
	var list []string
	for _, node := range eventloop.SortedKeys(s.peers) {
		if node != s.self.Node {
			list = append(list, s.peers[node].Forward)
		}
	}
	return list
}
