package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

const (
	// maxRoundShare is how many times as long as a round takes the next one is put off, counted from
	// its begin: rounds must leave half of the processor to orders and reports.
	maxRoundShare = 2
	// startBacklog is how many times the start orders under way may be placed ahead of them.
	startBacklog = 4
	// maxPlanInterval is the time after which a round runs although nothing has changed.
	maxPlanInterval = 200 * time.Millisecond
	// firstReportTimeout bounds the wait for the first reports after a take-over, and
	// firstReportShare is the share of the backend servers whose reports end it: some are always
	// silent in a large pool. Tasks are placed only on those that have reported.
	firstReportTimeout = 600 * time.Millisecond
	firstReportShare   = 0.8
	// restartCost is the time that a stop and restart costs a task that loses no work.
	restartCost = 300 * time.Millisecond
)

// plan runs a scheduling round: it applies the placements and evictions that the scheduler
// decides, and has them recorded.
func (s *State) plan() {
	since := s.now.Sub(s.lastPlan)
	if since < max(minPlanInterval, maxRoundShare*s.lastRoundTook) || !s.replan && since < maxPlanInterval || s.leaving || !s.canPlan() {
		return
	}
	s.replan, s.lastPlan = false, s.now
	began := s.stopwatch()
	s.updatePaces()
	snapshot := s.snapshot()
	s.observeTurns(snapshot.Pending)
	if len(snapshot.Pending) == 0 {
		s.lastRoundTook = s.stopwatch().Sub(began)
		s.reportBacklog(snapshot, sched.Plan{})
		s.sumUpLoad(snapshot, sched.Plan{})
		return
	}
	snapshot.Explain = s.backlogDue()
	p := sched.Decide(snapshot)
	s.lastRoundTook = s.stopwatch().Sub(began)
	s.metrics.RoundLatency.RecordDuration(s.lastRoundTook)
	p.Placements = s.withinStartBudget(p.Placements)
	s.reportBacklog(snapshot, p)
	s.countNeighbours(p.Placements, snapshot.Slowdowns)
	s.sumUpLoad(snapshot, p)
	s.applyPlacements(p.Placements)
	for _, e := range p.Evictions {
		s.evict(e)
	}
}

// withinStartBudget returns the first placements whose start orders can be sent soon; the others are
// decided again in a later round. Gangs stay whole, and urgent jobs are not put off.
//
// It answers more placements than this VM can send: their orders would wait until their leases have
// run out, while the backend servers stay idle and the tasks that could use them wait.
func (s *State) withinStartBudget(list []sched.Placement) []sched.Placement {
	kept, limited := s.affordable(list, s.jobs.Job)
	s.replan = s.replan || limited
	return kept
}

// affordable returns the placements that withinStartBudget keeps, and whether there were more than the budget. It
// changes nothing.
func (s *State) affordable(list []sched.Placement, find func(model.JobID) *job.State) (kept []sched.Placement, limited bool) {
	if s.bounds.StartOrders == 0 {
		return list, false
	}
	budget := startBacklog*s.bounds.StartOrders - s.startsUnderWay - len(s.writer.started)
	if b := s.writer.inFlight; b != nil {
		budget -= len(b.runs)
	}
	if budget >= len(list) {
		return list, false
	}
	var previous job.GroupKey
	for _, p := range list {
		st := find(p.Key.Job)
		sameGang := p.Key == previous && st.Job.Steps[p.Key.Step].Gang
		if budget > 0 || sameGang || st.Job.Priority == 0 {
			kept = append(kept, p)
			previous = p.Key
		}
		budget--
	}
	return kept, true
}

// canPlan reports whether enough is known to place tasks: the entries of the backend servers and the requests
// for evacuations were read recently, and most listed servers have reported or firstReportTimeout has passed.
func (s *State) canPlan() bool {
	if s.config == nil || len(s.servers) == 0 || !s.serversKnown() || !s.evacuationsKnown() {
		return false
	}
	if s.now.Sub(s.term.takenAt) >= firstReportTimeout {
		return true
	}
	listed, reported := 0, 0
	for _, v := range s.servers {
		if v.listed {
			listed++
			if v.hasReported {
				reported++
			}
		}
	}
	return float64(reported) >= firstReportShare*float64(listed)
}

// serversKnown reports whether the entries of the backend servers were read recently enough to
// place tasks: one that announced more than DrainBound before the start that it leaves is then known.
func (s *State) serversKnown() bool {
	return s.now.Sub(s.announcementsKnownAsOf()) <= s.bounds.DrainBound-min(startMargin, s.bounds.DrainBound*2/5)
}

