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
	index int
	free  job.Resources
	// promised is being released and not yet kept for a want.
	promised job.Resources
	// held are the tasks that may be stopped, the cheapest first; yields is what those
	// release that make room for a guarantee, and for urgent steps.
	held                           []*PreemptibleTask
	yieldsGuaranteed, yieldsUrgent job.Resources
}

// supply is what a fit may count on.
type supply int

const (
	freeNow     supply = iota // what no task holds
	freeSoon                  // and what is being released
	reclaimable               // and what running tasks would release if stopped
)

// available is what a room offers a want under a supply.
func (r *room) available(w *PendingStep, s supply) job.Resources {
	switch {
	case s == freeNow:
		return r.free
	case s == freeSoon:
		return r.free.Add(r.promised)
	case w.Guaranteed:
		return r.free.Add(r.promised).Add(r.yieldsGuaranteed)
	default:
		return r.free.Add(r.promised).Add(r.yieldsUrgent)
	}
}

// suits reports whether the backend server may run the step at all.
func (r *room) suits(w *PendingStep) bool {
	if r.Service != w.Service || w.Avoid[r.ID] {
		return false
	}
	if w.Advised != nil && !w.Advised[r.ID] {
		return false
	}
	return w.Step.Label == "" || slices.Contains(r.Labels, w.Step.Label)
}

// near reports whether the backend server is where the step's data is.
func (r *room) near(w *PendingStep) bool { return w.Step.DataRack == "" || r.Rack == w.Step.DataRack }

// assignment is a trial placement of a want's tasks, one room each.
type assignment struct {
	rooms []*room
	price float64
	far   bool
}

// trial counts what an assignment has used so far.
type trial struct {
	want   *PendingStep
	supply supply
	used   []int     // tasks on each room
	priced []float64 // what those cost, where others make room
}

func (d *round) newTrial(w *PendingStep, s supply) *trial {
	return &trial{want: w, supply: s, used: make([]int, len(d.rooms)), priced: make([]float64, len(d.rooms))}
}

// assign places as many of n more tasks as fit among candidates, the cheapest first.
func (d *round) assign(t *trial, n int, candidates []*room) assignment {
	var a assignment
	offers := make([]offer, 0, len(candidates))
	for _, r := range candidates {
		if o, ok := d.offer(t, r); ok {
			offers = append(offers, o)
		}
	}
	for len(a.rooms) < n && len(offers) > 0 {
		best := 0
		for i := range offers {
			if offers[i].cheaper(&offers[best]) {
				best = i
			}
		}
		r := offers[best].room
		t.used[r.index]++
		t.priced[r.index] += offers[best].price
		a.rooms = append(a.rooms, r)
		a.price += offers[best].price
		next, ok := d.offer(t, r)
		if !ok {
			offers[best] = offers[len(offers)-1]
			offers = offers[:len(offers)-1]
			continue
		}
		offers[best] = next
	}
	return a
}

// offer is the price of one more task on a room.
type offer struct {
	room  *room
	price float64
}

// cheaper prefers rooms that are not slow, then the lower price, then the order of the snapshot.
func (o *offer) cheaper(p *offer) bool {
	if o.room.Slow != p.room.Slow {
		return !o.room.Slow
	}
	if o.price != p.price {
		return o.price < p.price
	}
	return o.room.index < p.room.index
}

// offer returns what one more task costs on a room: the room that is left, so that whole
// backend servers stay free for tasks that need all of one, or, when others make room,
// the work that is thrown away.
func (d *round) offer(t *trial, r *room) (offer, bool) {
	used := t.used[r.index]
	if limit := t.want.Step.MaxPerServer; limit > 0 && t.want.TasksPerServer[r.ID]+used >= limit {
		return offer{}, false
	}
	need := t.want.Step.Reserved()
	left := r.available(t.want, t.supply).Sub(need.Times(used))
	if !need.FitsIn(left) {
		return offer{}, false
	}
	price := left.Sub(need).CoreWeight()
	if t.supply == reclaimable {
		price = d.stopPrice(t.want, r, used+1) - t.priced[r.index]
	}
	return offer{room: r, price: price}, true
}

// holds reports whether n tasks fit in the rooms together, without choosing any.
func (d *round) holds(w *PendingStep, s supply, n int, rooms []*room) bool {
	for _, r := range rooms {
		if n <= 0 {
			return true
		}
		n -= timesIn(w.Step, r.available(w, s))
	}
	return n <= 0
}

// fit finds room for a want's tasks: all of a gang or nothing, else as many as fit. Only
// with far does it leave the rack that the step runs best on.
func (d *round) fit(w *PendingStep, s supply, far bool) assignment {
	key, comparable := d.shapeOf(w, s, far)
	if comparable && d.hopeless[key] {
		return assignment{}
	}
	a := d.search(w, s, far)
	if comparable && len(a.rooms) == 0 {
		d.hopeless[key] = true
	}
	return a
}

// shape is all that decides whether a want finds any room. In a round room only gets
// scarcer, except that stops add to what is being released.
type shape struct {
	need                   job.Resources
	service, label         string
	dataRack, rack         model.RackID
	members                int // of a gang
	gang, sameRack, far    bool
	guaranteed, displacing bool
	supply                 supply
	evictions              int
}

