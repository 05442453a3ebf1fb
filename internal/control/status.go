package control

import (
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// jobStatus returns the status of a job as this VM knows it.
func (s *State) jobStatus(id model.JobID) (st JobStatus, known bool) {
	if j := s.replica.Job(id); j != nil {
		return s.recordedStatus(j), true
	}
	if l := s.localJobs[id]; l != nil {
		return s.localStatus(l), true
	}
	if g := s.gangs[id]; g != nil {
		return s.gangStatus(g), true
	}
	if o := s.outcomes[id]; o != nil {
		st := JobStatus{Job: o.job, Attempts: 1}
		describeOutcome(&st, o)
		return st, true
	}
	return JobStatus{}, false
}

func (s *State) recordedStatus(j *replica.Job) JobStatus {
	st := JobStatus{Job: j.Job, Durable: true, Attempts: j.Attempt.Number}
	if j.Attempt.Open {
		st.Attempt = j.Attempt.ID
	}
	switch {
	case j.Ended():
		st.State = JobState(j.Result)
		st.Reason = j.Reason
	case s.gangs[j.Job.ID] != nil:
		s.describeGang(&st, s.gangs[j.Job.ID])
	case s.outcomes[j.Job.ID] != nil:
		describeOutcome(&st, s.outcomes[j.Job.ID])
	case j.Attempt.Open:
		s.describeOpenAttempt(&st, j)
	case s.pendingCancels[j.Job.ID] != "":
		st.State = JobCancelled
		st.Durable = false
	default:
		st.State = JobWaiting
		st.Reason = s.waitReason(j)
	}
	return st
}

func (s *State) localStatus(l *localJob) JobStatus {
	st := JobStatus{Job: l.job, Attempt: l.attempt}
	if l.attempt != "" {
		st.Attempts = 1
	}
	id := l.job.ID
	switch {
	case s.gangs[id] != nil:
		s.describeGang(&st, s.gangs[id])
	case s.outcomes[id] != nil:
		describeOutcome(&st, s.outcomes[id])
	case s.pendingCancels[id] != "":
		st.State = JobCancelled
	default:
		st.State = JobWaiting
		st.Reason = s.localReason(l)
	}
	return st
}

func (s *State) gangStatus(g *gang) JobStatus {
	st := JobStatus{Job: g.job}
	s.describeGang(&st, g)
	return st
}

func (s *State) describeGang(st *JobStatus, g *gang) {
	st.State = g.phase
	st.Attempt = g.attempt
	st.Attempts = max(st.Attempts, g.number)
	st.Servers = serversOf(g)
	st.Borrowed = g.borrowed
	switch {
	case g.recovering:
		st.Reason = ReasonSurveying
	case g.phase == JobHolding && g.permit == permitClaimed:
		st.Reason = ReasonPermitPending
	case g.phase == JobStopping && s.hasUnresponsiveServer(g):
		st.Reason = ReasonServerUnreachable
	case g.phase == JobStopping || g.phase == JobCheckpointing:
		st.Reason = g.ending.reason
	}
}

// hasUnresponsiveServer reports whether a member that has not ended is on a backend server that does
// not answer.
func (s *State) hasUnresponsiveServer(g *gang) bool {
	for _, m := range g.members {
		v := s.servers[m.server]
		if !m.ended() && v != nil && !s.live(v) {
			return true
		}
	}
	return false
}

func describeOutcome(st *JobStatus, o *outcome) {
	st.Reason = o.ended.Reason
	st.State = JobWaiting
	if o.ended.Final {
		st.State = JobState(o.ended.Result)
		st.Durable = false
	}
}

// describeOpenAttempt describes an attempt that this VM knows only from the log.
func (s *State) describeOpenAttempt(st *JobStatus, j *replica.Job) {
	st.State = JobRunning
	st.Reason = ReasonRecorded
	st.Servers = j.Attempt.Servers
	if !s.schedulesZone(j.Job.HomeAZ) {
		return
	}
	st.State = JobWaiting
	st.Reason = ReasonServerUnreachable
	if s.now.Sub(s.term.actingSince) < s.settings.Lease {
		st.Reason = ReasonSurveying
	}
	if s.permitMayBeUsed(j) {
		st.Reason = ReasonPermitElsewhere
	}
}

func (s *State) waitReason(j *replica.Job) model.Reason {
	id := j.Job.ID
	switch {
	case !s.log.reachable && !j.Job.Idempotent:
		return ReasonLogUnreachable
	case !s.schedulesZone(j.Job.HomeAZ):
		return s.remoteReason(j.Job.HomeAZ)
	case !s.readyToPlace():
		return ReasonSurveying
	}
	if _, delayed := s.retryAt[id]; delayed {
		return ReasonRetryDelayed
	}
	if r, ok := s.placement.waiting[id]; ok {
		return r
	}
	return ReasonPending
}

func (s *State) remoteReason(az model.AZ) model.Reason {
	if s.holderOf(az) == nil {
		return ReasonNoHolder
	}
	return ReasonRecorded
}

func (s *State) localReason(l *localJob) model.Reason {
	e := s.entries[acceptEntryID(l.job.ID)]
	switch {
	case l.permit == permitOffered:
		return ReasonPermitElsewhere
	case e != nil && e.state == appendOutcomeInDoubt:
		return ReasonLogInDoubt
	case l.permit == permitNone:
		return ReasonLogUnreachable
	case !s.schedulesZone(l.job.HomeAZ):
		return s.remoteReason(l.job.HomeAZ)
	}
	if r, ok := s.placement.waiting[l.job.ID]; ok {
		return r
	}
	return ReasonPending
}
