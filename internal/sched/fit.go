package sched

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// room is a backend server during a round.
type room struct {
	*Server
	free job.Resources
	// promised is being released and not yet kept for a want.
	promised job.Resources
	// held are the tasks that may be stopped, the cheapest first.
	held []*Held
}

// supply is what a fit may count on.
type supply int

const (
	freeNow     supply = iota // what no task holds
	freeSoon                  // and what is being released
	reclaimable               // and what running tasks would release if stopped
)

// available is what a room offers a want under a supply.
func (r *room) available(w *Want, s supply) job.Resources {
	a := r.free
	if s >= freeSoon {
		a = a.Add(r.promised)
	}
	if s == reclaimable {
		for _, h := range r.held {
			if w.displaces(h) {
				a = a.Add(h.Need)
			}
		}
	}
	return a
}

// suits reports whether the backend server may run the step at all.
func (r *room) suits(w *Want) bool {
	if r.Service != w.Service || w.Avoid[r.ID] {
		return false
	}
	if w.Advised != nil && !w.Advised[r.ID] {
		return false
	}
	return w.Step.Label == "" || slices.Contains(r.Labels, w.Step.Label)
}

// near reports whether the backend server is where the step's data is.
func (r *room) near(w *Want) bool { return w.Step.DataRack == "" || r.Rack == w.Step.DataRack }

// assignment is a trial placement of a want's tasks, one room each.
type assignment struct {
	rooms []*room
	price float64
	far   bool
}

// trial counts what an assignment has used so far.
type trial struct {
	want   *Want
	supply supply
	used   map[*room]int // tasks
}

// assign places as many of n more tasks as fit among candidates, the cheapest first.
func (d *round) assign(t trial, n int, candidates []*room) assignment {
	var a assignment
	for len(a.rooms) < n {
		best, price := d.cheapest(t, candidates)
		if best == nil {
			return a
		}
		t.used[best]++
		a.rooms = append(a.rooms, best)
		a.price += price
	}
	return a
}

// cheapest returns the room where one more task costs least: where the least room is
// left, so that whole backend servers stay free for tasks that need all of one, or,
// when others make room, where the least work is thrown away.
func (d *round) cheapest(t trial, candidates []*room) (*room, float64) {
	need := t.want.Step.Reserved()
	var best *room
	var bestPrice float64
	for _, r := range candidates {
		used := t.used[r]
		if limit := t.want.Step.MaxPerServer; limit > 0 && t.want.On[r.ID]+used >= limit {
			continue
		}
		left := r.available(t.want, t.supply).Sub(need.Times(used))
		if !need.Fits(left) {
			continue
		}
		price := left.Sub(need).CoreWeight()
		if t.supply == reclaimable {
			price = d.stopPrice(t.want, r, used+1) - d.stopPrice(t.want, r, used)
		}
		if best == nil || r.Slow != best.Slow && !r.Slow || r.Slow == best.Slow && price < bestPrice {
			best, bestPrice = r, price
		}
	}
	return best, bestPrice
}

// fit finds room for a want's tasks: all of a gang or nothing, else as many as fit. Only
// with far does it leave the rack that the step runs best on.
func (d *round) fit(w *Want, s supply, far bool) assignment {
	suitable := filter(d.rooms, func(r *room) bool { return r.suits(w) })
	near := filter(suitable, func(r *room) bool { return r.near(w) })
	n := len(w.Tasks)
	fresh := func() trial { return trial{want: w, supply: s, used: make(map[*room]int)} }
	switch {
	case w.Step.Gang:
		return d.fitGang(w, fresh, suitable, near, far)
	case w.Step.SameRack:
		best := d.fullestRack(w, fresh, near)
		if len(best.rooms) == n || !far {
			return best
		}
		a := d.assign(fresh(), n, suitable)
		a.far = true
		return a
	default:
		t := fresh()
		a := d.assign(t, n, near)
		if len(a.rooms) == n || !far {
			return a
		}
		rest := d.assign(t, n-len(a.rooms), suitable)
		return assignment{rooms: append(a.rooms, rest.rooms...), price: a.price + rest.price, far: len(rest.rooms) > 0}
	}
}

