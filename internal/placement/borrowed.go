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
// that were started StarvedAfter or more after their submission, so that a flood of
// urgent work cannot starve them and no gang is stopped for this over and over.
func (d *decision) preemptByClass(g Gang) bool {
	if d.unpreempting[g.Shape] {
		return false
	}
	may := func(gang *PlacedGang) bool {
		return gang.Class > g.Class && gang.Started.Sub(gang.Submitted) < d.options.StarvedAfter
	}
	room := d.withoutHeld(d.preemptible(may))
	c, victims, ok := d.cheapest(g, room, may)
	if !ok {
		d.unpreempting[g.Shape] = len(g.Avoid) == 0
		return false
	}
	d.reclaimFor(g, c, victims)
	return true
}

// startWaiting places the gang that was submitted first of those that wait at least
// that long, if need be by evicting borrowed gangs that were submitted later and that
// may be evicted. It returns the gang's position in queue, or -1.
func (d *decision) startWaiting(queue []Gang, wait time.Duration, may evictable) int {
	for _, i := range d.waitingFor(queue, wait) {
		g := queue[i]
		if _, blocked := d.blocked(g); blocked {
			continue
		}
		if c, ok := d.freeCell(g); ok {
			d.start(g, c, true)
			return i
		}
		if d.preemptLater(g, may) {
			return i
		}
	}
	return -1
}

// preemptLater evicts borrowed gangs that were submitted later than g.
func (d *decision) preemptLater(g Gang, may evictable) bool {
	later := func(gang *PlacedGang) bool { return compareSubmission(&gang.Gang, &g) > 0 && may(gang) }
	c, victims, ok := d.cheapest(g, d.preemptible(later), later)
	if ok {
		d.reclaimFor(g, c, victims)
	}
	return ok
}

func notUrgent(gang *PlacedGang) bool { return gang.Class != model.ClassUrgent }

// reclaimFor evicts the victims and gives the cell to g, which waits for them.
func (d *decision) reclaimFor(g Gang, c cell, victims []int) {
	d.evict(victims, g)
	d.give(c, g.Shape.Accelerators)
	d.used[g.Organisation] += g.Shape.Total()
	d.wait(g, WaitReclaim)
}

// reserve keeps a cell for the gang that waits longest past ReserveAfter. Until it is
// overdue, the cell takes no new work but urgent gangs and those expected to end in
// time. It returns the gang's position in queue, or -1.
func (d *decision) reserve(queue []Gang) int {
	for _, i := range d.waitingFor(queue, d.options.ReserveAfter) {
		g := queue[i]
		if _, blocked := d.blocked(g); blocked {
			continue
		}
		if c, ok := d.freeCell(g); ok {
			d.start(g, c, true)
			return i
		}
		if d.holdCell(g) {
			return i
		}
	}
	return -1
}

// holdCell holds the cell that lacks the fewest accelerators when borrowed gangs end.
func (d *decision) holdCell(g Gang) bool {
	candidates := d.cheapCandidates(g, d.preemptible(anyBorrowed))
	if len(candidates) == 0 {
		return false
	}
	candidates[0].addTo(d.held, g.Shape.Accelerators, 1)
	d.reservationDue = g.waitingSince().Add(d.options.EvictAfter)
	d.wait(g, WaitReserved)
	return true
}

// waitingFor returns the positions of the gangs that wait at least that long, those
// submitted first in front.
func (d *decision) waitingFor(queue []Gang, wait time.Duration) []int {
	var positions []int
	for i := range queue {
		if d.zone.Now.Sub(queue[i].waitingSince()) >= wait {
			positions = append(positions, i)
		}
	}
	sortBySubmission(queue, positions)
	return positions
}

// Default times of the draining reservation.
const (
	DefaultReserveAfter = time.Hour
	DefaultEvictAfter   = 4 * time.Hour
	DefaultStarvedAfter = 24 * time.Hour
)
