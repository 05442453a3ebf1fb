package control

import (
	"fmt"

	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
)

// checkInvariants checks the promises on gangs after each decision.
func (s *State) checkInvariants() {
	for _, id := range sortedKeys(s.gangs) {
		s.checkWhole(s.gangs[id])
	}
	s.checkAccelerators()
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

// checkAccelerators reports a backend server with more accelerators promised than it has.
func (s *State) checkAccelerators() {
	for _, id := range sortedKeys(s.servers) {
		v := s.servers[id]
		promised := 0
		for _, ref := range s.tasks[id] {
			if !ref.member.ended() && ref.gang.phase != JobStopping {
				promised += ref.member.accelerators
			}
		}
		if promised > v.info.Accelerators {
			s.violated(invariant.Violation{
				Promise: invariant.NoDoublePromise,
				Server:  id,
				Detail:  fmt.Sprintf("%d accelerators promised of %d", promised, v.info.Accelerators),
			})
		}
	}
}
