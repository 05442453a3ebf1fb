package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// round is the state of one scheduling round.
type round struct {
	now         time.Time
	servers     []*serverState
	byID        map[model.BackendServerID]*serverState
	gangCost    map[job.GroupKey]float64 // unsaved work of all preemptible tasks of a gang
	unplaceable map[fitKey]bool          // keys of steps for which no room was found
	capacity    map[string]float64       // of each service, in cores
	earmarked   map[string]float64       // what is earmarked of it for waiting gangs, in cores
	reasons     map[fitKey]Reason        // of steps that found no place, if asked for
	explain     bool
	slowdowns   map[KindPair]float64
	plan        Plan
	stopTime    time.Duration
	farFactor   float64
	// neverInTime holds the longest time within which no room becomes free by itself for the steps with a key.
	neverInTime map[fitKey]time.Duration

	shapes         map[string][]*shapeState // that steps ask for, by service
	racks          int                      // number of racks
	paceLevels     map[string][]float64     // of the services with backend servers of unlike pace
	byRackNumber   [][]*serverState
	lost           []lostEntry
	candidateLists map[candidateKey]candidateList
	// trial, options and chosen are memory that is used again.
	trial   trialUsage
	options optionHeap
	chosen  []*PreemptibleTask
}

// Decide plans one round over a snapshot.
func Decide(s Snapshot) Plan {
	d := newRound(s)
	Order(s.Pending, s.Now)
	kept := false
	for i := range s.Pending {
		if p := &s.Pending[i]; !kept && !p.Guaranteed && !p.Urgent && !p.starved(s.Now) {
			d.keepRoom(s.UrgentRoom)
			kept = true
		}
		d.schedule(&s.Pending[i])
	}
	return d.plan
}

func newRound(s Snapshot) *round {
	d := &round{
		now:         s.Now,
		stopTime:    s.StopTime,
		farFactor:   s.FarFactor,
		byID:        make(map[model.BackendServerID]*serverState, len(s.Servers)),
		gangCost:    make(map[job.GroupKey]float64),
		unplaceable: make(map[fitKey]bool),
		capacity:    make(map[string]float64),
		neverInTime: make(map[fitKey]time.Duration),
		earmarked:   make(map[string]float64),
		slowdowns:   s.Slowdowns,
		reasons:     make(map[fitKey]Reason),
		shapes:      make(map[string][]*shapeState),
		explain:     s.Explain,

		candidateLists: make(map[candidateKey]candidateList),
		paceLevels:     paceLevels(s.Servers),
	}
	racks := make(map[model.RackID]int)
	states := make([]serverState, len(s.Servers))
	for i := range s.Servers {
		v := &s.Servers[i]
		if _, known := racks[v.Rack]; !known {
			racks[v.Rack] = len(racks)
		}
		srv := &states[i]
		*srv = serverState{
			Server: v, index: i, kinds: maps.Clone(v.Kinds), free: v.Free, releasing: v.Releasing, ends: v.Ends, unproven: v.Unproven, isolated: v.Isolated, rack: racks[v.Rack],
		}
		if d.paceLevels[v.Service] != nil {
			srv.pace = v.Pace
		}
		slices.SortFunc(srv.ends, func(a, b ExpectedEnd) int { return cmp.Compare(a.After, b.After) })
		d.capacity[v.Service] += v.Capacity.CoreWeight()
		d.servers = append(d.servers, srv)
		d.byID[v.ID] = srv
	}
	d.racks = len(racks)
	d.addShapes(s.Shapes)
	d.addPreemptible(s.Preemptible)
	return d
}

// schedule places a pending step. If it does not fit and may preempt, schedule reserves for
// it room that is being released, or stops other tasks. For a gang that still does not fit,
// it earmarks the room where the gang can start first.
func (d *round) schedule(p *PendingStep) {
	placedBefore := len(d.plan.Placements)
	a := d.fit(p, freeNow, !d.mayPreempt(p) && d.shouldGoFar(p))
	d.place(p, a)
	if len(a.servers) == len(p.Tasks) {
		return
	}
	var why Reason
	if d.explain {
		why = d.reason(p) // before room is kept for the step itself
	}
	d.scheduleRest(p, a)
	if waiting := len(p.Tasks) - (len(d.plan.Placements) - placedBefore); waiting > 0 {
		d.plan.Unplaced = append(d.plan.Unplaced, Unplaced{Key: p.Key, Tasks: waiting, Reason: why})
	}
}

