package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/ticket"
)

const (
	// defaultDrainTimeout bounds a drain whose context has no deadline.
	defaultDrainTimeout = 30 * time.Second
	// The time of a drain divided by handOverDivisor is reserved for the hand-over.
	handOverDivisor = 3
	// handOverRetryDelay is the pause before a hand-over whose answer was lost is repeated.
	handOverRetryDelay = 200 * time.Millisecond
	// handOverTimeout bounds one hand-over call.
	handOverTimeout = 2 * time.Second
)

// Drain finishes the open requests, then hands over the arbitration of tickets and the
// requests that are still queued to another VM. It returns when no request is left or
// ctx ends. Requests that are left then get an outcome that says what is known of them;
// the error holds the number of those that were in flight. Only the first call drains;
// further calls wait for it and return its result.
func (d *Dispatcher) Drain(ctx context.Context) error {
	if !d.startDrain() {
		<-d.drainEnded
		return d.drainErr
	}
	defer close(d.drainEnded)
	ctx, cancel := withDrainDeadline(ctx)
	defer cancel()
	d.awaitIdleBeforeHandOver(ctx)
	d.handOverAll(ctx)
	d.awaitIdle(ctx)
	d.drainErr = d.finishRemaining()
	return d.drainErr
}

// startDrain makes the dispatcher refuse new work; false when a drain was started
// before.
func (d *Dispatcher) startDrain() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.draining
	d.draining = true
	return first
}

func withDrainDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultDrainTimeout)
}

// awaitIdleBeforeHandOver waits until the open requests have ended, but leaves time for
// the hand-over if there is a VM to hand over to.
func (d *Dispatcher) awaitIdleBeforeHandOver(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	reserve := time.Until(deadline) / handOverDivisor
	if len(successorCandidates(d.ports.View(), d.options.Address, d.options.Incarnation)) == 0 {
		reserve = 0
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-reserve))
	defer cancel()
	d.awaitIdle(ctx)
}

func (d *Dispatcher) awaitIdle(ctx context.Context) {
	for {
		d.mu.Lock()
		n := len(d.openItems)
		d.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-d.idle:
		case <-ctx.Done():
			return
		}
	}
}

// handOverAll hands over the arbitration of tickets and the queued requests. This VM
// stops arbitrating before it sends the first message and never starts again, because
// the other VM may have taken over even when its answer is lost.
func (d *Dispatcher) handOverAll(ctx context.Context) {
	groups := d.registry.Freeze()
	waiting := d.removeQueued()
	for from, entries := range groups {
		d.handOver(ctx, from, ticketStates(entries))
	}
	close(d.handOverEnded)
	for _, it := range waiting {
		d.forwardItem(it)
	}
}

// removeQueued removes all items from the queue and returns them.
func (d *Dispatcher) removeQueued() []*item {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*item
	for request, it := range d.openItems {
		if d.scheduler.Withdraw(request) {
			out = append(out, it)
		}
	}
	return out
}

// forwardItem forwards an item that is not being executed to another VM, and finishes it
// with the outcome.
func (d *Dispatcher) forwardItem(it *item) {
	go func() {
		defer d.closeItem(it)
		v := d.ports.View()
		if it.ticket == nil {
			it.finish(d.forwardIdempotent(it.ctx, v, it.request))
			return
		}
		select {
		case <-d.handOverEnded:
		case <-it.ctx.Done():
		}
		if d.lacksSuccessor(it.ticket.Incarnation) {
			it.finish(it.resultWithoutAnswer(NotRunProof{kind: proofNeverSent, reason: ReasonDraining, retryAfter: time.Second}))
			return
		}
		it.finish(d.forwardTicketed(it.ctx, v, it.request, *it.ticket))
	}()
}

// lacksSuccessor reports whether the tickets of an incarnation were offered to other VMs
// and certainly accepted by none. As this VM no longer arbitrates them either, none of
// them can be used to run a request.
func (d *Dispatcher) lacksSuccessor(i model.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.withoutSuccessor[i]
}

func (d *Dispatcher) closeItem(it *item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeItemLocked(it)
}

