// Package schedule decides which request a VM sends next and to which backend
// server: queues with deficit round robin, admission control, limits, server selection
// and outlier detection. It has no clock, no goroutine and no lock; the caller passes
// the time and a seeded source of randomness.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Flow identifies the requests of one caller.
type Flow struct {
	Organisation model.OrganisationID
	Caller       model.CallerID
}

// Request is a request as the scheduler sees it. The exported fields are set by
// its owner before Enqueue and not changed afterwards.
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

// Rejection is the cause for which a request was not queued or was dropped from the
// queue.
type Rejection int

// The values of Rejection.
const (
	// RejectedDeadline: by the measured service times, the request would be answered too
	// late. See tooLate.
	RejectedDeadline Rejection = iota + 1
	// RejectedFull: the queue is full and no queued request may be shed for it.
	RejectedFull
	// RejectedShed: it was shed from the full queue for another request. See victim.
	RejectedShed
	// RejectedLate: its deadline came too close in the queue, or it waited too long in a
	// standing queue. See dropLate.
	RejectedLate
)

// Rejected is a request that the scheduler gave up. It will not be sent.
type Rejected struct {
	Request    *Request
	Cause      Rejection
	RetryAfter time.Duration
}

const (
	// minRetryAfter and maxRetryAfter bound Rejected.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// A request waits for a backend server of the own region for the time from arrival to
	// deadline divided by remoteWaitDivisor, before other regions are tried.
	remoteWaitDivisor = 4
	// A queue that has not been empty for standingQueueAge is a standing queue. The wait in
	// it is bounded to the time until the deadline divided by standingWaitDivisor, or to
	// slowFactor times the 95th percentile of the service time if that is longer.
	standingQueueAge    = time.Second
	standingWaitDivisor = 8
	// A queued request of a standing queue is dropped after staleFactor times that bound.
	staleFactor = 2
	// spareSlotsFor is how long after the arrival of more urgent work the least urgent
	// class leaves a slot of each server free.
	spareSlotsFor = 2 * time.Second
)

// Scheduler holds the queued requests of a VM and the state of the backend servers. It
// is not safe for concurrent use.
type Scheduler struct {
	limits      model.Limits
	queue       queue
	pool        *pool
	running     [model.ClassCount]int
	times       map[string]*serviceTimes // by kind
	retries     retryBudget
	crossRegion tokenBucket // bytes sent to and received from other regions
	// queuedSince is when Enqueue last added a request to the empty queue of each class.
	queuedSince [model.ClassCount]time.Time
	// lastUrgentArrival is when a request of any class but the least urgent last arrived.
	lastUrgentArrival time.Time
}

// New returns a Scheduler without backend servers.
func New(random *rand.Rand) *Scheduler {
	return &Scheduler{
		limits: withDefaults(model.Limits{}),
		pool:   newPool(random),
		times:  map[string]*serviceTimes{},
	}
}

// Update applies a new view of the backend servers and limits.
func (s *Scheduler) Update(f Fleet, now time.Time) {
	s.limits = withDefaults(f.Limits)
	s.pool.update(f, now)
}

// Enqueue queues a request or rejects it, and may shed queued requests to make room. It
// returns all rejected requests.
func (s *Scheduler) Enqueue(request *Request, now time.Time) []Rejected {
	request.cost = s.serviceTimes(request.Kind).expectedCost()
	if request.Class != model.ClassBatch {
		s.lastUrgentArrival = now
	}
	if s.tooLate(request, now) {
		return []Rejected{{request, RejectedDeadline, s.retryAfter(request.Class)}}
	}
	shed, ok := s.makeRoom(request)
	if !ok {
		return append(shed, Rejected{request, RejectedFull, s.retryAfter(request.Class)})
	}
	if s.queue.classes[request.Class].requests == 0 {
		s.queuedSince[request.Class] = now
	}
	s.queue.push(request)
	return shed
}

// tooLate reports whether a new request would wait too long and is to be refused. The
// requests of a short burst may wait up to their deadlines. In a standing queue long
// waits help no request, so only as many are admitted as wait not much longer than
// their service time; the rest is refused at once.
func (s *Scheduler) tooLate(request *Request, now time.Time) bool {
	times := s.serviceTimes(request.Kind)
	if !times.hasEstimate() || s.queue.classes[request.Class].requests == 0 {
		return times.hasEstimate() && !now.Add(times.p50).Before(request.Deadline)
	}
	left := request.Deadline.Sub(now)
	maxWait := left - times.p50
	if s.hasStandingQueue(request.Class, now) {
		maxWait = min(maxWait, max(left/standingWaitDivisor, slowFactor*times.p95))
	}
	return s.queue.estimateWait(request, s.load()) >= maxWait
}

// hasStandingQueue reports whether a class has a standing queue that is to be kept
// short. The least urgent class is exempt: it may wait as long as its deadlines allow.
func (s *Scheduler) hasStandingQueue(c model.Class, now time.Time) bool {
	return c != model.ClassBatch && now.Sub(s.queuedSince[c]) > standingQueueAge
}

// stale reports whether a queued request has waited staleFactor times as long as a
// standing queue lets new requests wait.
func (s *Scheduler) stale(request *Request, now time.Time) bool {
	times := s.serviceTimes(request.Kind)
	if !times.hasEstimate() || !s.hasStandingQueue(request.Class, now) {
		return false
	}
	maxWait := max(request.Deadline.Sub(request.ArrivedAt)/standingWaitDivisor, slowFactor*times.p95)
	return now.Sub(request.ArrivedAt) > staleFactor*maxWait
}

func (s *Scheduler) load() load {
	return load{running: s.running, capacity: s.pool.capacity(), minShare: s.limits.MinSharePercent}
}

