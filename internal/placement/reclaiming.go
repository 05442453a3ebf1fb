package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Options tunes Reclaiming. Zero durations stand for the defaults.
type Options struct {
	// ReserveAfter is the wait after which a gang gets a draining reservation.
	ReserveAfter time.Duration
	// EvictAfter is the wait after which a gang evicts borrowed gangs that were
	// submitted later, but not urgent ones.
	EvictAfter time.Duration
	// StarvedAfter is the wait after which a gang goes before urgent gangs and may
	// evict them. A gang that started so late is not evicted by urgent ones.
	StarvedAfter time.Duration
}

// Reclaiming keeps every guarantee reclaimable: there is always an assignment of the
// guaranteed shapes to cells that evicting borrowed gangs alone would free. Guaranteed
// gangs are placed so that the cells of the others stay; all other gangs borrow.
type Reclaiming struct {
	Options Options
}

// Decide implements Policy. Gangs inside a guarantee go first, by class and then by
// submission. Then come, among borrowers, one that starves, urgent ones, one that is
// overdue, one with the draining reservation, and all others by class and submission.
// A gang may evict only those that are behind it in this order, so that none of them
// can take the room back.
func (p Reclaiming) Decide(zone Zone, pending []Gang) Plan {
	d := newDecision(zone, p.Options.withDefaults())
	d.demote()
	rest := d.startAllGuaranteed(byClass(pending))
	rest = without(rest, d.startWaiting(rest, d.options.StarvedAfter, anyBorrowed))
	urgent := urgentGangs(rest)
	d.startAllBorrowed(rest[:urgent])
	rest = rest[urgent:]
	rest = without(rest, d.startWaiting(rest, d.options.EvictAfter, notUrgent))
	rest = without(rest, d.reserve(rest))
	d.startAllBorrowed(rest)
	d.promote()
	return d.finish()
}

// urgentGangs returns how many gangs at the head of the queue are urgent.
func urgentGangs(queue []Gang) int {
	other := slices.IndexFunc(queue, func(g Gang) bool { return g.Class != model.ClassUrgent })
	if other < 0 {
		return len(queue)
	}
	return other
}

// without drops the gang at the position; -1 stands for none.
func without(queue []Gang, position int) []Gang {
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

// startAllGuaranteed places the gangs inside guarantees and returns the others.
func (d *decision) startAllGuaranteed(queue []Gang) []Gang {
	rest := make([]Gang, 0, len(queue))
	for _, g := range queue {
		own := covering(d.demands[g.Organisation], g.Shape)
		if own == nil || !d.startGuaranteed(g, own) {
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

// demote reports gangs whose guarantee is no longer there. They count as borrowed.
func (d *decision) demote() {
	for i := range d.zone.Placed {
		gang := &d.zone.Placed[i]
		if !gang.Borrowed && !d.inside[i] && !gang.Evicting {
			d.plan.Demotions = append(d.plan.Demotions, gang.Job)
		}
	}
}

// promote lets borrowed gangs take up guarantees of their organisation that no
// pending gang took, where the other guarantees keep their cells.
func (d *decision) promote() {
	for i := range d.zone.Placed {
		gang := &d.zone.Placed[i]
		if !gang.Borrowed || d.evicting[i] {
			continue
		}
		own := covering(d.demands[gang.Organisation], gang.Shape)
		if own == nil || len(own.cells) == 0 || touchesUnusable(d.topology, gang.Members) {
			continue
		}
		if d.promoteInto(gang, own) {
			d.plan.Promotions = append(d.plan.Promotions, gang.Job)
		}
	}
}

// promoteInto tries to swap one cell of the demand for the accelerators that the gang
// runs on.
func (d *decision) promoteInto(gang *PlacedGang, own *demand) bool {
	for _, p := range d.poolOf(own) {
		c := p.cell()
		c.addTo(d.cells.guarded, own.shape().Accelerators, -1)
		fits := d.fitsUnguarded(gang.Members)
		c.addTo(d.cells.guarded, own.shape().Accelerators, 1)
		if !fits {
			continue
		}
		d.takeCell(own, p)
		own.idle--
		d.addMembers(d.residual, gang.Members, -1)
		return true
	}
	return false
}

// fitsUnguarded reports whether the members use only room that no cell of the
// assignment takes.
func (d *decision) fitsUnguarded(members []Member) bool {
	need := make(map[int]int)
	for _, member := range members {
		need[d.topology.position[member.Server]] += member.Accelerators
	}
	for s, accelerators := range need {
		if d.residual[s]-d.cells.guarded[s] < accelerators {
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

// byClass orders gangs by class and keeps the order of submission inside a class.
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

// compareSubmission orders gangs by submission and then by job.
func compareSubmission(a, b *Gang) int {
	return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.Job, b.Job))
}
