package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

// backlogInterval is the shortest time between two reports of the backlog.
const backlogInterval = time.Second

// priorityBacklog describes the jobs of one priority: what waits after a round, and what
// has happened since the previous report.
type priorityBacklog struct {
	steps, gangs, tasks int // that wait
	oldestWait          time.Duration
	oldestStep          job.GroupKey
	placed              int // tasks placed since the previous report
	stopped             map[stopCause]stopped
	reasons             map[sched.Reason]int // steps that wait, by why
}

// organisationBacklog is what waits of an organisation after a round, and what was stopped since the
// previous report.
type organisationBacklog struct {
	tasks, stops int
	oldestWait   time.Duration
}

// stopped sums up the runs that were stopped for one cause.
type stopped struct {
	runs     int
	lostWork float64 // unsaved work in core-seconds
}

func newPriorityBacklog() *priorityBacklog {
	return &priorityBacklog{stopped: make(map[stopCause]stopped), reasons: make(map[sched.Reason]int)}
}

// backlogOf returns the entry of a priority.
func (s *State) backlogOf(priority int) *priorityBacklog {
	b := s.backlog[priority]
	if b == nil {
		b = newPriorityBacklog()
		s.backlog[priority] = b
	}
	return b
}

// countStop counts a run that is stopped, and the work that it loses.
func (s *State) countStop(r *run, cause stopCause) {
	lost := 0.0
	if r.phase == runRunning {
		lost = s.unsavedWork(r)
	}
	priority := r.group.State.Job.Priority
	b := s.backlogOf(priority)
	sum := b.stopped[cause]
	b.stopped[cause] = stopped{runs: sum.runs + 1, lostWork: sum.lostWork + lost}
	s.metrics.runStopped(priority, cause, lost)
	s.backlogOfOrganisation(r.group.State.Job.Organisation).stops++
}

// backlogOfOrganisation returns the entry of an organisation.
func (s *State) backlogOfOrganisation(id model.OrganisationID) *organisationBacklog {
	b := s.organisationBacklog[id]
	if b == nil {
		b = &organisationBacklog{}
		s.organisationBacklog[id] = b
	}
	return b
}

// backlogDue reports whether the next round is to be reported.
func (s *State) backlogDue() bool { return s.now.Sub(s.backlogReportedAt) >= backlogInterval }

// reportBacklog logs, for each priority, what still waits after a round, at most once per
// backlogInterval. It tells apart work that waits from work that is stopped and started
// again, also when the lines on single runs are sampled away.
func (s *State) reportBacklog(snap sched.Snapshot, plan sched.Plan) {
	placed := make(map[job.GroupKey]int)
	for _, p := range plan.Placements {
		placed[p.Key]++
		s.backlogOf(s.jobs.Job(p.Key.Job).Job.Priority).placed++
	}
	if !s.backlogDue() {
		return
	}
	s.backlogReportedAt = s.now
	s.reportOverdue(s.occurrenceBudget(s.openJobs()))
	reasons := make(map[job.GroupKey]sched.Reason, len(plan.Unplaced))
	for _, u := range plan.Unplaced {
		reasons[u.Key] = u.Reason
	}
	gangs := false
	for i := range snap.Pending {
		p := &snap.Pending[i]
		if placed[p.Key] < len(p.Tasks) {
			s.addWaiting(p, placed[p.Key], reasons[p.Key])
			gangs = gangs || p.Step.Gang
		}
	}
	for _, priority := range eventloop.SortedKeys(s.backlog) {
		b := s.backlog[priority]
		s.metrics.backlog(priority, b)
		if !b.empty() {
			s.log.Info("backlog", append([]zap.Field{zap.Int("priority", priority)}, b.fields()...)...)
		}
		*b = *b.next()
	}
	s.reportOrganisations()
	if gangs && len(snap.Servers) > 0 {
		s.reportUse(sched.MeasureUse(snap, plan), plan.Earmarks)
	}
}

// next returns the entry for the next report. It keeps the reasons, so that their metrics return to 0.
func (b *priorityBacklog) next() *priorityBacklog {
	n := newPriorityBacklog()
	for reason := range b.reasons {
		n.reasons[reason] = 0
	}
	return n
}

// addWaiting adds a step of which some tasks were placed in the round, and why not the others; a placement
// that is put off has no reason.
func (s *State) addWaiting(p *sched.PendingStep, placed int, why sched.Reason) {
	b := s.backlogOf(p.Priority)
	b.steps++
	b.tasks += len(p.Tasks) - placed
	if p.Step.Gang {
		b.gangs++
	}
	wait := s.now.Sub(p.WaitsSince())
	if wait > b.oldestWait {
		b.oldestWait, b.oldestStep = wait, p.Key
	}
	b.reasons[cmp.Or(why, putOff)]++
	o := s.backlogOfOrganisation(s.jobs.Job(p.Key.Job).Job.Organisation)
	o.tasks += len(p.Tasks) - placed
	o.oldestWait = max(o.oldestWait, wait)
}

