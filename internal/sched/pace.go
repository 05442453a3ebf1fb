package sched

import (
	"math"
	"slices"
	"time"
)

// Terms for backend servers that work at different paces. They answer a fleet of unlike machines: a gang goes at the pace
// of its slowest member, and work whose objective is near is late on a slow backend server while work with slack is not.
// The steps that are placed first take the fast backend servers, and later ones the others. To keep fast ones free for work
// that may come would let all take longer (docs/design/pace.md). Where no pace is known, or all are alike, nothing of it
// takes effect.

const (
	// minPaceRatio is the ratio from which two paces are unlike.
	minPaceRatio = 1.1
	// paceReserve is how many times as long as expected a step may take to count as in time: runs are stopped and
	// started again, and their run times are estimates.
	paceReserve = 1.25
	// maxPaceLevels bounds the levels that are tried for each gang.
	maxPaceLevels = 6
)

// AtPace returns how long work that takes runtime on an ordinary backend server takes on one of the given pace; 0 is
// an unknown pace, taken for ordinary.
func AtPace(runtime time.Duration, pace float64) time.Duration {
	if pace == 0 {
		return runtime
	}
	return time.Duration(float64(runtime) / pace)
}

// paceOf returns the pace of a backend server, where unknown is ordinary.
func paceOf(v *Server) float64 {
	if v.Pace == 0 {
		return 1
	}
	return v.Pace
}

// paceLevels sorts the paces of the backend servers of each service into levels of like ones. A level is the slowest
// pace in it, the slowest level first. Services whose backend servers are all alike have none.
func paceLevels(servers []Server) map[string][]float64 {
	paces := make(map[string]map[float64]bool)
	for i := range servers {
		v := &servers[i]
		if paces[v.Service] == nil {
			paces[v.Service] = make(map[float64]bool)
		}
		paces[v.Service][paceOf(v)] = true
	}
	levels := make(map[string][]float64)
	for service, known := range paces {
		list := make([]float64, 0, len(known))
		for pace := range known {
			list = append(list, pace)
		}
		slices.Sort(list)
		kept := list[:1]
		for _, pace := range list[1:] {
			if pace > minPaceRatio*kept[len(kept)-1] && len(kept) < maxPaceLevels {
				kept = append(kept, pace)
			}
		}
		if len(kept) > 1 {
			levels[service] = kept
		}
	}
	return levels
}

// levelsFor returns the levels of pace that matter to a step; nil if none do.
func (d *round) levelsFor(p *PendingStep) []float64 {
	if p.Isolate || p.Step.LongRunning || p.Step.Fills {
		return nil
	}
	return d.paceLevels[p.Service]
}

// neededPace returns the least pace at which a step ends in time: by its objective or, where no backend server is fast
// enough for that, by when it is last of use. 0 means that any pace will do, or none.
func (d *round) neededPace(p *PendingStep, levels []float64) float64 {
	fastest := levels[len(levels)-1]
	for _, factor := range []time.Duration{1, LateFactor} {
		left := p.Due.Add(factor * p.Objective.Sub(p.Due)).Sub(d.now)
		if left > 0 && p.Remaining <= time.Duration(float64(left)*fastest) {
			return min(paceReserve*float64(p.Remaining)/float64(left), fastest)
		}
	}
	return 0
}

// paceCost returns what a backend server's pace costs a task of a step that is no gang, in cores: a slow one is held for
// longer. One on which the task would be late costs more than the best use of room elsewhere gains.
func (d *round) paceCost(p *PendingStep, srv *serverState) float64 {
	levels := d.levelsFor(p)
	if levels == nil || p.Step.Gang {
		return 0
	}
	pace, needed, size := paceOf(srv.Server), d.neededPace(p, levels), srv.Capacity.CoreWeight()
	if pace < needed {
		return size * (1 + needed/pace)
	}
	return size * levels[0] / pace
}

// gangPace tells how a gang fares with an assignment.
type gangPace struct {
	pace   float64 // of the slowest member
	mixed  bool    // faster members wait for slower ones
	inTime bool
}

// better reports whether a gang had rather this than the other: in time, then without fast members that wait for slow
// ones, then faster. Equal is set if neither is better.
func (g gangPace) better(o gangPace) (better, equal bool) {
	switch {
	case g.inTime != o.inTime:
		return g.inTime, false
	case g.inTime && g.mixed != o.mixed:
		return o.mixed, false
	case unlike(g.pace, o.pace):
		return g.pace > o.pace, false
	}
	return false, true
}

func unlike(a, b float64) bool { return max(a, b) > minPaceRatio*min(a, b) }

// likePaced places all tasks of a gang on the servers, or none: on the fastest ones of like pace if it is in time there, else
// so that the slowest member is as fast as possible.
func (d *round) likePaced(p *PendingStep, s supply, servers []*serverState, levels []float64) (assignment, bool) {
	needed := d.neededPace(p, levels)
	for _, sound := range []bool{true, false} {
		for _, b := range d.paceBands(s, levels, needed) {
			band := filter(servers, func(srv *serverState) bool {
				pace := paceOf(srv.Server)
				return pace >= b[0] && pace < b[1] && !(sound && srv.Suspect)
			})
			if a, ok := d.assignAll(p, s, band); ok {
				a.gang = paceOfGang(a.servers, needed)
				return a, true
			}
		}
		if !slices.ContainsFunc(servers, func(srv *serverState) bool { return srv.Suspect }) {
			break
		}
	}
	return assignment{}, false
}

// paceBands returns the ranges of pace, from and below, that are tried for a gang, the best one first. If tasks
// are stopped for it, only being in time is worth more than that loses.
func (d *round) paceBands(s supply, levels []float64, needed float64) [][2]float64 {
	var bands [][2]float64
	if s == reclaimable {
		bands = append(bands, [2]float64{needed, math.Inf(1)})
	} else {
		for i, level := range slices.Backward(levels) {
			if above := append(levels[i+1:len(levels):len(levels)], math.Inf(1))[0]; level >= needed {
				bands = append(bands, [2]float64{level, above})
			}
		}
	}
	for _, level := range slices.Backward(levels) {
		bands = append(bands, [2]float64{level, math.Inf(1)})
	}
	return bands
}

func paceOfGang(servers []*serverState, needed float64) gangPace {
	slowest, fastest := math.Inf(1), 0.0
	for _, srv := range servers {
		slowest, fastest = min(slowest, paceOf(srv.Server)), max(fastest, paceOf(srv.Server))
	}
	return gangPace{pace: slowest, mixed: unlike(slowest, fastest), inTime: slowest >= needed}
}

// cheaperGang reports whether a gang had rather the assignment than the other, which is on another rack.
func (a *assignment) cheaperGang(o *assignment, s supply) bool {
	better, equal := a.gang.better(o.gang)
	if s == reclaimable {
		better, equal = a.gang.inTime && !o.gang.inTime, a.gang.inTime == o.gang.inTime
	}
	return better || equal && a.cost < o.cost
}
