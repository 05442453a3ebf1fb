package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// iterations is how often paces and run times are computed from each other in an update. The first ones are
	// tolerant of contradictions, which vanish as the paces come near; later ones give them little weight.
	iterations = 8
	// initialGangSpread and initialTaskSpread are assumed until enough tasks were seen.
	initialGangSpread, initialTaskSpread = 0.15, 0.35
	minSpread, maxSpread                 = 0.05, 0.7
	minResiduals                         = 40
	// paceSpread is the standard deviation that is assumed for the paces of backend servers of which nothing is
	// known, surePaceSpread for those that are known.
	paceSpread, surePaceSpread = 0.35, 0.05
	// slowPhase is the share of its pace below which a backend server counts as slow for some seconds, until it
	// has been so for slowPhaseLimit. Slow phases are by a factor of three or more. In a small step the others then seem to
	// be as much faster.
	slowPhase      = 0.36
	slowPhaseLimit = 12 * time.Second
	// minSteps is the number of steps that have to tell a pace, sureError the standard error up to which it is known.
	minSteps  = 2
	sureError = 0.1
	// minDifference is the least difference between two paces that is worth telling, and sureFactor the number of standard
	// errors that it has to exceed.
	minDifference = 0.1
	sureFactor    = 4
	// maxShift bounds how far the ordinary pace moves in an update, so that it does not jump between two halves of a service.
	maxShift = 0.05
)

// Update computes paces and run times anew and returns the paces that have changed, sorted.
func (e *Estimator) Update(now time.Time) []Change {
	if !e.changed {
		return nil
	}
	e.changed = false
	e.expire(now)
	for i := range iterations {
		e.iterate(max(0.8/float64(i+1), 0.2))
	}
	e.centre()
	e.measureSpreads()
	for _, st := range e.order {
		st.settle()
	}
	e.fitKinds(now)
	return e.publish()
}

// iterate computes the run time of each step from the paces, and from that the paces anew. Tolerance is the difference
// from which an observation counts for little.
func (e *Estimator) iterate(tolerance float64) {
	for _, v := range e.servers {
		v.sum, v.weight, v.steps = 0, 1/(paceSpread*paceSpread), 0
		v.nextFrom, v.nextLast = time.Time{}, time.Time{}
	}
	for _, st := range e.order {
		e.weigh(st, tolerance)
	}
	for _, v := range e.servers {
		v.slowFrom, v.slowUntil = v.nextFrom, v.nextLast
		if v.steps > 0 {
			v.log += (v.sum/v.weight - v.log) / 2 // half way: the paces of two members depend on each other
			v.err = 1 / math.Sqrt(v.weight)
		}
	}
}

// weigh adds what a step tells of each of its members' backend servers: its pace, by the time that the members elsewhere
// would take on an ordinary one.
func (e *Estimator) weigh(st *step, tolerance float64) {
	spread := e.taskSpread
	if st.gang {
		spread = e.gangSpread
	}
	if len(st.members) == 0 {
		return
	}
	tolerance = max(tolerance, 2*spread)
	total, totalWeight := 0.0, 0.0
	for i := range st.members {
		m := &st.members[i]
		m.weight = 1 / (spread*spread + m.variance)
		if st.known {
			m.weight *= doubt(m.seconds+m.server.log-st.runtime, tolerance)
		}
		total += m.weight * (m.seconds + m.server.log)
		totalWeight += m.weight
	}
	if totalWeight > 0 {
		st.runtime, st.known = total/totalWeight, true
	}
	// Members on the same backend server are one observation of it: sort them together.
	if !slices.IsSortedFunc(st.members, compareMembers) {
		slices.SortFunc(st.members, compareMembers)
	}
	for first := 0; first < len(st.members); {
		last, own, ownWeight := first, 0.0, 0.0
		v := st.members[first].server
		for ; last < len(st.members) && st.members[last].server == v; last++ {
			m := &st.members[last]
			own += m.weight * m.seconds
			ownWeight += m.weight
		}
		here, others := last-first, len(st.members)-(last-first)
		if rest := totalWeight - ownWeight; others > 0 && rest > 0 && ownWeight > 0 {
			elsewhere := (total - own - ownWeight*v.log) / rest
			variance := spread*spread/float64(here) + st.members[first].variance + 1/rest + e.variance(st, first, last)/float64(others)
			e.observe(v, elsewhere-own/ownWeight, variance, tolerance, st.members[first].at)
		}
		first = last
	}
}

