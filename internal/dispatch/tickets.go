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

// resolveFor is how long the outcome of a ticketed request is looked up after its
// deadline, so that a retry learns it.
const resolveFor = time.Minute

// doTicketed runs a request at most once: here when this VM arbitrates its
// ticket, else at the VM that does.
func (d *Dispatcher) doTicketed(ctx context.Context, v *View, r Request) Result {
	t, err := ticket.Parse(r.Ticket)
	if err != nil {
		return notRun(r.ID, NotRunProof{kind: proofUnusable, reason: ReasonBadTicket})
	}
	if r.Deadline.IsZero() {
		kind, _ := v.kind(r.Kind)
		r.Deadline = time.Now().Add(kindDeadline(kind))
	}
	binding := ticket.Bind(r.Kind, r.Organisation, r.Caller, r.Body)
	verdict, entry := d.book.Use(t, r.ID, binding, time.Now())
	switch verdict {
	case ticket.Run:
		return d.runTicketed(ctx, v, r, t, entry)
	case ticket.Wait, ticket.AskBackend:
		return d.awaitTicket(ctx, r, t, entry)
	case ticket.Answered:
		return resultOfAnswer(r.ID, *entry.Answer)
	case ticket.BodyDropped:
		return d.fetchBody(ctx, r.ID, entry)
	case ticket.NotArbiter, ticket.HandedOver:
		return d.forwardTicketed(ctx, v, r, t)
	default:
		return refusedUse(r.ID, verdict)
	}
}

// refusedUse returns the outcome of a use of a ticket that its arbiter refuses.
func refusedUse(id model.RequestID, v ticket.Verdict) Result {
	switch v {
	case ticket.ExpiredUnused:
		return notRun(id, NotRunProof{kind: proofExpiredUnused, reason: ReasonTicketExpired})
	case ticket.Mismatch:
		return notRun(id, NotRunProof{kind: proofNeverSent, reason: ReasonTicketReused})
	case ticket.Full:
		return notRun(id, NotRunProof{kind: proofNeverSent, reason: ReasonTicketMemoryFull, retryAfter: time.Second})
	default:
		return unknown(id, ReasonTicketForgotten)
	}
}

// runTicketed runs the first use of a ticket. It goes on when the caller leaves, so
// that a retry finds the outcome.
func (d *Dispatcher) runTicketed(ctx context.Context, v *View, r Request, t ticket.Ticket, e ticket.Entry) Result {
	kind, known := v.kind(r.Kind)
	r.ID = e.Request
	detached := trace.ContextWithSpan(d.base, trace.SpanFromContext(ctx))
	it := d.newItem(detached, v, r, kind, &t)
	if !known {
		d.conclude(it, notRun(r.ID, NotRunProof{kind: proofNeverSent, reason: ReasonUnknownKind}))
		return <-it.done
	}
	d.admit(it)
	outcome := make(chan Result, 1)
	go func() { outcome <- d.superviseTicketed(it) }()
	select {
	case res := <-outcome:
		return res
	case <-ctx.Done():
		return unknown(r.ID, ReasonInFlight)
	}
}

// superviseTicketed ends an item whose deadline passes in the queue.
func (d *Dispatcher) superviseTicketed(it *item) Result {
	select {
	case res := <-it.done:
		return res
	case <-it.ctx.Done():
	}
	if d.withdraw(it) {
		d.conclude(it, it.notExecuted(NotRunProof{kind: proofNeverSent, reason: ReasonDeadlineQueued}))
	}
	return <-it.done
}

// executeTicketed sends the request once. A server that certainly did not execute
// it lets it be sent to another; after silence it is only looked up.
func (d *Dispatcher) executeTicketed(it *item, b *schedule.Server) {
	if !d.book.BeginSend(*it.ticket, b.Address()) {
		d.release(b, it, schedule.Report{End: schedule.EndNeutral})
		d.uncount(it)
		d.giveAway(it)
		return
	}
	ctx, cancel := context.WithDeadline(d.base, it.Deadline.Add(resolveFor))
	defer cancel()
	ended := context.AfterFunc(it.ctx, func() { d.giveUp(it) })
	res := d.exchangeWith(ctx, it, b, executionID(it.request.ID, it.ticket.ID))
	ended()
	switch res.end {
	case endAnswered:
		d.answered(it, res)
	case endRefused, endUnsent:
		d.book.MarkUnsent(*it.ticket)
		d.note(it, res)
		d.again(it)
	case endNeverSeen:
		d.conclude(it, notRun(it.request.ID, NotRunProof{kind: proofNeverSeen, reason: ReasonNeverSeen}))
		d.stopped(it)
	default:
		d.book.MarkInDoubt(*it.ticket)
		it.finish(unknown(it.request.ID, ReasonInDoubt))
		d.stopped(it)
	}
}

