package dispatch

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch/schedule"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/ticket"
)

// resolveAfterDeadline is how long after its deadline the outcome of a ticketed request
// is still looked up, so that a retry learns it.
const resolveAfterDeadline = time.Minute

// doTicketed runs a request with a ticket at most once: on this VM when it arbitrates
// the ticket, else on the VM that does.
func (d *Dispatcher) doTicketed(ctx context.Context, v *View, r Request) Result {
	t, err := ticket.Parse(r.Ticket)
	if err != nil {
		return notRunResult(r.ID, NotRunProof{kind: proofUnusable, reason: ReasonBadTicket})
	}
	if r.Deadline.IsZero() {
		kind, _ := v.kind(r.Kind)
		r.Deadline = time.Now().Add(kindDeadline(kind))
	}
	binding := ticket.Bind(r.Kind, r.Organisation, r.Caller, r.Body)
	verdict, entry := d.registry.Use(t, r.ID, binding, time.Now())
	switch verdict {
	case ticket.Run:
		return d.runTicketed(ctx, v, r, t, entry)
	case ticket.Wait, ticket.AskBackend:
		return d.awaitSettled(ctx, r, t, entry)
	case ticket.Answered:
		return resultOfAnswer(r.ID, *entry.Answer)
	case ticket.BodyDropped:
		return d.fetchBody(ctx, r.ID, entry)
	case ticket.NotArbiter, ticket.HandedOver:
		return d.forwardTicketed(ctx, v, r, t)
	default:
		return refusedUseResult(r.ID, verdict)
	}
}

// refusedUseResult returns the outcome of a use of a ticket that the arbiter refused.
func refusedUseResult(id model.RequestID, v ticket.Verdict) Result {
	switch v {
	case ticket.ExpiredUnused:
		return notRunResult(id, NotRunProof{kind: proofExpiredUnused, reason: ReasonTicketExpired})
	case ticket.Mismatch:
		return notRunResult(id, NotRunProof{kind: proofNeverSent, reason: ReasonTicketReused})
	case ticket.Full:
		return notRunResult(id, NotRunProof{kind: proofNeverSent, reason: ReasonTicketMemoryFull, retryAfter: time.Second})
	default:
		return unknownResult(id, ReasonTicketForgotten)
	}
}

// runTicketed runs the first use of a ticket. The request continues when the caller
// leaves, so that a retry finds the outcome.
func (d *Dispatcher) runTicketed(ctx context.Context, v *View, r Request, t ticket.Ticket, e ticket.Entry) Result {
	kind, known := v.kind(r.Kind)
	r.ID = e.Request
	detached := trace.ContextWithSpan(d.base, trace.SpanFromContext(ctx))
	it := d.newItem(detached, v, r, kind, &t)
	if !known {
		d.conclude(it, notRunResult(r.ID, NotRunProof{kind: proofNeverSent, reason: ReasonUnknownKind}))
		return <-it.done
	}
	d.admit(it)
	outcome := make(chan Result, 1)
	go func() { outcome <- d.awaitTicketed(it) }()
	select {
	case res := <-outcome:
		return res
	case <-ctx.Done():
		return unknownResult(r.ID, ReasonInFlight)
	}
}

// awaitTicketed waits for the result of an item and finishes the item itself when its
// deadline passes in the queue.
func (d *Dispatcher) awaitTicketed(it *item) Result {
	select {
	case res := <-it.done:
		return res
	case <-it.ctx.Done():
	}
	if d.withdraw(it) {
		d.conclude(it, it.resultWithoutAnswer(NotRunProof{kind: proofNeverSent, reason: ReasonDeadlineQueued}))
	}
	return <-it.done
}

// executeTicketed sends the request to one server. It is sent to another one only when
// this one certainly did not execute it; when the answer is missing, the outcome is only
// looked up.
func (d *Dispatcher) executeTicketed(it *item, b *schedule.Server) {
	if !d.registry.BeginSend(*it.ticket, b.Address()) {
		d.recordSend(b, it, schedule.Report{End: schedule.EndNeutral})
		d.markStopped(it)
		d.forwardItem(it)
		return
	}
	ctx, cancel := context.WithDeadline(d.base, it.Deadline.Add(resolveAfterDeadline))
	defer cancel()
	stopDeadlineWatch := context.AfterFunc(it.ctx, func() { d.finishAtDeadline(it) })
	res := d.runExchange(ctx, it, b, executionID(it.request.ID, it.ticket.ID))
	stopDeadlineWatch()
	switch res.end {
	case endAnswered:
		d.finishAnswered(it, res)
	case endRefused, endUnsent:
		d.registry.MarkUnsent(*it.ticket)
		d.recordFailure(it, res)
		d.requeue(it)
	case endNeverSeen:
		d.conclude(it, notRunResult(it.request.ID, NotRunProof{kind: proofNeverSeen, reason: ReasonNeverSeen}))
		d.removeRunning(it)
	default:
		d.registry.MarkInDoubt(*it.ticket)
		it.finish(unknownResult(it.request.ID, ReasonInDoubt))
		d.removeRunning(it)
	}
}

func (d *Dispatcher) markStopped(it *item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.MarkStopped(&it.Request)
}

