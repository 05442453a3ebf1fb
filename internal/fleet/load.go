package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/admission"
	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/guard"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

const (
	// digestInterval is the shortest time between two digests of the load. Each goes with one of the holder's
	// heartbeats.
	digestInterval = 2 * heartbeatInterval
	// leastBacklog is the work that waits, as the time in which the service's backend servers could do it, from
	// which on a service is part of the digest: less is done before the digest has reached all VMs.
	leastBacklog = relayInterval
	// StoreDoubt is how long after a failed call to the store a job may turn out to be stored.
	StoreDoubt = 10 * time.Second
)

// loadState is what this VM knows of the load.
type loadState struct {
	digest  *admission.Digest
	encoded json.RawMessage
	// asOf is when the holder drew the digest, on this VM's clock.
	asOf       time.Time
	summedUpAt time.Time // when this VM, as the holder, last looked
	// number is of the holder's newest digest, and backlogAt when a digest last had a backlog.
	number     int64
	backlogAt  time.Time
	sentNumber int64 // of the digest in the newest heartbeat with one
	// started is what rounds have started lately, and pressedSince since when each priority of a service has had a
	// backlog, with more urgent ones.
	started       []startedWork
	pressedSince  map[pressure]time.Time
	storeFailedAt time.Time // when the store last failed to serve this VM
	reportedAt    time.Time // when it was last logged
	dropReported  time.Time
}

// startedWork sums up what was started within a digestInterval.
type startedWork struct {
	began time.Time
	work  map[pressure]admission.Work
}

// pressure names a priority of a service.
type pressure struct {
	service  string
	priority int
}

// Load returns the newest digest of the load and its age; nil if there is none. It must not be changed.
func (s *State) Load() (*admission.Digest, time.Duration) {
	if s.load.digest == nil {
		return nil, 0
	}
	return s.load.digest, s.now.Sub(s.load.asOf)
}

// StoreInDoubt reports whether a call of this VM to the store has failed lately.
func (s *State) StoreInDoubt() bool {
	return !s.load.storeFailedAt.IsZero() && s.now.Sub(s.load.storeFailedAt) < StoreDoubt
}

// sumUpLoad draws the holder's digest after a round. While nothing waits, and once the other VMs no longer use
// an earlier digest, there is none.
func (s *State) sumUpLoad(snap sched.Snapshot, plan sched.Plan) {
	l := &s.load
	l.noteStarted(s.now, &snap, &plan)
	if s.now.Sub(l.summedUpAt) < digestInterval {
		return
	}
	l.summedUpAt = s.now
	services := s.backloggedServices(&snap, &plan)
	if len(services) > 0 {
		l.backlogAt = s.now
	} else if l.backlogAt.IsZero() || s.now.Sub(l.backlogAt) > admission.MaxAge {
		l.digest, l.encoded = nil, nil
		return
	}
	l.number++
	d := admission.Digest{Token: s.term.token, Number: l.number, StoreInDoubt: s.StoreInDoubt(), Services: services}
	text, err := admission.Encode(d)
	if err != nil {
		s.log.Error("digest of the load not encoded", zap.Error(err))
		return
	}
	l.digest, l.encoded, l.asOf = &d, text, s.now
	s.reportLoad()
}

// reportLoad logs each service with a backlog, at most once per backlogInterval.
func (s *State) reportLoad() {
	l := &s.load
	if s.now.Sub(l.reportedAt) < backlogInterval {
		return
	}
	l.reportedAt = s.now
	for i := range l.digest.Services {
		service := &l.digest.Services[i]
		fields := []zap.Field{
			zap.String("service", service.Name), zap.Int("rows", len(service.Rows)), zap.Int("bytes", len(l.encoded)),
			zap.Int64s("room_ms", service.RoomMs[:]), zap.Bool("store_in_doubt", l.digest.StoreInDoubt),
		}
		waits := service.Waits()
		for _, priority := range eventloop.SortedKeys(waits) {
			fields = append(fields, zap.Duration("waiting_"+strconv.Itoa(priority), waits[priority]))
		}
		for _, r := range service.Rates {
			fields = append(fields, zap.String("rate_"+strconv.Itoa(r.Priority), fmt.Sprintf("%.2f", r.Started.Weight()/max(1, service.Capacity.CoreWeight()))))
		}
		s.log.Info("load", fields...)
	}
}

// serviceLoad collects what a digest tells of one service.
type serviceLoad struct {
	admission.ServiceLoad
	rows    map[admission.RowKey]*admission.Row
	rooms   []admission.ServerRoom
	ends    []sched.ExpectedEnd
	waiting admission.Work
}