// snapshot is the input of a round. Drawing it updates what is remembered from round to round, asks the policy for
// advice and logs.
func (s *State) snapshot() sched.Snapshot {
	return s.snapshotOf(s.openJobs(), drawing{slowdowns: s.slowdowns(), urgentRoom: s.urgentRoom, shapes: s.shapesOf, advised: s.applyAdvice})
}

// drawing is what a snapshot takes from earlier rounds.
type drawing struct {
	slowdowns  map[sched.KindPair]float64
	urgentRoom func([]sched.Server) map[string]job.Resources
	shapes     func(open []*job.State) []sched.Shape
	// advised reports whether a step may start by the policy's advice, and restricts it to the backend servers advised.
	advised func(*sched.PendingStep, *job.Group) bool
}

// snapshotOf draws a snapshot with the given open jobs, the oldest first. It changes nothing but caches.
func (s *State) snapshotOf(open []*job.State, d drawing) sched.Snapshot {
	snap := sched.Snapshot{Now: s.now, Slowdowns: d.slowdowns}
	if s.bounds.ReclaimBound > 0 {
		snap.StopTime = s.bounds.StopTimeout + restartDelay
	}
	snap.FarFactor = s.bounds.FarFactor
	for _, id := range eventloop.SortedKeys(s.servers) {
		if v := s.servers[id]; s.usable(v) {
			view := s.serverView(v)
			if len(snap.Slowdowns) > 0 {
				view.Kinds = v.kinds()
			}
			snap.Servers = append(snap.Servers, view)
		}
	}
	snap.UrgentRoom = d.urgentRoom(snap.Servers)
	covered := s.jobsCoveredByGuarantees(open)
	snap.Shapes = d.shapes(open)
	loads, shares := s.organisationLoads()
	budget := s.occurrenceBudget(open)
	for _, st := range open {
		if !s.cancellationsKnown(st.Job.ID) {
			continue
		}
		if st.Job.Occurrences > 0 {
			s.addDueOccurrences(&snap, st, covered[st], budget, d.advised)
		} else {
			s.addPendingSteps(&snap, st, covered[st], d.advised)
		}
	}
	for i := range snap.Pending {
		p := &snap.Pending[i]
		p.OrganisationShare = shares[p.Organisation]
		p.OrganisationLoad = loads[p.Organisation] / max(p.OrganisationShare, 1)
	}
	if slices.ContainsFunc(snap.Pending, func(p sched.PendingStep) bool { return p.Guaranteed || p.Urgent }) {
		snap.Preemptible = s.preemptibleRuns(covered)
	}
	return snap
}

// keepRoomFor is how long after a run was stopped to make room such room is kept.
const keepRoomFor = 10 * time.Second

// urgentRoom returns the room that urgent work of each service used lately, if runs were stopped lately to make room.
// A new holder starts with what is used then.
func (s *State) urgentRoom(servers []sched.Server) map[string]job.Resources {
	room, use := s.urgentRoomNow(servers)
	if s.urgentUse == nil {
		s.urgentUse = make(map[string]*sched.UsedLately)
	}
	for service, u := range use {
		s.urgentUse[service] = &u
	}
	return room
}

// urgentRoomNow returns what urgentRoom does, and what it remembers, and changes nothing.
func (s *State) urgentRoomNow(servers []sched.Server) (room map[string]job.Resources, use map[string]sched.UsedLately) {
	used := make(map[string]job.Resources)
	for i := range servers {
		used[servers[i].Service] = used[servers[i].Service].Add(servers[i].UrgentUse)
	}
	keep := s.bounds.ReclaimBound > 0 && !s.madeRoomAt.IsZero() && s.now.Sub(s.madeRoomAt) < keepRoomFor
	room, use = make(map[string]job.Resources), make(map[string]sched.UsedLately)
	for service, r := range used {
		var u sched.UsedLately
		if known := s.urgentUse[service]; known != nil {
			u = *known
		}
		if u.Observe(s.now, r); keep {
			room[service] = u.Mean()
		}
		use[service] = u
	}
	return room, use
}

// organisationLoads returns what the runs of each organisation take, in cores, and its share of the room as a multiple
// of an equal one: 1 and what it is guaranteed, as a multiple of the mean of all.
func (s *State) organisationLoads() (loads, shares map[model.OrganisationID]float64) {
	loads = make(map[model.OrganisationID]float64)
	for _, v := range s.servers {
		for _, r := range v.runs {
			loads[r.group.State.Job.Organisation] += r.step().Reserved().CoreWeight()
		}
	}
	guaranteed := 0
	for _, o := range s.config.Organisations {
		guaranteed += o.Guaranteed
	}
	shares = make(map[model.OrganisationID]float64, len(s.config.Organisations))
	for id, o := range s.config.Organisations {
		shares[id] = 1
		if guaranteed > 0 {
			shares[id] += float64(o.Guaranteed*len(s.config.Organisations)) / float64(guaranteed)
		}
	}
	return loads, shares
}

