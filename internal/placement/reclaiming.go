package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Options configures Reclaiming. A zero duration means the default.
type Options struct {
	// ReserveAfter is the wait after which a gang may get a draining reservation: a
	// cell that takes no other long work and so becomes free.
	ReserveAfter time.Duration
	// EvictAfter is the wait after which a gang is overdue. It then evicts borrowed
	// gangs that were submitted later, except urgent ones.
	EvictAfter time.Duration
	// StarvedAfter is the wait after which a gang counts as starved. It then goes
	// before urgent gangs and may evict them. A gang that started this late is not
	// evicted by urgent ones.
	StarvedAfter time.Duration
}

// Reclaiming keeps every guarantee reclaimable: there is always an assignment of the
// guaranteed shapes to cells that become free by evicting borrowed gangs only. A
// guaranteed gang is placed so that the other guarantees keep their cells; all other
// gangs run borrowed.
type Reclaiming struct {
	Options Options
}

// Decide implements Policy. Gangs under a guarantee go first, by class and then by
// submission. The borrowed gangs follow in this order: one starved gang, the urgent
// gangs, one overdue gang, one gang with the draining reservation, and all others by
// class and submission. A gang may evict only gangs that come later in this order, so
// that none of them can take the room back.
func (p Reclaiming) Decide(zone Zone, pending []Gang) Plan {
	d := newDecision(zone, p.Options.withDefaults())
	d.demote()
	rest := d.startAllGuaranteed(byClass(pending))
	rest = removeAt(rest, d.startFirstWaiting(rest, d.options.StarvedAfter, anyBorrowed))
	urgent := countUrgent(rest)
	d.startAllBorrowed(rest[:urgent])
	rest = rest[urgent:]
	rest = removeAt(rest, d.startFirstWaiting(rest, d.options.EvictAfter, notUrgent))
	rest = removeAt(rest, d.reserveForFirstWaiting(rest))
	d.startAllBorrowed(rest)
	d.promote()
	return d.finish()
}

// countUrgent returns the number of urgent gangs, which are at the head of the queue.
func countUrgent(queue []Gang) int {
	other := slices.IndexFunc(queue, func(g Gang) bool { return g.Class != model.ClassUrgent })
	if other < 0 {
		return len(queue)
	}
	return other
}

// removeAt removes the gang at the position from the queue; -1 removes none.
func removeAt(queue []Gang, position int) []Gang {
	if position < 0 {
		return queue
	}
	return slices.Delete(queue, position, position+1)
}

func (o Options) withDefaults() Options {
	o.ReserveAfter = cmp.Or(o.ReserveAfter, DefaultReserveAfter)
	o.EvictAfter = cmp.Or(o.EvictAfter, DefaultEvictAfter)
	o.StarvedAfter = cmp.Or(o.StarvedAfter, DefaultStarvedAfter)
	return o
}

// startAllGuaranteed places the gangs that a guarantee covers and returns the others.
func (d *decision) startAllGuaranteed(queue []Gang) []Gang {
	rest := make([]Gang, 0, len(queue))
	for _, g := range queue {
		covering := coveringDemand(d.demands[g.Organisation], g.Shape)
		if covering == nil || !d.startGuaranteed(g, covering) {
			rest = append(rest, g)
		}
	}
	return rest
}

func (d *decision) startAllBorrowed(queue []Gang) {
	for _, g := range queue {
		d.startBorrowed(g)
	}
}

// demote adds the gangs to the plan that ran under a guarantee which no longer exists.
// They count as borrowed.
func (d *decision) demote() {
	for i := range d.zone.Placed {
		gang := &d.zone.Placed[i]
		if !gang.Borrowed && !d.guaranteed[i] && !gang.Evicting {
			d.plan.Demotions = append(d.plan.Demotions, gang.Job)
		}
	}
}

// promote moves borrowed gangs under guarantees of their organisation that no pending
// gang used, if the other guarantees keep their cells.
func (d *decision) promote() {
	for i := range d.zone.Placed {
		gang := &d.zone.Placed[i]
		if !gang.Borrowed || d.evicting[i] {
			continue
		}
		covering := coveringDemand(d.demands[gang.Organisation], gang.Shape)
		if covering == nil || len(covering.cells) == 0 || anyOnUnusable(d.topology, gang.Members) {
			continue
		}
		if d.promoteInto(gang, covering) {
			d.plan.Promotions = append(d.plan.Promotions, gang.Job)
		}
	}
}

// promoteInto tries to replace one cell of the demand by the accelerators that the
// gang runs on.
func (d *decision) promoteInto(gang *PlacedGang, covering *demand) bool {
	for _, p := range d.cellsOfShape(covering) {
		c := p.cell()
		c.addTo(d.cells.assigned, covering.shape().Accelerators, -1)
		fits := d.fitsUnassigned(gang.Members)
		c.addTo(d.cells.assigned, covering.shape().Accelerators, 1)
		if !fits {
			continue
		}
		d.removeCell(covering, p)
		covering.idle--
		d.addMembers(d.residual, gang.Members, -1)
		return true
	}
	return false
}

// fitsUnassigned reports whether the members use only room that no cell of the
// assignment takes.
func (d *decision) fitsUnassigned(members []Member) bool {
	need := make(map[int]int)
	for _, member := range members {
		need[d.topology.position[member.Server]] += member.Accelerators
	}
	for s, accelerators := range need {
		if d.residual[s]-d.cells.assigned[s] < accelerators {
			return false
		}
	}
	return true
}

func (d *decision) addMembers(amounts []int, members []Member, sign int) {
	for _, member := range members {
		amounts[d.topology.position[member.Server]] += sign * member.Accelerators
	}
}

// byClass orders gangs by class and keeps the order of submission within a class.
func byClass(pending []Gang) []Gang {
	queue := slices.Clone(pending)
	slices.SortStableFunc(queue, func(a, b Gang) int { return cmp.Compare(a.Class, b.Class) })
	return queue
}

func sortBySubmission(queue []Gang, positions []int) {
	slices.SortStableFunc(positions, func(a, b int) int {
		return compareSubmission(&queue[a], &queue[b])
	})
}

// compareSubmission orders gangs by time of submission and then by job ID.
func compareSubmission(a, b *Gang) int {
	return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.Job, b.Job))
}
