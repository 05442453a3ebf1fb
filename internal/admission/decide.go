package admission

import (
	"hash/fnv"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

const (
	// MaxAge is the age from which on a picture of the load is too old to refuse anything by: a VM that has missed
	// two messages from the replica of its zone accepts all jobs.
	MaxAge = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound when a refused caller may come back. The picture changes meanwhile.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 30 * time.Second
	// owedShare is the part of its useful time that a new job leaves to those who were refused before it. With more,
	// everybody would be let in as late as is still useful, and many would then end too late.
	owedShare = 0.25
	// minRateShare is the share of a service's capacity that is taken to be at work at least: a lower rate comes from
	// a moment's trouble rather than from the load.
	minRateShare = 0.25
	// spreadShare is by which part of the wait those who were refused at the same time return one after the other.
	spreadShare = 0.5
)

// Reason is why a job is refused, or let in although much waits; empty if there is nothing to say.
type Reason string

// The reasons.
const (
	TooLate    Reason = "cannot end in useful time"
	Guaranteed Reason = "under the organisation's guarantee"
	Free       Reason = "backend servers are free"
)

// Picture is what a VM knows of the load.
type Picture struct {
	// Digest is the newest one, nil if there is none, and Age how old its figures are.
	Digest *Digest
	Age    time.Duration
	// LetIn is what this VM has let in since then.
	LetIn []Admitted
	// Owed is the work of callers who were refused and are due back, by priority.
	Owed map[int]Work
}

// Admitted is a job that was let in.
type Admitted struct {
	At           time.Time
	Service      string
	Priority     int
	Organisation model.OrganisationID
	Work         Work
	First        []FirstStep
}

// FirstStep is a step that can begin at once, with what each of its tasks takes.
type FirstStep struct {
	Tasks int
	Need  job.Resources
}

// Request is a job that asks to be let in.
type Request struct {
	Job     *job.Job
	Service string
	// Guaranteed is how many accelerators the organisation is guaranteed.
	Guaranteed int
	// RefusedBefore is set if the same job has been refused, first FirstRefused ago: it goes before those that are
	// new, and its caller has waited as long.
	RefusedBefore bool
	FirstRefused  time.Duration
}

// Verdict is a decision with what it is based on.
type Verdict struct {
	Refused    bool
	Reason     Reason
	RetryAfter time.Duration
	// Begin is when the job is expected to begin, and UsefulFor how long after now it can end and still be of use.
	Begin, UsefulFor time.Duration
}

// Decide admits or refuses a job.
//
// It answers a load of more work than the backend servers can do: if all of it is let in, all of it waits until
// it is too late, and each caller learns that last. Who is refused can ask elsewhere, or come back when there is room.
func Decide(p Picture, r Request) Verdict {
	if p.Digest == nil || p.Age < 0 || p.Age > MaxAge || p.Digest.StoreInDoubt {
		return Verdict{}
	}
	j, load := r.Job, p.Digest.Service(r.Service)
	if load == nil || j.Occurrences > 0 || j.LongRunning() || j.Objective() <= 0 {
		return Verdict{}
	}
	e := &estimator{picture: p, load: load, request: r}
	v := Verdict{Begin: e.begin() - p.Age + e.owed(), UsefulFor: usefulFor(j) - r.FirstRefused}
	switch {
	case v.Begin <= v.UsefulFor:
	case e.guaranteed():
		v.Reason = Guaranteed
	case e.fitsNow():
		v.Reason = Free
	default:
		v.Refused, v.Reason, v.RetryAfter = true, TooLate, e.retryAfter(v.Begin-v.UsefulFor)
	}
	return v
}

// usefulFor is how long a job may wait to begin and still end in useful time.
func usefulFor(j *job.Job) time.Duration { return sched.LateFactor*j.Objective() - j.CriticalPath() }

// estimator holds the input of one decision.
type estimator struct {
	picture Picture
	load    *ServiceLoad
	request Request
}

// guaranteed reports whether the organisation's guarantee covers the job: it then goes before all others, and
// others make room.
func (e *estimator) guaranteed() bool {
	j := e.request.Job
	if j.Priority != 0 || e.request.Guaranteed <= 0 {
		return false
	}
	covered := 0
	if row := e.row(j.Organisation); row != nil {
		covered = row.Covered
	}
	return j.PeakAccelerators() <= e.request.Guaranteed-covered
}

// row returns the row of an organisation's jobs of the same priority; nil if it has none of its own.
func (e *estimator) row(o model.OrganisationID) *Row {
	for i := range e.load.Rows {
		r := &e.load.Rows[i]
		if r.Others == 0 && r.Priority == e.request.Job.Priority && r.Organisation == o {
			return r
		}
	}
	return nil
}

// fitsNow reports whether there is room for a step that can begin at once: for all tasks of a gang, or for one of
// others. What this VM has let in since the picture was drawn is taken off.
func (e *estimator) fitsNow() bool {
	for i := range e.request.Job.Steps {
		s := &e.request.Job.Steps[i]
		if len(s.DependsOn) > 0 {
			continue
		}
		need := 1
		if s.Gang {
			need = s.Count
		}
		if e.slots(s.Reserved()) >= need {
			return true
		}
	}
	return false
}

// slots returns how many tasks could start now, besides what was let in and fits as well.
func (e *estimator) slots(need job.Resources) int {
	taken := 0.0
	for i := range e.picture.LetIn {
		for _, s := range e.picture.LetIn[i].First {
			if e.picture.LetIn[i].Service == e.load.Name && e.freeSlots(s.Need) >= s.Tasks {
				taken += s.Need.CoreWeight() * float64(s.Tasks)
			}
		}
	}
	n := e.freeSlots(need)
	if weight := need.CoreWeight(); weight > 0 {
		n -= int(taken / weight)
	}
	return n
}

// freeSlots returns how many tasks could start when the picture was drawn.
func (e *estimator) freeSlots(need job.Resources) int {
	n := 0
	for _, s := range e.load.Free {
		n += s.Servers * perServer(need, s.Free)
	}
	return n
}

// perServer returns how many times need fits in free; 1 for what needs nothing.
func perServer(need, free job.Resources) int {
	most := -1
	for _, d := range [][2]int{{need.MilliCPU, free.MilliCPU}, {need.MemoryMB, free.MemoryMB}, {need.Accelerators, free.Accelerators}} {
		if d[0] > 0 && (most < 0 || d[1]/d[0] < most) {
			most = d[1] / d[0]
		}
	}
	if most < 0 {
		return 1
	}
	return most
}

// begin estimates when the job can begin, counted from the picture. It is early rather than late, since a wrong
// refusal is worse for a caller than a late answer: the backend servers are taken to be used in full from now on, or
// as they have been lately.
func (e *estimator) begin() time.Duration {
	j, ahead := e.request.Job, e.ahead()
	var running Work
	for i := range e.load.Rows {
		if r := &e.load.Rows[i]; j.Priority > 0 || r.Priority == 0 { // an urgent job does not wait for others that run
			running = running.Add(r.Running)
		}
	}
	// When the job begins, about half of the work of the tasks that then run is still to be done.
	inUse := ahead.Add(running).On(e.load.Capacity) - e.meanRuntime()/2
	begin := max(0, inUse, e.atRate(ahead))
	if j.Priority == 0 && e.request.Guaranteed > 0 {
		begin = min(begin, e.underGuarantee())
	}
	return begin
}

// ahead is the work that waits and goes before the job: all that is more urgent, what its own organisation has
// waiting at its priority, and of each other organisation there no more than that.
func (e *estimator) ahead() Work {
	j, own := e.request.Job, e.ownWaiting()
	sum := own
	for i := range e.load.Rows {
		switch r := &e.load.Rows[i]; {
		case r.Priority < j.Priority:
			sum = sum.Add(r.Waiting)
		case r.Priority == j.Priority && (r.Others > 0 || r.Organisation != j.Organisation):
			sum = sum.Add(r.Waiting.atMost(own, max(r.Others, 1)))
		}
	}
	return sum
}

// meanRuntime is that of the tasks that wait and are at least as urgent as the job.
func (e *estimator) meanRuntime() time.Duration {
	var sum, weight float64
	for i := range e.load.Rows {
		if r := &e.load.Rows[i]; r.Priority <= e.request.Job.Priority {
			w := r.Waiting.Weight()
			sum, weight = sum+w*float64(r.RuntimeMs), weight+w
		}
	}
	if weight == 0 {
		return 0
	}
	return time.Duration(min(sum/weight, maxSeconds)) * time.Millisecond
}

// atRate is when work has been started that goes before the job, if it goes on as it has lately; 0 if that is not
// known. Packing, lost work and what runs long keep a service from being used in full.
func (e *estimator) atRate(ahead Work) time.Duration {
	for _, r := range e.load.Rates {
		if r.Priority == e.request.Job.Priority {
			rate := max(r.Started.Weight(), minRateShare*e.load.Capacity.CoreWeight())
			return time.Duration(min(ahead.Weight()/max(rate, 1), maxSeconds) * float64(time.Second))
		}
	}
	return 0
}

// owed is the time that a new job leaves to those who were refused before it and are due back.
func (e *estimator) owed() time.Duration {
	if e.request.RefusedBefore {
		return 0
	}
	var sum Work
	for priority, w := range e.picture.Owed {
		if priority <= e.request.Job.Priority {
			sum = sum.Add(w)
		}
	}
	return min(sum.On(e.load.Capacity), time.Duration(float64(usefulFor(e.request.Job))*owedShare))
}

// ownWaiting is the work of the organisation that waits at this priority, with what this VM has let in since.
func (e *estimator) ownWaiting() Work {
	j := e.request.Job
	var own Work
	if row := e.row(j.Organisation); row != nil {
		own = row.Waiting
	} else {
		for i := range e.load.Rows {
			if r := &e.load.Rows[i]; r.Others > 0 && r.Priority == j.Priority {
				own = r.Waiting.share(r.Others)
			}
		}
	}
	for i := range e.picture.LetIn {
		if a := &e.picture.LetIn[i]; a.Service == e.load.Name && a.Priority == j.Priority && a.Organisation == j.Organisation {
			own = own.Add(a.Work)
		}
	}
	return own
}

// underGuarantee is when the job begins if its organisation's urgent jobs get no more than what is guaranteed.
func (e *estimator) underGuarantee() time.Duration {
	own := e.ownWaiting()
	if row := e.row(e.request.Job.Organisation); row != nil {
		own = own.Add(row.Running)
	}
	return Work{Accelerators: own.Accelerators}.On(job.Resources{Accelerators: e.request.Guaranteed})
}

// retryAfter returns when the job can come back: once the backlog is so much shorter that the job would be in
// time, and room for its share of the service is expected. Those who were refused before return one after the
// other, so that they do not come back at once.
func (e *estimator) retryAfter(tooLate time.Duration) time.Duration {
	wait := max(tooLate, e.roomExpected()-e.picture.Age, minRetryAfter)
	wait += time.Duration(float64(wait) * spreadShare * fraction(e.request.Job.ID))
	return min(wait, maxRetryAfter)
}

// roomExpected is when so much of what runs has ended as the job's widest step takes.
func (e *estimator) roomExpected() time.Duration {
	share := 0.0
	for i := range e.request.Job.Steps {
		s := &e.request.Job.Steps[i]
		share = max(share, s.Reserved().CoreWeight()*float64(s.Count)/max(e.load.Capacity.CoreWeight(), 1))
	}
	at := 2
	switch {
	case share <= 0.25:
		at = 0
	case share <= 0.5:
		at = 1
	}
	return min(time.Duration(min(e.load.RoomMs[at], maxRetryAfter.Milliseconds()))*time.Millisecond, maxRetryAfter)
}

// fraction spreads job IDs evenly over 0 to 1.
func fraction(id model.JobID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash's Write never fails
	return float64(h.Sum32()) / (1 << 32)
}
