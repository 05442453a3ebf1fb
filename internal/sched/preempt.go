package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// maxStops is how often a task or gang may be stopped to make room for steps without a guarantee. It answers bursts
// of urgent work over a full cluster: what was stopped starts again in the next room, where it would be in the way
// of the next urgent step.
const maxStops = 3

// addPreemptible adds the running tasks that may be stopped to their servers, those first that lose the least work
// for the room that they release.
func (d *round) addPreemptible(tasks []PreemptibleTask) {
	for i := range tasks {
		task := &tasks[i]
		if task.Gang {
			d.gangCost[task.Key] += task.UnsavedWork * float64(1+task.Stops)
		}
		if srv := d.byID[task.Server]; srv != nil {
			srv.preemptible = append(srv.preemptible, task)
			srv.addReclaimable(task.Need, task.guaranteedOnly())
		}
	}
	for _, srv := range d.servers {
		slices.SortStableFunc(srv.preemptible, func(a, b *PreemptibleTask) int {
			return cmp.Compare(d.stopCost(a)*roomOf(b), d.stopCost(b)*roomOf(a))
		})
	}
}

// roomOf is the room that a task releases, in cores; at least a thousandth.
func roomOf(task *PreemptibleTask) float64 { return max(task.Need.CoreWeight(), 0.001) }

// guaranteedOnly reports whether the task may be stopped only for a step that a guarantee covers.
func (task *PreemptibleTask) guaranteedOnly() bool { return task.Urgent || task.Stops >= maxStops }

// addReclaimable adds what a preemptible task would release if it were stopped.
func (srv *serverState) addReclaimable(need job.Resources, guaranteedOnly bool) {
	srv.reclaimableByGuaranteed = srv.reclaimableByGuaranteed.Add(need)
	if !guaranteedOnly {
		srv.reclaimableByUrgent = srv.reclaimableByUrgent.Add(need)
	}
}

// release marks the resources of a task that is being stopped as being released.
func (srv *serverState) release(task *PreemptibleTask) {
	srv.releasing = srv.releasing.Add(task.Need)
	srv.addReclaimable(job.Resources{}.Sub(task.Need), task.guaranteedOnly())
	nearest := -1
	for i, end := range srv.ends {
		if end.Need == task.Need && (nearest < 0 || (end.After-task.EndsAfter).Abs() < (srv.ends[nearest].After-task.EndsAfter).Abs()) {
			nearest = i
		}
	}
	if nearest >= 0 { // it is not to be counted twice
		srv.ends = slices.Delete(slices.Clone(srv.ends), nearest, nearest+1)
	}
}

// mayPreempt reports whether tasks may be stopped for the pending step. An expired urgent
// step must not preempt: it goes after the steps whose tasks it would stop, and they
// would take the room from each other in turn.
func (d *round) mayPreempt(p *PendingStep) bool {
	return p.Guaranteed || p.Urgent && !p.Expired(d.now)
}

// mayPreemptTask reports whether the step, if it may preempt at all, may have the task
// stopped.
func (p *PendingStep) mayPreemptTask(task *PreemptibleTask) bool {
	return p.Guaranteed || !task.guaranteedOnly()
}

// stopCost returns the unsaved work that is lost when a task is stopped, including that
// of its gang. What was stopped before counts as often again: it is late already.
func (d *round) stopCost(task *PreemptibleTask) float64 {
	if task.Gang {
		return d.gangCost[task.Key]
	}
	return task.UnsavedWork * float64(1+task.Stops)
}

// mayWait is how long the step may wait for room that becomes free by itself, before tasks are stopped for it. One that
// can still meet its objective waits no longer than it takes to stop tasks, so that waiting costs its caller nothing.
// One that is late already may use half of the time until its end would be of no more use. Neither uses more than half
// of the time that is left to the objective or to the bound of the guarantee, since ends come later than expected.
func (d *round) mayWait(p *PendingStep) time.Duration {
	if d.stopTime == 0 || p.Guaranteed && p.StartBy.IsZero() {
		return 0
	}
	longest, endBy := d.stopTime, p.Objective
	if p.late(d.now) {
		endBy = p.Due.Add(p.Objective.Sub(p.Due) * LateFactor)
		longest = endBy.Sub(p.Due)
	}
	left := endBy.Sub(d.now) - time.Duration((1+estimateError)*float64(p.Remaining))
	if p.Guaranteed {
		left = min(left, p.StartBy.Sub(d.now))
	}
	return max(min((left-d.stopTime)/2, longest), 0)
}

