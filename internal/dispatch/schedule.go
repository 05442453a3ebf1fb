package dispatch

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch/schedule"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// wakeDelay is the pause before startQueued is tried again while requests stay queued.
const wakeDelay = 10 * time.Millisecond

// admit queues an item, or finishes it when the scheduler rejects it.
func (d *Dispatcher) admit(it *item) {
	d.mu.Lock()
	now := time.Now()
	d.applyView(now)
	d.openItems[&it.Request] = it
	d.finishRejected(d.scheduler.Enqueue(&it.Request, now))
	d.mu.Unlock()
	d.startQueued()
}

// finishRejected finishes requests that the scheduler rejected. The caller holds d.mu.
func (d *Dispatcher) finishRejected(list []schedule.Rejected) {
	for _, r := range list {
		it := d.openItems[r.Request]
		d.closeItemLocked(it)
		d.metrics.shed.Inc(1)
		d.conclude(it, it.resultWithoutAnswer(NotRunProof{
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

// closeItemLocked removes an item from the open ones. The caller holds d.mu.
func (d *Dispatcher) closeItemLocked(it *item) {
	delete(d.openItems, &it.Request)
	if len(d.openItems) > 0 {
		return
	}
	select {
	case d.idle <- struct{}{}:
	default:
	}
}

// withdraw removes an item from the queue; false when it is being executed or done.
func (d *Dispatcher) withdraw(it *item) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.scheduler.Withdraw(&it.Request) {
		return false
	}
	d.closeItemLocked(it)
	return true
}

// applyView applies the current view if it is new. The caller holds d.mu.
func (d *Dispatcher) applyView(now time.Time) {
	v := d.ports.View()
	if v == nil || v == d.view {
		return
	}
	d.view = v
	d.scheduler.Update(fleetFromView(v), now)
	d.trackLeaving(v, now)
}

// leavingGrace is how long the view may show a backend server as leaving before a send
// to it violates the invariant NoNewWorkOnLeaving.
const leavingGrace = 3 * time.Second

func (d *Dispatcher) trackLeaving(v *View, now time.Time) {
	leaving := map[string]time.Time{}
	for _, b := range v.Backends {
		if !b.Leaving {
			continue
		}
		leaving[b.Server.Address] = now
		if since, known := d.leavingSince[b.Server.Address]; known {
			leaving[b.Server.Address] = since
		}
	}
	d.leavingSince = leaving
}

// checkLeaving reports a violation if the backend server that is about to get a request
// has been shown as leaving for longer than leavingGrace. The caller holds d.mu.
func (d *Dispatcher) checkLeaving(it *item, address string, now time.Time) {
	since, leaving := d.leavingSince[address]
	if leaving && now.Sub(since) > leavingGrace {
		d.reportViolation(invariant.NoNewWorkOnLeaving, it.request.ID, "sent to "+address)
	}
}

func fleetFromView(v *View) schedule.Fleet {
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

// startQueued starts queued requests as long as backend servers have room for them.
func (d *Dispatcher) startQueued() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.applyView(now)
	for {
		next, b, late := d.scheduler.Next(now)
		d.finishRejected(late)
		if next == nil {
			break
		}
		it := d.openItems[next]
		d.checkLeaving(it, b.Address(), now)
		go d.execute(it, b)
	}
	d.scheduleWake()
}

// scheduleWake schedules another startQueued while requests are queued.
func (d *Dispatcher) scheduleWake() {
	if d.wakeScheduled || d.scheduler.TotalQueued() == 0 || d.base.Err() != nil {
		return
	}
	d.wakeScheduled = true
	time.AfterFunc(wakeDelay, func() {
		d.mu.Lock()
		d.wakeScheduled = false
		d.mu.Unlock()
		d.startQueued()
	})
}

// removeRunning removes an item from the running and the open ones.
func (d *Dispatcher) removeRunning(it *item) {
	d.mu.Lock()
	d.scheduler.MarkStopped(&it.Request)
	d.closeItemLocked(it)
	d.mu.Unlock()
	d.startQueued()
}

// requeue puts an item that was sent and has no outcome yet back into the queue, or
// finishes it when its context has ended.
func (d *Dispatcher) requeue(it *item) {
	if it.ctx.Err() != nil {
		d.conclude(it, it.resultWithoutAnswer(NotRunProof{kind: proofRefused, reason: it.refusal}))
		d.removeRunning(it)
		return
	}
	d.mu.Lock()
	d.metrics.retries.Inc(1)
	d.scheduler.Requeue(&it.Request, time.Now())
	d.mu.Unlock()
	d.startQueued()
}

// recordSend tells the scheduler how an exchange ended. The scheduler then no longer
// counts it as in flight on the server.
func (d *Dispatcher) recordSend(b *schedule.Server, it *item, r schedule.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.scheduler.RecordSend(&it.Request, b, r, time.Now()) {
		d.metrics.ejections.Inc(1)
	}
}

func sendReport(res exchangeResult, ctxErr error, took time.Duration) schedule.Report {
	switch res.end {
	case endAnswered:
		return answerReport(res, took)
	case endRefused:
		return refusalReport(res.answer.Refused)
	case endUnsent, endInDoubt:
		if ctxErr != nil && !res.pathFailed {
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
	if res.firstConnection {
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