// finishAtDeadline finishes an item whose deadline passed during its exchange. The
// exchange continues, so that a retry learns the outcome.
func (d *Dispatcher) finishAtDeadline(it *item) {
	it.finish(unknownResult(it.request.ID, ReasonInDoubt))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeItemLocked(it)
}

// settle records an outcome in the registry and returns the recorded one, which may be
// an earlier one.
func (d *Dispatcher) settle(it *item, r Result) Result {
	if r.Outcome == model.OutcomeUnknown {
		return r
	}
	a, ok := d.registry.Settle(*it.ticket, answerOf(r))
	if !ok {
		return unknownResult(it.request.ID, ReasonDraining)
	}
	d.checkSettled(it.request.ID, a.Outcome, r.Outcome)
	return resultOfAnswer(it.request.ID, a)
}

// checkSettled reports a violation if a ticket has two different outcomes. before is the
// settled one.
func (d *Dispatcher) checkSettled(id model.RequestID, before, now model.Outcome) {
	detail := "settled as " + string(before) + ", then found " + string(now)
	switch {
	case before == now:
	case before == model.OutcomeNotRun:
		d.reportViolation(invariant.NotRunIsTrue, id, detail)
	default:
		d.reportViolation(invariant.AtMostOnce, id, detail)
	}
}

func answerOf(r Result) ticket.Answer {
	return ticket.Answer{
		Outcome:    r.Outcome,
		Reason:     r.Reason,
		Body:       r.Body,
		Digest:     r.Digest,
		RetryAfter: r.RetryAfter,
	}
}

// resultOfAnswer returns the result of a settled outcome. A settled `not run` was proved
// when it was settled, by this VM or by the one that handed the ticket over.
func resultOfAnswer(id model.RequestID, a ticket.Answer) Result {
	if a.Outcome == model.OutcomeNotRun {
		return notRunResult(id, NotRunProof{kind: proofSettled, reason: a.Reason, retryAfter: a.RetryAfter})
	}
	return Result{Request: id, Outcome: a.Outcome, Reason: a.Reason, Body: a.Body, Digest: a.Digest, RetryAfter: a.RetryAfter}
}

// awaitSettled waits for the outcome of a use that is in flight on this VM. If none is,
// it asks the backend server that got the request.
func (d *Dispatcher) awaitSettled(ctx context.Context, r Request, t ticket.Ticket, e ticket.Entry) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-e.Settled:
	case <-ctx.Done():
		return unknownResult(r.ID, ReasonInFlight)
	case <-d.base.Done():
		return unknownResult(r.ID, ReasonDraining)
	}
	verdict, entry := d.registry.Lookup(t, time.Now())
	switch verdict {
	case ticket.Answered:
		return resultOfAnswer(r.ID, *entry.Answer)
	case ticket.BodyDropped:
		return d.fetchBody(ctx, r.ID, entry)
	case ticket.AskBackend:
		return d.resolveInDoubt(ctx, r.ID, t, entry)
	default:
		return unknownResult(r.ID, ReasonInFlight)
	}
}

// resolveInDoubt looks up the outcome of a request in doubt until it is certain or ctx
// ends.
func (d *Dispatcher) resolveInDoubt(ctx context.Context, id model.RequestID, t ticket.Ticket, e ticket.Entry) Result {
	for {
		res, ok := d.lookupExecution(ctx, id, t, e)
		if ok {
			a, _ := d.registry.Settle(t, answerOf(res))
			d.checkSettled(id, a.Outcome, res.Outcome)
			return resultOfAnswer(id, a)
		}
		select {
		case <-ctx.Done():
			return unknownResult(id, ReasonInDoubt)
		case <-time.After(lookupInterval):
		}
	}
}

// lookupExecution asks the backend server once; ok is false when the outcome is still
// unknown.
func (d *Dispatcher) lookupExecution(ctx context.Context, id model.RequestID, t ticket.Ticket, e ticket.Entry) (Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	execution := ports.Execution{Request: executionID(e.Request, t.ID)}
	a, err := d.ports.Dialer.Backend(e.Backend).Lookup(ctx, execution.Request)
	switch {
	case errors.Is(err, ports.ErrNotFound):
		return notRunResult(id, NotRunProof{kind: proofNeverSeen, reason: ReasonNeverSeen}), true
	case err != nil || !isComplete(a, execution):
		return Result{}, false
	case a.State == ports.ExecutionRefused:
		return notRunResult(id, NotRunProof{kind: proofRefused, reason: ReasonRefused}), true
	case a.State == ports.ExecutionRunning:
		return Result{}, false
	default:
		return resultOfExecution(id, a), true
	}
}

// fetchBody asks the backend server for an answer whose body this VM no longer keeps.
func (d *Dispatcher) fetchBody(ctx context.Context, id model.RequestID, e ticket.Entry) Result {
	t, err := ticket.Parse(e.Ticket)
	if err != nil || e.Backend == "" {
		return unknownResult(id, ReasonBodyDropped)
	}
	res, ok := d.lookupExecution(ctx, id, t, e)
	if !ok || res.Outcome != model.OutcomeDone || res.Digest != e.Answer.Digest {
		return unknownResult(id, ReasonBodyDropped)
	}
	return res
}
