package dispatch

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch/schedule"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

const (
	// executionSeparator joins a request ID and what makes its execution unique.
	executionSeparator = "~"
	// hedgeMin bounds the wait before an idempotent request is sent a second time.
	hedgeMin = 100 * time.Millisecond
	// maxExchanges is the number of concurrent exchanges of one idempotent request.
	maxExchanges = 2
)

// executionID returns the ID under which a backend server gets a request. Request
// IDs are chosen by callers and may collide, so a part is added that no other
// request has: the ticket's ID, or random bits for each send.
func executionID(id model.RequestID, unique string) model.RequestID {
	return id + model.RequestID(executionSeparator+unique)
}

// RequestOf returns the caller's request ID in the ID of an execution.
func RequestOf(execution model.RequestID) model.RequestID {
	i := strings.LastIndex(string(execution), executionSeparator)
	if i < 0 {
		return execution
	}
	return execution[:i]
}

func (d *Dispatcher) execute(it *item, b *schedule.Server) {
	if it.ticket != nil {
		d.executeTicketed(it, b)
		return
	}
	d.executeIdempotent(it, b)
}

// executeIdempotent sends the request, and once more elsewhere when the first
// answer is slow and the retry budget allows. The first whole answer counts.
func (d *Dispatcher) executeIdempotent(it *item, b *schedule.Server) {
	ctx, cancel := context.WithCancel(it.ctx)
	defer cancel()
	results := make(chan exchangeResult, maxExchanges)
	launch := func(b *schedule.Server) {
		go func() { results <- d.exchangeWith(ctx, it, b, d.uniqueID(it)) }()
	}
	launch(b)
	hedge := time.NewTimer(d.hedgeDelay(it))
	defer hedge.Stop()
	for open := 1; open > 0; {
		select {
		case <-hedge.C:
			if other := d.hedge(it, b); other != nil {
				launch(other)
				open++
			}
		case res := <-results:
			open--
			if res.end == endAnswered {
				d.answered(it, res)
				return
			}
			d.note(it, res)
		}
	}
	d.again(it)
}

func (d *Dispatcher) uniqueID(it *item) model.RequestID {
	return executionID(it.request.ID, model.RandomID())
}

// note records on the item why an exchange brought no answer.
func (d *Dispatcher) note(it *item, res exchangeResult) {
	switch res.end {
	case endInDoubt:
		it.mayHaveRun = true
	case endNeverSeen:
		it.refusal = ReasonNeverSeen
	case endUnsent:
		it.refusal = ReasonNoBackend
	case endRefused:
		it.refusal = ReasonRefused
	}
}

// answered finishes an item with a whole answer.
func (d *Dispatcher) answered(it *item, res exchangeResult) {
	d.conclude(it, resultOf(it.request.ID, res.answer))
	d.stopped(it)
}

func resultOf(id model.RequestID, a ports.Answer) Result {
	if a.State == ports.ExecutionFailed {
		return Result{Request: id, Outcome: model.OutcomeFailed, Reason: failedReason(a.Error)}
	}
	return Result{Request: id, Outcome: model.OutcomeDone, Body: a.Body, Digest: a.Digest}
}

func failedReason(message string) model.Reason {
	if message == "" {
		return ReasonFailed
	}
	return ReasonFailed + ": " + model.Reason(message)
}

// conclude settles the outcome of an item and tells the one who waits.
func (d *Dispatcher) conclude(it *item, r Result) {
	if it.ticket != nil {
		r = d.settle(it, r)
	}
	it.finish(r)
}

// hedgeDelay returns how long to wait before a second send.
func (d *Dispatcher) hedgeDelay(it *item) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.scheduler.Slow(it.kind.Name, silenceDefault), hedgeMin)
}

func (d *Dispatcher) hedge(it *item, first *schedule.Server) *schedule.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining || it.ctx.Err() != nil {
		return nil
	}
	other := d.scheduler.Hedge(&it.Request, first, time.Now())
	if other != nil {
		d.metrics.hedges.Inc(1)
	}
	return other
}

// exchangeWith runs one exchange and gives back the backend server's slot.
func (d *Dispatcher) exchangeWith(ctx context.Context, it *item, b *schedule.Server, id model.RequestID) exchangeResult {
	ctx, span := d.tracer.Start(ctx, "dispatch.exchange", trace.WithAttributes(
		attribute.String("request.id", string(it.request.ID)),
		attribute.String("backend.address", b.Address()),
	))
	defer span.End()
	started := time.Now()
	x := d.newExchange(it, b, id)
	res := x.run(ctx)
	span.SetAttributes(attribute.String("exchange.end", strconv.Itoa(int(res.end))))
	d.release(b, it, reportOf(res, ctx.Err(), time.Since(started)))
	return res
}

func (d *Dispatcher) newExchange(it *item, b *schedule.Server, id model.RequestID) *exchange {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &exchange{
		backend: d.ports.Dialer.Backend(b.Address()),
		execution: ports.Execution{
			Request:      id,
			Kind:         it.kind.Name,
			Organisation: it.request.Organisation,
			Caller:       it.request.Caller,
			Body:         it.request.Body,
			Timeout:      time.Until(it.Deadline),
		},
		silence:  max(d.scheduler.Slow(it.kind.Name, silenceDefault), silenceMin),
		suspect:  d.suspicion(b.Address()),
		onBad:    func() { d.metrics.badAnswers.Inc(1) },
		onLookup: func() { d.metrics.lookups.Inc(1) },
	}
}

// checkResult asserts what a caller is about to be told.
func (d *Dispatcher) checkResult(r Request, res Result) {
	if res.Outcome == model.OutcomeDone && digestOf(res.Body) != res.Digest {
		d.violated(invariant.AnswerMatches, r.ID, "the body does not have its digest")
	}
	if res.Outcome != model.OutcomeDone && len(res.Body) > 0 {
		d.violated(invariant.AnswerMatches, r.ID, "a body without the outcome done")
	}
}

func (d *Dispatcher) violated(p invariant.Name, id model.RequestID, detail string) {
	if d.options.Reporter == nil {
		return
	}
	d.options.Reporter.Violated(invariant.Violation{Invariant: p, Request: id, Detail: detail})
}
