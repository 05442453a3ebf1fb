package intake

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/admission"
	"github.com/eelgrassreach/eelgrassreach/internal/boottime"
	"github.com/eelgrassreach/eelgrassreach/internal/fleet"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// refusalReportInterval is the shortest time between two log lines on refusals of one organisation's jobs, and
	// maxRefusalsReported bounds the organisations that are kept apart.
	refusalReportInterval = time.Second
	maxRefusalsReported   = 256
	// storeDoubt is how long after a failed call to the store a job may turn out to be stored.
	storeDoubt = fleet.StoreDoubt
)

// admissionState is what this VM remembers of the jobs that it has let in and refused.
type admissionState struct {
	mu     sync.Mutex
	ledger *admission.Ledger
	// storing counts the calls that are storing a job, and inDoubtAt is when one last ended without an answer.
	storing   map[model.JobID]int
	inDoubtAt time.Time
	// reported holds when a refusal of each organisation's jobs was last logged, and unreported how many were not.
	reported   map[refusalKey]time.Time
	unreported map[refusalKey]int
}

type refusalKey struct {
	organisation string
	priority     int
}

func newAdmissionState() admissionState {
	return admissionState{ledger: admission.NewLedger(), storing: make(map[model.JobID]int)}
}

// admit refuses a job that cannot end in useful time. A refusal says that nothing of the job ever runs, so it
// takes a VM that follows the jobs and finds none in the store; where that is in doubt, the job is let in.
func (s *Service) admit(ctx context.Context, c Call, j *job.Job) Answer {
	v, age, follows := s.verdict(ctx, j)
	switch {
	case !v.Refused:
		if v.Reason != "" {
			s.options.Log.Info("job let in although much waits", zap.String("job", string(j.ID)), zap.String("organisation", string(j.Organisation)),
				zap.Int("priority", j.Priority), zap.String("reason", string(v.Reason)), zap.Duration("expected_begin", v.Begin), zap.Duration("digest_age", age))
		}
		return Answer{}
	case !follows && c.Forwarded:
		return Answer{}
	case !follows:
		return Answer{Result: AskReplica, Reason: string(v.Reason)}
	}
	call, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	switch found, err := s.options.Loop.FindJob(call, j.ID); {
	case err != nil || found.InDoubt:
		s.options.Counters.RefusalsInDoubt.Inc(1)
		return Answer{}
	case found.Submitted || s.mayBeStoring(j.ID):
		return Answer{} // stored a second time, it counts once
	}
	s.refuse(j, v, age)
	return Answer{Result: Refused, Reason: string(v.Reason) + "; it has not run", RetryAfter: v.RetryAfter}
}

// verdict decides whether a job comes too late, by a picture of the load of the given age, and tells whether this VM
// follows the jobs. It notes nothing.
func (s *Service) verdict(ctx context.Context, j *job.Job) (v admission.Verdict, age time.Duration, follows bool) {
	var digest *admission.Digest
	doubt := false
	err := s.options.Loop.Query(ctx, func(st *fleet.State) {
		digest, age = st.Load()
		follows, doubt = st.IsReplica() && st.Synced(), st.StoreInDoubt()
	})
	if err != nil || digest == nil || doubt || s.mayBeStoring(j.ID) {
		return admission.Verdict{}, age, follows
	}
	return s.decide(digest, age, j), age, follows
}

func (s *Service) decide(digest *admission.Digest, age time.Duration, j *job.Job) admission.Verdict {
	guaranteed := 0
	if config, _ := s.options.Loop.Config(); config != nil {
		guaranteed = config.Organisations[j.Organisation].Guaranteed
	}
	now := boottime.Now()
	a := &s.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	p := admission.Picture{Digest: digest, Age: age, LetIn: a.ledger.Since(now.Add(-age)), Owed: a.ledger.Owed(j.Service, now)}
	r := admission.Request{Job: j, Service: j.Service, Guaranteed: guaranteed}
	r.RefusedBefore, r.FirstRefused = a.ledger.WasRefused(j.ID, now)
	return admission.Decide(p, r)
}

// refuse notes, counts and logs a refusal.
func (s *Service) refuse(j *job.Job, v admission.Verdict, age time.Duration) {
	s.options.Counters.countRefusal(j.Priority, v)
	now := boottime.Now()
	k := refusalKey{string(j.Organisation), j.Priority}
	a := &s.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Refuse(j, j.Service, now, now.Add(v.RetryAfter))
	if last, known := a.reported[k]; known && now.Sub(last) < refusalReportInterval {
		a.unreported[k]++
		return
	}
	if a.reported == nil || len(a.reported) >= maxRefusalsReported {
		a.reported, a.unreported = make(map[refusalKey]time.Time), make(map[refusalKey]int)
	}
	a.reported[k] = now
	s.options.Log.Info("job refused", zap.String("job", string(j.ID)), zap.String("organisation", k.organisation), zap.String("service", j.Service),
		zap.Int("priority", j.Priority), zap.String("reason", string(v.Reason)), zap.Duration("retry_after", v.RetryAfter),
		zap.Duration("expected_begin", v.Begin), zap.Duration("useful_for", v.UsefulFor), zap.Duration("digest_age", age), zap.Int("unreported", a.unreported[k]))
	a.unreported[k] = 0
}

// mayBeStoring reports whether this VM may have sent the store a job that cannot be found there yet.
func (s *Service) mayBeStoring(id model.JobID) bool {
	a := &s.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.storing[id] > 0 || !a.inDoubtAt.IsZero() && boottime.Now().Sub(a.inDoubtAt) < storeDoubt
}

// isStoring reports whether this VM is storing a job.
func (s *Service) isStoring(id model.JobID) bool {
	a := &s.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.storing[id] > 0
}

// storingBegins notes that a job is being stored; storingEnds must follow.
func (s *Service) storingBegins(id model.JobID) {
	a := &s.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.storing[id]++
}

// storingUnanswered notes that the store has not answered an append of a job, and tells the other VMs.
func (s *Service) storingUnanswered(id model.JobID) {
	s.admission.mu.Lock()
	s.admission.inDoubtAt = boottime.Now()
	s.admission.mu.Unlock()
	s.options.Loop.ReportUnanswered(context.Background(), id)
}

// storingEnds notes how storing a job has ended.
func (s *Service) storingEnds(j *job.Job, answer Answer) {
	if answer.InDoubt { // the append may still be under way
		s.storingUnanswered(j.ID)
	}
	a := &s.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.storing[j.ID]--; a.storing[j.ID] == 0 {
		delete(a.storing, j.ID)
	}
	if answer.Result == OK || answer.InDoubt {
		a.ledger.LetIn(j, j.Service, boottime.Now())
	}
}
