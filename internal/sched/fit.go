package sched

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// serverState is a backend server during a round.
type serverState struct {
	*Server
	index int
	free  job.Resources
	// earmarked is for gangs that wait; it is part of what is free or will become free.
	earmarked job.Resources
	marks     []mark
	// releasing is what is being released and not yet reserved for a pending step.
	releasing job.Resources
	// ends lists the running tasks that end by themselves, the first one first.
	ends []ExpectedEnd
	// preemptible holds the tasks that may be stopped, the cheapest first.
	preemptible []*PreemptibleTask
	// reclaimableByGuaranteed and reclaimableByUrgent are what these tasks would release
	// for a guaranteed and for an urgent step.
	reclaimableByGuaranteed, reclaimableByUrgent job.Resources
	// unproven and isolated are the server's, and include the round's placements.
	unproven, isolated bool
	rack               int // number of its rack in the round
	// pace is the server's, 0 also where all of its service are alike.
	pace float64
	// kinds counts the tasks by kind of work, with those of the round.
	kinds map[job.Kind]int
}

// supply selects the resources that a fit may use.
type supply int

const (
	freeNow     supply = iota // what no task uses and no gang waits for
	freeSoon                  // also what is being released
	reclaimable               // also what preemptible tasks would release if stopped
)

// available returns the resources that the step may use on the server. What is kept for gangs that wait is
// left out, unless the step ends before they can start, has to be at work at all times, or has a guarantee.
func (srv *serverState) available(p *PendingStep, s supply) job.Resources {
	free := srv.free.Sub(srv.keptFrom(p))
	switch {
	case s == freeNow:
		return free
	case s == freeSoon:
		return free.Add(srv.releasing)
	case p.Guaranteed:
		return free.Add(srv.releasing).Add(srv.reclaimableByGuaranteed)
	default:
		return free.Add(srv.releasing).Add(srv.reclaimableByUrgent)
	}
}

// eligible reports whether the backend server may run the step at all.
func (srv *serverState) eligible(p *PendingStep) bool {
	if srv.Service != p.Service || p.Avoid[srv.ID] || srv.isolated || p.Isolate && srv.unproven {
		return false
	}
	if srv.Failing && p.Step.Gang && len(p.Tasks) > 1 {
		return false
	}
	if p.Advised != nil && !p.Advised[srv.ID] {
		return false
	}
	return p.Step.Label == "" || slices.Contains(srv.Labels, p.Step.Label)
}

// nearData reports whether the backend server is on the rack of the step's data.
func (srv *serverState) nearData(p *PendingStep) bool {
	return p.Step.DataRack == "" || srv.Rack == p.Step.DataRack
}

// assignment is a possible placement of a step's tasks: one server for each task.
type assignment struct {
	servers []*serverState
	cost    float64
	far     bool // uses other racks than the one that the step runs best on
	gang    gangPace
}

// trialUsage tracks what an assignment has used so far.
type trialUsage struct {
	pending *PendingStep
	supply  supply
	tasks   []int     // tasks on each server
	costs   []float64 // cost of those tasks
	used    []int     // the servers with entries
}

// newTrialUsage returns an empty trial. It reuses the memory of the previous one, which must no longer
// be used.
func (d *round) newTrialUsage(p *PendingStep, s supply) *trialUsage {
	t := &d.trial
	if t.tasks == nil {
		t.tasks, t.costs = make([]int, len(d.servers)), make([]float64, len(d.servers))
	}
	for _, i := range t.used {
		t.tasks[i], t.costs[i] = 0, 0
	}
	t.pending, t.supply, t.used = p, s, t.used[:0]
	return t
}

// add counts one more task on a server.
func (t *trialUsage) add(o *option) {
	i := o.server.index
	if t.tasks[i] == 0 {
		t.used = append(t.used, i)
	}
	t.tasks[i]++
	t.costs[i] += o.cost
}

