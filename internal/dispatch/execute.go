package dispatch

import (
	"context"
	"slices"
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
	// executionSeparator joins a request ID and the part that makes an execution unique.
	executionSeparator = "~"
	// minHedgeDelay is the least wait before an idempotent request is sent a second time.
	minHedgeDelay = 100 * time.Millisecond
	// maxExchanges bounds the concurrent exchanges of one idempotent request.
	maxExchanges = 2
)

// executionID returns the ID under which a request is sent to a backend server. Callers
// choose request IDs, so these may collide. A unique part is appended: the ticket's ID,
// or random bits for each send.
func executionID(id model.RequestID, unique string) model.RequestID {
	return id + model.RequestID(executionSeparator+unique)
}

// CallerRequestID returns the caller's request ID that an execution ID contains.
func CallerRequestID(execution model.RequestID) model.RequestID {
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

// executeIdempotent sends the request, and a second time to another server when the
// first answer is slow and the retry budget allows it. The first complete answer is
// used.
func (d *Dispatcher) executeIdempotent(it *item, b *schedule.Server) {
	ctx, cancel := context.WithCancel(it.ctx)
	defer cancel()
	results := make(chan exchangeResult, maxExchanges)
	startExchange := func(b *schedule.Server) {
		go func() { results <- d.runExchange(ctx, it, b, d.newExecutionID(it)) }()
	}
	startExchange(b)
	hedge := time.NewTimer(d.hedgeDelay(it))
	defer hedge.Stop()
	for inFlight := 1; inFlight > 0; {
		select {
		case <-hedge.C:
			if other := d.hedge(it, b); other != nil {
				startExchange(other)
				inFlight++
			}
		case res := <-results:
			inFlight--
			if res.end == endAnswered {
				d.finishAnswered(it, res)
				return
			}
			d.recordFailure(it, res)
		}
	}
	d.requeue(it)
}

func (d *Dispatcher) newExecutionID(it *item) model.RequestID {
	return executionID(it.request.ID, model.RandomID())
}

// recordFailure records in the item why an exchange ended without an answer.
func (d *Dispatcher) recordFailure(it *item, res exchangeResult) {
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

// finishAnswered finishes an item with a complete answer.
func (d *Dispatcher) finishAnswered(it *item, res exchangeResult) {
	d.conclude(it, resultOfExecution(it.request.ID, res.answer))
	d.removeRunning(it)
}

func resultOfExecution(id model.RequestID, a ports.Answer) Result {
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

// conclude settles the outcome of an item and finishes the item with it.
func (d *Dispatcher) conclude(it *item, r Result) {
	if it.ticket != nil {
		r = d.settle(it, r)
	}
	it.finish(r)
}

// hedgeDelay returns how long to wait before the second send of a request.
func (d *Dispatcher) hedgeDelay(it *item) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.scheduler.SlowThreshold(it.kind.Name, defaultSlowThreshold), minHedgeDelay)
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

// runExchange runs one exchange and reports its end to the scheduler.
func (d *Dispatcher) runExchange(ctx context.Context, it *item, b *schedule.Server, id model.RequestID) exchangeResult {
	ctx, span := d.tracer.Start(ctx, "dispatch.exchange", trace.WithAttributes(
		attribute.String("request.id", string(it.request.ID)),
		attribute.String("backend.address", b.Address()),
	))
	defer span.End()
	started := time.Now()
	x := d.newExchange(it, b, id)
	res := x.run(ctx)
	span.SetAttributes(attribute.String("exchange.end", strconv.Itoa(int(res.end))))
	d.observeIncarnation(b.Address(), res.answer)
	d.recordSend(b, it, sendReport(res, ctx.Err(), time.Since(started)))
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
			Incarnation:  d.incarnationAt(b.Address()),
			Timeout:      time.Until(it.Deadline),
		},
		lookupDelay: max(d.scheduler.SlowThreshold(it.kind.Name, defaultSlowThreshold), minLookupDelay),
		suspected:   d.suspectChannel(b.Address()),
		onBadAnswer: func() { d.metrics.badAnswers.Inc(1) },
		onLookup:    func() { d.metrics.lookups.Inc(1) },
	}
}

// incarnationAt returns the incarnation of the backend server at an address; empty if it is not known. One that has
// passed is refused, and the refusal tells the present one. The caller holds d.mu.
func (d *Dispatcher) incarnationAt(address string) string {
	if known := d.incarnations[address]; known != "" {
		return known
	}
	v := d.ports.View()
	i := slices.IndexFunc(v.Backends, func(b BackendView) bool { return b.Server.Address == address })
	if i < 0 {
		return ""
	}
	return v.Backends[i].Incarnation
}

func (d *Dispatcher) observeIncarnation(address string, a ports.Answer) {
	if a.Incarnation == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnations[address] = a.Incarnation
}

// checkResult reports a violation if the body of a result does not match its digest or
// its outcome.
func (d *Dispatcher) checkResult(r Request, res Result) {
	if res.Outcome == model.OutcomeDone && digestOf(res.Body) != res.Digest {
		d.reportViolation(invariant.AnswerMatches, r.ID, "the body does not have its digest")
	}
	if res.Outcome != model.OutcomeDone && len(res.Body) > 0 {
		d.reportViolation(invariant.AnswerMatches, r.ID, "a body without the outcome done")
	}
}

func (d *Dispatcher) reportViolation(p invariant.Name, id model.RequestID, detail string) {
	if d.options.Reporter == nil {
		return
	}
	d.options.Reporter.Violated(invariant.Violation{Invariant: p, Request: id, Detail: detail})
}
