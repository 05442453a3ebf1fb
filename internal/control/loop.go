package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

const (
	eventQueueSize   = 4096 // events
	maxEventsPerStep = 1024 // events in one step

	viewInterval = 50 * time.Millisecond // between views, unless a reply needs one sooner
)

// Loop runs the State in one goroutine and executes its actions in others. It implements
// Service and journal.Sink.
type Loop struct {
	options     Options
	state       *State
	events      chan Event
	stopped     chan struct{}
	view        atomic.Pointer[View]
	heartbeat   atomic.Pointer[membership.Heartbeat]
	publishedAt time.Time // when view was last published; used by Run only
	nextReply   atomic.Uint64
	replies     replyTable
	goroutines  sync.WaitGroup
}

var (
	_ Service      = (*Loop)(nil)
	_ journal.Sink = (*Loop)(nil)
)

// New returns a loop that does nothing until Run is called.
func New(o Options) *Loop {
	if o.Settings == (Settings{}) {
		o.Settings = DefaultSettings()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = model.RandomID
	}
	l := &Loop{
		options: o,
		state:   NewState(o.Identity, o.Settings, o.Replica, o.Policy, o.NewID),
		events:  make(chan Event, eventQueueSize),
		stopped: make(chan struct{}),
	}
	l.publish()
	return l
}

// Run applies events until ctx ends, and returns when all its goroutines have ended.
func (l *Loop) Run(ctx context.Context) {
	l.goroutines.Go(func() { l.readVMs(ctx) })
	eventloop.Run(ctx, l.events, Event(Ticked{}), l.options.Settings.TickInterval, maxEventsPerStep, func(events []Event) { l.step(ctx, events) })
	close(l.stopped)
	l.goroutines.Wait()
}

// step applies events and executes the resulting actions. It publishes the view before it
// delivers a reply, so that the caller finds the effect in the view, and otherwise at
// intervals.
func (l *Loop) step(ctx context.Context, events []Event) {
	now := l.options.Now()
	actions := l.state.Step(events, now)
	if slices.ContainsFunc(actions, isReply) || now.Sub(l.publishedAt) >= viewInterval {
		l.publishedAt = now
		l.publish()
	}
	for _, a := range actions {
		l.execute(ctx, a)
	}
}

func (l *Loop) publish() {
	l.view.Store(l.state.View())
	h := l.state.ownHeartbeat()
	l.heartbeat.Store(&h)
}

// post queues an event for the loop. It returns false if the loop stopped or ctx ended first.
func (l *Loop) post(ctx context.Context, e Event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// readVMs reads the platform's VM list at intervals.
func (l *Loop) readVMs(ctx context.Context) {
	ticker := time.NewTicker(l.options.Settings.VMListInterval)
	defer ticker.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, l.options.Settings.VMListInterval)
		vms, err := l.options.VMs.List(call)
		cancel()
		if err == nil {
			l.post(ctx, VMsListed{VMs: vms})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Records implements journal.Sink.
func (l *Loop) Records(entries []journal.LocatedEntry, next int64) {
	l.post(context.Background(), EntriesRead{Entries: entries, Next: next})
	l.options.Publisher.Observe(entries, next)
}

// Snapshot implements journal.Sink.
func (l *Loop) Snapshot(s journal.Snapshot) {
	l.options.Publisher.Skip()
	l.post(context.Background(), SnapshotRead{Snapshot: s})
}

// LogReachabilityChanged implements journal.Sink.
func (l *Loop) LogReachabilityChanged(ok bool) { l.post(context.Background(), LogReachable{OK: ok}) }

// Trimmed records the oldest offset that the platform's log keeps.
func (l *Loop) Trimmed(first int64) { l.post(context.Background(), LogTrimmed{First: first}) }

// HandleHeartbeat handles a peer's heartbeat and returns this VM's own.
func (l *Loop) HandleHeartbeat(ctx context.Context, h membership.Heartbeat) membership.Heartbeat {
	l.post(ctx, HeartbeatReceived{Heartbeat: h})
	own := *l.heartbeat.Load()
	if h.AZ != own.AZ {
		return own.ForOtherZones()
	}
	return own
}

// View implements Service.
func (l *Loop) View() *View { return l.view.Load() }

// execute executes an action. Calls to other processes run in goroutines of their own.
func (l *Loop) execute(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Append:
		l.append(ctx, a.Entry)
	case SnapshotRestored:
		l.options.Publisher.ObserveSnapshot(a.Offset, l.options.Replica.Decision)
	case Command:
		l.goroutines.Go(func() { l.post(ctx, l.command(ctx, a)) })
	case PollStatus:
		l.goroutines.Go(func() { l.post(ctx, l.poll(ctx, a)) })
	case SendHeartbeat:
		l.goroutines.Go(func() { l.sendHeartbeat(ctx, a) })
	case SendOffer:
		l.goroutines.Go(func() { l.post(ctx, l.sendOffer(ctx, a)) })
	case SendTermOffer:
		l.goroutines.Go(func() { l.post(ctx, l.sendTermOffer(ctx, a)) })
	case ReportViolation:
		l.options.Reporter.Violated(a.Violation)
	default:
		l.replies.deliver(a)
	}
}

// append submits an entry to the publisher and posts the result.
func (l *Loop) append(ctx context.Context, e journal.Entry) {
	err := l.options.Publisher.Submit(e, func(r journal.AppendResult) { l.post(ctx, EntryAppended{Result: r}) })
	if err == nil {
		return
	}
	result := journal.AppendResult{EntryID: e.ID, State: journal.AppendNotSent, Err: err}
	l.goroutines.Go(func() { l.post(ctx, EntryAppended{Result: result}) })
}

// command sends a batch, unless NotAfter has passed, for example while this VM was paused.
func (l *Loop) command(ctx context.Context, a Command) Event {
	answered := CommandAnswered{Server: a.Server, Batch: a.Batch}
	if l.options.Now().After(a.NotAfter) {
		answered.Err = ports.ErrUnavailable
		return answered
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	answered.Results, answered.Err = l.options.Dialer.Backend(a.Address).Command(ctx, a.Batch)
	return answered
}

func (l *Loop) poll(ctx context.Context, a PollStatus) Event {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	status, err := l.options.Dialer.Backend(a.Address).Status(ctx)
	return StatusAnswered{Server: a.Server, Sent: a.Sent, Status: status, Err: err}
}

func (l *Loop) sendHeartbeat(ctx context.Context, a SendHeartbeat) {
	call, cancel := context.WithTimeout(ctx, l.options.Settings.HolderTimeout)
	defer cancel()
	answer, err := l.options.Peers.Heartbeat(call, a.Address, a.Heartbeat)
	if err == nil {
		l.post(ctx, HeartbeatReceived{Heartbeat: answer})
	}
}

func (l *Loop) sendOffer(ctx context.Context, a SendOffer) Event {
	ctx, cancel := context.WithTimeout(ctx, l.options.Settings.HolderTimeout)
	defer cancel()
	answer, err := l.options.Peers.OfferJob(ctx, a.Address, a.Offer)
	return OfferAnswered{Job: a.Offer.Job.ID, Answer: answer, Err: err}
}

func (l *Loop) sendTermOffer(ctx context.Context, a SendTermOffer) Event {
	ctx, cancel := context.WithTimeout(ctx, l.options.Settings.CommandTimeout)
	defer cancel()
	accepted, err := l.options.Peers.HandOverTerm(ctx, a.Address, a.Offer)
	return TermOfferAnswered{Accepted: accepted, Err: err}
}
