package sched

import (
	"cmp"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// victim is a running task with what its stop costs as a whole: the other members of a
// gang lose their work with it.
type victim struct {
	held *Held
	cost float64
}

// preempt has running tasks stopped until the want fits, or stops nothing when it
// would not fit even then.
//
// It answers the reclaim: an organisation's guaranteed accelerators are lent to
// others and asked back at once. Victims are those that lose the least unsaved work;
// none is stopped that does not free what is needed.
func (d *round) preempt(w *Want) {
	freed := make(map[*room]job.Resources)
	var chosen []*Held
	for _, r := range d.rooms {
		freed[r] = r.free.Add(r.promised)
	}
	placed := make(map[model.BackendServerID]int)
	for range w.Tasks {
		r, victims := d.cheapest(w, freed, placed, chosen)
		if r == nil {
			return
		}
		for _, h := range victims {
			chosen = append(chosen, h)
			at := d.byID[h.Server]
			if at != nil {
				freed[at] = freed[at].Add(h.Need)
			}
		}
		freed[r] = freed[r].Sub(w.Step.Reserved())
		placed[r.ID]++
	}
	d.evict(w, chosen, placed)
}

// cheapest returns the room where one more task costs the least, with the victims
// that it takes there.
func (d *round) cheapest(w *Want, freed map[*room]job.Resources, placed map[model.BackendServerID]int, chosen []*Held) (*room, []*Held) {
	var best *room
	var bestVictims []*Held
	var bestCost float64
	for _, r := range d.suitable(w) {
		if !r.near(w) && !d.mayGoFar(w) {
			continue
		}
		if w.Step.MaxPerServer > 0 && w.On[r.ID]+placed[r.ID] >= w.Step.MaxPerServer {
			continue
		}
		victims, cost, ok := d.victimsOn(r, w, freed[r], chosen)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = r, victims, cost
		}
	}
	return best, bestVictims
}

// victimsOn chooses tasks on a room whose stop lets one more task of the want fit.
func (d *round) victimsOn(r *room, w *Want, free job.Resources, chosen []*Held) (victims []*Held, cost float64, ok bool) {
	need := w.Step.Reserved()
	if need.Fits(free) {
		return nil, 0, true
	}
	var candidates []victim
	for i := range d.held {
		h := &d.held[i]
		if h.Server == r.ID && !h.Guaranteed && !slices.Contains(chosen, h) {
			candidates = append(candidates, victim{held: h, cost: d.stopCost(h)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	for _, c := range candidates {
		if need.Fits(free) {
			break
		}
		victims = append(victims, c.held)
		free = free.Add(c.held.Need)
		cost += c.cost
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	return spare(victims, need, free, &cost, d.stopCost), cost, true
}

// spare takes back victims, the dearest first, whose stop is not needed after all.
func spare(victims []*Held, need, free job.Resources, cost *float64, stopCost func(*Held) float64) []*Held {
	for i := len(victims) - 1; i >= 0; i-- {
		without := free.Sub(victims[i].Need)
		if need.Fits(without) {
			free = without
			*cost -= stopCost(victims[i])
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// stopCost is the unsaved work that stopping a task throws away, its gang's included.
func (d *round) stopCost(h *Held) float64 {
	if !h.Gang {
		return h.Unsaved
	}
	cost := 0.0
	for i := range d.held {
		if d.held[i].Key == h.Key {
			cost += d.held[i].Unsaved
		}
	}
	return cost
}

// evict orders the stops and keeps the room for the want.
func (d *round) evict(w *Want, chosen []*Held, placed map[model.BackendServerID]int) {
	for _, h := range chosen {
		id := heldID{h.Key, h.Index}
		if d.evicted[id] {
			continue
		}
		d.evicted[id] = true
		d.plan.Evictions = append(d.plan.Evictions, Eviction{Key: h.Key, Index: h.Index, For: w.Key})
		if r := d.byID[h.Server]; r != nil {
			r.promised = r.promised.Add(h.Need)
		}
	}
	d.held = slices.DeleteFunc(slices.Clone(d.held), func(h Held) bool { return d.evicted[heldID{h.Key, h.Index}] })
	need := w.Step.Reserved()
	for id, n := range placed {
		r := d.byID[id]
		r.free, r.promised = take(r.free, r.promised, need.Times(n))
	}
}