// shapeOf returns the want's shape, unless it has limits of its own.
func (d *round) shapeOf(w *PendingStep, s supply, far bool) (shape, bool) {
	k := shape{
		need: w.Step.Reserved(), service: w.Service, label: w.Step.Label, dataRack: w.Step.DataRack, rack: w.Rack,
		gang: w.Step.Gang, sameRack: w.Step.SameRack, far: far, guaranteed: w.Guaranteed, displacing: d.displacing(w), supply: s,
	}
	if w.Step.Gang {
		k.members = len(w.Tasks)
	}
	if s == freeSoon {
		k.evictions = len(d.plan.Evictions)
	}
	return k, w.Step.MaxPerServer == 0 && w.Avoid == nil && w.Advised == nil
}

// search is fit without the memory of what was hopeless.
func (d *round) search(w *PendingStep, s supply, far bool) assignment {
	suitable := filter(d.rooms, func(r *room) bool { return r.suits(w) })
	near := suitable
	if w.Step.DataRack != "" {
		near = filter(suitable, func(r *room) bool { return r.near(w) })
	}
	n := len(w.Tasks)
	switch {
	case w.Step.Gang:
		return d.fitGang(w, s, suitable, near, far)
	case w.Step.SameRack:
		best := d.fullestRack(w, s, near)
		if len(best.rooms) == n || !far {
			return best
		}
		a := d.assign(d.newTrial(w, s), n, suitable)
		a.far = true
		return a
	default:
		t := d.newTrial(w, s)
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
func (d *round) fullestRack(w *PendingStep, s supply, rooms []*room) assignment {
	var best assignment
	for _, members := range byRack(rooms) {
		if w.Rack != "" && members[0].Rack != w.Rack {
			continue
		}
		if a := d.assign(d.newTrial(w, s), len(w.Tasks), members); len(a.rooms) > len(best.rooms) {
			best = a
		}
	}
	return best
}

// fitGang places all tasks or none: near the data and on one rack, else, when the step
// may go far, on any rack or anywhere.
func (d *round) fitGang(w *PendingStep, s supply, suitable, near []*room, far bool) assignment {
	place := func(rooms []*room) (assignment, bool) {
		if w.Step.SameRack {
			return d.cheapestRack(w, s, rooms)
		}
		return d.whole(w, s, rooms)
	}
	if a, ok := place(near); ok {
		return a
	}
	if !far && d.couldBeNear(w, near) {
		return assignment{}
	}
	a, ok := place(suitable)
	if !ok {
		a, _ = d.whole(w, s, suitable)
	}
	a.far = true
	return a
}

// whole places all tasks or none.
func (d *round) whole(w *PendingStep, s supply, rooms []*room) (assignment, bool) {
	if !d.holds(w, s, len(w.Tasks), rooms) {
		return assignment{}, false
	}
	a := d.assign(d.newTrial(w, s), len(w.Tasks), rooms)
	if len(a.rooms) < len(w.Tasks) {
		return assignment{}, false
	}
	return a, true
}

// cheapestRack places all tasks on the rack that has the least to spare.
func (d *round) cheapestRack(w *PendingStep, s supply, rooms []*room) (best assignment, ok bool) {
	for _, members := range byRack(rooms) {
		a, whole := d.whole(w, s, members)
		if whole && (!ok || a.price < best.price) {
			best, ok = a, true
		}
	}
	return best, ok
}

// couldBeNear reports whether the gang would fit near its data and on one rack if
// nothing else ran, so that waiting for it makes sense.
func (d *round) couldBeNear(w *PendingStep, near []*room) bool {
	groups := [][]*room{near}
	if w.Step.SameRack {
		groups = byRack(near)
	}
	for _, rooms := range groups {
		n := 0
		for _, r := range rooms {
			n += timesIn(w.Step, r.Capacity)
		}
		if n >= len(w.Tasks) {
			return true
		}
	}
	return false
}

// timesIn is how many tasks of a step an amount holds.
func timesIn(step *job.Step, amount job.Resources) int {
	need := step.Reserved()
	n := step.Count
	for _, c := range [][2]int{{need.MilliCPU, amount.MilliCPU}, {need.MemoryMB, amount.MemoryMB}, {need.Accelerators, amount.Accelerators}} {
		if c[0] > 0 {
			n = min(n, max(c[1], 0)/c[0])
		}
	}
	if step.MaxPerServer > 0 {
		n = min(n, step.MaxPerServer)
	}
	return n
}

// mayGoFar reports whether a step need not wait for the rack that it runs best on.
// Away from it tasks take several times as long: worth it only when waiting longer
// would miss the objective anyway.
func (d *round) mayGoFar(w *PendingStep) bool {
	if d.displacing(w) {
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
	kept := make([]*room, 0, len(rooms))
	for _, r := range rooms {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// byRack groups rooms by rack, in order of first appearance.
func byRack(rooms []*room) [][]*room {
	var groups [][]*room
	at := make(map[model.RackID]int)
	for _, r := range rooms {
		i, ok := at[r.Rack]
		if !ok {
			i = len(groups)
			at[r.Rack] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], r)
	}
	return groups
}
