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
	// promised is what tasks still running hold and a guaranteed step waits for.
	promised job.Resources
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

// assignment is a trial placement of tasks on rooms.
type assignment struct {
	rooms []*room
	far   bool
}

// assign places as many of n tasks as fit among candidates, the tightest first, and
// takes their resources from available. The caller gives a copy of what is free.
func assign(w *Want, n int, candidates []*room, available map[*room]job.Resources) []*room {
	need := w.Step.Reserved()
	on := make(map[*room]int, len(candidates))
	var chosen []*room
	for len(chosen) < n {
		best := tightest(w, need, candidates, available, on)
		if best == nil {
			return chosen
		}
		on[best]++
		available[best] = available[best].Sub(need)
		chosen = append(chosen, best)
	}
	return chosen
}

// tightest returns the room that is left with the least accelerators and processors,
// so that whole backend servers stay free for tasks that need all of one.
func tightest(w *Want, need job.Resources, candidates []*room, available map[*room]job.Resources, on map[*room]int) *room {
	var best *room
	var bestLeft float64
	for _, r := range candidates {
		free := available[r]
		if !need.Fits(free) {
			continue
		}
		if w.Step.MaxPerServer > 0 && w.On[r.ID]+on[r] >= w.Step.MaxPerServer {
			continue
		}
		left := free.Sub(need).CoreWeight()
		if best == nil || better(r, left, best, bestLeft) {
			best, bestLeft = r, left
		}
	}
	return best
}

func better(r *room, left float64, best *room, bestLeft float64) bool {
	if r.Slow != best.Slow {
		return !r.Slow
	}
	return left < bestLeft
}

// freeOf copies what is free in the rooms.
func freeOf(rooms []*room, withPromised bool) map[*room]job.Resources {
	m := make(map[*room]job.Resources, len(rooms))
	for _, r := range rooms {
		m[r] = r.free
		if withPromised {
			m[r] = r.free.Add(r.promised)
		}
	}
	return m
}

// fit finds room for a want's tasks: all of a gang or nothing, else as many as fit.
func (d *round) fit(w *Want, withPromised bool) assignment {
	suitable := d.suitable(w)
	if w.Step.Gang {
		return d.fitGang(w, suitable, withPromised)
	}
	near := filter(suitable, func(r *room) bool { return r.near(w) })
	if w.Step.SameRack {
		return d.fitRack(w, near, withPromised)
	}
	available := freeOf(suitable, withPromised)
	chosen := assign(w, len(w.Tasks), near, available)
	if len(chosen) == len(w.Tasks) || !d.mayGoFar(w) {
		return assignment{rooms: chosen}
	}
	rest := assign(w, len(w.Tasks)-len(chosen), suitable, available)
	return assignment{rooms: append(chosen, rest...), far: len(rest) > 0}
}

// fitRack places tasks of a step that runs best on one rack, preferably the one
// where its other tasks run.
func (d *round) fitRack(w *Want, near []*room, withPromised bool) assignment {
	var best []*room
	for _, rack := range racksOf(near) {
		if w.Rack != "" && rack != w.Rack {
			continue
		}
		rooms := filter(near, func(r *room) bool { return r.Rack == rack })
		if chosen := assign(w, len(w.Tasks), rooms, freeOf(rooms, withPromised)); len(chosen) > len(best) {
			best = chosen
		}
	}
	if len(best) == len(w.Tasks) || !d.mayGoFar(w) {
		return assignment{rooms: best}
	}
	suitable := d.suitable(w)
	return assignment{rooms: assign(w, len(w.Tasks), suitable, freeOf(suitable, withPromised)), far: true}
}

// fitGang places all tasks or none: on the data's rack, on any one rack, anywhere.
func (d *round) fitGang(w *Want, suitable []*room, withPromised bool) assignment {
	whole := func(rooms []*room) []*room {
		chosen := assign(w, len(w.Tasks), rooms, freeOf(rooms, withPromised))
		if len(chosen) < len(w.Tasks) {
			return nil
		}
		return chosen
	}
	near := filter(suitable, func(r *room) bool { return r.near(w) })
	if !w.Step.SameRack {
		if chosen := whole(near); chosen != nil {
			return assignment{rooms: chosen}
		}
	} else if chosen := d.wholeRack(near, whole); chosen != nil {
		return assignment{rooms: chosen}
	}
	if !d.mayGoFar(w) && d.couldBeNear(w, near) {
		return assignment{}
	}
	if w.Step.SameRack {
		if chosen := d.wholeRack(suitable, whole); chosen != nil {
			return assignment{rooms: chosen, far: true}
		}
	}
	return assignment{rooms: whole(suitable), far: true}
}

// wholeRack returns the placement on the rack that is left with the least room.
func (d *round) wholeRack(rooms []*room, whole func([]*room) []*room) []*room {
	var best []*room
	var bestFree float64
	for _, rack := range racksOf(rooms) {
		members := filter(rooms, func(r *room) bool { return r.Rack == rack })
		chosen := whole(members)
		if chosen == nil {
			continue
		}
		free := 0.0
		for _, r := range members {
			free += r.free.CoreWeight()
		}
		if best == nil || free < bestFree {
			best, bestFree = chosen, free
		}
	}
	return best
}

// couldBeNear reports whether the gang would fit near its data and on one rack if
// nothing else ran, so that waiting for it makes sense.
func (d *round) couldBeNear(w *Want, near []*room) bool {
	fits := func(rooms []*room) bool {
		whole := make(map[*room]job.Resources, len(rooms))
		for _, r := range rooms {
			whole[r] = d.capacity[r.ID]
		}
		return len(assign(w, len(w.Tasks), rooms, whole)) == len(w.Tasks)
	}
	if !w.Step.SameRack {
		return fits(near)
	}
	for _, rack := range racksOf(near) {
		if fits(filter(near, func(r *room) bool { return r.Rack == rack })) {
			return true
		}
	}
	return false
}

// mayGoFar reports whether a step need not wait for the rack that it runs best on.
// Away from it tasks take FarFactor times as long: worth it only when there is time
// for that, or when waiting longer would miss the objective anyway.
func (d *round) mayGoFar(w *Want) bool {
	if w.Guaranteed && d.now.Sub(w.Due) > guaranteedNearWait {
		return true
	}
	return d.now.Add(w.Remaining).After(w.Objective.Add(-nearMargin))
}

const (
	// guaranteedNearWait leaves a guaranteed step the larger part of its bound of 2.7 s to begin anywhere.
	guaranteedNearWait = 600 * time.Millisecond
	// nearMargin is the time before the last useful start near the data at which a step goes elsewhere.
	nearMargin = 200 * time.Millisecond
)

// suitable returns the rooms that may run the step, in the order of the snapshot.
func (d *round) suitable(w *Want) []*room {
	return filter(d.rooms, func(r *room) bool { return r.suits(w) })
}

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