// usable reports whether a backend server may take new tasks.
func (s *State) usable(v *server) bool {
	return v.listed && v.hasReported && v.failedCalls == 0 && !s.capacityUnknown(v) && !v.entry.Draining && !s.isEvacuated(v) && v.clock != 0 && v.health.usable(s.now)
}

func (s *State) serverView(v *server) sched.Server {
	l := v.load
	if l == nil || s.now.Sub(l.at) > maxLoadAge {
		l = s.loadOf(v)
		v.load = l
	}
	var labels []string
	if !v.entryIsOld() {
		labels = v.entry.Labels
	}
	return sched.Server{
		ID: v.entry.ID, Service: v.entry.Service, Rack: v.entry.Rack, Labels: labels,
		Capacity: v.entry.Capacity, Free: v.entry.Capacity.Sub(l.used), Releasing: l.releasing, Ends: l.ends, Suspect: v.health.suspect(), Failing: v.health.failing(s.now),
		Cold:     v.listedAt.Add(v.entry.ColdFor).After(s.now),
		Unproven: l.unproven, Isolated: l.isolated, UnsavedWork: l.unsavedWork, Pace: s.paceOf(v), UrgentUse: l.urgent,
	}
}

// maxLoadAge bounds how old the times in a load may be, about as long as the longest pause between
// rounds.
const maxLoadAge = 200 * time.Millisecond

// load sums up the runs on a backend server. It is kept between rounds until one of them changes.
type load struct {
	at                 time.Time
	used, releasing    job.Resources
	ends               []sched.ExpectedEnd
	unproven, isolated bool
	unsavedWork        float64
	urgent             job.Resources // what urgent tasks use that are not being stopped
}

func (s *State) loadOf(v *server) *load {
	l := &load{at: s.now, ends: make([]sched.ExpectedEnd, 0, len(v.runs))}
	for _, r := range v.runs {
		need := r.step().Reserved()
		l.used = l.used.Add(need)
		if !r.proven() {
			l.unproven, l.isolated = true, l.isolated || r.group.Tasks[r.index].Suspected()
		}
		l.unsavedWork += s.unsavedWork(r)
		if r.group.State.Job.Priority == 0 && !r.stopping {
			l.urgent = l.urgent.Add(need)
		}
		switch {
		case s.releasesSoon(r):
			l.releasing = l.releasing.Add(need)
		case !r.step().LongRunning:
			l.ends = append(l.ends, sched.ExpectedEnd{Need: need, After: s.timeToEnd(r)})
		}
	}
	return l
}

// putRun adds a run to a backend server, or replaces it.
func (v *server) putRun(r *run) {
	v.runs[r.name] = r
	v.load = nil
}

// timeToEnd estimates when a run ends by itself, also before its start is confirmed.
func (s *State) timeToEnd(r *run) time.Duration {
	if r.phase == runRecording || r.phase == runOrdered {
		return s.expectedRuntime(r)
	}
	return s.remaining(r)
}

// releasesSoon reports whether a run is being stopped and should end soon. The capacity of
// one that is overdue is not counted on.
func (s *State) releasesSoon(r *run) bool {
	return r.stopping && s.now.Sub(r.stoppingSince) < s.bounds.StopTimeout+stopReportDelay
}

// stopReportDelay is the time for the delivery of a stop order and the report of the end.
const stopReportDelay = 400 * time.Millisecond

// restartDelay is the time for the report of a stop, for storing a placement and for delivering its start order.
const restartDelay = 100 * time.Millisecond

// openJobs lists the jobs that may still need placements, the oldest first.
func (s *State) openJobs() []*job.State {
	var open []*job.State
	s.jobs.ForEach(func(st *job.State) {
		if !st.Recorded.Final() && !st.Cancelled {
			open = append(open, st)
		}
	})
	slices.SortFunc(open, func(a, b *job.State) int {
		if d := a.FirstSeen.Compare(b.FirstSeen); d != 0 {
			return d
		}
		return strings.Compare(string(a.Job.ID), string(b.Job.ID))
	})
	return open
}