// putOff is the reason of steps whose placements wait for earlier start orders.
const putOff sched.Reason = "start_orders"

// maxOrganisationsLogged bounds the organisations that a report of the backlog names.
const maxOrganisationsLogged = 8

// reportOrganisations logs of which organisations the most waits and was stopped.
func (s *State) reportOrganisations() {
	ids := eventloop.SortedKeys(s.organisationBacklog)
	ids = slices.DeleteFunc(ids, func(id model.OrganisationID) bool {
		b := s.organisationBacklog[id]
		s.metrics.organisationBacklog(id, b)
		return b.tasks == 0 && b.stops == 0
	})
	slices.SortStableFunc(ids, func(a, b model.OrganisationID) int {
		return cmp.Compare(s.organisationBacklog[b].size(), s.organisationBacklog[a].size())
	})
	if len(ids) > 0 {
		named := ids[:min(len(ids), maxOrganisationsLogged)]
		list := func(value func(*organisationBacklog) string) string {
			var parts []string
			for _, id := range named {
				parts = append(parts, string(id)+"="+value(s.organisationBacklog[id]))
			}
			return strings.Join(parts, " ")
		}
		s.log.Info("backlog of organisations", zap.Int("organisations", len(ids)),
			zap.String("waiting_tasks", list(func(b *organisationBacklog) string { return strconv.Itoa(b.tasks) })),
			zap.String("oldest_wait", list(func(b *organisationBacklog) string { return b.oldestWait.Round(100 * time.Millisecond).String() })),
			zap.String("stopped", list(func(b *organisationBacklog) string { return strconv.Itoa(b.stops) })))
	}
	for _, b := range s.organisationBacklog {
		*b = organisationBacklog{}
	}
}

func (b *organisationBacklog) size() int { return b.tasks + b.stops }

// reportUse logs how much of the backend servers is at work while gangs wait, and for which one most room is kept.
func (s *State) reportUse(u sched.Use, earmarks []sched.Earmark) {
	var earmarked float64
	var largest sched.Earmark
	for _, e := range earmarks {
		earmarked += e.Share
		if e.Share > largest.Share {
			largest = e
		}
	}
	s.metrics.use(u, earmarked)
	share := func(key string, value float64) zap.Field { return zap.String(key, fmt.Sprintf("%.3f", value)) }
	fields := []zap.Field{
		share("cores", u.Cores), share("memory", u.Memory), share("accelerators", u.Accelerators),
		zap.String("fullest_rack", string(u.Fullest.Rack)), share("fullest", u.Fullest.Share),
		zap.String("emptiest_rack", string(u.Emptiest.Rack)), share("emptiest", u.Emptiest.Share), zap.Int("whole_servers_free", u.WholeFree),
		share("fragmented_cores", u.FragmentedCores), share("fragmented_memory", u.FragmentedMemory), share("fragmented_accelerators", u.FragmentedAccelerators),
		share("earmarked", earmarked),
	}
	if len(earmarks) > 0 {
		fields = append(fields, zap.Stringer("earmarked_for", largest.Key), zap.Duration("starts_after", largest.After))
	}
	s.log.Info("utilisation", fields...)
}

func (b *priorityBacklog) empty() bool { return b.steps == 0 && b.placed == 0 && len(b.stopped) == 0 }

func (b *priorityBacklog) fields() []zap.Field {
	fields := []zap.Field{
		zap.Int("waiting_steps", b.steps), zap.Int("waiting_gangs", b.gangs), zap.Int("waiting_tasks", b.tasks), zap.Int("placed", b.placed),
	}
	if b.steps > 0 {
		fields = append(fields, zap.Duration("oldest_wait", b.oldestWait), zap.Stringer("oldest_step", b.oldestStep))
	}
	for _, reason := range eventloop.SortedKeys(b.reasons) {
		if n := b.reasons[reason]; n > 0 {
			fields = append(fields, zap.Int("why_"+string(reason), n))
		}
	}
	for _, cause := range eventloop.SortedKeys(b.stopped) {
		sum := b.stopped[cause]
		fields = append(fields, zap.Int(string(cause), sum.runs), zap.String("lost_"+string(cause), fmt.Sprintf("%.0f", sum.lostWork)))
	}
	return fields
}
