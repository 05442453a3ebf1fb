package control

import (
	"fmt"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
)

// checkInvariants checks the promises on gangs after each decision.
func (s *State) checkInvariants() {
	for _, id := range eventloop.SortedKeys(s.gangs) {
		s.checkWhole(s.gangs[id])
	}
	s.checkSingle()
}

// checkWhole reports a gang that is kept going although a member has ended early.
func (s *State) checkWhole(g *gang) {
	if g.gathering || g.phase == JobStopping {
		return
	}
	for _, m := range g.members {
		if m.ended() && !runsOrDone(m) {
			s.violated(invariant.Violation{
				Promise: invariant.NoPartialGang,
				Job:     g.job.ID,
				Server:  m.server,
				Detail:  fmt.Sprintf("member is %s while the gang is %s", m.state, g.phase),
			})
		}
	}
	if len(g.members) != g.size {
		s.violated(invariant.Violation{Promise: invariant.NoPartialGang, Job: g.job.ID, Detail: "members are missing"})
	}
}

// checkSingle reports a job that runs here although replay closed its attempt or,
// for a gang started here, gave the permit for another. A gang that was taken over
// may be of an attempt that this VM has not read yet.
func (s *State) checkSingle() {
	for _, id := range eventloop.SortedKeys(s.gangs) {
		g := s.gangs[id]
		j := s.replica.Job(id)
		if j == nil || j.Job.Idempotent || !g.startSent || g.gathering || g.phase == JobStopping {
			continue
		}
		same := j.Attempt.ID == g.attempt
		if (same && !j.Attempt.Open) || (!same && !g.adopted) {
			s.violated(invariant.Violation{
				Promise: invariant.NoDoubleAttempt,
				Job:     id,
				Detail:  fmt.Sprintf("attempt %s runs, replay names %s", g.attempt, j.Attempt.ID),
			})
		}
	}
}

// checkNoneLeaving reports a gang that is about to be held on a leaving backend server.
func (s *State) checkNoneLeaving(g *gang) {
	for _, m := range g.members {
		if v := s.servers[m.server]; v != nil && v.leaving {
			s.violated(invariant.Violation{
				Promise: invariant.NoNewWorkOnLeaving,
				Job:     g.job.ID,
				Server:  m.server,
				Detail:  "placed on a leaving backend server",
			})
		}
	}
}
