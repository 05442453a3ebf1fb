package control

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// unexpected handles a task that this VM did not start: it is part of a gang to
// take over, or left from an attempt that is closed.
func (s *State) unexpected(id model.BackendServerID, r ports.TaskReport) {
	g := s.gangs[r.Job]
	if g != nil && g.attempt == r.Attempt {
		if g.gathering {
			s.adoptMember(g, id, r)
		}
		return
	}
	if g != nil || s.closed(r) {
		s.stopStray(id, r)
		return
	}
	if o := s.outcomes[r.Job]; o != nil && o.ended.Attempt == r.Attempt {
		s.stopStray(id, r)
		return
	}
	if !r.State.Active() && !s.open(r) {
		return
	}
	s.adoptMember(s.adopt(r), id, r)
	s.takeUpReported(r.Attempt)
}

// stopStray stops a task that belongs to no attempt in force.
func (s *State) stopStray(id model.BackendServerID, r ports.TaskReport) {
	if r.State.Active() {
		s.queue(id, ports.TaskCommand{Verb: ports.VerbStop, Task: r.Task})
	}
}

// closed reports whether replay has closed the task's attempt.
func (s *State) closed(r ports.TaskReport) bool {
	j := s.replica.Job(r.Job)
	if j == nil {
		return false
	}
	return j.Ended() || (j.Attempt.ID == r.Attempt && !j.Attempt.Open)
}

// open reports whether the task belongs to the attempt that is open in replay.
func (s *State) open(r ports.TaskReport) bool {
	j := s.replica.Job(r.Job)
	return j != nil && j.Attempt.Open && j.Attempt.ID == r.Attempt
}

// adopt makes the gang of a task that another VM started.
func (s *State) adopt(r ports.TaskReport) *gang {
	g := &gang{
		job: model.Job{
			ID:           r.Job,
			Organisation: r.Organisation,
			Shape:        model.GangShape{Tasks: r.Members, Accelerators: r.Accelerators, Adjacency: model.AdjacentAny},
			HomeAZ:       s.self.AZ,
		},
		attempt:   r.Attempt,
		number:    1,
		permit:    permitGranted,
		phase:     JobRunning,
		since:     s.now,
		started:   s.now,
		startSent: true,
		renewed:   s.now,
		adopted:   true,
		gathering: true,
		size:      r.Members,
	}
	if l := s.local[r.Job]; l != nil {
		g.job = l.job
	}
	if j := s.replica.Job(r.Job); j != nil {
		g.job = j.Job
		g.number = j.Attempt.Number
	}
	s.gangs[r.Job] = g
	s.touched[r.Job] = true
	s.placement.dirty = true
	return g
}

func (s *State) adoptMember(g *gang, id model.BackendServerID, r ports.TaskReport) {
	if known, _ := s.findMember(id, r.Task); known != nil {
		return
	}
	m := &member{
		task:         r.Task,
		server:       id,
		accelerators: r.Accelerators,
		state:        r.State,
		sent:         s.now,
		proved:       s.now,
		until:        s.now.Add(s.settings.Lease),
		checkpoint:   r.Checkpoint,
	}
	s.addMember(g, m)
}

// superviseGathering decides whether a gang that was taken over is whole. Until
// then it is not renewed, so that a part of one ends with its lease.
func (s *State) superviseGathering(g *gang) {
	s.dropUnstarted(g)
	if len(g.members) == g.size && all(g, runsOrDone) {
		g.gathering = false
		g.renewed = s.now.Add(-s.settings.RenewInterval)
		s.enter(g, JobRunning)
		s.superviseRunning(g)
		return
	}
	broken := !all(g, func(m *member) bool {
		return runsOrDone(m) || m.state == ports.TaskHeld || m.state == ports.TaskStopped
	})
	heard := s.surveyDone() && s.now.Sub(g.since) >= s.settings.gatherTime()
	if broken || heard || s.now.Sub(s.term.actedAt) >= s.settings.Lease {
		g.gathering = false
		s.failGathered(g)
	}
}

