package dispatch

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// wakeEvery is the pause after which a queue that could not be served is tried again.
	wakeEvery = 10 * time.Millisecond
	// retryAfterMin and retryAfterMax bound the advice to a refused caller.
	retryAfterMin = 100 * time.Millisecond
	retryAfterMax = 30 * time.Second
	// farWaitShare is the part of a request's time, as a divisor, that it waits for a
	// near backend server before another region is tried.
	farWaitShare = 4
)

// admit queues an item, or finishes it when it is refused.
func (d *Dispatcher) admit(it *item) {
	if r := d.enqueue(it); r != nil {
		d.metrics.shed.Inc(1)
		it.finish(*r)
		return
	}
	d.pump()
}

func (d *Dispatcher) enqueue(it *item) *Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.refresh(now)
	it.cost = d.serviceTimes(it.kind.Name).cost()
	if proof, refuse := d.tooLate(it, now); refuse {
		r := notRun(it.request.ID, proof)
		return &r
	}
	if !d.makeRoom(it) {
		p := NotRunProof{kind: proofNeverSent, reason: ReasonQueueFull, retryAfter: d.retryAfter(it.class)}
		r := notRun(it.request.ID, p)
		return &r
	}
	d.open[it] = struct{}{}
	d.queue.push(&it.queued, it.weight)
	return nil
}

// tooLate refuses a request that, by measured times, cannot be answered before its deadline.
func (d *Dispatcher) tooLate(it *item, now time.Time) (NotRunProof, bool) {
	times := d.serviceTimes(it.kind.Name)
	if !times.known() {
		return NotRunProof{}, false
	}
	wait := time.Duration(0)
	if d.queue.classes[it.class].requests > 0 {
		wait = d.queue.wait(it.class, it.flow, it.weight, it.cost, d.load())
	}
	if now.Add(wait + times.p50).Before(it.deadline) {
		return NotRunProof{}, false
	}
	return NotRunProof{kind: proofNeverSent, reason: ReasonDeadlineEarly, retryAfter: d.retryAfter(it.class)}, true
}

func (d *Dispatcher) load() load {
	return load{running: d.running, capacity: d.pool.capacity(), share: d.limits.MinSharePercent}
}

func (d *Dispatcher) retryAfter(c model.Class) time.Duration {
	backlog := d.queue.backlog(c, d.load())
	return min(max(backlog, retryAfterMin), retryAfterMax)
}

// makeRoom sheds queued requests until it fits; false when it has to be refused.
func (d *Dispatcher) makeRoom(it *item) bool {
	for d.queue.full(d.limits, it.size) {
		victim := d.queue.victim(it.class, it.flow, d.limits)
		if victim == nil {
			return false
		}
		d.queue.remove(victim)
		d.metrics.shed.Inc(1)
		p := NotRunProof{kind: proofNeverSent, reason: ReasonShed, retryAfter: d.retryAfter(victim.class)}
		d.drop(victim.item, p)
	}
	return true
}

// drop finishes an item that left the queue without being sent. The lock is held.
func (d *Dispatcher) drop(it *item, p NotRunProof) {
	d.closeItem(it)
	d.conclude(it, it.notExecuted(p))
}

// closeItem takes an item from the open ones. The lock is held.
func (d *Dispatcher) closeItem(it *item) {
	delete(d.open, it)
	if len(d.open) > 0 {
		return
	}
	select {
	case d.idle <- struct{}{}:
	default:
	}
}

// withdraw takes an item out of the queue; false when it is being executed or done.
func (d *Dispatcher) withdraw(it *item) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.queue.remove(&it.queued) && !d.unpark(it) {
		return false
	}
	d.closeItem(it)
	return true
}

func (d *Dispatcher) unpark(it *item) bool {
	for i, other := range d.parked {
		if other == it {
			d.parked = append(d.parked[:i], d.parked[i+1:]...)
			return true
		}
	}
	return false
}

// refresh applies a new view. The lock is held.
func (d *Dispatcher) refresh(now time.Time) {
	v := d.ports.View()
	if v == nil || v == d.view {
		return
	}
	d.view = v
	d.limits = v.limits()
	d.pool.update(v, now)
}

// pump starts queued requests while backend servers have room for them.
func (d *Dispatcher) pump() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.refresh(now)
	d.resumeParked(now)
	for {
		it, b := d.next(now)
		if it == nil {
			break
		}
		d.start(it, b, now)
	}
	d.scheduleWake()
}

func (d *Dispatcher) resumeParked(now time.Time) {
	for len(d.parked) > 0 && d.retries.take(now) {
		it := d.parked[0]
		d.parked = d.parked[1:]
		d.queue.pushFront(&it.queued, it.weight)
	}
}

