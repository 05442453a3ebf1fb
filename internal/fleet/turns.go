package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

const (
	// jobOccurrenceTasks bounds the tasks of one job's occurrences that a round weighs, and roundOccurrenceTasks those of
	// all jobs together. Each job has at least one step in a round.
	jobOccurrenceTasks   = 128
	roundOccurrenceTasks = 1024
)

// turn is the first occurrence of a job that waits, and since when it is the first.
//
// It answers jobs of which very many occurrences are due at once. All of them would otherwise count as waiting since
// they were due, and go before the work of all others for as long as there are any. So they wait one behind the other.
type turn struct {
	occurrence int
	since      time.Time
}

// occurrenceBudget returns how many waiting tasks of each job's occurrences a round weighs.
func (s *State) occurrenceBudget(open []*job.State) int {
	jobs := 0
	for _, st := range open {
		if st.Job.Occurrences > 0 && st.FirstOpen() < st.Job.DueCount(s.wall) {
			jobs++
		}
	}
	return min(jobOccurrenceTasks, roundOccurrenceTasks/max(jobs, 1))
}

// addDueOccurrences adds the first waiting steps of a job's due occurrences to the snapshot. A guarantee covers only the
// first occurrence that is not done, as it counts the job once.
func (s *State) addDueOccurrences(snap *sched.Snapshot, st *job.State, covered bool, budget int, advised func(*sched.PendingStep, *job.Group) bool) {
	failed := false
	groups := st.WaitingGroups(st.Job.DueCount(s.wall), budget, func(g *job.Group) int {
		failed = failed || g.Failed()
		return len(s.waitingTasks(g))
	})
	if failed {
		return
	}
	open := st.FirstOpen()
	for _, g := range groups {
		since := s.now
		if g.Occurrence == groups[0].Occurrence {
			since = s.turnSince(g)
		}
		s.addPendingStep(snap, g, covered && g.Occurrence == open, since, advised)
	}
}

// turnSince returns since when the first waiting occurrence of a job has been the first.
func (s *State) turnSince(g *job.Group) time.Time {
	since := maxTime(s.dueAt(g), g.State.FirstSeen)
	t, known := s.turns[g.State.Job.ID]
	switch {
	case !known:
		return since
	case t.occurrence != g.Occurrence:
		return maxTime(since, s.now)
	default:
		return maxTime(since, t.since)
	}
}

// observeTurns notes which occurrences wait first.
func (s *State) observeTurns(pending []sched.PendingStep) {
	first := make(map[model.JobID]turn)
	for i := range pending {
		p := &pending[i]
		id := p.Key.Job
		if s.jobs.Job(id).Job.Occurrences == 0 {
			continue
		}
		if t, known := first[id]; !known || p.Key.Occurrence < t.occurrence {
			first[id] = turn{occurrence: p.Key.Occurrence, since: p.Since}
		}
	}
	for id, t := range first {
		s.turns[id] = t
	}
}

// reportOverdue logs the job of which the most occurrences are due and not done, if a round does not weigh all of them.
func (s *State) reportOverdue(budget int) {
	var most *job.State
	overdue, jobs := 0, 0
	s.jobs.ForEach(func(st *job.State) {
		if st.Job.Occurrences == 0 || st.Cancelled || st.Recorded.Final() {
			return
		}
		n := st.Job.DueCount(s.wall) - st.FirstOpen()
		if n > budget {
			jobs++
		}
		if n > overdue || n == overdue && most != nil && st.Job.ID < most.Job.ID {
			most, overdue = st, n
		}
	})
	if jobs > 0 {
		s.log.Info("occurrences of a job wait one behind the other", zap.Int("jobs", jobs), zap.String("job", string(most.Job.ID)),
			zap.Int("due", overdue), zap.Int("first", most.FirstOpen()), zap.Int("weighed_tasks", budget))
	}
	s.metrics.OccurrencesOverdue.Update(float64(overdue))
}