func (d *Dispatcher) uncount(it *item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.MarkStopped(&it.Request)
}

// giveUp tells the caller of an item that its deadline passed. The exchange goes on
// for the sake of a retry.
func (d *Dispatcher) giveUp(it *item) {
	it.finish(unknown(it.request.ID, ReasonInDoubt))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeItem(it)
}

// settle records an outcome with the arbiter and returns the one in force.
func (d *Dispatcher) settle(it *item, r Result) Result {
	if r.Outcome == model.OutcomeUnknown {
		return r
	}
	a, ok := d.book.Settle(*it.ticket, answerOf(r))
	if !ok {
		return unknown(it.request.ID, ReasonDraining)
	}
	d.checkSettled(it.request.ID, a.Outcome, r.Outcome)
	return resultOfAnswer(it.request.ID, a)
}

// checkSettled asserts that a ticket has one outcome. before is the one in force.
func (d *Dispatcher) checkSettled(id model.RequestID, before, now model.Outcome) {
	detail := "settled as " + string(before) + ", then found " + string(now)
	switch {
	case before == now:
	case before == model.OutcomeNotRun:
		d.violated(invariant.NotRunIsTrue, id, detail)
	default:
		d.violated(invariant.AtMostOnce, id, detail)
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

// resultOfAnswer returns a settled outcome. A settled `not run` was proved when it
// was settled, at this VM or at the one that handed it over.
func resultOfAnswer(id model.RequestID, a ticket.Answer) Result {
	if a.Outcome == model.OutcomeNotRun {
		return notRun(id, NotRunProof{kind: proofSettled, reason: a.Reason, retryAfter: a.RetryAfter})
	}
	return Result{Request: id, Outcome: a.Outcome, Reason: a.Reason, Body: a.Body, Digest: a.Digest, RetryAfter: a.RetryAfter}
}

// awaitTicket waits for the outcome of a use that is in flight, or asks the backend
// server that has it when nobody here does.
func (d *Dispatcher) awaitTicket(ctx context.Context, r Request, t ticket.Ticket, e ticket.Entry) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-e.Settled:
	case <-ctx.Done():
		return unknown(r.ID, ReasonInFlight)
	case <-d.base.Done():
		return unknown(r.ID, ReasonDraining)
	}
	verdict, entry := d.book.Lookup(t, time.Now())
	switch verdict {
	case ticket.Answered:
		return resultOfAnswer(r.ID, *entry.Answer)
	case ticket.BodyDropped:
		return d.fetchBody(ctx, r.ID, entry)
	case ticket.AskBackend:
		return d.askBackend(ctx, r.ID, t, entry)
	default:
		return unknown(r.ID, ReasonInFlight)
	}
}

// askBackend looks up a request in doubt until its outcome is certain or ctx ends.
func (d *Dispatcher) askBackend(ctx context.Context, id model.RequestID, t ticket.Ticket, e ticket.Entry) Result {
	for {
		res, ok := d.lookupExecution(ctx, id, t, e)
		if ok {
			a, _ := d.book.Settle(t, answerOf(res))
			d.checkSettled(id, a.Outcome, res.Outcome)
			return resultOfAnswer(id, a)
		}
		select {
		case <-ctx.Done():
			return unknown(id, ReasonInDoubt)
		case <-time.After(lookupEvery):
		}
	}
}

// lookupExecution asks once; ok is false when the outcome stays open.
func (d *Dispatcher) lookupExecution(ctx context.Context, id model.RequestID, t ticket.Ticket, e ticket.Entry) (Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	execution := ports.Execution{Request: executionID(e.Request, t.ID)}
	a, err := d.ports.Dialer.Backend(e.Backend).Lookup(ctx, execution.Request)
	switch {
	case errors.Is(err, ports.ErrNotFound):
		return notRun(id, NotRunProof{kind: proofNeverSeen, reason: ReasonNeverSeen}), true
	case err != nil || !whole(a, execution):
		return Result{}, false
	case a.State == ports.ExecutionRefused:
		return notRun(id, NotRunProof{kind: proofRefused, reason: ReasonRefused}), true
	case a.State == ports.ExecutionRunning:
		return Result{}, false
	default:
		return resultOf(id, a), true
	}
}

// fetchBody asks the backend server for an answer whose body is no longer kept here.
func (d *Dispatcher) fetchBody(ctx context.Context, id model.RequestID, e ticket.Entry) Result {
	t, err := ticket.Parse(e.Ticket)
	if err != nil || e.Backend == "" {
		return unknown(id, ReasonBodyDropped)
	}
	res, ok := d.lookupExecution(ctx, id, t, e)
	if !ok || res.Outcome != model.OutcomeDone || res.Digest != e.Answer.Digest {
		return unknown(id, ReasonBodyDropped)
	}
	return res
}
