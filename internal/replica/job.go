package replica

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// JobResult is the result of a job or, in a JobEnded entry, of an attempt.
type JobResult string

// The values of JobResult. ResultRetry ends an attempt; the job will run again.
const (
	ResultDone      JobResult = "done"
	ResultFailed    JobResult = "failed"
	ResultCancelled JobResult = "cancelled"
	ResultRetry     JobResult = "retry"
)

// Attempt is a job's newest attempt: the one whose start permit replay accepted last.
type Attempt struct {
	ID      model.AttemptID         `json:"id"`
	Number  int                     `json:"number"`
	Term    model.Token             `json:"term"`
	Servers []model.BackendServerID `json:"servers,omitempty"`
	// Incarnations are those of the servers, or of all servers that may be, when the attempt was
	// claimed or granted, as far as they are known.
	Incarnations map[model.BackendServerID]string `json:"incarnations,omitempty"`
	// Acceptor is set when the VM that accepted the job granted the permit itself, in
	// the JobAccepted entry.
	Acceptor model.Incarnation `json:"acceptor,omitempty"`
	// GivenTo is the VM that may have got that permit from the acceptor.
	GivenTo model.Incarnation `json:"givenTo,omitempty"`
	Open    bool              `json:"open"`
}

// Job is the state of a job according to the log.
type Job struct {
	Job            model.Job         `json:"job"`
	Acceptor       model.Incarnation `json:"acceptor"`
	AcceptedOffset int64             `json:"accepted"` // offset of the entry
	AcceptedAt     time.Time         `json:"acceptedAt"`
	// QueuedAt is when the last attempt ended without ending the job; zero before.
	QueuedAt time.Time `json:"queuedAt,omitzero"`
	// Waited is how long the job waited before each attempt so far, in all.
	Waited time.Duration `json:"waited,omitzero"`
	// HomeRevision is the offset of the entry that set the home availability zone.
	HomeRevision  int64                   `json:"homeRevision"`
	Attempt       Attempt                 `json:"attempt"`
	FailedServers []model.BackendServerID `json:"failed,omitempty"` // backend servers on which attempts failed
	Checkpoint    string                  `json:"checkpoint,omitempty"`
	Cancelled     bool                    `json:"cancelled"`
	Result        JobResult               `json:"result,omitempty"` // set when the job ended
	Reason        model.Reason            `json:"reason,omitempty"`
}

// Ended reports whether the job will not run again.
func (j *Job) Ended() bool { return j.Result != "" }

// Job returns a job; nil when it is not known. The caller must not modify it.
func (s *State) Job(id model.JobID) *Job { return s.jobs[id] }

// Jobs calls f for each job in no fixed order.
func (s *State) Jobs(f func(*Job)) {
	for _, j := range s.jobs {
		f(j)
	}
}

// OpenJobs calls f for each job that has not ended, in no fixed order.
func (s *State) OpenJobs(f func(*Job)) {
	for _, j := range s.open {
		f(j)
	}
}

func (s *State) applyAccepted(l journal.LocatedEntry, a journal.JobAccepted) journal.Decision {
	if a.Job.ID == "" {
		return malformed("job without ID")
	}
	if j := s.jobs[a.Job.ID]; j != nil {
		return conflict(j.AcceptedOffset, "the job was accepted before")
	}
	j := &Job{
		Job:            a.Job,
		Acceptor:       a.Acceptor,
		AcceptedOffset: l.Offset,
		AcceptedAt:     l.Time,
		HomeRevision:   l.Offset,
	}
	if a.Attempt != "" {
		j.Attempt = Attempt{
			ID:           a.Attempt,
			Number:       1,
			Acceptor:     a.Acceptor,
			GivenTo:      a.GivenTo,
			Incarnations: a.Incarnations,
			Open:         true,
		}
	}
	s.jobs[a.Job.ID] = j
	s.open[a.Job.ID] = j
	return accepted()
}

func (s *State) applyCancelled(l journal.LocatedEntry, c journal.JobCancelled) journal.Decision {
	j := s.jobs[c.Job]
	if j == nil {
		return conflict(0, "no such job")
	}
	if j.Ended() || j.Cancelled {
		return accepted()
	}
	j.Cancelled = true
	if !j.Attempt.Open {
		s.endJob(j, l.Offset, ResultCancelled, "")
	}
	return accepted()
}

func (s *State) applyMoved(l journal.LocatedEntry, m journal.JobMoved) journal.Decision {
	j := s.jobs[m.Job]
	if j == nil || j.Ended() {
		return conflict(0, "no such pending job")
	}
	if j.HomeRevision != m.ExpectedRevision {
		return conflict(j.HomeRevision, "the home was changed by another entry")
	}
	if j.Attempt.Open {
		return conflict(j.HomeRevision, "an attempt is open")
	}
	j.Job.HomeAZ = m.Home
	j.HomeRevision = l.Offset
	return accepted()
}

func (s *State) applyAttempt(l journal.LocatedEntry, a journal.AttemptClaimed) journal.Decision {
	j := s.jobs[a.Job]
	if j == nil || j.Ended() || j.Cancelled {
		return conflict(0, "no such pending job")
	}
	term := s.terms[j.Job.HomeAZ]
	if a.Term.Offset != term.Offset {
		return conflict(term.Offset, "the term has passed on")
	}
	if j.Attempt.Open || a.Number != j.Attempt.Number+1 {
		return conflict(j.AcceptedOffset, "another attempt was claimed")
	}
	queuedAt := j.AcceptedAt
	if j.QueuedAt.After(queuedAt) {
		queuedAt = j.QueuedAt
	}
	j.Waited += max(l.Time.Sub(queuedAt), 0)
	j.Attempt = Attempt{
		ID:           a.Attempt,
		Number:       a.Number,
		Term:         a.Term,
		Servers:      a.Servers,
		Incarnations: a.Incarnations,
		Open:         true,
	}
	return accepted()
}

func (s *State) applyEnded(l journal.LocatedEntry, e journal.JobEnded) journal.Decision {
	j := s.jobs[e.Job]
	if j == nil || j.Ended() {
		return conflict(0, "no such open job")
	}
	if e.Attempt != "" && (!j.Attempt.Open || j.Attempt.ID != e.Attempt) {
		return conflict(j.AcceptedOffset, "the attempt is not open")
	}
	if e.Attempt == "" && j.Attempt.Open {
		return conflict(j.AcceptedOffset, "an attempt is open")
	}
	j.Attempt.Open = false
	j.QueuedAt = l.Time
	if e.Checkpoint != "" {
		j.Checkpoint = e.Checkpoint
	}
	j.FailedServers = union(j.FailedServers, e.FailedOn)
	switch {
	case e.Final:
		s.endJob(j, l.Offset, JobResult(e.Result), e.Reason)
	case j.Cancelled:
		s.endJob(j, l.Offset, ResultCancelled, "")
	}
	return accepted()
}

func (s *State) endJob(j *Job, offset int64, r JobResult, reason model.Reason) {
	j.Result = r
	j.Reason = reason
	j.Job.Payload = ""
	s.ended.add(j.Job.ID, offset)
	delete(s.open, j.Job.ID)
}

func union(known, more []model.BackendServerID) []model.BackendServerID {
	for _, id := range more {
		if !slices.Contains(known, id) {
			known = append(known, id)
		}
	}
	return known
}
