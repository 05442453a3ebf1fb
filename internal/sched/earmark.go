package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// maxEarmarkedShare bounds the part of a service's capacity that is earmarked for waiting
// gangs, so that smaller tasks can still start. A single gang may exceed it, if it starts before it has
// waited or will work as long: what is kept idle for it is then no more than it gains or uses.
const maxEarmarkedShare = 0.4

// mark is room on a server that is kept for a gang, which starts after a time.
type mark struct {
	need  job.Resources
	start time.Duration
}

// estimateSlack is how many times as long as expected a step may take, since estimates may be off by nine tenths:
// a gang must not wait for what was let in beside it.
const estimateSlack = 2

// keptFrom returns the earmarked room that the step may not use.
func (srv *serverState) keptFrom(p *PendingStep) job.Resources {
	var kept job.Resources
	if p.Guaranteed || p.Step.LongRunning {
		return kept
	}
	runtime := srv.runtime(p)
	for _, m := range srv.marks {
		if runtime == 0 || estimateSlack*runtime > m.start {
			kept = kept.Add(m.need)
		}
	}
	return kept
}

// runtime is how long a task of the step runs on the server; 0 if that is not known.
func (srv *serverState) runtime(p *PendingStep) time.Duration {
	if !srv.nearData(p) {
		return 0
	}
	return AtPace(p.Runtime, srv.pace)
}

// earmarkRoom earmarks room for a gang that found none: the servers on which all of its
// tasks can start first, by when the tasks there are expected to end. Later steps of the
// round can use that room only if they end before the gang can start, are long-running or guaranteed.
//
// It answers a load of smaller, less urgent tasks that arrive faster than they end.
// Without it they take each part of the room as it becomes free, and the gang starves. What ends in time
// is let in, since one task that ends late would else keep all the room of a wide gang idle.
func (d *round) earmarkRoom(p *PendingStep) {
	if !p.Step.Gang || p.Expired(d.now) {
		return
	}
	need := p.Step.Reserved()
	size := need.CoreWeight() * float64(len(p.Tasks))
	bound := maxEarmarkedShare * d.capacity[p.Service]
	earmarked := d.earmarked[p.Service]
	if earmarked > 0 && earmarked+size > bound {
		return
	}
	slots := d.earliestSlots(p)
	if slots == nil {
		return
	}
	start := slots[len(slots)-1].after
	if p.Expired(d.now.Add(start)) || size > bound && start > max(p.Remaining, d.now.Sub(p.Due)) {
		return
	}
	if slices.ContainsFunc(slots, func(s slot) bool { return s.overdue }) && d.mostIsFree(p.Service) {
		return
	}
	d.earmarked[p.Service] += size
	d.plan.Earmarks = append(d.plan.Earmarks, Earmark{Key: p.Key, After: start, Share: size / d.capacity[p.Service]})
	for _, slot := range slots {
		slot.server.earmarked = slot.server.earmarked.Add(need)
		slot.server.marks = append(slot.server.marks, mark{need, start})
	}
}

// mostIsFree reports whether more than half of each resource of a service is free. What is kept then for a gang
// that waits for tasks which should have ended already may be kept for long, while there is room for others.
func (d *round) mostIsFree(service string) bool {
	var free, capacity job.Resources
	for _, srv := range d.servers {
		if srv.Service == service {
			free, capacity = free.Add(job.Resources{}.Max(srv.free)), capacity.Add(srv.Capacity)
		}
	}
	return capacity.FitsIn(free.Times(2))
}

// slot is room for one task of a step on a server, expected to be free after a time.
type slot struct {
	server  *serverState
	after   time.Duration
	overdue bool // a task that should have ended is still there
}

// earliestSlots returns one slot for each task of a gang, where the last of them becomes
// free first; nil if there are too few. They are near the step's data and on one rack if
// the step asks for that and could ever fit there.
func (d *round) earliestSlots(p *PendingStep) []slot {
	eligible, near := d.candidates(p)
	if !d.fitsNearWhenEmpty(p, near) {
		return firstSlots(p, eligible)
	}
	if !p.Step.SameRack {
		return firstSlots(p, near)
	}
	var best []slot
	for _, rack := range d.byRack(near) {
		slots := firstSlots(p, rack)
		if slots != nil && (best == nil || slots[len(slots)-1].after < best[len(best)-1].after) {
			best = slots
		}
	}
	return best
}

// firstSlots returns the slots on the servers that become free first, one for each task of
// the step; nil if there are too few.
func firstSlots(p *PendingStep, servers []*serverState) []slot {
	var slots []slot
	for _, srv := range servers {
		slots = append(slots, srv.slots(p)...)
	}
	if len(slots) < len(p.Tasks) {
		return nil
	}
	slices.SortStableFunc(slots, func(a, b slot) int {
		if a.after == b.after && a.overdue != b.overdue {
			if a.overdue {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.after, b.after)
	})
	return slots[:len(p.Tasks)]
}

// slots returns the room for the step's tasks on the server, in the order in which it
// becomes free as tasks end.
func (srv *serverState) slots(p *PendingStep) []slot {
	var slots []slot
	available := srv.free.Add(srv.releasing).Sub(srv.earmarked)
	addUntilFull := func(after time.Duration, overdue bool) {
		for n := tasksThatFit(p.Step, available); len(slots) < n; {
			slots = append(slots, slot{srv, after, overdue})
		}
	}
	addUntilFull(0, false)
	for _, end := range srv.ends {
		available = available.Add(end.Need)
		addUntilFull(end.After, end.After <= 0)
	}
	return slots
}
