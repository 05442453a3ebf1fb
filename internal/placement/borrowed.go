package placement

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// startBorrowed places a gang that no guarantee covers.
func (d *decision) startBorrowed(g Gang) {
	if reason, blocked := d.blocked(g); blocked {
		d.addWaiting(g, reason)
		return
	}
	if c, ok := d.freeCell(g); ok {
		d.addStart(g, c, true)
		return
	}
	if g.Class == model.ClassUrgent && d.preemptByClass(g) {
		return
	}
	d.addWaiting(g, WaitCapacity)
}

// blocked reports whether g cannot be placed, no matter what is free, and why.
func (d *decision) blocked(g Gang) (WaitReason, bool) {
	if !d.canRun(g.Shape) {
		return WaitNoHealthyCell, true
	}
	if overBound(d.bounds[g.Organisation], d.used[g.Organisation], g.Shape) {
		return WaitQuota, true
	}
	return "", false
}

// freeCell looks for a free cell: first in room that backs no guarantee, then in room
// that does, which the gang leaves when the guarantee is reclaimed, and last in the
// reserved cell if the gang is expected to end before the reservation is due.
func (d *decision) freeCell(g Gang) (cell, bool) {
	if !d.noFreeCell[g.Shape] {
		if c, ok := d.freeCellOutsideReservation(g); ok {
			return c, true
		}
	}
	if !d.mayBackfill(g) {
		return nil, false
	}
	f := finder{topology: d.topology, room: d.free, prefer: preferBestFit, avoid: avoided(d.topology, g)}
	return f.find(g.Shape)
}

func (d *decision) freeCellOutsideReservation(g Gang) (cell, bool) {
	f := finder{topology: d.topology, prefer: preferBestFit, avoid: avoided(d.topology, g)}
	f.room = d.withoutReserved(d.freeUnassignedRoom())
	if c, ok := f.find(g.Shape); ok {
		return c, true
	}
	f.room = d.withoutReserved(d.free)
	c, ok := f.find(g.Shape)
	if !ok && len(g.Avoid) == 0 {
		d.noFreeCell[g.Shape] = true
	}
	return c, ok
}

func (d *decision) withoutReserved(room []int) []int {
	left := make([]int, len(room))
	for s := range room {
		left[s] = room[s] - d.reserved[s]
	}
	return left
}

// mayBackfill reports whether g may use the reserved cell. A wrong declared run time
// does no lasting harm: the reservation is enforced by preemption.
func (d *decision) mayBackfill(g Gang) bool {
	if d.reservationDue.IsZero() || g.DeclaredRuntime <= 0 {
		return false
	}
	return !d.zone.Now.Add(g.DeclaredRuntime).After(d.reservationDue)
}

// preemptByClass evicts less urgent borrowed gangs for an urgent gang. It does not evict
// gangs that started StarvedAfter or more after their submission, or waited so long in all, so that many urgent
// gangs cannot starve them and no gang is stopped for urgent ones again and again.
func (d *decision) preemptByClass(g Gang) bool {
	if d.noPreemptibleCell[g.Shape] {
		return false
	}
	mayEvict := func(gang *PlacedGang) bool {
		return gang.Class > g.Class && max(gang.Started.Sub(gang.Submitted), gang.Waited) < d.options.StarvedAfter
	}
	room := d.withoutReserved(d.roomAfterEvictions(mayEvict))
	c, victims, ok := d.cellWithFewestEvictions(g, room, mayEvict)
	if !ok {
		d.noPreemptibleCell[g.Shape] = len(g.Avoid) == 0
		return false
	}
	d.evictFor(g, c, victims)
	return true
}

// startFirstWaiting places one of the gangs that have waited at least wait: the
// first in order of submission that can be placed, if necessary by evicting borrowed
// gangs that were submitted later and that mayEvict allows. It returns the gang's
// position in queue, or -1.
func (d *decision) startFirstWaiting(queue []Gang, wait time.Duration, mayEvict evictable) int {
	for _, i := range d.waitingFor(queue, wait) {
		g := queue[i]
		if _, blocked := d.blocked(g); blocked {
			continue
		}
		if c, ok := d.freeCell(g); ok {
			d.addStart(g, c, true)
			return i
		}
		if d.preemptLaterSubmitted(g, mayEvict) {
			return i
		}
	}
	return -1
}

// preemptLaterSubmitted evicts borrowed gangs that were submitted later than g.
func (d *decision) preemptLaterSubmitted(g Gang, mayEvict evictable) bool {
	later := func(gang *PlacedGang) bool { return compareSubmission(&gang.Gang, &g) > 0 && mayEvict(gang) }
	c, victims, ok := d.cellWithFewestEvictions(g, d.roomAfterEvictions(later), later)
	if ok {
		d.evictFor(g, c, victims)
	}
	return ok
}

func notUrgent(gang *PlacedGang) bool { return gang.Class != model.ClassUrgent }

// evictFor evicts the victims and allocates the cell to g, which waits until they have
// stopped.
func (d *decision) evictFor(g Gang, c cell, victims []int) {
	d.addEvictions(victims, g)
	d.allocate(c, g.Shape.Accelerators)
	d.used[g.Organisation] += g.Shape.Total()
	d.addWaiting(g, WaitReclaim)
}

// reserveForFirstWaiting starts one of the gangs that have waited at least ReserveAfter
// or reserves a draining cell for it: the first in order of submission for which either
// is possible. Until the gang has waited EvictAfter, the cell takes no new work except
// urgent gangs and gangs that are expected to end before that time. It returns the
// gang's position in queue, or -1.
func (d *decision) reserveForFirstWaiting(queue []Gang) int {
	for _, i := range d.waitingFor(queue, d.options.ReserveAfter) {
		g := queue[i]
		if _, blocked := d.blocked(g); blocked {
			continue
		}
		if c, ok := d.freeCell(g); ok {
			d.addStart(g, c, true)
			return i
		}
		if d.reserveCell(g) {
			return i
		}
	}
	return -1
}

// reserveCell reserves a cell for g among those that become free when borrowed gangs
// end. It chooses the one that needs the fewest accelerators of running gangs.
func (d *decision) reserveCell(g Gang) bool {
	candidates := d.candidatesByShortfall(g, d.roomAfterEvictions(anyBorrowed))
	if len(candidates) == 0 {
		return false
	}
	candidates[0].addTo(d.reserved, g.Shape.Accelerators, 1)
	d.reservationDue = g.waitReaches(d.options.EvictAfter)
	d.addWaiting(g, WaitReserved)
	return true
}

// waitingFor returns the positions of the gangs that have waited at least wait, in order
// of submission.
func (d *decision) waitingFor(queue []Gang, wait time.Duration) []int {
	var positions []int
	for i := range queue {
		if !queue[i].waitReaches(wait).After(d.zone.Now) {
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
