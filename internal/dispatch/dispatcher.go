package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch/schedule"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ticket"
)

// Options configure a Dispatcher.
type Options struct {
	Address     string // IP:port at which other VMs reach this one
	Incarnation model.Incarnation
	Ports       Ports
	// Reporter takes violations of the promises; nil drops them.
	Reporter invariant.Reporter
	// Metrics is the parent of the dispatcher's metrics; nil drops them.
	Metrics tally.Scope
	// Seed seeds the choice among backend servers; 0 means a random seed.
	Seed uint64
	// Tickets bounds the memory of used tickets; zero fields mean defaults.
	Tickets ticket.Bounds
}

// Dispatcher runs requests on backend servers. It implements Service.
type Dispatcher struct {
	options Options
	ports   Ports
	book    *ticket.Registry
	recent  *recentOutcomes
	metrics *metrics
	tracer  trace.Tracer

	base context.Context // ends at Close
	stop context.CancelFunc

	drained  chan struct{} // closes at the end of the drain
	drainErr error         // set before that

	mu        sync.Mutex // guards the fields below; held for short steps only
	view      *View
	scheduler *schedule.Scheduler
	open      map[*schedule.Request]*item
	draining  bool
	idle      chan struct{} // one element: no item was open a moment ago
	waking    bool          // a wake-up is scheduled
	suspected map[string]chan struct{}
	leaving   map[string]time.Time         // backend servers that the view shows leaving, since when
	successor map[model.Incarnation]string // address that took over, by incarnation
	orphaned  map[model.Incarnation]bool   // offered, and certainly accepted by nobody
	handed    chan struct{}                // closes when the hand-over of tickets ended
}

var _ Service = (*Dispatcher)(nil)

// New returns a Dispatcher. Call Run for the background work and Close at the end.
func New(o Options) *Dispatcher {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	base, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		options:   o,
		ports:     o.Ports,
		book:      ticket.NewRegistry(o.Incarnation, o.Tickets),
		recent:    newRecentOutcomes(),
		metrics:   newMetrics(o.Metrics),
		tracer:    otel.Tracer("eelgrassreach/dispatch"),
		base:      base,
		stop:      stop,
		scheduler: schedule.New(rand.New(rand.NewPCG(o.Seed, o.Seed))),
		open:      map[*schedule.Request]*item{},
		idle:      make(chan struct{}, 1),
		handed:    make(chan struct{}),
		drained:   make(chan struct{}),
		suspected: map[string]chan struct{}{},
		successor: map[model.Incarnation]string{},
		orphaned:  map[model.Incarnation]bool{},
	}
}

// Close ends all background work. Requests that are open get an outcome.
func (d *Dispatcher) Close() {
	if d.startDrain() {
		close(d.drained)
	}
	_ = d.expire()
	d.stop()
}

// MintTicket returns a ticket that this VM arbitrates.
func (d *Dispatcher) MintTicket(ttl time.Duration) string {
	return ticket.New(d.options.Address, d.options.Incarnation, ttl, time.Now()).String()
}

// Queues returns the load per class.
func (d *Dispatcher) Queues() []QueueState {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]QueueState, 0, model.ClassCount)
	for c := model.ClassUrgent; c < model.ClassCount; c++ {
		out = append(out, QueueState{Class: c, Queued: d.scheduler.Queued(c), Running: d.scheduler.Running(c)})
	}
	return out
}

// Do runs a request to its outcome.
func (d *Dispatcher) Do(ctx context.Context, r Request) Result {
	if r.ID == "" {
		r.ID = model.RequestID(model.RandomID())
	}
	ctx, span := d.tracer.Start(ctx, "dispatch.request", trace.WithAttributes(
		attribute.String("request.id", string(r.ID)),
		attribute.String("request.kind", r.Kind),
		attribute.Int("request.hops", r.Hops),
	))
	defer span.End()
	started := time.Now()
	v := d.ports.View()
	kind, known := v.kind(r.Kind)
	d.recent.add(r, unknown(r.ID, ReasonInFlight), started)
	res := d.decide(ctx, v, r, kind, known)
	res.Request = r.ID
	d.checkResult(r, res)
	d.recent.add(r, res, time.Now())
	d.metrics.outcome(kind.Class, res, time.Since(started))
	span.SetAttributes(
		attribute.String("request.outcome", string(res.Outcome)),
		attribute.String("request.reason", string(res.Reason)),
	)
	return res
}

func (d *Dispatcher) decide(ctx context.Context, v *View, r Request, kind model.RequestKind, known bool) Result {
	if r.Ticket != "" {
		return d.doTicketed(ctx, v, r)
	}
	if !known {
		return notRun(r.ID, NotRunProof{kind: proofNeverSent, reason: ReasonUnknownKind})
	}
	if !kind.Idempotent {
		return notRun(r.ID, NotRunProof{kind: proofNeverSent, reason: ReasonNoTicket})
	}
	if d.isDraining() {
		return d.passOn(ctx, v, r)
	}
	return d.doIdempotent(ctx, v, r, kind)
}

func (d *Dispatcher) doIdempotent(ctx context.Context, v *View, r Request, kind model.RequestKind) Result {
	it := d.newItem(ctx, v, r, kind, nil)
	defer it.cancel()
	d.admit(it)
	select {
	case res := <-it.done:
		return res
	case <-it.ctx.Done():
	}
	if d.withdraw(it) {
		it.finish(it.notExecuted(NotRunProof{kind: proofNeverSent, reason: stopReason(ctx)}))
	}
	return <-it.done
}

// stopReason tells a deadline from a caller that left. ctx is the caller's own.
func stopReason(ctx context.Context) model.Reason {
	if ctx.Err() == context.Canceled {
		return ReasonCanceled
	}
	return ReasonDeadlineQueued
}

func (d *Dispatcher) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// Run pings backend servers and follows the view until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticks := time.NewTicker(tickEvery)
	defer ticks.Stop()
	pings := newPinger(d)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks.C:
			d.pump()
			d.metrics.queues(d.Queues())
			pings.tick(ctx, now)
		}
	}
}

// tickEvery spaces the steps of Run.
const tickEvery = 100 * time.Millisecond
