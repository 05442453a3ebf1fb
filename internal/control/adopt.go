package control

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// handleUnknownTask handles a reported task that belongs to no known member: it is part of
// a gang to take over, or left over from a closed attempt.
func (s *State) handleUnknownTask(id model.BackendServerID, r ports.TaskReport) {
	g := s.gangs[r.Job]
	if g != nil && g.attempt == r.Attempt {
		if g.recovering {
			s.adoptMember(g, id, r)
		}
		return
	}
	if g != nil || s.attemptClosed(r) {
		s.stopOrphan(id, r)
		return
	}
	if o := s.outcomes[r.Job]; o != nil && o.ended.Attempt == r.Attempt {
		s.stopOrphan(id, r)
		return
	}
	if !r.State.Active() && !s.attemptOpen(r) {
		return
	}
	s.adoptMember(s.adoptGang(r), id, r)
	s.adoptReported(r.Attempt)
}

// stopOrphan stops a task of an attempt that is not current.
func (s *State) stopOrphan(id model.BackendServerID, r ports.TaskReport) {
	if r.State.Active() {
		s.queueCommand(id, ports.TaskCommand{Verb: ports.VerbStop, Task: r.Task})
	}
}

// attemptClosed reports whether the task's attempt is closed in the replica.
func (s *State) attemptClosed(r ports.TaskReport) bool {
	j := s.replica.Job(r.Job)
	if j == nil {
		return false
	}
	return j.Ended() || (j.Attempt.ID == r.Attempt && !j.Attempt.Open)
}

// attemptOpen reports whether the task belongs to the attempt that is open in the replica.
func (s *State) attemptOpen(r ports.TaskReport) bool {
	j := s.replica.Job(r.Job)
	return j != nil && j.Attempt.Open && j.Attempt.ID == r.Attempt
}

// adoptGang creates the gang of a task that another VM, or this one in an earlier term, started.
func (s *State) adoptGang(r ports.TaskReport) *gang {
	g := &gang{
		job: model.Job{
			ID:           r.Job,
			Organisation: r.Organisation,
			Shape:        model.GangShape{Tasks: r.Members, Accelerators: r.Accelerators, Adjacency: model.AdjacentAny},
			HomeAZ:       s.self.AZ,
		},
		attempt:    r.Attempt,
		number:     1,
		permit:     permitGranted,
		phase:      JobRunning,
		since:      s.now,
		started:    s.now,
		startSent:  true,
		renewed:    s.now,
		adopted:    true,
		recovering: true,
		size:       r.Members,
	}
	if l := s.localJobs[r.Job]; l != nil {
		g.job = l.job
	}
	if j := s.replica.Job(r.Job); j != nil {
		g.job = j.Job
		g.number = j.Attempt.Number
	}
	s.gangs[r.Job] = g
	s.changedGangs[r.Job] = true
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
		lastActive:   s.now,
		expiresBy:    s.now.Add(s.settings.Lease),
		checkpoint:   r.Checkpoint,
	}
	s.addMember(g, m)
}

// superviseRecovering decides whether a gang that was taken over has all its members. Until
// then its leases are not renewed, so that the tasks of a partial gang end when they expire.
func (s *State) superviseRecovering(g *gang) {
	s.dropUnstarted(g)
	if len(g.members) == g.size && allMembers(g, runningOrDone) {
		g.recovering = false
		g.renewed = s.now.Add(-s.settings.RenewInterval)
		s.setPhase(g, JobRunning)
		s.superviseRunning(g)
		return
	}
	broken := !allMembers(g, func(m *member) bool {
		return runningOrDone(m) || m.state == ports.TaskHeld || m.state == ports.TaskStopped
	})
	allReported := s.surveyDone() && s.now.Sub(g.since) >= s.settings.surveyTimeout()
	if broken || allReported || s.now.Sub(s.term.actingSince) >= s.settings.Lease {
		g.recovering = false
		s.failRecovering(g)
	}
}

// dropUnstarted removes the members that neither run nor are done, once the gang is complete
// without them. They are tasks of an earlier placement under the same attempt that was given
// up before its tasks were told to start: the attempt's start permit was then used for new
// tasks. Only the tasks of one placement of an attempt are ever told to start.
func (s *State) dropUnstarted(g *gang) {
	active := 0
	for _, m := range g.members {
		if runningOrDone(m) {
			active++
		}
	}
	if active != g.size || len(g.members) == active {
		return
	}
	g.members = slices.DeleteFunc(g.members, func(m *member) bool {
		if !runningOrDone(m) {
			delete(s.taskIndex[m.server], m.task)
		}
		return !runningOrDone(m)
	})
}

func (s *State) failRecovering(g *gang) {
	why := ending{result: replica.ResultRetry, reason: ReasonPartialTakenOver}
	for _, m := range g.members {
		if m.state == ports.TaskFailed {
			s.taskFailed(g, m)
		}
	}
	s.stopGang(g, why)
}

func runningOrDone(m *member) bool {
	return m.state == ports.TaskRunning || m.state == ports.TaskDone
}

// surveyDone reports whether every backend server has reported since it confirmed this VM's
// token, or is gone.
func (s *State) surveyDone() bool {
	for _, v := range s.servers {
		if !s.surveyed(v) {
			return false
		}
	}
	return true
}

func (s *State) surveyed(v *server) bool {
	return v.gone || (v.surveyed && v.confirmedToken == s.term.token)
}

// readyToPlace reports whether placement may be decided: all backend servers that answer have
// been surveyed, and any others have had CommandTimeout to answer. One that has restarted since
// its survey gets no work until it is surveyed anew, and holds up no other.
func (s *State) readyToPlace() bool {
	for _, v := range s.servers {
		if s.live(v) && !s.surveyed(v) && !v.restarted {
			return false
		}
	}
	return s.now.Sub(s.term.actingSince) >= s.settings.CommandTimeout || s.surveyDone()
}

