package admission

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	maxLetIn   = 512
	maxRefused = 1024
	// maxFirstSteps bounds what is kept of one job.
	maxFirstSteps = 8
	// overdue is how long after its time a refused caller is still expected.
	overdue = 2 * time.Second
)

// Ledger is what one VM remembers of its own decisions, of bounded size. It is lost with the VM; callers who were
// refused then wait like new ones.
type Ledger struct {
	letIn   []Admitted
	refused map[model.JobID]refusal
	order   []model.JobID // of the refusals, the oldest first
}

type refusal struct {
	service  string
	priority int
	work     Work
	first    time.Time // when it was first refused
	due      time.Time // when its caller may return
	useful   bool      // whether it can still end in useful time then
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{refused: make(map[model.JobID]refusal)} }

// LetIn notes a job that was let in.
func (l *Ledger) LetIn(j *job.Job, service string, now time.Time) {
	if _, known := l.refused[j.ID]; known {
		delete(l.refused, j.ID)
		l.order = slices.DeleteFunc(l.order, func(id model.JobID) bool { return id == j.ID })
	}
	if len(l.letIn) == maxLetIn {
		l.letIn = append(l.letIn[:0], l.letIn[1:]...)
	}
	var first []FirstStep
	for i := range j.Steps {
		if s := &j.Steps[i]; len(s.DependsOn) == 0 && len(first) < maxFirstSteps {
			first = append(first, FirstStep{Tasks: s.Count, Need: s.Reserved()})
		}
	}
	l.letIn = append(l.letIn, Admitted{
		At: now, Service: service, Priority: j.Priority, Organisation: j.Organisation, Work: workOfJob(j), First: first,
	})
}

// Refuse notes a job that is refused now and when its caller may return.
func (l *Ledger) Refuse(j *job.Job, service string, now, due time.Time) {
	r, known := l.refused[j.ID]
	if !known {
		r.first = now
		if len(l.order) == maxRefused {
			delete(l.refused, l.order[0])
			l.order = append(l.order[:0], l.order[1:]...)
		}
		l.order = append(l.order, j.ID)
	}
	r.service, r.priority, r.work, r.due = service, j.Priority, workOfJob(j), due
	r.useful = due.Sub(r.first) <= usefulFor(j)
	l.refused[j.ID] = r
}

// WasRefused reports whether a job is known to have been refused here, and how long ago it was first.
func (l *Ledger) WasRefused(id model.JobID, now time.Time) (bool, time.Duration) {
	r, known := l.refused[id]
	if !known {
		return false, 0
	}
	return true, now.Sub(r.first)
}

// Since returns what was let in after a moment, and forgets what was before.
func (l *Ledger) Since(asOf time.Time) []Admitted {
	for len(l.letIn) > 0 && !l.letIn[0].At.After(asOf) {
		l.letIn = l.letIn[1:]
	}
	return slices.Clone(l.letIn)
}

// Owed returns the work of refused callers of a service who are due back in useful time and not late, by priority.
func (l *Ledger) Owed(service string, now time.Time) map[int]Work {
	owed := make(map[int]Work)
	for _, r := range l.refused {
		if r.service == service && r.useful && !now.After(r.due.Add(overdue)) {
			owed[r.priority] = owed[r.priority].Add(r.work)
		}
	}
	return owed
}

func workOfJob(j *job.Job) Work {
	var sum Work
	for i := range j.Steps {
		s := &j.Steps[i]
		sum = sum.Add(WorkOf(s.Reserved(), s.Count, s.EstimatedRuntime))
	}
	return sum
}