// jobsCoveredByGuarantees returns the jobs that their organisation's guarantee covers: its
// most urgent ones, oldest first, as long as their accelerators fit in it.
func (s *State) jobsCoveredByGuarantees(open []*job.State) map[*job.State]bool {
	left := make(map[model.OrganisationID]int, len(s.config.Organisations))
	for id, o := range s.config.Organisations {
		left[id] = o.Guaranteed
	}
	covered := make(map[*job.State]bool)
	for _, st := range open {
		need := st.Job.PeakAccelerators()
		if st.Job.Priority == 0 && need <= left[st.Job.Organisation] && s.config.Organisations[st.Job.Organisation].Guaranteed > 0 {
			left[st.Job.Organisation] -= need
			covered[st] = true
		}
	}
	return covered
}

// addPendingSteps adds the steps of a job without occurrences that have waiting tasks and may start to the snapshot.
func (s *State) addPendingSteps(snap *sched.Snapshot, st *job.State, covered bool, advised func(*sched.PendingStep, *job.Group) bool) {
	for i := range st.Job.Steps {
		g := st.Group(0, i)
		if g.Failed() {
			return
		}
		if !g.Done() && g.Ready() {
			s.addPendingStep(snap, g, covered, s.dueAt(g), advised)
		}
	}
}

// waitingTasks returns the tasks of a group that may be placed.
func (s *State) waitingTasks(g *job.Group) []int {
	var list []int
	for i := range g.Tasks {
		if g.Tasks[i].Phase == job.Waiting && !s.mayStillRun(g, i) {
			list = append(list, i)
		}
	}
	return list
}

// addPendingStep adds a step whose turn to wait began at since.
func (s *State) addPendingStep(snap *sched.Snapshot, g *job.Group, covered bool, since time.Time, advised func(*sched.PendingStep, *job.Group) bool) {
	st, step := g.State, g.Step()
	p := sched.PendingStep{
		Key: g.Key(), Service: s.currentService(st.Job), Step: step, Priority: st.Job.Priority, Guaranteed: covered, Urgent: st.Job.Priority == 0,
		Due: s.dueAt(g), Since: since, Remaining: st.Job.CriticalPathBy(s.runtimesOf(g)), Avoid: s.avoidedNow(g.Key()), TasksPerServer: make(map[model.BackendServerID]int),
	}
	p.Objective = p.Due.Add(st.Job.ObjectiveOf(p.Remaining))
	if covered && s.bounds.ReclaimBound > 0 {
		p.StartBy = p.Due.Add(s.bounds.ReclaimBound)
	}
	p.Organisation = st.Job.Organisation
	p.Kind, p.Runtime = st.Job.Kind(g.Index), s.runtime(g)
	p.Tasks = s.waitingTasks(g)
	for i := range g.Tasks {
		if g.Tasks[i].Phase == job.Placed {
			p.TasksPerServer[g.Tasks[i].Server]++
			if v := s.servers[g.Tasks[i].Server]; v != nil && step.SameRack {
				p.Rack = v.entry.Rack
			}
		}
	}
	if len(p.Tasks) == 0 || step.Gang && len(p.Tasks) < len(g.Tasks) {
		return
	}
	if st.Job.Advised && !advised(&p, g) {
		return
	}
	snap.Pending = append(snap.Pending, isolateSuspected(p, g)...)
}

// isolateSuspected returns the pending step, with its suspected tasks split off to be isolated.
// Tasks that are bound to each other by a gang, a rack or a limit per server are not split.
func isolateSuspected(p sched.PendingStep, g *job.Group) []sched.PendingStep {
	var suspected, others []int
	for _, i := range p.Tasks {
		if g.Tasks[i].Suspected() {
			suspected = append(suspected, i)
		} else {
			others = append(others, i)
		}
	}
	if len(suspected) == 0 {
		return []sched.PendingStep{p}
	}
	isolated := p
	isolated.Isolate = true
	if bound := p.Step.Gang || p.Step.SameRack || p.Step.MaxPerServer > 0; bound || len(others) == 0 {
		return []sched.PendingStep{isolated}
	}
	isolated.Tasks, p.Tasks = suspected, others
	return []sched.PendingStep{p, isolated}
}

// mayStillRun reports whether an older run of a task may still exist on a backend server, or begin there.
func (s *State) mayStillRun(g *job.Group, index int) bool {
	t := &g.Tasks[index]
	if len(s.orphans) == 0 && t.Run == 0 {
		return false
	}
	v := s.servers[t.Server]
	if len(s.orphans) == 0 && len(s.arrivals) == 0 && (v == nil || len(v.runs) == 0) {
		return false
	}
	name := g.Key().TaskName(index)
	return s.orphans[name] > 0 || v != nil && v.runs[name] != nil || s.startMayArrive(name)
}

