package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// addHeld gives each room its running tasks that may be stopped, the cheapest first.
func (d *round) addHeld(held []PreemptibleTask) {
	for i := range held {
		h := &held[i]
		if h.Gang {
			d.gangCost[h.Key] += h.UnsavedWork
		}
		if r := d.byID[h.Server]; r != nil {
			r.held = append(r.held, h)
			r.countYield(h.Need, h.Urgent)
		}
	}
	for _, r := range d.rooms {
		slices.SortStableFunc(r.held, func(a, b *PreemptibleTask) int { return cmp.Compare(d.stopCost(a), d.stopCost(b)) })
	}
}

// countYield adds what a held task releases if it is stopped.
func (r *room) countYield(need job.Resources, urgent bool) {
	r.yieldsGuaranteed = r.yieldsGuaranteed.Add(need)
	if !urgent {
		r.yieldsUrgent = r.yieldsUrgent.Add(need)
	}
}

// release promises what a held task takes to those that had it stopped.
func (r *room) release(h *PreemptibleTask) {
	r.promised = r.promised.Add(h.Need)
	r.countYield(job.Resources{}.Sub(h.Need), h.Urgent)
}

// displacing reports whether others make room for the want. An urgent one that comes
// too late does not displace: it is served after those whose tasks it would stop, and
// they would take the room from each other in turn.
func (d *round) displacing(w *PendingStep) bool {
	return w.Guaranteed || w.Urgent && !w.expired(d.now)
}

// displaces reports whether a running task makes room for a want that displaces.
func (w *PendingStep) displaces(h *PreemptibleTask) bool { return w.Guaranteed || !h.Urgent }

// stopCost is the unsaved work that stopping a task throws away, its gang's included.
func (d *round) stopCost(h *PreemptibleTask) float64 {
	if h.Gang {
		return d.gangCost[h.Key]
	}
	return h.UnsavedWork
}

// preempt has running tasks stopped until the want fits, or stops nothing and returns
// false when it would not fit even then.
//
// It answers the reclaim: an organisation's guaranteed accelerators are lent to
// others and asked back at once. Victims are those that lose the least unsaved work;
// none is stopped that does not free what is needed, nor for urgent work without a
// guarantee that loses more than maxLoss allows. The same fit chooses the rooms
// that will place the want once they are free, so that no second round of victims follows.
func (d *round) preempt(w *PendingStep, far bool) bool {
	a := d.fit(w, reclaimable, far)
	if len(a.rooms) < len(w.Tasks) && (w.Step.Gang || len(a.rooms) == 0) {
		return false
	}
	if !w.Guaranteed && a.price > maxLoss*w.work() {
		return false
	}
	count := make(map[*room]int)
	for _, r := range a.rooms {
		count[r]++
	}
	for _, r := range d.rooms {
		if n := count[r]; n > 0 {
			d.evict(r, d.victims(w, r, n), w.Key)
		}
	}
	d.keep(w, a)
	return len(a.rooms) == len(w.Tasks)
}

// maxLoss is how many times its own work a step without a guarantee may have others throw
// away: small urgent steps in a burst would otherwise stop wide gangs again and again.
const maxLoss = 2

// leastRuntime stands for estimates that are missing or too small to compare with.
const leastRuntime = time.Second

// work is what the want's tasks do, in core-seconds by its submitter's estimate.
func (w *PendingStep) work() float64 {
	return float64(len(w.Tasks)) * w.Step.Need.CoreWeight() * max(w.Step.EstimatedRuntime, leastRuntime).Seconds()
}

// stopPrice is what it costs to have room for n tasks of the want.
func (d *round) stopPrice(w *PendingStep, r *room, n int) float64 {
	price := 0.0
	for _, h := range d.victims(w, r, n) {
		price += d.stopCost(h)
	}
	return price
}

// victims chooses tasks on a room whose stop makes room for n tasks of the want there,
// leaving out those, the dearest first, whose stop is not needed after all.
func (d *round) victims(w *PendingStep, r *room, n int) []*PreemptibleTask {
	need := w.Step.Reserved().Times(n)
	free := r.available(w, freeSoon)
	var chosen []*PreemptibleTask
	for _, h := range r.held {
		if need.FitsIn(free) {
			break
		}
		if !w.displaces(h) {
			continue
		}
		chosen = append(chosen, h)
		free = free.Add(h.Need)
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Sub(chosen[i].Need); need.FitsIn(without) {
			free = without
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen
}

// evict orders the stop of victims on a room. A gang ends as a whole, so that its other
// members' room is released as well.
func (d *round) evict(r *room, victims []*PreemptibleTask, by job.GroupKey) {
	for _, h := range victims {
		d.plan.Evictions = append(d.plan.Evictions, Eviction{Key: h.Key, Index: h.Index, For: by})
		if h.Gang {
			d.releaseGang(h.Key)
			continue
		}
		r.release(h)
		r.held = slices.DeleteFunc(r.held, func(o *PreemptibleTask) bool { return o == h })
	}
}

func (d *round) releaseGang(key job.GroupKey) {
	for _, r := range d.rooms {
		r.held = slices.DeleteFunc(r.held, func(h *PreemptibleTask) bool {
			if h.Key == key {
				r.release(h)
			}
			return h.Key == key
		})
	}
}