// fullestRack places as many tasks as fit on one rack, the one where the step's other
// tasks run if there are any.
func (d *round) fullestRack(w *Want, fresh func() trial, rooms []*room) assignment {
	var best assignment
	for _, rack := range racksOf(rooms) {
		if w.Rack != "" && rack != w.Rack {
			continue
		}
		members := filter(rooms, func(r *room) bool { return r.Rack == rack })
		if a := d.assign(fresh(), len(w.Tasks), members); len(a.rooms) > len(best.rooms) {
			best = a
		}
	}
	return best
}

// fitGang places all tasks or none: near the data and on one rack, else, when the step
// may go far, on any rack or anywhere.
func (d *round) fitGang(w *Want, fresh func() trial, suitable, near []*room, far bool) assignment {
	place := func(rooms []*room) (assignment, bool) {
		if w.Step.SameRack {
			return d.cheapestRack(w, fresh, rooms)
		}
		return d.whole(w, fresh, rooms)
	}
	if a, ok := place(near); ok {
		return a
	}
	if !far && d.couldBeNear(w, near) {
		return assignment{}
	}
	a, ok := place(suitable)
	if !ok {
		a, _ = d.whole(w, fresh, suitable)
	}
	a.far = true
	return a
}

// whole places all tasks or none.
func (d *round) whole(w *Want, fresh func() trial, rooms []*room) (assignment, bool) {
	a := d.assign(fresh(), len(w.Tasks), rooms)
	if len(a.rooms) < len(w.Tasks) {
		return assignment{}, false
	}
	return a, true
}

// cheapestRack places all tasks on the rack that has the least to spare.
func (d *round) cheapestRack(w *Want, fresh func() trial, rooms []*room) (best assignment, ok bool) {
	for _, rack := range racksOf(rooms) {
		a, whole := d.whole(w, fresh, filter(rooms, func(r *room) bool { return r.Rack == rack }))
		if whole && (!ok || a.price < best.price) {
			best, ok = a, true
		}
	}
	return best, ok
}

// couldBeNear reports whether the gang would fit near its data and on one rack if
// nothing else ran, so that waiting for it makes sense.
func (d *round) couldBeNear(w *Want, near []*room) bool {
	racks := []model.RackID{""}
	if w.Step.SameRack {
		racks = racksOf(near)
	}
	for _, rack := range racks {
		n := 0
		for _, r := range near {
			if rack == "" || r.Rack == rack {
				n += timesIn(w.Step, d.capacity[r.ID])
			}
		}
		if n >= len(w.Tasks) {
			return true
		}
	}
	return false
}

// timesIn is how many tasks of a step an empty backend server holds.
func timesIn(step *job.Step, capacity job.Resources) int {
	need := step.Reserved()
	n := step.Count
	for _, c := range [][2]int{{need.MilliCPU, capacity.MilliCPU}, {need.MemoryMB, capacity.MemoryMB}, {need.Accelerators, capacity.Accelerators}} {
		if c[0] > 0 {
			n = min(n, c[1]/c[0])
		}
	}
	if step.MaxPerServer > 0 {
		n = min(n, step.MaxPerServer)
	}
	return n
}

// mayGoFar reports whether a step need not wait for the rack that it runs best on.
// Away from it tasks take FarFactor times as long: worth it only when waiting longer
// would miss the objective anyway.
func (d *round) mayGoFar(w *Want) bool {
	if w.Guaranteed {
		return d.now.Sub(w.Due) > guaranteedNearWait
	}
	return d.now.Add(w.Remaining).After(w.Objective.Add(-nearMargin))
}

const (
	// guaranteedNearWait leaves a guaranteed step more than half of its bound of 2.7 s to begin anywhere.
	guaranteedNearWait = 1200 * time.Millisecond
	// nearMargin is the time before the last useful start near the data at which a step goes elsewhere.
	nearMargin = 200 * time.Millisecond
)

func filter(rooms []*room, keep func(*room) bool) []*room {
	var kept []*room
	for _, r := range rooms {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// racksOf lists the racks in order of first appearance.
func racksOf(rooms []*room) []model.RackID {
	var racks []model.RackID
	seen := make(map[model.RackID]bool)
	for _, r := range rooms {
		if !seen[r.Rack] {
			seen[r.Rack] = true
			racks = append(racks, r.Rack)
		}
	}
	return racks
}
