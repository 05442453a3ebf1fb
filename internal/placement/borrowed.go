package placement

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// startBorrowed places a gang beyond its organisation's guarantees.
func (d *decision) startBorrowed(g Gang) {
	if reason, blocked := d.blocked(g); blocked {
		d.wait(g, reason)
		return
	}
	if c, ok := d.freeCell(g); ok {
		d.start(g, c, true)
		return
	}
	if g.Class == model.ClassUrgent && d.preemptByClass(g) {
		return
	}
	d.wait(g, WaitCapacity)
}

// blocked reports whether g cannot be placed whatever is free.
func (d *decision) blocked(g Gang) (WaitReason, bool) {
	if !d.canRun(g.Shape) {
		return WaitNoHealthyCell, true
	}
	if overBound(d.bounds[g.Organisation], d.used[g.Organisation], g.Shape) {
		return WaitQuota, true
	}
	return "", false
}

// freeCell looks for a free cell: slack first, then cells that back guarantees, which
// the gang leaves when they are reclaimed, then the draining cell for a gang that is
// expected to end in time.
func (d *decision) freeCell(g Gang) (cell, bool) {
	if !d.full[g.Shape] {
		if c, ok := d.freeCellOutsideReservation(g); ok {
			return c, true
		}
	}
	if !d.backfills(g) {
		return nil, false
	}
	f := finder{topology: d.topology, room: d.free, prefer: preferTightest, avoid: avoided(d.topology, g)}
	return f.find(g.Shape)
}

func (d *decision) freeCellOutsideReservation(g Gang) (cell, bool) {
	f := finder{topology: d.topology, prefer: preferTightest, avoid: avoided(d.topology, g)}
	f.room = d.withoutHeld(d.slack())
	if c, ok := f.find(g.Shape); ok {
		return c, true
	}
	f.room = d.withoutHeld(d.free)
	c, ok := f.find(g.Shape)
	if !ok && len(g.Avoid) == 0 {
		d.full[g.Shape] = true
	}
	return c, ok
}

func (d *decision) withoutHeld(room []int) []int {
	left := make([]int, len(room))
	for s := range room {
		left[s] = room[s] - d.held[s]
	}
	return left
}

// backfills reports whether g may use the draining cell. The declared run time only
// orders work here: the reservation is kept by preemption.
func (d *decision) backfills(g Gang) bool {
	if d.reservationDue.IsZero() || g.DeclaredRuntime <= 0 {
		return false
	}
	return !d.zone.Now.Add(g.DeclaredRuntime).After(d.reservationDue)
}

// preemptByClass evicts less urgent borrowed gangs for an urgent gang. It spares gangs
// that were started only after a long wait, so that a flood of urgent work cannot
// starve them.
func (d *decision) preemptByClass(g Gang) bool {
	if d.unpreempting[g.Shape] {
		return false
	}
	may := func(gang *Placed) bool {
		return gang.Class > g.Class && gang.Started.Sub(gang.Submitted) < d.options.EvictAfter
	}
	room := d.withoutHeld(d.preemptible(may))
	c, victims, ok := d.cheapest(g, room, may)
	if !ok {
		d.unpreempting[g.Shape] = len(g.Avoid) == 0
		return false
	}
	d.evict(victims, g)
	d.give(c, g.Shape.Accelerators)
	d.used[g.Organisation] += g.Shape.Total()
	d.wait(g, WaitReclaim)
	return true
}

// reserve keeps a cell for the gang that has waited longest, once it has waited for
// ReserveAfter, and returns its position in queue, or -1. After EvictAfter the cell is
// cleared of gangs that were submitted later.
func (d *decision) reserve(queue []Gang) int {
	for _, i := range d.agedFirst(queue) {
		g := queue[i]
		if _, blocked := d.blocked(g); blocked {
			continue
		}
		if c, ok := d.freeCell(g); ok {
			d.start(g, c, true)
			return i
		}
		if d.reserveCell(g) {
			return i
		}
	}
	return -1
}

// agedFirst returns the positions of the gangs past ReserveAfter, oldest first.
func (d *decision) agedFirst(queue []Gang) []int {
	var aged []int
	for i, g := range queue {
		if d.zone.Now.Sub(g.Submitted) >= d.options.ReserveAfter {
			aged = append(aged, i)
		}
	}
	sortBySubmission(queue, aged)
	return aged
}

func (d *decision) reserveCell(g Gang) bool {
	later := func(gang *Placed) bool { return gang.Submitted.After(g.Submitted) }
	due := g.Submitted.Add(d.options.EvictAfter)
	if !d.zone.Now.Before(due) {
		c, victims, ok := d.cheapest(g, d.preemptible(later), later)
		if ok {
			d.evict(victims, g)
			d.give(c, g.Shape.Accelerators)
			d.used[g.Organisation] += g.Shape.Total()
			d.wait(g, WaitReclaim)
			return true
		}
		due = d.zone.Now
	}
	candidates := d.cheapCandidates(g, d.preemptible(anyBorrowed))
	if len(candidates) == 0 {
		return false
	}
	candidates[0].addTo(d.held, g.Shape.Accelerators, 1)
	d.reservationDue = due
	d.wait(g, WaitReserved)
	return true
}

// Default times of the draining reservation.
const (
	DefaultReserveAfter = 10 * time.Minute
	DefaultEvictAfter   = 30 * time.Minute
)
