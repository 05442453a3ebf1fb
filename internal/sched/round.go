package sched

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// round is the state of one decision.
type round struct {
	now      time.Time
	rooms    []*room
	byID     map[model.BackendServerID]*room
	gangCost map[job.GroupKey]float64
	hopeless map[shape]bool
	plan     Plan
}

// Decide plans one round over a snapshot.
func Decide(s Snapshot) Plan {
	d := newRound(s)
	Order(s.Pending, s.Now)
	for i := range s.Pending {
		d.serve(&s.Pending[i])
	}
	return d.plan
}

func newRound(s Snapshot) *round {
	d := &round{
		now:      s.Now,
		byID:     make(map[model.BackendServerID]*room, len(s.Servers)),
		gangCost: make(map[job.GroupKey]float64),
		hopeless: make(map[shape]bool),
	}
	for i := range s.Servers {
		v := &s.Servers[i]
		r := &room{Server: v, index: i, free: v.Free, promised: v.Releasing}
		d.rooms = append(d.rooms, r)
		d.byID[v.ID] = r
	}
	d.addHeld(s.Preemptible)
	return d
}

// serve places a want, or has room made for it when it is urgent or guaranteed.
func (d *round) serve(w *PendingStep) {
	a := d.fit(w, freeNow, !d.displacing(w) && d.mayGoFar(w))
	d.place(w, a)
	if !d.displacing(w) || len(a.rooms) == len(w.Tasks) {
		return
	}
	rest := *w
	rest.Tasks = w.Tasks[len(a.rooms):]
	rest.TasksPerServer = d.withPlaced(w, a)
	if d.makeRoom(&rest, false) || !d.mayGoFar(w) {
		return
	}
	a = d.fit(&rest, freeNow, true)
	d.place(&rest, a)
	if n := len(a.rooms); n < len(rest.Tasks) {
		last := rest
		last.Tasks = rest.Tasks[n:]
		last.TasksPerServer = d.withPlaced(&rest, a)
		d.makeRoom(&last, true)
	}
}

// makeRoom keeps room that is being released for a want, or else has tasks stopped for
// it. It returns false when the want would not fit even then.
func (d *round) makeRoom(w *PendingStep, far bool) bool {
	if coming := d.fit(w, freeSoon, far); len(coming.rooms) == len(w.Tasks) {
		d.keep(w, coming)
		return true
	}
	return d.preempt(w, far)
}

// withPlaced counts a step's tasks with those just placed.
func (d *round) withPlaced(w *PendingStep, a assignment) map[model.BackendServerID]int {
	on := make(map[model.BackendServerID]int, len(w.TasksPerServer)+len(a.rooms))
	for id, n := range w.TasksPerServer {
		on[id] = n
	}
	for _, r := range a.rooms {
		on[r.ID]++
	}
	return on
}

// place starts the want's first tasks on the rooms.
func (d *round) place(w *PendingStep, a assignment) {
	need := w.Step.Reserved()
	for i, r := range a.rooms {
		r.free = r.free.Sub(need)
		d.plan.Placements = append(d.plan.Placements, Placement{Key: w.Key, Index: w.Tasks[i], Server: r.ID, Far: a.far})
	}
}

// keep takes room that is free or being released away from later wants.
func (d *round) keep(w *PendingStep, a assignment) {
	need := w.Step.Reserved()
	for _, r := range a.rooms {
		r.free, r.promised = take(r.free, r.promised, need)
	}
}

// take subtracts need from free and, where that is not enough, from promised.
func take(free, promised, need job.Resources) (job.Resources, job.Resources) {
	split := func(f, p, n int) (int, int) {
		fromFree := min(max(f, 0), n)
		return f - fromFree, p - (n - fromFree)
	}
	free.MilliCPU, promised.MilliCPU = split(free.MilliCPU, promised.MilliCPU, need.MilliCPU)
	free.MemoryMB, promised.MemoryMB = split(free.MemoryMB, promised.MemoryMB, need.MemoryMB)
	free.Accelerators, promised.Accelerators = split(free.Accelerators, promised.Accelerators, need.Accelerators)
	return free, promised
}
