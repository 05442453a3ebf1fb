package sched

import "github.com/eelgrassreach/eelgrassreach/internal/job"

// slowdownBeside returns how much of their pace one more task of the step and the tasks on a server lose by each other,
// with so many tasks of the step placed there in the same trial: the sum of shares, 0 if nothing is known.
//
// It answers kinds of work that slow each other down on one server, in ways that their resources do not show.
func (d *round) slowdownBeside(p *PendingStep, srv *serverState, placed int) float64 {
	if len(d.slowdowns) == 0 {
		return 0
	}
	sum := float64(2*placed) * d.slowdowns[KindPair{p.Kind, p.Kind}]
	for kind, n := range srv.kinds {
		sum += float64(n) * (d.slowdowns[KindPair{p.Kind, kind}] + d.slowdowns[KindPair{kind, p.Kind}])
	}
	return sum
}

// neighbourCost is what a slowdown costs on a server: more than any room that could be left there, so that kinds of
// work that slow each other down are kept apart where there is room, and share a server where there is none.
func neighbourCost(srv *serverState, slowdown float64) float64 {
	if slowdown <= 0 {
		return 0
	}
	return srv.Capacity.CoreWeight() * (1 + slowdown)
}

// addNeighbour counts a task that is placed on the server.
func (srv *serverState) addNeighbour(k job.Kind) {
	if srv.kinds == nil {
		srv.kinds = make(map[job.Kind]int)
	}
	srv.kinds[k]++
}
