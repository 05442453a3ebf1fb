package sched

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// load replays a load in virtual time: steps arrive, rounds place their tasks, and tasks end
// after the step's estimated runtime. Stops take effect at once.
type load struct {
	cluster
	waiting []PendingStep
	running []runningTask
	placed  map[job.GroupKey]time.Time // when the last task of a step was placed
}

type runningTask struct {
	step  *PendingStep
	index int
	on    int // server
	ends  time.Time
}

// roundInterval is the time between two rounds of a load.
const roundInterval = 100 * time.Millisecond

func newLoad(servers, perRack int) *load {
	l := &load{cluster: *newCluster(servers), placed: make(map[job.GroupKey]time.Time)}
	for i := range l.Servers {
		l.Servers[i].Rack = model.RackID(fmt.Sprintf("r%d", i/perRack))
	}
	return l
}

// submit adds a step that is due now and whose objective is three times its estimated
// runtime.
func (l *load) submit(name string, priority int, step job.Step) job.GroupKey {
	p := PendingStep{
		Key: groupKey(name), Service: "desk", Step: &step, Priority: priority, Urgent: priority == 0, Due: l.Now,
		Objective: l.Now.Add(3 * step.EstimatedRuntime), Remaining: step.EstimatedRuntime,
	}
	for i := range step.Count {
		p.Tasks = append(p.Tasks, i)
	}
	l.waiting = append(l.waiting, p)
	return p.Key
}

// round ends the tasks that are due and runs a scheduling round.
func (l *load) round() {
	l.Now = l.Now.Add(roundInterval)
	l.running = slices.DeleteFunc(l.running, func(r runningTask) bool { return !r.ends.After(l.Now) })
	plan := Decide(l.snapshot())
	for _, e := range plan.Evictions {
		l.stop(e)
	}
	for _, p := range plan.Placements {
		l.start(p)
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(p PendingStep) bool { return len(p.Tasks) == 0 })
}

func (l *load) start(p Placement) {
	i := slices.IndexFunc(l.waiting, func(w PendingStep) bool { return w.Key == p.Key })
	w := &l.waiting[i]
	w.Tasks = slices.DeleteFunc(w.Tasks, func(index int) bool { return index == p.Index })
	on := slices.IndexFunc(l.Servers, func(v Server) bool { return v.ID == p.Server })
	step := *w
	l.running = append(l.running, runningTask{step: &step, index: p.Index, on: on, ends: l.Now.Add(w.Step.EstimatedRuntime)})
	l.placed[p.Key] = l.Now
}

// stop makes a task wait again, and with it its gang.
func (l *load) stop(e Eviction) {
	l.running = slices.DeleteFunc(l.running, func(r runningTask) bool {
		if r.step.Key != e.Key || !r.step.Step.Gang && r.index != e.Index {
			return false
		}
		i := slices.IndexFunc(l.waiting, func(w PendingStep) bool { return w.Key == e.Key })
		if i < 0 {
			l.waiting = append(l.waiting, *r.step)
			i = len(l.waiting) - 1
			l.waiting[i].Tasks = nil
		}
		l.waiting[i].Tasks = append(l.waiting[i].Tasks, r.index)
		return true
	})
}

func (l *load) snapshot() Snapshot {
	s := Snapshot{Now: l.Now, Servers: slices.Clone(l.Servers), Pending: slices.Clone(l.waiting)}
	for i := range s.Servers {
		s.Servers[i].Free = s.Servers[i].Capacity
	}
	for _, r := range l.running {
		need := r.step.Step.Reserved()
		s.Servers[r.on].Free = s.Servers[r.on].Free.Sub(need)
		began := r.ends.Add(-r.step.Step.EstimatedRuntime)
		s.Preemptible = append(s.Preemptible, PreemptibleTask{
			Key: r.step.Key, Index: r.index, Server: l.Servers[r.on].ID, Need: need, Gang: r.step.Step.Gang, Urgent: r.step.Urgent,
			UnsavedWork: need.CoreWeight() * l.Now.Sub(began).Seconds(),
		})
	}
	slices.SortStableFunc(s.Preemptible, func(a, b PreemptibleTask) int { return cmp.Compare(a.UnsavedWork, b.UnsavedWork) })
	return s
}

// A gang waits for most of a rack while smaller tasks of a lower priority arrive faster than
// they end. They must not take each part of the room as it becomes free, or the gang starves
// (incident SHORT). Once the tasks ahead of it have ended, it still meets its objective.
func TestGangIsNotPassedOverBySmallerTasks(t *testing.T) {
	const runtime = 6 * time.Second
	l := newLoad(24, 12)
	small := job.Step{Count: 20, Need: job.Resources{MilliCPU: 4000, MemoryMB: 8000, Accelerators: 1}, EstimatedRuntime: runtime}
	var gang job.GroupKey
	for i := range 200 {
		if i%3 == 0 { // 67 tasks a second on a cluster that completes 32
			l.submit(fmt.Sprintf("scan%03d", i), 2, small)
		}
		if i == 50 {
			gang = l.submit("plan", 1, job.Step{Count: 10, Need: whole, Gang: true, SameRack: true, EstimatedRuntime: runtime})
		}
		l.round()
	}
	startedAt, started := l.placed[gang]
	assert.Assert(t, started, "the gang has not started after %v", 150*roundInterval)
	wait := startedAt.Sub(testNow.Add(50 * roundInterval))
	assert.Assert(t, wait <= 2*runtime, "the gang started after %v, too late for its objective", wait)
}