func compareMembers(a, b member) int {
	return cmp.Or(cmp.Compare(a.server.key.ID, b.server.key.ID), cmp.Compare(a.server.key.Incarnation, b.server.key.Incarnation), cmp.Compare(a.index, b.index))
}

// variance is the mean variance of the paces of the members outside of first to last.
func (e *Estimator) variance(st *step, first, last int) float64 {
	sum := 0.0
	for i := range st.members {
		switch {
		case i >= first && i < last:
		case st.members[i].server.published > 0:
			sum += surePaceSpread * surePaceSpread
		default:
			sum += paceSpread * paceSpread
		}
	}
	return sum / float64(len(st.members)-(last-first))
}

// observe adds one observation of a backend server's pace.
func (e *Estimator) observe(v *server, pace, variance, tolerance float64, at time.Time) {
	if math.Abs(pace-v.log) > -math.Log(slowPhase) { // slow, or compared with slow ones
		if v.nextFrom.IsZero() || at.Before(v.nextFrom) {
			v.nextFrom = at
		}
		if at.After(v.nextLast) {
			v.nextLast = at
		}
		if v.slowUntil.Sub(v.slowFrom) < slowPhaseLimit {
			return
		}
	}
	weight := doubt(pace-v.log, tolerance) / variance
	v.sum += weight * pace
	v.weight += weight
	v.steps++
}

// doubt is the factor for the weight of an observation that contradicts the others by difference.
func doubt(difference, tolerance float64) float64 {
	r := difference / tolerance
	return 1 / (1 + r*r)
}

// centre moves the paces of each service so that half of its backend servers are faster than ordinary.
func (e *Estimator) centre() {
	logs := make(map[string][]float64)
	for _, v := range e.servers {
		if v.steps > 0 {
			logs[v.service] = append(logs[v.service], v.log)
		}
	}
	for service, list := range logs {
		slices.Sort(list)
		shift := min(max(list[len(list)/2], -maxShift), maxShift)
		for _, v := range e.servers {
			if v.service == service {
				v.log -= shift
			}
		}
	}
}

// measureSpreads measures how much tasks of a step differ by themselves.
func (e *Estimator) measureSpreads() {
	var gang, other []float64
	gangSteps, otherSteps := 0, 0
	for _, st := range e.order {
		if len(st.members) < 2 {
			continue
		}
		list, steps := &other, &otherSteps
		if st.gang {
			list, steps = &gang, &gangSteps
		}
		*steps++
		for i := range st.members {
			m := &st.members[i]
			*list = append(*list, math.Abs(m.seconds+m.server.log-st.runtime))
		}
	}
	observed := 0
	for _, v := range e.servers {
		if v.steps > 0 {
			observed++
		}
	}
	measure := func(list []float64, steps int, spread *float64) {
		free := len(list) - steps - observed*len(list)/max(len(gang)+len(other), 1)
		if free < minResiduals {
			return
		}
		slices.Sort(list)
		measured := 1.48 * list[len(list)/2] * math.Sqrt(float64(len(list))/float64(free))
		*spread = min(max(measured, minSpread), maxSpread)
	}
	measure(gang, gangSteps, &e.gangSpread)
	measure(other, otherSteps, &e.taskSpread)
}

// minTasksTold is the number of tasks from which the run time of a step that is no gang is known.
const minTasksTold = 3

// settle decides whether a step's run time is known, and takes it from the middle of its tasks: some take many times as long.
func (st *step) settle() {
	if len(st.members) == 0 {
		st.runtime, st.known = st.ended, st.ends > 0
		return
	}
	list := make([]float64, len(st.members))
	for i := range st.members {
		list[i] = st.members[i].seconds + st.members[i].server.log
	}
	slices.Sort(list)
	st.runtime = list[len(list)/2]
	st.known = st.gang || len(list) >= minTasksTold
}

// publish makes the paces known that are sure.
func (e *Estimator) publish() []Change {
	var changes []Change
	for _, v := range e.servers {
		if v.steps < minSteps {
			continue
		}
		before := v.published
		base := before
		if base == 0 {
			base = ordinaryPace
		}
		switch difference := math.Abs(v.log - math.Log(base)); {
		case difference > max(minDifference, sureFactor*v.err):
			v.published = max(math.Round(20*math.Exp(v.log)), 1) / 20
		case v.err <= sureError:
			v.published = base
		}
		if v.published != before {
			changes = append(changes, Change{Server: v.key, Pace: v.published, Before: before, Error: v.err, Steps: v.steps})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Server.ID, b.Server.ID), cmp.Compare(a.Server.Incarnation, b.Server.Incarnation))
	})
	return changes
}