// backloggedServices sums up the services in which more waits than is done soon.
func (s *State) backloggedServices(snap *sched.Snapshot, plan *sched.Plan) []admission.ServiceLoad {
	loads := make(map[string]*serviceLoad)
	for i := range snap.Servers {
		v := &snap.Servers[i]
		l := loads[v.Service]
		if l == nil {
			l = &serviceLoad{rows: make(map[admission.RowKey]*admission.Row)}
			l.Name = v.Service
			loads[v.Service] = l
		}
		l.Capacity = l.Capacity.Add(v.Capacity)
	}
	placed := make(map[job.GroupKey]int)
	for _, p := range plan.Placements {
		placed[p.Key]++
	}
	for i := range snap.Pending {
		if p := &snap.Pending[i]; loads[p.Service] != nil && !p.Expired(s.now) {
			s.addWaitingWork(loads[p.Service], p, placed[p.Key])
		}
	}
	var list []admission.ServiceLoad
	for name, l := range loads {
		if l.waiting.On(l.Capacity) < leastBacklog {
			delete(loads, name)
		}
	}
	if len(loads) == 0 {
		s.load.pressedSince = nil
		return nil
	}
	s.addRoom(loads, snap, plan)
	s.addRunningWork(loads)
	s.addCovered(loads)
	pressed := make(map[pressure]time.Time)
	for _, l := range loads {
		summary := l.summary()
		summary.Rates = s.load.rates(s.now, &summary, pressed)
		list = append(list, summary)
	}
	s.load.pressedSince = pressed
	slices.SortFunc(list, func(a, b admission.ServiceLoad) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// addWaitingWork adds the tasks of a step that a round has not placed.
func (s *State) addWaitingWork(l *serviceLoad, p *sched.PendingStep, placed int) {
	tasks := len(p.Tasks) - placed
	if tasks <= 0 {
		return
	}
	runtime := cmp.Or(p.Runtime, p.Step.EstimatedRuntime)
	w := admission.WorkOf(p.Step.Reserved(), tasks, runtime)
	l.waiting = l.waiting.Add(w)
	admission.AddRow(l.rows, admission.Row{
		Priority: p.Priority, Organisation: s.jobs.Job(p.Key.Job).Job.Organisation, Waiting: w,
		RuntimeMs: runtime.Milliseconds(), OldestMs: max(0, s.now.Sub(p.WaitsSince()).Milliseconds()),
	})
}

// addRoom adds what is free after a round.
func (s *State) addRoom(loads map[string]*serviceLoad, snap *sched.Snapshot, plan *sched.Plan) {
	taken := make(map[model.BackendServerID]job.Resources)
	for _, p := range plan.Placements {
		step := s.jobs.Job(p.Key.Job).Group(p.Key.Occurrence, p.Key.Step).Step()
		taken[p.Server] = taken[p.Server].Add(step.Reserved())
	}
	for i := range snap.Servers {
		v := &snap.Servers[i]
		if l := loads[v.Service]; l != nil {
			l.rooms = append(l.rooms, admission.ServerRoom{Free: v.Free.Sub(taken[v.ID]), Capacity: v.Capacity, Rack: v.Rack})
			l.ends = append(l.ends, v.Ends...)
		}
	}
}

// addRunningWork adds what is left of the tasks that run and end by themselves.
func (s *State) addRunningWork(loads map[string]*serviceLoad) {
	for _, v := range s.servers {
		l := loads[v.entry.Service]
		if l == nil || !s.usable(v) {
			continue
		}
		for _, r := range v.runs {
			if r.stopping || r.step().LongRunning {
				continue
			}
			j := r.group.State.Job
			admission.AddRow(l.rows, admission.Row{
				Priority: j.Priority, Organisation: j.Organisation, Running: admission.WorkOf(r.step().Reserved(), 1, max(0, s.timeToEnd(r))),
			})
		}
	}
}

// addCovered adds how much of each organisation's guarantee its open jobs take.
func (s *State) addCovered(loads map[string]*serviceLoad) {
	for st := range s.jobsCoveredByGuarantees(s.openJobs()) {
		for _, l := range loads { // a guarantee holds for all services together
			admission.AddRow(l.rows, admission.Row{Organisation: st.Job.Organisation, Covered: st.Job.PeakAccelerators()})
		}
	}
}

func (l *serviceLoad) summary() admission.ServiceLoad {
	l.Free = admission.Shapes(l.rooms)
	slices.SortFunc(l.ends, func(a, b sched.ExpectedEnd) int { return cmp.Compare(a.After, b.After) })
	total := 0.0
	for _, e := range l.ends {
		total += e.Need.CoreWeight()
	}
	ended, next := 0.0, 0
	for _, e := range l.ends {
		ended += e.Need.CoreWeight()
		for next < len(l.RoomMs) && ended >= total*admission.RoomShares[next] {
			l.RoomMs[next] = max(0, e.After.Milliseconds())
			next++
		}
	}
	for _, r := range l.rows {
		l.Rows = append(l.Rows, *r)
	}
	slices.SortFunc(l.Rows, func(a, b admission.Row) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Organisation, b.Organisation))
	})
	return l.ServiceLoad
}