// waitForEnds reserves room for a pending step that becomes free by itself while the step may wait for it, and
// reports whether there is enough.
func (d *round) waitForEnds(p *PendingStep, far bool) bool {
	limit := d.mayWait(p)
	if limit <= 0 {
		return false
	}
	for part := range waitParts { // the earliest room, so that later rounds choose the same
		if a := d.fitInTime(p, far, limit*time.Duration(part+1)/waitParts); len(a.servers) == len(p.Tasks) {
			d.reserve(p, a)
			return true
		}
	}
	return false
}

// waitParts is into how many parts the time is divided in which room may become free.
const waitParts = 4

// fitInTime is fit with what is being released, and what tasks release that end by themselves within a time.
func (d *round) fitInTime(p *PendingStep, far bool, within time.Duration) assignment {
	key, comparable := d.fitKeyOf(p, freeSoon, far)
	if failed, known := d.neverInTime[key]; comparable && known && within <= failed {
		return assignment{}
	}
	d.countEnds(within, 1)
	a := d.search(p, freeSoon, far)
	d.countEnds(within, -1)
	if comparable && len(a.servers) == 0 {
		d.neverInTime[key] = within
	}
	return a
}

// countEnds adds to what is being released, or with sign -1 takes from it, what tasks release that end by themselves
// within a time.
func (d *round) countEnds(within time.Duration, sign int) {
	for _, srv := range d.servers {
		for _, end := range srv.ends {
			if end.After > within {
				break // they are sorted
			}
			srv.releasing = srv.releasing.Add(end.Need.Times(sign))
		}
	}
}

// preempt stops running tasks to make room for the pending step and reports whether all
// tasks of the step then fit. It stops nothing when a gang would not fit even then or,
// for other steps, not a single task would.
//
// It serves organisations that reclaim guaranteed accelerators which others have
// borrowed, and urgent steps. The victims are the tasks that lose the least unsaved work.
// No task is stopped whose resources are not needed. Nothing is stopped for an urgent
// step without a guarantee if more work would be lost than maxLossFactor allows. For a guaranteed
// step the same is tried first: others that are urgent too miss their objectives if they are stopped. Later
// rounds use the same fit to place the step in the room that becomes free, so that they
// choose no further victims for it.
func (d *round) preempt(p *PendingStep, far bool) bool {
	if p.Guaranteed && d.stopTime > 0 {
		likeUrgent := *p
		likeUrgent.Guaranteed, likeUrgent.Urgent = false, true
		if d.stopFor(&likeUrgent, far, len(p.Tasks)) {
			return true
		}
	}
	atLeast := 1
	if p.Step.Gang {
		atLeast = len(p.Tasks)
	}
	return d.stopFor(p, far, atLeast)
}

// stopFor is preempt for one way to choose victims. It stops nothing unless as many tasks of the step fit then as
// atLeast.
func (d *round) stopFor(p *PendingStep, far bool, atLeast int) bool {
	a := d.fit(p, reclaimable, far)
	if len(a.servers) < atLeast {
		return false
	}
	stops := d.stopsFor(p, a)
	lost := 0.0
	for _, stop := range stops {
		lost += d.stopCost(stop.task)
	}
	if !p.Guaranteed && lost > maxLossFactor*p.estimatedWork() {
		return false
	}
	for _, stop := range stops {
		d.evict(stop.server, stop.task, p.Key)
	}
	d.reserve(p, a)
	return len(a.servers) == len(p.Tasks)
}

// maxLossFactor bounds the work that others may lose for a step without a guarantee, as a
// multiple of the step's own work. Without it, bursts of small urgent steps would stop
// wide gangs again and again.
const maxLossFactor = 2

// minRuntime replaces estimates that are missing or too small to compare with.
const minRuntime = time.Second

// estimatedWork returns the work of the waiting tasks in core-seconds, by the submitter's
// estimate.
func (p *PendingStep) estimatedWork() float64 {
	return float64(len(p.Tasks)) * p.Step.Need.CoreWeight() * max(p.Step.EstimatedRuntime, minRuntime).Seconds()
}

