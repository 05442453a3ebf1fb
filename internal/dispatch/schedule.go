package dispatch

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch/schedule"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// wakeEvery is the pause after which a queue that could not be served is tried again.
const wakeEvery = 10 * time.Millisecond

// admit queues an item, or finishes it when it is refused.
func (d *Dispatcher) admit(it *item) {
	d.mu.Lock()
	now := time.Now()
	d.refresh(now)
	d.open[&it.Request] = it
	d.reject(d.scheduler.Enqueue(&it.Request, now))
	d.mu.Unlock()
	d.pump()
}

// reject finishes the requests that the scheduler gave up. The lock is held.
func (d *Dispatcher) reject(list []schedule.Rejected) {
	for _, r := range list {
		it := d.open[r.Request]
		d.closeItem(it)
		d.metrics.shed.Inc(1)
		d.conclude(it, it.notExecuted(NotRunProof{
			kind:       proofNeverSent,
			reason:     rejectionReason(r.Cause),
			retryAfter: r.RetryAfter,
		}))
	}
}

func rejectionReason(r schedule.Rejection) model.Reason {
	switch r {
	case schedule.RejectedDeadline:
		return ReasonDeadlineUnmeetable
	case schedule.RejectedFull:
		return ReasonQueueFull
	case schedule.RejectedShed:
		return ReasonShed
	default:
		return ReasonDeadlineQueued
	}
}

// closeItem takes an item from the open ones. The lock is held.
func (d *Dispatcher) closeItem(it *item) {
	delete(d.open, &it.Request)
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
	if !d.scheduler.Withdraw(&it.Request) {
		return false
	}
	d.closeItem(it)
	return true
}

// refresh applies a new view. The lock is held.
func (d *Dispatcher) refresh(now time.Time) {
	v := d.ports.View()
	if v == nil || v == d.view {
		return
	}
	d.view = v
	d.scheduler.Update(fleetOf(v), now)
	d.noteLeaving(v, now)
}

// leavingGrace is how long after the view shows a backend server leaving a send to
// it is a broken promise.
const leavingGrace = 3 * time.Second

func (d *Dispatcher) noteLeaving(v *View, now time.Time) {
	leaving := map[string]time.Time{}
	for _, b := range v.Backends {
		if !b.Leaving {
			continue
		}
		leaving[b.Server.Address] = now
		if since, known := d.leaving[b.Server.Address]; known {
			leaving[b.Server.Address] = since
		}
	}
	d.leaving = leaving
}

// checkLeaving asserts that a backend server that is about to get a request is not
// known to leave. The lock is held.
func (d *Dispatcher) checkLeaving(it *item, address string, now time.Time) {
	since, leaving := d.leaving[address]
	if leaving && now.Sub(since) > leavingGrace {
		d.violated(invariant.NoNewWorkOnLeaving, it.request.ID, "sent to "+address)
	}
}

func fleetOf(v *View) schedule.Fleet {
	f := schedule.Fleet{VMs: 1}
	if v.Config != nil {
		f.Limits = v.Config.Limits
	}
	for _, b := range v.Backends {
		f.Servers = append(f.Servers, schedule.FleetServer{
			BackendServer: b.Server,
			Tier:          tierOf(v, b.Server),
			Usable:        b.Live && !b.Leaving && !b.Quarantined,
			FreeSlots:     b.FreeSlots,
		})
	}
	for _, p := range v.Peers {
		if p.Alive && !p.Leaving && p.AZ == v.AZ {
			f.VMs++
		}
	}
	return f
}

func tierOf(v *View, s model.BackendServer) schedule.Tier {
	switch {
	case s.AZ == v.AZ:
		return schedule.TierZone
	case s.Region == v.Region:
		return schedule.TierRegion
	default:
		return schedule.TierRemote
	}
}

// pump starts queued requests while backend servers have room for them.
func (d *Dispatcher) pump() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.refresh(now)
	for {
		x, b, late := d.scheduler.Next(now)
		d.reject(late)
		if x == nil {
			break
		}
		it := d.open[x]
		d.checkLeaving(it, b.Address(), now)
		go d.execute(it, b)
	}
	d.scheduleWake()
}

// scheduleWake makes sure that a queue that waits for room is looked at again.
func (d *Dispatcher) scheduleWake() {
	if d.waking || d.scheduler.TotalQueued() == 0 || d.base.Err() != nil {
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

// stopped counts an item out of the running ones and the open ones.
func (d *Dispatcher) stopped(it *item) {
	d.mu.Lock()
	d.scheduler.MarkStopped(&it.Request)
	d.closeItem(it)
	d.mu.Unlock()
	d.pump()
}

// again puts an item that was not executed back into the queue.
func (d *Dispatcher) again(it *item) {
	if it.ctx.Err() != nil {
		d.conclude(it, it.notExecuted(NotRunProof{kind: proofRefused, reason: it.refusal}))
		d.stopped(it)
		return
	}
	d.mu.Lock()
	d.metrics.retries.Inc(1)
	d.scheduler.Requeue(&it.Request, time.Now())
	d.mu.Unlock()
	d.pump()
}

// release counts an exchange out and notes what it taught.
func (d *Dispatcher) release(b *schedule.Server, it *item, r schedule.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.scheduler.RecordSend(&it.Request, b, r, time.Now()) {
		d.metrics.ejections.Inc(1)
	}
}

func reportOf(res exchangeResult, ctxErr error, took time.Duration) schedule.Report {
	switch res.end {
	case endAnswered:
		return answerReport(res, took)
	case endRefused:
		return refusalReport(res.answer.Refused)
	case endUnsent, endInDoubt:
		if ctxErr != nil && !res.silent {
			return schedule.Report{End: schedule.EndAbandoned}
		}
		return schedule.Report{End: schedule.EndUnreachable}
	default:
		return schedule.Report{End: schedule.EndNeutral}
	}
}

func answerReport(res exchangeResult, took time.Duration) schedule.Report {
	r := schedule.Report{
		End:       schedule.EndDone,
		FreeSlots: res.answer.FreeSlots,
		Bytes:     int64(len(res.answer.Body)),
	}
	if res.answer.State == ports.ExecutionFailed {
		r.End = schedule.EndFailed
	}
	if res.direct {
		r.ServiceTime = took
	}
	return r
}

func refusalReport(r ports.Refusal) schedule.Report {
	if r == ports.RefusedLeaving {
		return schedule.Report{End: schedule.EndLeaving}
	}
	return schedule.Report{End: schedule.EndNoSlot}
}