// currentService is the service in the queue's current configuration, or the one at the time
// of submission if the queue no longer exists.
func (s *State) currentService(j *job.Job) string {
	if q := s.config.Queue(j.Queue); q != nil {
		return q.Service
	}
	return j.Service
}

// dueAt is when an occurrence became due, on the boot-time clock, which is never stepped.
func (s *State) dueAt(g *job.Group) time.Time {
	if g.State.Job.Occurrences == 0 {
		return g.State.FirstSeen
	}
	return s.now.Add(g.State.Job.Due(g.Occurrence).Sub(s.wall))
}

// preemptibleRuns lists the runs that may be stopped for a guarantee: for each backend server, those
// with the least unsaved work first.
func (s *State) preemptibleRuns(covered map[*job.State]bool) []sched.PreemptibleTask {
	var list []sched.PreemptibleTask
	for _, id := range eventloop.SortedKeys(s.servers) {
		first := len(list)
		for _, r := range s.servers[id].runs {
			if r.stopping || !r.current() || r.step().LongRunning || covered[r.group.State] {
				continue
			}
			list = append(list, sched.PreemptibleTask{
				Key: r.group.Key(), Index: r.index, Server: r.server, Need: r.step().Reserved(), Gang: r.step().Gang,
				Urgent: r.group.State.Job.Priority == 0, UnsavedWork: s.unsavedWork(r),
				Stops: r.group.Tasks[r.index].Stops, EndsAfter: s.timeToEnd(r),
			})
		}
		slices.SortFunc(list[first:], comparePreemptible)
	}
	return list
}

func comparePreemptible(a, b sched.PreemptibleTask) int {
	return cmp.Or(
		cmp.Compare(a.UnsavedWork, b.UnsavedWork), strings.Compare(string(a.Key.Job), string(b.Key.Job)),
		cmp.Compare(a.Key.Occurrence, b.Key.Occurrence), cmp.Compare(a.Key.Step, b.Key.Step), cmp.Compare(a.Index, b.Index),
	)
}

// unsavedWork is the work that a stop loses, in core-seconds.
func (s *State) unsavedWork(r *run) float64 {
	weight := r.step().Need.CoreWeight()
	if r.phase != runRunning || r.step().Checkpoints {
		return weight * restartCost.Seconds()
	}
	return weight * (s.now.Sub(r.startedAt) + restartCost).Seconds()
}

// applyPlacements places tasks; the members of a gang share one run number.
func (s *State) applyPlacements(list []sched.Placement) {
	numbers := make(map[job.GroupKey]int64)
	for _, p := range list {
		g := s.jobs.Job(p.Key.Job).Group(p.Key.Occurrence, p.Key.Step)
		number, ok := numbers[p.Key]
		if !ok || !g.Step().Gang {
			number = g.NextRun(p.Index)
			numbers[p.Key] = number
		}
		s.placeTask(g, p, number)
	}
}

func (s *State) placeTask(g *job.Group, p sched.Placement, number int64) {
	t := &g.Tasks[p.Index]
	t.Phase, t.Run, t.Server = job.Placed, number, p.Server
	r := &run{
		group: g, index: p.Index, name: g.Key().TaskName(p.Index), number: number, server: p.Server,
		phase: runRecording, placedAt: s.now, apart: p.Far,
	}
	s.servers[p.Server].putRun(r)
	if rates := s.stepRates[p.Key]; rates != nil {
		rates.ClearRate(p.Index)
	}
	s.writer.started = append(s.writer.started, r)
	s.markDirty(g, p.Index)
	s.replan = false
	s.metrics.Placed.Inc(1)
	s.log.Info("task placed", zap.String("task", r.name), zap.Int64("run", number), zap.String("server", string(p.Server)),
		zap.Bool("far", p.Far), zap.Duration("age", s.now.Sub(s.dueAt(g))), zap.Int64("config", s.config.Version),
		zap.Duration("list_age", s.now.Sub(s.serversAsOf)))
}

func (s *State) evict(e sched.Eviction) {
	g := s.jobs.Job(e.Key.Job).Group(e.Key.Occurrence, e.Key.Step)
	if r := s.currentRun(g, e.Index); r != nil {
		s.metrics.Preempted.Inc(1)
		g.CountStop(e.Index)
		s.madeRoomAt = s.now
		s.requestStop(r, stopPreempted, "makes room for "+e.For.String())
	}
}
