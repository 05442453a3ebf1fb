package fleet

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// maxDoubtsSent bounds the jobs that a heartbeat names as in doubt.
	maxDoubtsSent = 24
	// tellDoubtsInterval is the shortest time between two heartbeats that only tell of doubts.
	tellDoubtsInterval = 50 * time.Millisecond
)

// Doubts tells VMs which submissions have no answer from the store: a job may be stored although a read does not show
// it. A doubt ends after ForMs, in milliseconds. Without Jobs it is about any job.
type Doubts struct {
	Jobs  []model.JobID `json:"jobs,omitempty"`
	ForMs int64         `json:"forMs"`
}

// doubtTable holds until when the submissions of jobs may turn out to be stored.
type doubtTable struct {
	until map[model.JobID]time.Time
	any   time.Time // the same for all jobs
}

func (d *doubtTable) add(id model.JobID, until time.Time) {
	if d.until == nil {
		d.until = make(map[model.JobID]time.Time)
	}
	if until.After(d.until[id]) {
		d.until[id] = until
	}
}

func (d *doubtTable) contains(id model.JobID, now time.Time) bool {
	return now.Before(d.any) || now.Before(d.until[id])
}

// expire forgets doubts that have ended.
func (d *doubtTable) expire(now time.Time) {
	for id, until := range d.until {
		if !now.Before(until) {
			delete(d.until, id)
		}
	}
}

// merge adds what a heartbeat tells.
func (d *doubtTable) merge(heard *Doubts, now time.Time) {
	if heard == nil || heard.ForMs <= 0 {
		return
	}
	until := now.Add(time.Duration(min(heard.ForMs, StoreDoubt.Milliseconds())) * time.Millisecond)
	if len(heard.Jobs) == 0 {
		d.any = maxTime(d.any, until)
	}
	for _, id := range heard.Jobs[:min(len(heard.Jobs), maxDoubtsSent)] {
		d.add(id, until)
	}
}

// doubtsMessage returns what heartbeats tell of the tables; nil if nothing is in doubt.
func doubtsMessage(now time.Time, tables ...*doubtTable) *Doubts {
	m := &Doubts{}
	latest, all := time.Time{}, false
	for _, d := range tables {
		all = all || now.Before(d.any)
		latest = maxTime(latest, d.any)
		for id, until := range d.until {
			if now.Before(until) {
				m.Jobs = append(m.Jobs, id)
				latest = maxTime(latest, until)
			}
		}
	}
	if !now.Before(latest) {
		return nil
	}
	slices.Sort(m.Jobs)
	m.Jobs = slices.Compact(m.Jobs)
	if all || len(m.Jobs) > maxDoubtsSent {
		m.Jobs = nil
	}
	m.ForMs = latest.Sub(now).Milliseconds() + 1
	return m
}

// submissionUnanswered notes that the store has not answered an append of a job's submission by this VM.
func (s *State) submissionUnanswered(id model.JobID) {
	s.ownDoubts.expire(s.now)
	s.ownDoubts.add(id, s.now.Add(StoreDoubt))
	s.doubtsUntold = true
}

// tellDoubts tells the replicas of new doubts of this VM at once, since they may be asked about the job next. The holder
// repeats it with its heartbeats.
func (s *State) tellDoubts() {
	if !s.doubtsUntold || s.now.Sub(s.doubtsToldAt) < tellDoubtsInterval {
		return
	}
	s.doubtsUntold, s.doubtsToldAt = false, s.now
	var nodes []string
	if s.LargeFleet() {
		for _, r := range s.role.replicas {
			if _, known := s.peers[r.Node]; known && r.Node != s.self.Node {
				nodes = append(nodes, r.Node)
			}
		}
	} else {
		for node := range s.peers {
			if node != s.self.Node {
				nodes = append(nodes, node)
			}
		}
	}
	if len(nodes) > 0 {
		s.emit(SendHeartbeat{Heartbeat: s.heartbeat(), To: s.addresses(nodes)})
	}
}

// doubtsHeard adds what another VM's heartbeat tells.
func (s *State) doubtsHeard(h Heartbeat) {
	s.heardDoubts.expire(s.now)
	s.heardDoubts.merge(h.Doubts, s.now)
}

// doubts returns what this VM's heartbeats tell: its own doubts, and at the holder also those that it has heard of.
func (s *State) doubts() *Doubts {
	if s.holdsTerm() {
		return doubtsMessage(s.now, &s.ownDoubts, &s.heardDoubts)
	}
	return doubtsMessage(s.now, &s.ownDoubts)
}

// SubmissionInDoubt reports whether a job that no read shows may still turn out to be stored: its submission or its
// early cancellation was sent lately, as far as this VM knows.
func (s *State) SubmissionInDoubt(id model.JobID) bool {
	if at, cancelled := s.jobs.EarlyCancel(id); cancelled && s.now.Sub(at) < StoreDoubt {
		return true
	}
	return s.ownDoubts.contains(id, s.now) || s.heardDoubts.contains(id, s.now)
}
