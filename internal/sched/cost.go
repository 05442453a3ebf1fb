package sched

import "github.com/eelgrassreach/eelgrassreach/internal/job"

// placementCost returns what one more task of the step costs on a server, in cores, if it leaves the given
// room there beside so many tasks of the step. For an isolated task it is the work that a crash would lose.
func (d *round) placementCost(p *PendingStep, srv *serverState, left job.Resources, placed int) float64 {
	if p.Isolate {
		return srv.UnsavedWork
	}
	return d.roomCost(p, srv, left) + d.paceCost(p, srv) + neighbourCost(srv, d.slowdownBeside(p, srv, placed))
}

// roomCost is the room that is left on a server, so that empty ones stay free for tasks that need a whole one.
//
// Where steps ask for several shapes, it adds the room that would have been of use to them and is not any more:
// the mean of now and of when the task ends, since what ends together leaves whole servers free. It answers a
// load whose shapes use cores, memory and accelerators unevenly.
func (d *round) roomCost(p *PendingStep, srv *serverState, left job.Resources) float64 {
	shapes := d.shapes[srv.Service]
	if len(shapes) == 0 {
		return left.CoreWeight()
	}
	need := p.Step.Reserved()
	free := left.Add(need)
	spoilt := d.spoilt(shapes, srv, free, need)
	if runtime := srv.runtime(p); runtime > 0 {
		freeByThen := free
		for _, end := range srv.ends {
			if end.After < runtime {
				freeByThen = freeByThen.Add(end.Need)
			}
		}
		spoilt = (spoilt + d.spoilt(shapes, srv, freeByThen, need)) / 2
	}
	return left.CoreWeight() + spoilt
}