// scheduleRest is schedule for the tasks that the assignment has left.
func (d *round) scheduleRest(p *PendingStep, a assignment) {
	if !d.mayPreempt(p) {
		d.earmarkRoom(p)
		return
	}
	rest := *p
	rest.Tasks = p.Tasks[len(a.servers):]
	rest.TasksPerServer = d.countTasksPerServer(p, a)
	if d.reserveOrPreempt(&rest, false) {
		return
	}
	if !d.shouldGoFar(&rest) {
		d.earmarkRoom(&rest)
		return
	}
	a = d.fit(&rest, freeNow, true)
	d.place(&rest, a)
	if n := len(a.servers); n < len(rest.Tasks) {
		last := rest
		last.Tasks = rest.Tasks[n:]
		last.TasksPerServer = d.countTasksPerServer(&rest, a)
		if !d.reserveOrPreempt(&last, true) {
			d.earmarkRoom(&last)
		}
	}
}

// shouldGoFar reports whether a step should use other racks than the one that it runs best on if it finds no room
// there: only if its tasks are expected to end earlier, since they take several times as long. A guaranteed step does
// so in any case, since the bound of its guarantee is on its start.
//
// It answers more work than fits: most steps are late then, and those that go far take the room of several others.
func (d *round) shouldGoFar(p *PendingStep) bool {
	if !d.mayGoFar(p) || p.Guaranteed || d.farFactor == 0 {
		return d.mayGoFar(p)
	}
	eligible, near := d.candidates(p)
	if len(near) == len(eligible) && !p.Step.SameRack || !d.fitsNearWhenEmpty(p, near) {
		return true
	}
	slots := d.earliestSlots(p)
	gain := time.Duration((d.farFactor - 1) * float64(cmp.Or(p.Runtime, p.Step.EstimatedRuntime)))
	return slots == nil || slots[len(slots)-1].after > gain
}

// reserveOrPreempt reserves room for a pending step that is free, being released or becomes free by itself in time,
// or else stops tasks for it. It returns false when the step would not fit even then.
func (d *round) reserveOrPreempt(p *PendingStep, far bool) bool {
	if soon := d.fit(p, freeSoon, far); len(soon.servers) == len(p.Tasks) {
		d.reserve(p, soon)
		return true
	}
	return d.waitForEnds(p, far) || d.preempt(p, far)
}

// countTasksPerServer returns how many of the step's tasks are on each backend server, including
// those that the assignment has just placed.
func (d *round) countTasksPerServer(p *PendingStep, a assignment) map[model.BackendServerID]int {
	counts := make(map[model.BackendServerID]int, len(p.TasksPerServer)+len(a.servers))
	for id, n := range p.TasksPerServer {
		counts[id] = n
	}
	for _, srv := range a.servers {
		counts[srv.ID]++
	}
	return counts
}

// place starts the step's first waiting tasks on the servers of the assignment.
func (d *round) place(p *PendingStep, a assignment) {
	need := p.Step.Reserved()
	for i, srv := range a.servers {
		srv.free = srv.free.Sub(need)
		d.forgetRackShares(srv)
		srv.unproven, srv.isolated = true, srv.isolated || p.Isolate
		if p.Isolate {
			clear(d.candidateLists) // others may no longer use the server
		}
		placement := Placement{Key: p.Key, Index: p.Tasks[i], Server: srv.ID, Far: a.far}
		if len(d.slowdowns) > 0 {
			placement.Beside = d.slowdownBeside(p, srv, 0)
			srv.addNeighbour(p.Kind)
		}
		d.plan.Placements = append(d.plan.Placements, placement)
	}
}

// reserve subtracts the room of the assignment, which is free or being released, so that
// later steps cannot use it.
func (d *round) reserve(p *PendingStep, a assignment) {
	need := p.Step.Reserved()
	for _, srv := range a.servers {
		srv.free, srv.releasing = subtractFreeFirst(srv.free, srv.releasing, need)
	}
}

// subtractFreeFirst subtracts need from free and, where that is not enough, from
// releasing.
func subtractFreeFirst(free, releasing, need job.Resources) (job.Resources, job.Resources) {
	split := func(f, p, n int) (int, int) {
		fromFree := min(max(f, 0), n)
		return f - fromFree, p - (n - fromFree)
	}
	free.MilliCPU, releasing.MilliCPU = split(free.MilliCPU, releasing.MilliCPU, need.MilliCPU)
	free.MemoryMB, releasing.MemoryMB = split(free.MemoryMB, releasing.MemoryMB, need.MemoryMB)
	free.Accelerators, releasing.Accelerators = split(free.Accelerators, releasing.Accelerators, need.Accelerators)
	return free, releasing
}