// handOver offers the tickets of an incarnation to one VM after another until one
// accepts. After a call in doubt it offers them to no other VM, because there must not
// be two arbiters.
func (d *Dispatcher) handOver(ctx context.Context, from model.Incarnation, states []TicketState) {
	for _, p := range successorCandidates(d.ports.View(), d.options.Address, from) {
		err := d.handOverTo(ctx, p.Address, from, states)
		if err == nil {
			d.mu.Lock()
			d.successor[from] = p.Address
			d.mu.Unlock()
			return
		}
		if !errors.Is(err, ports.ErrUnavailable) {
			d.metrics.handOversInDoubt.Inc(1)
			return
		}
	}
	d.mu.Lock()
	d.withoutSuccessor[from] = true
	d.mu.Unlock()
}

// handOverTo hands tickets over to one VM and retries while the effect is in doubt. The
// error wraps ErrUnavailable only when no call can have had an effect.
func (d *Dispatcher) handOverTo(ctx context.Context, address string, from model.Incarnation, states []TicketState) error {
	inDoubt := false
	for {
		err := d.callHandOver(ctx, address, from, states)
		if err == nil {
			return nil
		}
		if errors.Is(err, ports.ErrUnavailable) && !inDoubt {
			return err
		}
		inDoubt = true
		select {
		case <-ctx.Done():
			return fmt.Errorf("hand-over to %s: %w", address, ports.ErrInDoubt)
		case <-time.After(handOverRetryDelay):
		}
	}
}

func (d *Dispatcher) callHandOver(ctx context.Context, address string, from model.Incarnation, states []TicketState) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return d.ports.Peers.HandOver(ctx, address, from, states)
}

func ticketStates(entries []ticket.Entry) []TicketState {
	out := make([]TicketState, 0, len(entries))
	for _, e := range entries {
		out = append(out, ticketState(e))
	}
	return out
}

func ticketState(e ticket.Entry) TicketState {
	s := TicketState{
		Ticket:      e.Ticket,
		Request:     e.Request,
		Binding:     string(e.Binding),
		InFlight:    e.InFlight,
		Backend:     e.Backend,
		BodyDropped: e.BodyDropped,
	}
	if e.Answer != nil {
		r := Result{Request: e.Request, Outcome: e.Answer.Outcome, Reason: e.Answer.Reason}
		r.Body, r.Digest, r.RetryAfter = e.Answer.Body, e.Answer.Digest, e.Answer.RetryAfter
		s.Result = &r
	}
	return s
}

// AdoptTickets takes over the arbitration of tickets. Repeated calls have no effect.
func (d *Dispatcher) AdoptTickets(from model.Incarnation, tickets []TicketState) error {
	if d.isDraining() {
		return fmt.Errorf("%w: the VM is stopping", ticket.ErrRefused)
	}
	entries := make([]ticket.Entry, 0, len(tickets))
	for _, s := range tickets {
		entries = append(entries, registryEntry(s))
	}
	return d.registry.Adopt(from, entries, time.Now())
}

func registryEntry(s TicketState) ticket.Entry {
	e := ticket.Entry{
		Ticket:      s.Ticket,
		Request:     s.Request,
		Binding:     ticket.Binding(s.Binding),
		Backend:     s.Backend,
		BodyDropped: s.BodyDropped,
	}
	if s.Result != nil {
		a := answerOf(*s.Result)
		e.Answer = &a
	}
	return e
}

// finishRemaining gives every open request its outcome now. The error holds the number
// of those that were in flight.
func (d *Dispatcher) finishRemaining() error {
	for _, it := range d.removeQueued() {
		d.conclude(it, it.resultWithoutAnswer(NotRunProof{kind: proofNeverSent, reason: ReasonDraining, retryAfter: time.Second}))
		d.closeItem(it)
	}
	d.mu.Lock()
	left := make([]*item, 0, len(d.openItems))
	for _, it := range d.openItems {
		left = append(left, it)
	}
	clear(d.openItems)
	d.mu.Unlock()
	for _, it := range left {
		it.finish(unknownResult(it.request.ID, ReasonInDoubt))
	}
	if len(left) > 0 {
		return fmt.Errorf("%d requests were in flight at the end of the drain", len(left))
	}
	return nil
}