// assign places as many of n more tasks as fit on the candidates, each where it costs
// least.
func (d *round) assign(t *trialUsage, n int, candidates []*serverState) assignment {
	var a assignment
	options := d.options[:0]
	for _, srv := range candidates {
		if o, ok := d.nextTask(t, srv); ok {
			options = append(options, o)
		}
	}
	d.options = options
	options.init()
	for len(a.servers) < n && len(options) > 0 {
		best := &options[0]
		t.add(best)
		a.servers = append(a.servers, best.server)
		a.cost += best.cost
		next, ok := d.nextTask(t, best.server)
		if !ok {
			next = options[len(options)-1]
			options = options[:len(options)-1]
		}
		if len(options) > 0 {
			options[0] = next
			options.down(0)
		}
	}
	return a
}

// optionHeap is a binary heap with the cheapest option first.
type optionHeap []option

func (h optionHeap) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

// down moves the option at i to its place below.
func (h optionHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if other := child + 1; other < len(h) && h[other].cheaper(&h[child]) {
			child = other
		}
		if !h[child].cheaper(&h[i]) {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}

// option is the cost of one more task on a server.
type option struct {
	server *serverState
	cost   float64
}

// cheaper prefers servers that are not suspect, then the lower cost, then warm servers, then the
// order of the snapshot.
func (o *option) cheaper(other *option) bool {
	if o.server.Suspect != other.server.Suspect {
		return !o.server.Suspect
	}
	if o.cost != other.cost {
		return o.cost < other.cost
	}
	if o.server.Cold != other.server.Cold {
		return !o.server.Cold
	}
	return o.server.index < other.server.index
}

// nextTask returns the cost of one more task on a server; ok is false when none fits. If tasks are
// stopped to make room, the cost is the work that is lost by that.
func (d *round) nextTask(t *trialUsage, srv *serverState) (option, bool) {
	used := t.tasks[srv.index]
	if limit := t.pending.Step.MaxPerServer; limit > 0 && t.pending.TasksPerServer[srv.ID]+used >= limit {
		return option{}, false
	}
	if t.pending.Isolate && !t.pending.Step.Gang && used > 0 {
		return option{}, false
	}
	need := t.pending.Step.Reserved()
	left := srv.available(t.pending, t.supply).Sub(need.Times(used))
	if !need.FitsIn(left) {
		return option{}, false
	}
	if t.supply == reclaimable {
		return option{server: srv, cost: d.preemptionCost(t.pending, srv, used+1) - t.costs[srv.index]}, true
	}
	return option{server: srv, cost: d.placementCost(t.pending, srv, left.Sub(need), used)}, true
}

// haveCapacity reports whether the servers together can hold n tasks, without choosing any.
func (d *round) haveCapacity(p *PendingStep, s supply, n int, servers []*serverState) bool {
	for _, srv := range servers {
		if n <= 0 {
			return true
		}
		n -= tasksThatFit(p.Step, srv.available(p, s))
	}
	return n <= 0
}

// fit finds servers for a step's tasks: for all tasks of a gang or none, otherwise for as
// many as fit. It uses other racks than the one that the step runs best on only if far is
// set.
func (d *round) fit(p *PendingStep, s supply, far bool) assignment {
	key, comparable := d.fitKeyOf(p, s, far)
	if comparable && d.unplaceable[key] {
		return assignment{}
	}
	a := d.search(p, s, far)
	if comparable && len(a.servers) == 0 {
		d.unplaceable[key] = true
	}
	return a
}

// fitKey holds everything that decides whether a step finds room. A step with the key of
// one that found none need not be tried again in the round: placements and reservations
// only take room. Evictions add to the room that freeSoon allows to use, so its keys contain
// the number of evictions.
type fitKey struct {
	need                   job.Resources
	service, label         string
	dataRack, rack         model.RackID
	members                int // of a gang
	gang, sameRack, far    bool
	longRunning, isolate   bool
	guaranteed, mayPreempt bool
	supply                 supply
	evictions              int
	runtime                time.Duration // decides who may use earmarked room
}

// fitKeyOf returns the step's key; ok is false when limits of its own make the step
// incomparable with others.
func (d *round) fitKeyOf(p *PendingStep, s supply, far bool) (fitKey, bool) {
	k := fitKey{
		need: p.Step.Reserved(), service: p.Service, label: p.Step.Label, dataRack: p.Step.DataRack, rack: p.Rack,
		gang: p.Step.Gang, sameRack: p.Step.SameRack, far: far, longRunning: p.Step.LongRunning, isolate: p.Isolate, guaranteed: p.Guaranteed, mayPreempt: d.mayPreempt(p), supply: s,
	}
	if p.Step.Gang {
		k.members = len(p.Tasks)
	}
	if s == freeSoon {
		k.evictions = len(d.plan.Evictions)
	}
	if len(d.plan.Earmarks) > 0 {
		k.runtime = p.Runtime
	}
	return k, p.Step.MaxPerServer == 0 && p.Avoid == nil && p.Advised == nil
}

// search is fit without the cache of steps that do not fit.
func (d *round) search(p *PendingStep, s supply, far bool) assignment {
	eligible, near := d.candidates(p)
	n := len(p.Tasks)
	switch {
	case p.Step.Gang:
		return d.fitGang(p, s, eligible, near, far)
	case p.Step.SameRack:
		best := d.rackWithMostTasks(p, s, near)
		if len(best.servers) == n || !far {
			return best
		}
		a := d.assign(d.newTrialUsage(p, s), n, eligible)
		a.far = true
		return a
	default:
		t := d.newTrialUsage(p, s)
		a := d.assign(t, n, near)
		if len(a.servers) == n || !far {
			return a
		}
		rest := d.assign(t, n-len(a.servers), eligible)
		return assignment{servers: append(a.servers, rest.servers...), cost: a.cost + rest.cost, far: len(rest.servers) > 0}
	}
}

// rackWithMostTasks places as many tasks as fit on one rack. If other tasks of the step run
// already, it uses their rack.
func (d *round) rackWithMostTasks(p *PendingStep, s supply, servers []*serverState) assignment {
	var best assignment
	for _, rack := range d.byRack(servers) {
		if p.Rack != "" && rack[0].Rack != p.Rack {
			continue
		}
		if a := d.assign(d.newTrialUsage(p, s), len(p.Tasks), rack); len(a.servers) > len(best.servers) {
			best = a
		}
	}
	return best
}

// fitGang places all tasks or none: near the data and on one rack if the step asks for
// that. If far is set, or if the gang could never fit there, it tries any rack and then
// all servers.
func (d *round) fitGang(p *PendingStep, s supply, eligible, near []*serverState, far bool) assignment {
	place := func(servers []*serverState) (assignment, bool) {
		if p.Step.SameRack {
			return d.cheapestRack(p, s, servers)
		}
		return d.allOrNothing(p, s, servers)
	}
	if a, ok := place(near); ok {
		return a
	}
	if !far && d.fitsNearWhenEmpty(p, near) {
		return assignment{}
	}
	a, ok := place(eligible)
	if !ok {
		a, _ = d.allOrNothing(p, s, eligible)
	}
	a.far = true
	return a
}

// allOrNothing places all tasks on the servers or none.
func (d *round) allOrNothing(p *PendingStep, s supply, servers []*serverState) (assignment, bool) {
	if levels := d.levelsFor(p); levels != nil {
		return d.likePaced(p, s, servers, levels)
	}
	return d.assignAll(p, s, servers)
}

// assignAll places all tasks where each costs least, or none.
func (d *round) assignAll(p *PendingStep, s supply, servers []*serverState) (assignment, bool) {
	if !d.haveCapacity(p, s, len(p.Tasks), servers) {
		return assignment{}, false
	}
	a := d.assign(d.newTrialUsage(p, s), len(p.Tasks), servers)
	if len(a.servers) < len(p.Tasks) {
		return assignment{}, false
	}
	return a, true
}

// cheapestRack places all tasks on the rack where they cost least.
func (d *round) cheapestRack(p *PendingStep, s supply, servers []*serverState) (best assignment, ok bool) {
	for _, rack := range d.byRack(servers) {
		a, fits := d.allOrNothing(p, s, rack)
		if fits && (!ok || a.cheaperGang(&best, s)) {
			best, ok = a, true
		}
	}
	return best, ok
}

// fitsNearWhenEmpty reports whether the gang would fit near its data and on one rack if
// nothing else ran, so that it makes sense to wait for room there.
func (d *round) fitsNearWhenEmpty(p *PendingStep, near []*serverState) bool {
	groups := [][]*serverState{near}
	if p.Step.SameRack {
		groups = d.byRack(near)
	}
	for _, servers := range groups {
		n := 0
		for _, srv := range servers {
			n += tasksThatFit(p.Step, srv.Capacity)
		}
		if n >= len(p.Tasks) {
			return true
		}
	}
	return false
}

// tasksThatFit returns how many tasks of a step fit in the amount of resources.
func tasksThatFit(step *job.Step, amount job.Resources) int {
	need := step.Reserved()
	n := step.Count
	for _, c := range [][2]int{{need.MilliCPU, amount.MilliCPU}, {need.MemoryMB, amount.MemoryMB}, {need.Accelerators, amount.Accelerators}} {
		if c[0] > 0 {
			n = min(n, max(c[1], 0)/c[0])
		}
	}
	if step.MaxPerServer > 0 {
		n = min(n, step.MaxPerServer)
	}
	return n
}

// mayGoFar reports whether a step may use other racks than the one that it runs best on.
// Tasks take several times as long there, so that is worth it only when waiting longer
// would miss the objective anyway.
func (d *round) mayGoFar(p *PendingStep) bool {
	if d.mayPreempt(p) {
		return d.now.Sub(p.Due) > guaranteedNearWait
	}
	return d.now.Add(p.Remaining).After(p.Objective.Add(-nearMargin))
}

const (
	// guaranteedNearWait is how long a step that may preempt waits for room near its data.
	// It leaves a guaranteed step more than half of its bound of 2.7 s to start elsewhere.
	guaranteedNearWait = 1200 * time.Millisecond
	// nearMargin is how long before its last useful start near the data a step may go far.
	nearMargin = 200 * time.Millisecond
)

func filter(servers []*serverState, keep func(*serverState) bool) []*serverState {
	kept := make([]*serverState, 0, len(servers))
	for _, srv := range servers {
		if keep(srv) {
			kept = append(kept, srv)
		}
	}
	return kept
}

// byRack groups servers by rack, in order of first appearance.
func (d *round) byRack(servers []*serverState) [][]*serverState {
	counts := make([]int, d.racks)
	for _, srv := range servers {
		counts[srv.rack]++
	}
	sorted := make([]*serverState, len(servers))
	groups := make([][]*serverState, 0, d.racks)
	groupOf := make([]int, d.racks)
	used := 0
	for _, srv := range servers {
		if counts[srv.rack] > 0 { // the first one of its rack
			groupOf[srv.rack] = len(groups)
			groups = append(groups, sorted[used:used:used+counts[srv.rack]])
			used += counts[srv.rack]
			counts[srv.rack] = 0
		}
		g := &groups[groupOf[srv.rack]]
		*g = append(*g, srv)
	}
	return groups
}

// candidateKey tells which steps may use the same servers.
type candidateKey struct {
	service, label string
	dataRack       model.RackID
	gang           bool // of several tasks
}

// candidateList holds the servers that a step may use, and those of them that are near its data.
type candidateList struct{ eligible, near []*serverState }

// candidates returns the servers that a step may use, and those of them that are near its data.
func (d *round) candidates(p *PendingStep) (eligible, near []*serverState) {
	key := candidateKey{p.Service, p.Step.Label, p.Step.DataRack, p.Step.Gang && len(p.Tasks) > 1}
	common := p.Avoid == nil && p.Advised == nil && !p.Isolate
	if list, known := d.candidateLists[key]; known && common {
		return list.eligible, list.near
	}
	eligible = filter(d.servers, func(srv *serverState) bool { return srv.eligible(p) })
	near = eligible
	if p.Step.DataRack != "" {
		near = filter(eligible, func(srv *serverState) bool { return srv.nearData(p) })
	}
	if common {
		d.candidateLists[key] = candidateList{eligible, near}
	}
	return eligible, near
}
