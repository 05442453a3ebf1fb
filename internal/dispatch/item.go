package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch/schedule"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ticket"
)

// item is one request on its way through the dispatcher.
type item struct {
	schedule.Request
	request Request
	kind    model.RequestKind
	ticket  *ticket.Ticket // nil for an idempotent request without one
	ctx     context.Context
	cancel  context.CancelFunc

	// The fields below belong to the goroutine that executes the item, and to the
	// dispatcher's lock while it is queued.
	mayHaveRun bool
	refusal    model.Reason // why the latest send had no effect

	once sync.Once
	done chan Result // one element
}

// finish gives the result to the one who waits. Only the first one counts.
func (it *item) finish(r Result) {
	it.once.Do(func() {
		it.done <- r
		it.cancel()
	})
}

// notExecuted returns the outcome of an item that stops without an answer.
func (it *item) notExecuted(p NotRunProof) Result {
	if it.mayHaveRun {
		return unknown(it.request.ID, ReasonInDoubt)
	}
	return notRun(it.request.ID, p)
}

func (d *Dispatcher) newItem(ctx context.Context, v *View, r Request, kind model.RequestKind, t *ticket.Ticket) *item {
	now := time.Now()
	deadline := r.Deadline
	if deadline.IsZero() {
		deadline = now.Add(kindDeadline(kind))
	}
	it := &item{
		request: r,
		kind:    kind,
		ticket:  t,
		done:    make(chan Result, 1),
	}
	it.Request = schedule.Request{
		Class:     kind.Class,
		Kind:      kind.Name,
		Flow:      schedule.Flow{Organisation: r.Organisation, Caller: r.Caller},
		Weight:    v.weight(r.Organisation),
		Size:      int64(len(r.Body)) + requestOverhead,
		ArrivedAt: now,
		Deadline:  deadline,
	}
	it.ctx, it.cancel = context.WithDeadline(ctx, deadline)
	return it
}

const (
	// defaultDeadline applies to kinds that declare none.
	defaultDeadline = 30 * time.Second
	// requestOverhead is the memory of a queued request besides its body, in bytes.
	requestOverhead = 512
)

func kindDeadline(k model.RequestKind) time.Duration {
	if k.Deadline <= 0 {
		return defaultDeadline
	}
	return k.Deadline
}

func (v *View) kind(name string) (model.RequestKind, bool) {
	if v == nil || v.Config == nil {
		return model.RequestKind{}, false
	}
	k, ok := v.Config.RequestKinds[name]
	return k, ok
}

func (v *View) weight(o model.OrganisationID) int {
	if v == nil || v.Config == nil {
		return 1
	}
	return max(v.Config.Organisations[o].Weight, 1)
}
