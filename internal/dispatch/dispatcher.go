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
	// Reporter receives violations of invariants; nil drops them.
	Reporter invariant.Reporter
	// Metrics is the parent of the dispatcher's metrics; nil drops them.
	Metrics tally.Scope
	// Seed seeds the choice among backend servers; 0 means a random seed.
	Seed uint64
	// Tickets bounds the memory for used tickets; zero fields mean defaults.
	Tickets ticket.Bounds
}

// Dispatcher runs requests on backend servers. It implements Service.
type Dispatcher struct {
	options  Options
	ports    Ports
	registry *ticket.Registry
	recent   *recentOutcomes
	metrics  *metrics
	tracer   trace.Tracer

	base context.Context // canceled by Close
	stop context.CancelFunc

	drainEnded chan struct{} // closed at the end of the drain
	drainErr   error         // set before drainEnded closes

	mu               sync.Mutex // guards the fields below; held only briefly
	view             *View
	scheduler        *schedule.Scheduler
	openItems        map[*schedule.Request]*item
	draining         bool
	idle             chan struct{}                // buffer of one; signals that the last open item was closed
	wakeScheduled    bool                         // a call of startQueued is scheduled
	suspects         map[string]chan struct{}     // by address; see suspectChannel
	incarnations     map[string]string            // of backend servers as their newest answers tell, by address
	leavingSince     map[string]time.Time         // by address, for backend servers that the view shows as leaving
	successor        map[model.Incarnation]string // address of the VM that took over the tickets, by incarnation
	withoutSuccessor map[model.Incarnation]bool   // tickets offered to other VMs, and certainly accepted by none
	handOverEnded    chan struct{}                // closed when the hand-over of tickets ended
}

var _ Service = (*Dispatcher)(nil)

// New returns a Dispatcher. The caller starts its background work with Run and ends it
// with Close.
func New(o Options) *Dispatcher {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	base, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		options:          o,
		ports:            o.Ports,
		registry:         ticket.NewRegistry(o.Incarnation, o.Tickets),
		recent:           newRecentOutcomes(),
		metrics:          newMetrics(o.Metrics),
		tracer:           otel.Tracer("eelgrassreach/dispatch"),
		base:             base,
		stop:             stop,
		scheduler:        schedule.New(rand.New(rand.NewPCG(o.Seed, o.Seed))),
		openItems:        map[*schedule.Request]*item{},
		idle:             make(chan struct{}, 1),
		handOverEnded:    make(chan struct{}),
		drainEnded:       make(chan struct{}),
		suspects:         map[string]chan struct{}{},
		incarnations:     map[string]string{},
		successor:        map[model.Incarnation]string{},
		withoutSuccessor: map[model.Incarnation]bool{},
	}
}

// Close ends all background work. Every open request gets an outcome.
func (d *Dispatcher) Close() {
	if d.startDrain() {
		close(d.drainEnded)
	}
	_ = d.finishRemaining()
	d.stop()
}

// MintTicket returns a new ticket that this VM arbitrates.
func (d *Dispatcher) MintTicket(ttl time.Duration) string {
	return ticket.New(d.options.Address, d.options.Incarnation, ttl, time.Now()).String()
}

// Queues returns the number of queued and running requests per class.
func (d *Dispatcher) Queues() []QueueState {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]QueueState, 0, model.ClassCount)
	for c := model.ClassUrgent; c < model.ClassCount; c++ {
		out = append(out, QueueState{Class: c, Queued: d.scheduler.Queued(c), Running: d.scheduler.Running(c)})
	}
	return out
}

// Do runs a request and returns its outcome.
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
	d.recent.begin(r, started)
	res := d.decide(ctx, v, r, kind, known)
	res.Request = r.ID
	d.checkResult(r, res)
	d.recent.end(r, res, time.Now())
	d.metrics.recordOutcome(kind.Class, res, time.Since(started))
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
		return notRunResult(r.ID, NotRunProof{kind: proofNeverSent, reason: ReasonUnknownKind})
	}
	if !kind.Idempotent {
		return notRunResult(r.ID, NotRunProof{kind: proofNeverSent, reason: ReasonNoTicket})
	}
	if d.isDraining() {
		return d.forwardIdempotent(ctx, v, r)
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
		it.finish(it.resultWithoutAnswer(NotRunProof{kind: proofNeverSent, reason: queueExitReason(ctx)}))
	}
	return <-it.done
}

// queueExitReason returns why a request left the queue: the caller canceled it, or its
// deadline passed. ctx is the context of the caller.
func queueExitReason(ctx context.Context) model.Reason {
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

// Run periodically pings backend servers, applies new views and starts queued requests
// until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	pings := newPinger(d)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks.C:
			d.startQueued()
			d.metrics.recordQueues(d.Queues())
			pings.tick(ctx, now)
		}
	}
}

// tickInterval is the period of Run.
const tickInterval = 100 * time.Millisecond