// preemptionCost returns the cost of stopping tasks so that n tasks of the step fit.
func (d *round) preemptionCost(p *PendingStep, srv *serverState, n int) float64 {
	cost := 0.0
	for _, task := range d.victims(p, srv, n) {
		cost += d.stopCost(task)
	}
	return cost
}

// victims chooses tasks to stop on a server so that n tasks of the step fit there. It
// adds the cheapest first, then drops those that are not needed after all, the most
// expensive first. The result is valid until the next call.
func (d *round) victims(p *PendingStep, srv *serverState, n int) []*PreemptibleTask {
	need := p.Step.Reserved().Times(n)
	free := srv.available(p, freeSoon)
	chosen := d.chosen[:0]
	for _, task := range srv.preemptible {
		if need.FitsIn(free) {
			break
		}
		if !p.mayPreemptTask(task) {
			continue
		}
		chosen = append(chosen, task)
		free = free.Add(task.Need)
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Sub(chosen[i].Need); need.FitsIn(without) {
			free = without
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	d.chosen = chosen
	return chosen
}

// stop is the stop of a task on a server, and of its gang everywhere.
type stop struct {
	server *serverState
	task   *PreemptibleTask
}

// stopsFor returns the stops that make room for an assignment: the victims on each server, a gang only once, without
// those that are not needed since others are stopped, the most expensive ones dropped first.
func (d *round) stopsFor(p *PendingStep, a assignment) []stop {
	count := make(map[*serverState]int)
	for _, srv := range a.servers {
		count[srv]++
	}
	var stops []stop
	gangs := make(map[job.GroupKey]bool)
	for _, srv := range d.servers {
		if count[srv] == 0 {
			continue
		}
		for _, task := range d.victims(p, srv, count[srv]) {
			if !task.Gang || !gangs[task.Key] {
				stops = append(stops, stop{srv, task})
			}
			gangs[task.Key] = gangs[task.Key] || task.Gang
		}
	}
	if len(gangs) == 0 {
		return stops // each frees room on its own server, where all are needed
	}
	lacks := make(map[*serverState]job.Resources) // what the stops must free at least
	freed := make(map[*serverState]job.Resources)
	for srv, n := range count {
		lacks[srv] = p.Step.Reserved().Times(n).Sub(srv.available(p, freeSoon))
		freed[srv] = srv.freedBy(stops)
	}
	slices.SortStableFunc(stops, func(a, b stop) int { return cmp.Compare(d.stopCost(b.task), d.stopCost(a.task)) })
	for i := 0; i < len(stops); {
		needed := false
		for srv := range count {
			needed = needed || !lacks[srv].FitsIn(freed[srv].Sub(srv.freedBy(stops[i:i+1])))
		}
		if needed {
			i++
			continue
		}
		for srv := range count {
			freed[srv] = freed[srv].Sub(srv.freedBy(stops[i : i+1]))
		}
		stops = slices.Delete(stops, i, i+1)
	}
	return stops
}

// freedBy returns what stops release on a server.
func (srv *serverState) freedBy(stops []stop) job.Resources {
	var sum job.Resources
	for _, s := range stops {
		if !s.task.Gang {
			if s.server == srv {
				sum = sum.Add(s.task.Need)
			}
			continue
		}
		for _, task := range srv.preemptible {
			if task.Key == s.task.Key {
				sum = sum.Add(task.Need)
			}
		}
	}
	return sum
}

// evict adds the stop of a task on a server to the plan. A gang ends as a whole, so
// the resources of its other members are released as well.
func (d *round) evict(srv *serverState, task *PreemptibleTask, by job.GroupKey) {
	d.plan.Evictions = append(d.plan.Evictions, Eviction{Key: task.Key, Index: task.Index, For: by})
	if task.Gang {
		d.releaseGang(task.Key)
		return
	}
	srv.release(task)
	srv.preemptible = slices.DeleteFunc(srv.preemptible, func(other *PreemptibleTask) bool { return other == task })
}

func (d *round) releaseGang(key job.GroupKey) {
	for _, srv := range d.servers {
		srv.preemptible = slices.DeleteFunc(srv.preemptible, func(task *PreemptibleTask) bool {
			if task.Key == key {
				srv.release(task)
			}
			return task.Key == key
		})
	}
}
