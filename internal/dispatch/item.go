package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch/schedule"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ticket"
)

// item is a request that the dispatcher queues or executes.
type item struct {
	schedule.Request
	request Request
	kind    model.RequestKind
	ticket  *ticket.Ticket // nil for an idempotent request without a ticket
	ctx     context.Context
	cancel  context.CancelFunc

	// The goroutine that executes the item owns the two fields below. While the item is
	// queued, the dispatcher's lock guards them.
	mayHaveRun bool
	refusal    model.Reason // why the last send had no effect

	once sync.Once
	done chan Result // buffer of one
}

// finish passes the result to the goroutine that waits for the item. Later calls have
// no effect.
func (it *item) finish(r Result) {
	it.once.Do(func() {
		it.done <- r
		it.cancel()
	})
}

// resultWithoutAnswer returns the outcome of an item that ends without an answer: `not
// run` for the proof p, or unknown when an earlier send may have been executed.
func (it *item) resultWithoutAnswer(p NotRunProof) Result {
	if it.mayHaveRun {
		return unknownResult(it.request.ID, ReasonInDoubt)
	}
	return notRunResult(it.request.ID, p)
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
	// defaultDeadline is the deadline of request kinds that declare none.
	defaultDeadline = 30 * time.Second
	// requestOverhead is the memory that a queued request uses besides its body, in bytes.
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
