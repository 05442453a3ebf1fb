package control

import (
	"fmt"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
)

// checkInvariants checks the invariants on gangs.
func (s *State) checkInvariants() {
	for _, id := range eventloop.SortedKeys(s.gangs) {
		s.checkNoPartialGang(s.gangs[id])
	}
	s.checkNoDoubleAttempt()
}

// checkNoPartialGang reports a gang that is not stopped although a member ended early or is missing.
func (s *State) checkNoPartialGang(g *gang) {
	if g.recovering || g.phase == JobStopping {
		return
	}
	for _, m := range g.members {
		if m.ended() && !runningOrDone(m) {
			s.reportViolation(invariant.Violation{
				Invariant: invariant.NoPartialGang,
				Job:       g.job.ID,
				Server:    m.server,
				Detail:    fmt.Sprintf("member is %s while the gang is %s", m.state, g.phase),
			})
		}
	}
	if len(g.members) != g.size {
		s.reportViolation(invariant.Violation{Invariant: invariant.NoPartialGang, Job: g.job.ID, Detail: "members are missing"})
	}
}

// checkNoDoubleAttempt reports a gang of a non-idempotent job that runs although its attempt
// is closed in the replica or, for a gang started here, the permit was given to another
// attempt. A gang that was taken over may belong to an attempt that this VM has not read yet.
func (s *State) checkNoDoubleAttempt() {
	for _, id := range eventloop.SortedKeys(s.gangs) {
		g := s.gangs[id]
		j := s.replica.Job(id)
		if j == nil || j.Job.Idempotent || !g.startSent || g.recovering || g.phase == JobStopping {
			continue
		}
		same := j.Attempt.ID == g.attempt
		if (same && !j.Attempt.Open) || (!same && !g.adopted) {
			s.reportViolation(invariant.Violation{
				Invariant: invariant.NoDoubleAttempt,
				Job:       id,
				Detail:    fmt.Sprintf("attempt %s is running but is not the job's open attempt; attempt in the replica: %s", g.attempt, j.Attempt.ID),
			})
		}
	}
}

// checkNoNewWorkOnLeaving reports a gang that is about to be held on a leaving backend server.
func (s *State) checkNoNewWorkOnLeaving(g *gang) {
	for _, m := range g.members {
		if v := s.servers[m.server]; v != nil && v.leaving {
			s.reportViolation(invariant.Violation{
				Invariant: invariant.NoNewWorkOnLeaving,
				Job:       g.job.ID,
				Server:    m.server,
				Detail:    "placed on a leaving backend server",
			})
		}
	}
}
