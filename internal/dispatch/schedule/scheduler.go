// Package schedule decides which request a VM sends next and to which backend
// server: queues with deficit round robin, admission, limits, choice of a server
// and outlier detection. It is pure but for a seeded source of randomness: it has
// no clock, no goroutine and no lock.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Flow names the requests of one caller.
type Flow struct {
	Organisation model.OrganisationID
	Caller       model.CallerID
}

// Request is a request as the scheduler sees it. The exported fields are set by
// its owner before Offer and not changed afterwards.
type Request struct {
	Class     model.Class
	Kind      string
	Flow      Flow
	Weight    int   // of the organisation, at least 1
	Size      int64 // bytes
	ArrivedAt time.Time
	Deadline  time.Time

	cost  time.Duration // expected slot time
	sends int           // to backend servers
}

// Rejection says why a request was not queued or left the queue unsent.
type Rejection int

// The rejections.
const (
	// RejectedDeadline: by measured times it cannot be answered before its deadline.
	RejectedDeadline Rejection = iota + 1
	// RejectedFull: the queue is full and others have a better claim to it.
	RejectedFull
	// RejectedShed: it made room for a request with a better claim.
	RejectedShed
	// RejectedLate: its deadline came too close in the queue.
	RejectedLate
)

// Rejected is a request that was not sent and will not be.
type Rejected struct {
	Request    *Request
	Cause      Rejection
	RetryAfter time.Duration
}

const (
	// retryAfterMin and retryAfterMax bound the advice to a refused caller.
	retryAfterMin = 100 * time.Millisecond
	retryAfterMax = 30 * time.Second
	// farWaitShare is the part of a request's time, as a divisor, that it waits for a
	// near backend server before another region is tried.
	farWaitShare = 4
	// standingAfter is how long a class has to have requests waiting before its wait is
	// bounded to the time left to the deadline over standingShare.
	standingAfter = time.Second
	standingShare = 8
	// staleFactor times that bound is when a queued request of a standing queue is dropped.
	staleFactor = 2
	// urgentMemory is how long slots are spared after more urgent work came in.
	urgentMemory = 2 * time.Second
)

// Scheduler holds the queued requests of a VM and what it knows of the backend
// servers. It is not safe for concurrent use.
type Scheduler struct {
	limits   model.Limits
	queue    queue
	pool     *pool
	running  [model.ClassCount]int
	times    map[string]*serviceTimes // by kind
	retries  retryBudget
	crossing tokenBucket
	// standing is since when each class has had requests waiting; zero: none wait.
	standing [model.ClassCount]time.Time
	// urgentSeen is when a request of another than the least urgent class came last.
	urgentSeen time.Time
}

// New returns a Scheduler without backend servers.
func New(r *rand.Rand) *Scheduler {
	return &Scheduler{
		limits: withDefaults(model.Limits{}),
		pool:   newPool(r),
		times:  map[string]*serviceTimes{},
	}
}

// Update applies a new view of the backend servers and limits.
func (s *Scheduler) Update(f Fleet, now time.Time) {
	s.limits = withDefaults(f.Limits)
	s.pool.update(f, now)
}

// Enqueue queues a request, unless it is rejected itself. Others may be shed for it.
func (s *Scheduler) Enqueue(x *Request, now time.Time) []Rejected {
	x.cost = s.serviceTimes(x.Kind).cost()
	if x.Class != model.ClassBatch {
		s.urgentSeen = now
	}
	if s.tooLate(x, now) {
		return []Rejected{{x, RejectedDeadline, s.retryAfter(x.Class)}}
	}
	shed, ok := s.makeRoom(x)
	if !ok {
		return append(shed, Rejected{x, RejectedFull, s.retryAfter(x.Class)})
	}
	if s.queue.classes[x.Class].requests == 0 {
		s.standing[x.Class] = now
	}
	s.queue.push(x)
	return shed
}

// tooLate reports whether a request would wait too long to be queued at all. A short
// burst may wait up to its deadline. Once a queue has stood for a while, waiting
// serves nobody: what is admitted then is kept close to its service time, and the
// rest is refused at once.
func (s *Scheduler) tooLate(x *Request, now time.Time) bool {
	times := s.serviceTimes(x.Kind)
	if !times.known() || s.queue.classes[x.Class].requests == 0 {
		return times.known() && !now.Add(times.p50).Before(x.Deadline)
	}
	left := x.Deadline.Sub(now)
	patience := left - times.p50
	if s.stands(x.Class, now) {
		patience = min(patience, max(left/standingShare, slowFactor*times.p95))
	}
	return s.queue.wait(x, s.load()) >= patience
}

// stands reports whether a class has a standing queue that is to be kept short. The
// least urgent class may wait as long as its deadlines allow.
func (s *Scheduler) stands(c model.Class, now time.Time) bool {
	return c != model.ClassBatch && now.Sub(s.standing[c]) > standingAfter
}

// stale reports whether a queued request has waited far longer than a standing
// queue lets new ones wait.
func (s *Scheduler) stale(x *Request, now time.Time) bool {
	times := s.serviceTimes(x.Kind)
	if !times.known() || !s.stands(x.Class, now) {
		return false
	}
	bound := max(x.Deadline.Sub(x.ArrivedAt)/standingShare, slowFactor*times.p95)
	return now.Sub(x.ArrivedAt) > staleFactor*bound
}

func (s *Scheduler) load() load {
	return load{running: s.running, capacity: s.pool.capacity(), share: s.limits.MinSharePercent}
}

