package gangs

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/placement/replay"
)

// Assumed costs of an eviction, and the bounds of a replay.
const (
	minStopTime  = 200 * time.Millisecond // to write a checkpoint and stop
	maxStopTime  = 800 * time.Millisecond
	restartCost  = time.Minute // run time added by a restart from a checkpoint
	tickInterval = time.Minute
	replayLimit  = 10 * workloadSpan
)

// record is the history of one job.
type record struct {
	shape      model.GangShape
	class      model.Class
	guaranteed bool // within its organisation's guarantee when it was submitted
	submitted  time.Time
	started    time.Time // first start
	ended      time.Time // zero if it did not end before the limit
	evictions  int
}

// result is the outcome of a replay.
type result struct {
	records       []*record
	fragmentation float64 // mean over the time in which jobs are unfinished
	evictions     int
	unfinished    int
}

type eventKind int

const (
	eventSubmit eventKind = iota
	eventEnd
	eventStopped
	eventTick
)

type event struct {
	at       time.Time
	sequence int
	kind     eventKind
	job      *jobState
	run      int // the run that an eventEnd or eventStopped belongs to
}

type jobState struct {
	job
	record    *record
	remaining time.Duration
	run       int
	runStart  time.Time
}

// replayer replays the jobs of one zone against a policy in virtual time.
type replayer struct {
	state      replay.State
	policy     placement.Policy
	random     *rand.Rand
	jobs       map[model.JobID]*jobState
	events     eventQueue
	sequence   int
	unfinished int
	now        time.Time
	result     result
	// fragmentationHours is the integral of the fragmentation over the observedHours.
	fragmentationHours float64
	observedHours      float64
}

// replayZone replays the jobs in the zone until all have ended or replayLimit has passed.
func replayZone(zone placement.Zone, jobs []job, policy placement.Policy, seed uint64) result {
	r := &replayer{
		state:      replay.State{Zone: zone},
		policy:     policy,
		random:     rand.New(rand.NewPCG(seed, 0)),
		jobs:       make(map[model.JobID]*jobState),
		unfinished: len(jobs),
		now:        zone.Now,
	}
	for _, j := range jobs {
		state := &jobState{job: j, remaining: j.runtime}
		state.record = &record{shape: j.gang.Shape, class: j.gang.Class, submitted: j.gang.Submitted}
		r.result.records = append(r.result.records, state.record)
		r.jobs[j.gang.Job] = state
		r.push(event{at: j.gang.Submitted, kind: eventSubmit, job: state})
	}
	r.push(event{at: zone.Now, kind: eventTick})
	r.run(zone.Now.Add(replayLimit))
	return r.finish()
}

func (r *replayer) push(e event) {
	r.sequence++
	e.sequence = r.sequence
	heap.Push(&r.events, e)
}

// run processes the events in order of time. It handles all events of one point in time
// before the policy decides once.
func (r *replayer) run(limit time.Time) {
	for r.unfinished > 0 && r.events.Len() > 0 {
		r.now = r.events[0].at
		if r.now.After(limit) {
			return
		}
		r.state.Zone.Now = r.now
		for r.events.Len() > 0 && r.events[0].at.Equal(r.now) {
			r.handle(heap.Pop(&r.events).(event))
		}
		r.decide()
	}
}

func (r *replayer) handle(e event) {
	switch e.kind {
	case eventSubmit:
		e.job.record.guaranteed = r.withinGuarantee(e.job.gang)
		r.state.Submit(e.job.gang)
	case eventEnd:
		r.handleEnd(e)
	case eventStopped:
		r.handleStopped(e)
	case eventTick:
		r.push(event{at: r.now.Add(tickInterval), kind: eventTick})
	}
}

func (r *replayer) handleEnd(e event) {
	if e.run != e.job.run {
		return // the run was stopped earlier
	}
	r.state.Remove(e.job.gang.Job)
	e.job.record.ended = r.now
	e.job.run++
	r.unfinished--
}

func (r *replayer) handleStopped(e event) {
	if e.run != e.job.run {
		return // the run ended before it was stopped
	}
	j := e.job
	j.run++
	j.remaining = j.remaining - r.now.Sub(j.runStart) + restartCost
	r.state.Requeue(j.gang.Job)
}

func (r *replayer) decide() {
	plan := r.state.Decide(r.policy)
	for _, start := range plan.Starts {
		j := r.jobs[start.Job]
		if j.record.started.IsZero() {
			j.record.started = r.now
		}
		j.runStart = r.now
		r.push(event{at: r.now.Add(j.remaining), kind: eventEnd, job: j, run: j.run})
	}
	for _, eviction := range plan.Evictions {
		j := r.jobs[eviction.Job]
		j.record.evictions++
		r.result.evictions++
		stop := minStopTime + time.Duration(r.random.Int64N(int64(maxStopTime-minStopTime)))
		r.push(event{at: r.now.Add(stop), kind: eventStopped, job: j, run: j.run})
	}
	r.observeFragmentation(plan.Fragmentation)
}

// observeFragmentation adds the fragmentation, weighted by the time until the next event.
func (r *replayer) observeFragmentation(fragmentation float64) {
	if r.events.Len() == 0 || r.unfinished == 0 {
		return
	}
	hours := r.events[0].at.Sub(r.now).Hours()
	r.fragmentationHours += fragmentation * hours
	r.observedHours += hours
}

// withinGuarantee reports whether the gang's organisation has fewer gangs of its shape
// running or waiting than it is guaranteed.
func (r *replayer) withinGuarantee(g placement.Gang) bool {
	active := 0
	for _, other := range r.state.Zone.Placed {
		if other.Organisation == g.Organisation && other.Shape == g.Shape {
			active++
		}
	}
	for _, other := range r.state.Pending {
		if other.Organisation == g.Organisation && other.Shape == g.Shape {
			active++
		}
	}
	return active < guaranteedCount(r.state.Zone, g)
}

func guaranteedCount(zone placement.Zone, g placement.Gang) int {
	count := 0
	for _, organisation := range zone.Organisations {
		for _, guarantee := range organisation.Guarantees {
			if organisation.ID == g.Organisation && guarantee.AZ == zone.AZ && guarantee.Shape == g.Shape {
				count += guarantee.Count
			}
		}
	}
	return count
}

func (r *replayer) finish() result {
	if r.observedHours > 0 {
		r.result.fragmentation = r.fragmentationHours / r.observedHours
	}
	r.result.unfinished = r.unfinished
	return r.result
}

// eventQueue is a heap ordered by time, then by insertion.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