// closeLostAttempts closes attempts that are open in the log and certainly run nowhere: every
// backend server that may run them is gone, or has reported under this VM's token after the last
// time at which their holder's holds could take effect. An earlier report proves nothing: a server
// that restarted after it has accepted the commands of earlier holders.
// For an idempotent job, and for a server that is no longer configured, it is enough that this
// VM has scheduled the zone for twice the lease.
func (s *State) closeLostAttempts() {
	open := make(map[model.AttemptID]time.Time)
	s.replica.OpenJobs(func(j *replica.Job) {
		if !j.Attempt.Open || j.Job.HomeAZ != s.self.AZ || s.gangs[j.Job.ID] != nil {
			return
		}
		if s.permitMayBeUsed(j) {
			return
		}
		since, seen := s.openSince[j.Attempt.ID]
		if !seen {
			since = s.now
		}
		open[j.Attempt.ID] = since
		if s.outcomes[j.Job.ID] != nil || !s.certainlyLost(j, since) || s.adoptReported(j.Attempt.ID) {
			return
		}
		s.recordLostAttempt(j)
	})
	s.openSince = open
}

// adoptReported adopts the tasks of an attempt from the latest reports of all backend
// servers, so that the gang is judged by all reports at once. It returns whether any
// report lists such a task; tasks last seen active on a server that is gone do not count.
func (s *State) adoptReported(a model.AttemptID) bool {
	found := false
	for _, id := range s.serverIDs {
		v := s.servers[id]
		for _, r := range v.tasks {
			if r.Attempt != a || (r.State.Active() && v.gone) {
				continue
			}
			found = true
			s.adoptEndedTask(id, r)
		}
	}
	return found
}

// adoptEndedTask adopts a reported task that had ended. A task that was active may have ended
// since; it is adopted with the server's next report.
func (s *State) adoptEndedTask(id model.BackendServerID, r ports.TaskReport) {
	if r.State.Active() {
		return
	}
	if known, _ := s.findMember(id, r.Task); known == nil {
		s.handleUnknownTask(id, r)
	}
}

// permitMayBeUsed reports whether another VM may still use the permit for a job's open attempt that
// it got from the acceptor: it is not known to have read the attempt in the log, nor to be gone.
func (s *State) permitMayBeUsed(j *replica.Job) bool {
	given := j.Attempt.GivenTo
	if given == "" || given == s.self.Incarnation {
		return false
	}
	if _, listedAt := s.peers.VMs(); listedAt.IsZero() {
		return true
	}
	unheard := false
	for _, p := range s.peers.Peers() {
		if p.Incarnation == given {
			return p.Applied < j.AcceptedOffset && (p.Listed || s.peers.Alive(p, s.now))
		}
		unheard = unheard || p.Listed && p.LastSeen.IsZero()
	}
	return unheard
}

// recordLostAttempt keeps the outcome that the job's open attempt was lost, until it has been read
// back from the log. The job is to be retried, unless it must not run twice and the attempt may have
// been forgotten.
func (s *State) recordLostAttempt(j *replica.Job) {
	o := &outcome{
		ended: journal.JobEnded{
			Job:     j.Job.ID,
			Attempt: j.Attempt.ID,
			Result:  string(replica.ResultRetry),
			Reason:  ReasonHolderLost,
		},
		job: j.Job,
	}
	if !j.Job.Idempotent && s.mayBeForgotten(j) {
		o.ended.Final, o.ended.Result, o.ended.Reason = true, string(replica.ResultFailed), ReasonMayHaveRun
	}
	s.outcomes[j.Job.ID] = o
}

// mayBeForgotten reports whether an attempt of which nothing is found may have run: all its backend
// servers have restarted, or any of the home's if the attempt does not name its servers.
func (s *State) mayBeForgotten(j *replica.Job) bool {
	restarted := s.restartedSinceClaim(j)
	if len(j.Attempt.Servers) == 0 {
		return len(restarted) > 0
	}
	return len(restarted) == len(j.Attempt.Servers)
}

// restartedSinceClaim returns the backend servers that are known to have started again since a job's
// newest attempt was claimed or granted.
func (s *State) restartedSinceClaim(j *replica.Job) []model.BackendServerID {
	var list []model.BackendServerID
	for id, claimed := range j.Attempt.Incarnations {
		if v := s.servers[id]; v != nil && !v.gone && v.incarnation != "" && v.incarnation != claimed {
			list = append(list, id)
		}
	}
	return list
}

// certainlyLost reports whether a job's open attempt, seen since the given time, runs nowhere.
func (s *State) certainlyLost(j *replica.Job, since time.Time) bool {
	lapsed := s.now.Sub(s.term.actingSince) >= 2*s.settings.Lease
	if j.Job.Idempotent && lapsed {
		return true
	}
	after := since.Add(s.settings.holdTimeout())
	if len(j.Attempt.Servers) == 0 {
		return !slices.ContainsFunc(s.serverIDs, func(id model.BackendServerID) bool {
			return !s.reportedAfter(s.servers[id], after)
		})
	}
	for _, id := range j.Attempt.Servers {
		v := s.servers[id]
		if v == nil && !lapsed || v != nil && !s.reportedAfter(v, after) {
			return false
		}
	}
	return true
}

// reportedAfter reports whether a backend server is gone, or has answered a poll that was sent at or
// after t with a report under this VM's token.
func (s *State) reportedAfter(v *server, t time.Time) bool {
	return v.gone || s.surveyed(v) && !v.reportSent.Before(t)
}