func (s *Scheduler) retryAfter(c model.Class) time.Duration {
	backlog := s.queue.backlog(c, s.load())
	return min(max(backlog, retryAfterMin), retryAfterMax)
}

// makeRoom sheds queued requests until x fits; false when x has to be refused.
func (s *Scheduler) makeRoom(x *Request) ([]Rejected, bool) {
	var shed []Rejected
	for s.queue.full(s.limits, x.Size) {
		victim := s.queue.victim(x, s.limits)
		if victim == nil {
			return shed, false
		}
		s.queue.remove(victim)
		shed = append(shed, Rejected{victim, RejectedShed, s.retryAfter(victim.Class)})
	}
	return shed, true
}

// Withdraw takes a request out of the queue; false when it is not in it.
func (s *Scheduler) Withdraw(x *Request) bool {
	return s.queue.remove(x)
}

// Next chooses a request and a backend server for it and counts it as running
// there; nil when there is none. Requests that ran out of time are taken out.
func (s *Scheduler) Next(now time.Time) (*Request, *Server, []Rejected) {
	var late []Rejected
	for _, c := range s.queue.order(s.running, s.limits.MinSharePercent) {
		late = append(late, s.dropLate(c, now)...)
		x := s.queue.peek(c)
		if x == nil {
			continue
		}
		b := s.choose(x, nil, now)
		if b == nil {
			continue
		}
		s.queue.pop(c)
		s.running[c]++
		if x.sends == 0 {
			s.retries.sent(s.limits.RetryPercent, now)
		}
		x.sends++
		return x, b, late
	}
	return nil, nil, late
}

// dropLate drops the requests at the head of a class that cannot be answered in time.
func (s *Scheduler) dropLate(c model.Class, now time.Time) []Rejected {
	var late []Rejected
	for {
		x := s.queue.peek(c)
		if x == nil {
			return late
		}
		times := s.serviceTimes(x.Kind)
		need := time.Duration(0)
		if times.known() {
			need = times.p50 / 2
		}
		if now.Add(need).Before(x.Deadline) && !s.stale(x, now) {
			return late
		}
		s.queue.remove(x)
		late = append(late, Rejected{x, RejectedLate, s.retryAfter(c)})
	}
}

// choose picks a backend server: own availability zone, own region, and others
// under the byte budget when the near ones serve nobody or kept the request waiting.
// A near server whose last report shows no free slot is tried now and then, within
// the retry budget. except, which may be nil, is not chosen.
func (s *Scheduler) choose(x *Request, except *Server, now time.Time) *Server {
	spare := s.spare(x.Class, now)
	for _, t := range []Tier{TierZone, TierRegion} {
		if b := s.pool.pick(t, spare, except, now); b != nil {
			return b
		}
	}
	if s.mayCross(x, now) {
		if b := s.pool.pick(TierRemote, spare, except, now); b != nil {
			s.charge(x.Size, now)
			return b
		}
	}
	return s.probe(except, now)
}

// spare returns how many free slots of each server are left to other classes. While
// more urgent work comes in, the least urgent class leaves one.
func (s *Scheduler) spare(c model.Class, now time.Time) int {
	if c != model.ClassBatch || now.Sub(s.urgentSeen) > urgentMemory {
		return 0
	}
	return 1
}

func (s *Scheduler) probe(except *Server, now time.Time) *Server {
	b := s.pool.stale(except, now)
	if b == nil || !s.retries.take(now) {
		return nil
	}
	s.pool.start(b)
	return b
}

func (s *Scheduler) mayCross(x *Request, now time.Time) bool {
	near := s.pool.serving(TierZone, now) || s.pool.serving(TierRegion, now)
	patience := x.Deadline.Sub(x.ArrivedAt) / farWaitShare
	if near && now.Sub(x.ArrivedAt) < patience {
		return false
	}
	rate := float64(s.limits.CrossRegionRate)
	s.crossing.fill(rate, rate, now)
	return s.crossing.tokens > 0
}

// charge takes bytes from the budget of other regions, which may go into debt.
func (s *Scheduler) charge(bytes int64, now time.Time) {
	rate := float64(s.limits.CrossRegionRate)
	s.crossing.fill(rate, rate, now)
	s.crossing.tokens -= float64(bytes)
}

// MarkStopped counts a request out of the running ones.
func (s *Scheduler) MarkStopped(x *Request) { s.running[x.Class]-- }

// Requeue queues a request that was running and not executed. The next send counts
// against the retry budget, which bounds the sends that are likely to be refused
// (see choose); it does not hold up a send to a server with a free slot.
func (s *Scheduler) Requeue(x *Request, now time.Time) {
	s.MarkStopped(x)
	s.retries.take(now)
	s.queue.pushFront(x)
}

// Hedge chooses a backend server other than first for a running request within the
// retry budget; nil when there is none.
func (s *Scheduler) Hedge(x *Request, first *Server, now time.Time) *Server {
	if !s.retries.take(now) {
		return nil
	}
	return s.choose(x, first, now)
}

// TotalQueued returns the number of requests that are not running.
func (s *Scheduler) TotalQueued() int { return s.queue.requests }

// Queued returns the number of requests of a class that wait.
func (s *Scheduler) Queued(c model.Class) int { return s.queue.classes[c].requests }

// Running returns the number of requests of a class that are running.
func (s *Scheduler) Running(c model.Class) int { return s.running[c] }

func (s *Scheduler) serviceTimes(kind string) *serviceTimes {
	t := s.times[kind]
	if t == nil {
		t = &serviceTimes{}
		s.times[kind] = t
	}
	return t
}
