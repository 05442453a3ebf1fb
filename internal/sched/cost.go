package sched

import "github.com/eelgrassreach/eelgrassreach/internal/job"

// placementCost returns what one more task of the step costs on a server, in cores, if it leaves the given
// room there beside so many tasks of the step. For an isolated task it is the work that a crash would lose.
func (d *round) placementCost(p *PendingStep, srv *serverState, left job.Resources, placed int) float64 {
	if p.Isolate {
		return srv.UnsavedWork
	}
	return d.roomCost(left) + neighbourCost(srv, d.slowdownBeside(p, srv, placed))
}

// roomCost is the room that is left on a server, so that empty ones stay free for tasks that need a whole one.
func (d *round) roomCost(left job.Resources) float64 { return left.CoreWeight() }