// rateWindow is the time over which the rate is measured at which work starts: as long as a digest is used.
const rateWindow = admission.MaxAge

// noteStarted adds what a round has started.
func (l *loadState) noteStarted(now time.Time, snap *sched.Snapshot, plan *sched.Plan) {
	for len(l.started) > 0 && now.Sub(l.started[0].began) > rateWindow {
		l.started = l.started[1:]
	}
	if len(plan.Placements) == 0 {
		return
	}
	if n := len(l.started); n == 0 || now.Sub(l.started[n-1].began) >= digestInterval {
		l.started = append(l.started, startedWork{began: now, work: make(map[pressure]admission.Work)})
	}
	sum := l.started[len(l.started)-1].work
	placed := make(map[job.GroupKey]int)
	for _, p := range plan.Placements {
		placed[p.Key]++
	}
	for i := range snap.Pending {
		p := &snap.Pending[i]
		if n := placed[p.Key]; n > 0 {
			k := pressure{p.Service, p.Priority}
			sum[k] = sum[k].Add(admission.WorkOf(p.Step.Reserved(), n, cmp.Or(p.Runtime, p.Step.EstimatedRuntime)))
			delete(placed, p.Key) // a step may be split in two
		}
	}
}

// rates returns how fast work has been started of each priority with a backlog, and notes the backlogs in pressed.
func (l *loadState) rates(now time.Time, load *admission.ServiceLoad, pressed map[pressure]time.Time) []admission.Rate {
	var list []admission.Rate
	var waiting time.Duration
	waits := load.Waits()
	for _, priority := range eventloop.SortedKeys(waits) {
		if waiting += waits[priority]; waiting < leastBacklog {
			continue
		}
		k := pressure{load.Name, priority}
		since, known := l.pressedSince[k]
		if !known {
			since = now
		}
		pressed[k] = since
		if now.Sub(since) < rateWindow {
			continue
		}
		var sum admission.Work
		for _, s := range l.started {
			for started, w := range s.work {
				if started.service == load.Name && started.priority <= priority {
					sum = sum.Add(w)
				}
			}
		}
		perSecond := int64(rateWindow / time.Second)
		list = append(list, admission.Rate{Priority: priority, Started: admission.Work{MilliCPU: sum.MilliCPU / perSecond, MemoryMB: sum.MemoryMB / perSecond, Accelerators: sum.Accelerators / perSecond}})
	}
	return list
}

// attachNewLoad adds the holder's digest to its heartbeat, if it was not in an earlier one.
func (s *State) attachNewLoad(h *Heartbeat) {
	if l := &s.load; l.sentNumber != l.number {
		l.sentNumber = l.number
		s.attachLoad(h)
	}
}

// attachLoad adds the newest digest to a heartbeat, with its age.
func (s *State) attachLoad(h *Heartbeat) {
	if age := s.now.Sub(s.load.asOf); s.load.digest != nil && age <= admission.MaxAge {
		h.Load, h.LoadAgeMs = s.load.encoded, age.Milliseconds()
	}
}

// loadHeard takes over the digest of a heartbeat, unless it is older than the one held. One that cannot be read
// changes nothing else. A digest that is too old to be used does not stand in the way of any other.
func (s *State) loadHeard(h Heartbeat) {
	if len(h.Load) == 0 || s.holdsTerm() {
		return
	}
	var d *admission.Digest
	err := guard.Do(func() (err error) {
		d, err = admission.Decode(h.Load)
		return err
	})
	age := time.Duration(h.LoadAgeMs) * time.Millisecond
	l := &s.load
	switch {
	case err != nil || h.LoadAgeMs < 0 || h.LoadAgeMs > admission.MaxAge.Milliseconds():
		s.digestUnreadable(h, err)
		return
	case l.digest != nil && s.now.Sub(l.asOf) <= admission.MaxAge:
		switch c := cmp.Or(cmp.Compare(d.Token, l.digest.Token), cmp.Compare(d.Number, l.digest.Number)); {
		case c < 0:
			s.metrics.DigestsDropped.Inc(1)
			return
		case c == 0:
			return // another relay brings the same
		}
	}
	l.digest, l.encoded, l.asOf = d, h.Load, s.now.Add(-age)
}

// dropReportInterval is the shortest time between two log lines on digests that cannot be read.
const dropReportInterval = 10 * time.Second

func (s *State) digestUnreadable(h Heartbeat, err error) {
	s.metrics.DigestsDropped.Inc(1)
	if !s.load.dropReported.IsZero() && s.now.Sub(s.load.dropReported) < dropReportInterval {
		return
	}
	s.load.dropReported = s.now
	s.log.Warn("digest of the load cannot be read", zap.String("from", h.Node), zap.Int64("age_ms", h.LoadAgeMs), zap.Int("bytes", len(h.Load)), zap.Error(err))
}