// scheduleWake makes sure that a queue that waits for room is looked at again.
func (d *Dispatcher) scheduleWake() {
	if d.waking || (d.queue.requests == 0 && len(d.parked) == 0) || d.base.Err() != nil {
		return
	}
	d.waking = true
	time.AfterFunc(wakeEvery, func() {
		d.mu.Lock()
		d.waking = false
		d.mu.Unlock()
		d.pump()
	})
}

// next chooses a request and its backend server and takes it from the queue.
func (d *Dispatcher) next(now time.Time) (*item, *backend) {
	for _, c := range d.queue.order(d.running, d.limits.MinSharePercent) {
		d.dropLate(c, now)
		x := d.queue.peek(c)
		if x == nil {
			continue
		}
		if b := d.choose(x.item, now); b != nil {
			d.queue.pop(c)
			return x.item, b
		}
	}
	return nil, nil
}

// dropLate drops the requests at the head of a class that cannot be answered in time.
func (d *Dispatcher) dropLate(c model.Class, now time.Time) {
	for {
		x := d.queue.peek(c)
		if x == nil {
			return
		}
		times := d.serviceTimes(x.item.kind.Name)
		need := time.Duration(0)
		if times.known() {
			need = times.p50 / 2
		}
		if now.Add(need).Before(x.deadline) {
			return
		}
		d.queue.remove(x)
		p := NotRunProof{kind: proofNeverSent, reason: ReasonDeadlineQueued, retryAfter: d.retryAfter(c)}
		d.drop(x.item, p)
	}
}

// choose picks a backend server: own availability zone, own region, and others
// under the byte budget when the near ones serve nobody or kept the request waiting.
func (d *Dispatcher) choose(it *item, now time.Time) *backend {
	for _, t := range []tier{tierZone, tierRegion} {
		if b := d.pool.pick(t, it.avoid, now); b != nil {
			return b
		}
	}
	if !d.mayCross(it, now) {
		return nil
	}
	b := d.pool.pick(tierFar, it.avoid, now)
	if b != nil {
		d.charge(it.size, now)
	}
	return b
}

func (d *Dispatcher) mayCross(it *item, now time.Time) bool {
	near := d.pool.serving(tierZone, now) || d.pool.serving(tierRegion, now)
	patience := it.deadline.Sub(it.since) / farWaitShare
	if near && now.Sub(it.since) < patience {
		return false
	}
	rate := float64(d.limits.CrossRegionRate)
	d.crossing.fill(rate, rate, now)
	return d.crossing.tokens > 0
}

// charge takes bytes from the budget of other regions, which may go into debt.
func (d *Dispatcher) charge(bytes int64, now time.Time) {
	rate := float64(d.limits.CrossRegionRate)
	d.crossing.fill(rate, rate, now)
	d.crossing.tokens -= float64(bytes)
}

func (d *Dispatcher) start(it *item, b *backend, now time.Time) {
	d.running[it.class]++
	if it.sends == 0 {
		d.retries.sent(d.limits.RetryPercent, now)
	}
	it.sends++
	go d.execute(it, b)
}

// stopped counts an item out of the running ones and the open ones.
func (d *Dispatcher) stopped(it *item) {
	d.uncount(it)
	d.closeGiven(it)
	d.pump()
}

func (d *Dispatcher) uncount(it *item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[it.class]--
}

// again puts an item that was not executed back into the queue. It waits for the
// retry budget when that is spent.
func (d *Dispatcher) again(it *item) {
	d.mu.Lock()
	now := time.Now()
	d.running[it.class]--
	d.metrics.retries.Inc(1)
	switch {
	case it.ctx.Err() != nil:
		d.closeItem(it)
		d.mu.Unlock()
		d.conclude(it, it.notExecuted(NotRunProof{kind: proofRefused, reason: it.refusal}))
		return
	case d.retries.take(now):
		d.queue.pushFront(&it.queued, it.weight)
	default:
		d.parked = append(d.parked, it)
	}
	d.mu.Unlock()
	d.pump()
}

func (d *Dispatcher) serviceTimes(kind string) *serviceTimes {
	s := d.times[kind]
	if s == nil {
		s = &serviceTimes{}
		d.times[kind] = s
	}
	return s
}

// release counts an exchange out and notes what it taught.
func (d *Dispatcher) release(b *backend, it *item, res exchangeResult, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch res.end {
	case endAnswered:
		d.pool.end(b, res.answer.FreeSlots, now)
		d.noteAnswer(b, it, res, took, now)
	case endRefused:
		d.pool.end(b, noReport, now)
		d.noteRefusal(b, res, now)
	case endUnsent, endInDoubt:
		d.pool.end(b, noReport, now)
		if it.ctx.Err() != context.Canceled {
			d.noteUnreachable(b, now)
		}
	default:
		d.pool.end(b, noReport, now)
	}
}
