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
	// drainDefault bounds a drain whose context has no deadline.
	drainDefault = 30 * time.Second
	// handOverShare is the part of the time of a drain, as a divisor, that is kept for
	// the hand-over.
	handOverShare = 3
	// handOverRetry is the pause before a hand-over whose answer was lost is repeated.
	handOverRetry = 200 * time.Millisecond
	// handOverTimeout bounds one call.
	handOverTimeout = 2 * time.Second
)

// Drain finishes the open requests, then gives the arbitration of tickets and what
// is still queued to another VM. It returns when no request is left or ctx ends;
// those left get a truthful outcome. The error counts them. Only the first call
// drains; another one returns its result when it is over.
func (d *Dispatcher) Drain(ctx context.Context) error {
	if !d.startDrain() {
		<-d.drained
		return d.drainErr
	}
	defer close(d.drained)
	ctx, cancel := boundDrain(ctx)
	defer cancel()
	d.finishOpen(ctx)
	d.handOverAll(ctx)
	d.awaitIdle(ctx)
	d.drainErr = d.expire()
	return d.drainErr
}

// startDrain refuses new work; false when a drain was started before.
func (d *Dispatcher) startDrain() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.draining
	d.draining = true
	return first
}

func boundDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, drainDefault)
}

// finishOpen waits for the open requests, but leaves time for the hand-over.
func (d *Dispatcher) finishOpen(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	reserve := time.Until(deadline) / handOverShare
	if len(successors(d.ports.View(), d.options.Address, d.options.Incarnation)) == 0 {
		reserve = 0
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-reserve))
	defer cancel()
	d.awaitIdle(ctx)
}

func (d *Dispatcher) awaitIdle(ctx context.Context) {
	for {
		d.mu.Lock()
		n := len(d.open)
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

// handOverAll gives away the arbitration and the queued requests. The arbitration
// here ends before the first message leaves, and never comes back: the other VM may
// have taken over even when its answer is lost.
func (d *Dispatcher) handOverAll(ctx context.Context) {
	groups := d.book.Freeze()
	waiting := d.takeQueued()
	for from, entries := range groups {
		d.handOver(ctx, from, statesOf(entries))
	}
	close(d.handed)
	for _, it := range waiting {
		d.giveAway(it)
	}
}

// takeQueued empties the queue.
func (d *Dispatcher) takeQueued() []*item {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*item
	for x, it := range d.open {
		if d.scheduler.Withdraw(x) {
			out = append(out, it)
		}
	}
	return out
}

// giveAway asks another VM to run an item that was never sent from here, and tells
// its caller the outcome.
func (d *Dispatcher) giveAway(it *item) {
	go func() {
		defer d.closeGiven(it)
		v := d.ports.View()
		if it.ticket == nil {
			it.finish(d.passOn(it.ctx, v, it.request))
			return
		}
		select {
		case <-d.handed:
		case <-it.ctx.Done():
		}
		if d.hasNoSuccessor(it.ticket.Incarnation) {
			it.finish(it.notExecuted(NotRunProof{kind: proofNeverSent, reason: ReasonDraining, retryAfter: time.Second}))
			return
		}
		it.finish(d.forwardTicketed(it.ctx, v, it.request, *it.ticket))
	}()
}

// hasNoSuccessor reports whether the tickets of an incarnation were offered and
// certainly accepted by nobody: with the arbitration ended here, none of them runs.
func (d *Dispatcher) hasNoSuccessor(i model.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.orphaned[i]
}

func (d *Dispatcher) closeGiven(it *item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeItem(it)
}

// handOver offers the tickets of an incarnation to one VM after the other until one
// accepts. After a call in doubt it insists on the same VM: a second arbiter must
// not come into being.
func (d *Dispatcher) handOver(ctx context.Context, from model.Incarnation, states []TicketState) {
	for _, p := range successors(d.ports.View(), d.options.Address, from) {
		err := d.insist(ctx, p.Address, from, states)
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
	d.orphaned[from] = true
	d.mu.Unlock()
}

// insist repeats a hand-over to one VM while its effect is in doubt. The error wraps
// ErrUnavailable only when no call can have had an effect.
func (d *Dispatcher) insist(ctx context.Context, address string, from model.Incarnation, states []TicketState) error {
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
		case <-time.After(handOverRetry):
		}
	}
}

func (d *Dispatcher) callHandOver(ctx context.Context, address string, from model.Incarnation, states []TicketState) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return d.ports.Peers.HandOver(ctx, address, from, states)
}

func statesOf(entries []ticket.Entry) []TicketState {
	out := make([]TicketState, 0, len(entries))
	for _, e := range entries {
		out = append(out, stateOf(e))
	}
	return out
}

func stateOf(e ticket.Entry) TicketState {
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

// AdoptTickets takes over the arbitration of tickets. A repeat changes nothing.
func (d *Dispatcher) AdoptTickets(from model.Incarnation, tickets []TicketState) error {
	if d.isDraining() {
		return fmt.Errorf("%w: the VM is stopping", ticket.ErrRefused)
	}
	entries := make([]ticket.Entry, 0, len(tickets))
	for _, s := range tickets {
		entries = append(entries, entryOf(s))
	}
	return d.book.Adopt(from, entries, time.Now())
}

func entryOf(s TicketState) ticket.Entry {
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

// expire gives every open request its outcome now. The error counts those that
// were in flight.
func (d *Dispatcher) expire() error {
	for _, it := range d.takeQueued() {
		d.conclude(it, it.notExecuted(NotRunProof{kind: proofNeverSent, reason: ReasonDraining, retryAfter: time.Second}))
		d.closeGiven(it)
	}
	d.mu.Lock()
	left := make([]*item, 0, len(d.open))
	for _, it := range d.open {
		left = append(left, it)
	}
	clear(d.open)
	d.mu.Unlock()
	for _, it := range left {
		it.finish(unknown(it.request.ID, ReasonInDoubt))
	}
	if len(left) > 0 {
		return fmt.Errorf("%d requests were in flight at the end of the drain", len(left))
	}
	return nil
}