func (s *Scheduler) retryAfter(c model.Class) time.Duration {
	backlog := s.queue.estimateBacklog(c, s.load())
	return min(max(backlog, minRetryAfter), maxRetryAfter)
}

// makeRoom sheds queued requests until the given one fits; false when the given one has
// to be refused.
func (s *Scheduler) makeRoom(request *Request) ([]Rejected, bool) {
	var shed []Rejected
	for s.queue.exceedsLimits(s.limits, request.Size) {
		victim := s.queue.victim(request, s.limits)
		if victim == nil {
			return shed, false
		}
		s.queue.remove(victim)
		shed = append(shed, Rejected{victim, RejectedShed, s.retryAfter(victim.Class)})
	}
	return shed, true
}

// Withdraw removes a request from the queue; false when it is not queued.
func (s *Scheduler) Withdraw(request *Request) bool {
	return s.queue.remove(request)
}

// Next chooses a queued request and a backend server for it and counts it as running
// there; nil when there is none. It also returns the requests that it dropped because
// they ran out of time.
func (s *Scheduler) Next(now time.Time) (*Request, *Server, []Rejected) {
	var late []Rejected
	for _, c := range s.queue.classOrder(s.running, s.limits.MinSharePercent) {
		late = append(late, s.dropLate(c, now)...)
		request := s.queue.peek(c)
		if request == nil {
			continue
		}
		b := s.choose(request, nil, now)
		if b == nil {
			continue
		}
		s.queue.pop(c)
		s.running[c]++
		if request.sends == 0 {
			s.retries.creditFirstSend(s.limits.RetryPercent, now)
		}
		request.sends++
		return request, b, late
	}
	return nil, nil, late
}

// dropLate drops requests from the head of a class that are stale or cannot be answered
// in time.
func (s *Scheduler) dropLate(c model.Class, now time.Time) []Rejected {
	var late []Rejected
	for {
		request := s.queue.peek(c)
		if request == nil {
			return late
		}
		times := s.serviceTimes(request.Kind)
		need := time.Duration(0)
		if times.hasEstimate() {
			need = times.p50 / 2
		}
		if now.Add(need).Before(request.Deadline) && !s.stale(request, now) {
			return late
		}
		s.queue.remove(request)
		late = append(late, Rejected{request, RejectedLate, s.retryAfter(c)})
	}
}

// choose picks a backend server: first of the own availability zone, then of the own
// region. Other regions are used within their byte budget, when no server of the own
// region takes work or the request has waited long enough. Last, a server of the own
// region whose report of no free slot is stale is probed within the retry budget.
// except, which may be nil, is not chosen.
func (s *Scheduler) choose(request *Request, except *Server, now time.Time) *Server {
	spare := s.slotsToSpare(request.Class, now)
	for _, t := range []Tier{TierZone, TierRegion} {
		if b := s.pool.pick(t, spare, except, now); b != nil {
			return b
		}
	}
	if s.mayUseRemote(request, now) {
		if b := s.pool.pick(TierRemote, spare, except, now); b != nil {
			s.chargeCrossRegion(request.Size, now)
			return b
		}
	}
	return s.probeStale(except, now)
}

// slotsToSpare returns how many free slots of each server a class leaves for other
// classes. The least urgent class leaves one while more urgent work arrives.
func (s *Scheduler) slotsToSpare(c model.Class, now time.Time) int {
	if c != model.ClassBatch || now.Sub(s.lastUrgentArrival) > spareSlotsFor {
		return 0
	}
	return 1
}

func (s *Scheduler) probeStale(except *Server, now time.Time) *Server {
	b := s.pool.pickStale(except, now)
	if b == nil || !s.retries.takeRetry(now) {
		return nil
	}
	s.pool.start(b)
	return b
}

func (s *Scheduler) mayUseRemote(request *Request, now time.Time) bool {
	nearServes := s.pool.hasAcceptingServer(TierZone, now) || s.pool.hasAcceptingServer(TierRegion, now)
	nearWait := request.Deadline.Sub(request.ArrivedAt) / remoteWaitDivisor
	if nearServes && now.Sub(request.ArrivedAt) < nearWait {
		return false
	}
	rate := float64(s.limits.CrossRegionRate)
	s.crossRegion.fill(rate, rate, now)
	return s.crossRegion.tokens > 0
}

// chargeCrossRegion takes bytes from the budget for other regions, which may become
// negative.
func (s *Scheduler) chargeCrossRegion(bytes int64, now time.Time) {
	rate := float64(s.limits.CrossRegionRate)
	s.crossRegion.fill(rate, rate, now)
	s.crossRegion.tokens -= float64(bytes)
}

// MarkStopped counts a request as no longer running.
func (s *Scheduler) MarkStopped(request *Request) { s.running[request.Class]-- }

// Requeue puts a running request that has no outcome yet back into the queue. Its next
// send counts against the retry budget. The budget limits only hedges and sends that
// are likely to be refused (see choose), so it does not delay a send to a server with a
// free slot.
func (s *Scheduler) Requeue(request *Request, now time.Time) {
	s.MarkStopped(request)
	s.retries.takeRetry(now)
	s.queue.pushFront(request)
}

// Hedge chooses a backend server other than first for a second send of a running
// request, within the retry budget; nil when there is none.
func (s *Scheduler) Hedge(request *Request, first *Server, now time.Time) *Server {
	if !s.retries.takeRetry(now) {
		return nil
	}
	return s.choose(request, first, now)
}

// TotalQueued returns the number of queued requests of all classes.
func (s *Scheduler) TotalQueued() int { return s.queue.requests }

// Queued returns the number of queued requests of a class.
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