// dropUnstarted removes stopped members once the gang is whole without them. They are
// left from earlier rounds of holds of the same attempt, which never started: a start
// goes out only to the members of one whole round.
func (s *State) dropUnstarted(g *gang) {
	whole := 0
	for _, m := range g.members {
		if runsOrDone(m) {
			whole++
		}
	}
	if whole != g.size || len(g.members) == whole {
		return
	}
	g.members = slices.DeleteFunc(g.members, func(m *member) bool {
		if !runsOrDone(m) {
			delete(s.tasks[m.server], m.task)
		}
		return !runsOrDone(m)
	})
}

func (s *State) failGathered(g *gang) {
	why := ending{result: replica.ResultRetry, reason: ReasonPartialTakenOver}
	for _, m := range g.members {
		if m.state == ports.TaskFailed {
			s.taskFailed(g, m)
		}
	}
	s.stop(g, why)
}

func runsOrDone(m *member) bool {
	return m.state == ports.TaskRunning || m.state == ports.TaskDone
}

// surveyDone reports whether every backend server has reported under the own token
// or is gone.
func (s *State) surveyDone() bool {
	for _, v := range s.servers {
		if !s.surveyed(v) {
			return false
		}
	}
	return true
}

func (s *State) surveyed(v *server) bool {
	return v.gone || (v.surveyed && v.fenced == s.term.token)
}

// settled reports whether placement may be decided: all backend servers that
// answer have been surveyed.
func (s *State) settled() bool {
	for _, v := range s.servers {
		if s.live(v) && !s.surveyed(v) {
			return false
		}
	}
	return s.now.Sub(s.term.actedAt) >= s.settings.CommandTimeout || s.surveyDone()
}

// closeLostAttempts closes attempts that are open in the log and certainly run
// nowhere: every backend server that may run them has reported under the own token.
func (s *State) closeLostAttempts() {
	s.replica.OpenJobs(func(j *replica.Job) {
		if !j.Attempt.Open || j.Job.HomeAZ != s.self.AZ || s.gangs[j.Job.ID] != nil {
			return
		}
		if s.outcomes[j.Job.ID] != nil || !s.certainlyLost(j) || s.takeUpReported(j.Attempt.ID) {
			return
		}
		s.recordLost(j)
	})
}

// takeUpReported takes over the tasks of an attempt from the newest reports of all
// backend servers, so that a gang is judged by all of them at once, and returns
// whether any is listed. Tasks last seen active on one that is gone do not count.
func (s *State) takeUpReported(a model.AttemptID) bool {
	found := false
	for _, id := range s.serverIDs {
		v := s.servers[id]
		for _, r := range v.tasks {
			if r.Attempt != a || (r.State.Active() && v.gone) {
				continue
			}
			found = true
			s.takeUp(id, r)
		}
	}
	return found
}

// takeUp takes over one reported task. One that was active may have ended since; it
// is taken over with the next report.
func (s *State) takeUp(id model.BackendServerID, r ports.TaskReport) {
	if r.State.Active() {
		return
	}
	if known, _ := s.findMember(id, r.Task); known == nil {
		s.unexpected(id, r)
	}
}

func (s *State) recordLost(j *replica.Job) {
	s.outcomes[j.Job.ID] = &outcome{
		ended: journal.JobEnded{
			Job:     j.Job.ID,
			Attempt: j.Attempt.ID,
			Result:  string(replica.ResultRetry),
			Reason:  ReasonHolderLost,
		},
		job: j.Job,
	}
}

func (s *State) certainlyLost(j *replica.Job) bool {
	lapsed := s.now.Sub(s.term.actedAt) >= 2*s.settings.Lease
	if j.Job.Idempotent && lapsed {
		return true
	}
	if len(j.Attempt.Servers) == 0 {
		return s.surveyDone()
	}
	for _, id := range j.Attempt.Servers {
		v := s.servers[id]
		if v == nil && !lapsed || v != nil && !s.surveyed(v) {
			return false
		}
	}
	return true
}
