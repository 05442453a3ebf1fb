package fleet

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
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
}

// stopped sums up the runs that were stopped for one cause.
type stopped struct {
	runs     int
	lostWork float64 // unsaved work in core-seconds
}

// backlogOf returns the entry of a priority.
func (s *State) backlogOf(priority int) *priorityBacklog {
	b := s.backlog[priority]
	if b == nil {
		b = &priorityBacklog{stopped: make(map[stopCause]stopped)}
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
}

// reportBacklog logs, for each priority, what still waits after a round, at most once per
// backlogInterval. It tells apart work that waits from work that is stopped and started
// again, also when the lines on single runs are sampled away.
func (s *State) reportBacklog(snap sched.Snapshot, plan sched.Plan) {
	placed := make(map[job.GroupKey]int)
	for _, p := range plan.Placements {
		placed[p.Key]++
		s.backlogOf(s.jobs.Job(p.Key.Job).Job.Priority).placed++
	}
	if s.now.Sub(s.backlogReportedAt) < backlogInterval {
		return
	}
	s.backlogReportedAt = s.now
	for i := range snap.Pending {
		s.addWaiting(&snap.Pending[i], placed[snap.Pending[i].Key])
	}
	for _, priority := range eventloop.SortedKeys(s.backlog) {
		b := s.backlog[priority]
		s.metrics.backlog(priority, b)
		if !b.empty() {
			s.log.Info("backlog", append([]zap.Field{zap.Int("priority", priority)}, b.fields()...)...)
		}
		*b = priorityBacklog{stopped: make(map[stopCause]stopped)}
	}
}

// addWaiting adds a step of which some tasks were placed in the round.
func (s *State) addWaiting(p *sched.PendingStep, placed int) {
	if placed >= len(p.Tasks) {
		return
	}
	b := s.backlogOf(p.Priority)
	b.steps++
	b.tasks += len(p.Tasks) - placed
	if p.Step.Gang {
		b.gangs++
	}
	if wait := s.now.Sub(p.Due); wait > b.oldestWait {
		b.oldestWait, b.oldestStep = wait, p.Key
	}
}

func (b *priorityBacklog) empty() bool { return b.steps == 0 && b.placed == 0 && len(b.stopped) == 0 }

func (b *priorityBacklog) fields() []zap.Field {
	fields := []zap.Field{
		zap.Int("waiting_steps", b.steps), zap.Int("waiting_gangs", b.gangs), zap.Int("waiting_tasks", b.tasks), zap.Int("placed", b.placed),
	}
	if b.steps > 0 {
		fields = append(fields, zap.Duration("oldest_wait", b.oldestWait), zap.Stringer("oldest_step", b.oldestStep))
	}
	for _, cause := range eventloop.SortedKeys(b.stopped) {
		sum := b.stopped[cause]
		fields = append(fields, zap.Int(string(cause), sum.runs), zap.String("lost_"+string(cause), fmt.Sprintf("%.0f", sum.lostWork)))
	}
	return fields
}
