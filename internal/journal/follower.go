package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Follower reads the log in order and delivers it to a sink: from the platform, or
// from a peer when the platform does not answer. Offsets delivered only rise and
// have no gaps but those that a snapshot covers.
type Follower struct {
	log   ports.Log
	peers Peers
	sink  Sink
	opts  FollowerOptions
	kick  chan struct{}
	ready chan struct{} // closed once caught up

	pace      *pace        // of reads of the platform
	reachable reachability // used by Run alone

	mu      sync.Mutex
	next    int64 // the next offset to deliver; 0 before the first delivery
	first   int64 // the oldest offset that the log was seen to keep
	window  window
	blocked string
}

// reachability is what is known of the platform's log.
type reachability int

const (
	reachUnknown reachability = iota
	reachYes
	reachNo
)

// NewFollower returns a follower that has read nothing.
func NewFollower(log ports.Log, peers Peers, sink Sink, opts FollowerOptions) *Follower {
	opts = opts.withDefaults()
	return &Follower{
		log:    log,
		peers:  peers,
		sink:   sink,
		opts:   opts,
		kick:   make(chan struct{}, 1),
		ready:  make(chan struct{}),
		pace:   newPace(opts.ReadLimit),
		window: window{maxBytes: opts.WindowBytes, minKept: opts.WindowKept},
	}
}

// TriggerFetch makes the follower fetch from a peer at once; it is called when a peer's
// heartbeat shows an offset that was not delivered yet.
func (f *Follower) TriggerFetch() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Next returns the offset after the last one delivered; 0 before the first delivery.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// First returns the oldest offset that the log was seen to keep; 0 when not known.
func (f *Follower) First() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.first
}

// CaughtUp is closed once everything was delivered that the platform, or the peer
// that answered, had when it was asked.
func (f *Follower) CaughtUp() <-chan struct{} { return f.ready }

// Blocked says why the follower cannot go on although the platform answers; it is
// empty when it can.
func (f *Follower) Blocked() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked
}

// Serve answers a peer's fetch from what this follower keeps.
func (f *Follower) Serve(from int64, limit int) FetchResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.window.serve(from, limit, f.next)
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		a := f.await(ctx, f.request(ctx))
		if ctx.Err() != nil {
			return
		}
		if f.handle(ctx, a) {
			continue
		}
		f.fetchPeer(ctx)
		f.pause(ctx)
	}
}

// answer is the result of a read of the log.
type answer struct {
	batch ports.Batch
	err   error
}

// request is a read of the log under way.
type request struct {
	wait    time.Duration // how long the platform may hold it without records
	answers <-chan answer // gets one answer
}

// request starts to read from the next offset on. The read is held at the end of
// the log only once something was delivered and the platform is known to answer.
func (f *Follower) request(ctx context.Context) request {
	var wait time.Duration
	if f.Next() > 0 && f.reachable == reachYes {
		wait = f.opts.LongPoll
	}
	from := max(f.Next(), 1)
	answers := make(chan answer, 1)
	go func() {
		batch, err := f.read(ctx, from, wait)
		answers <- answer{batch, err}
	}()
	return request{wait: wait, answers: answers}
}

// await returns the answer to r. Meanwhile it fetches from peers when kicked, and
// at intervals once the platform is silent for longer than it should be.
func (f *Follower) await(ctx context.Context, r request) answer {
	silent := time.NewTimer(r.wait + f.opts.ReadTimeout)
	defer silent.Stop()
	for {
		select {
		case a := <-r.answers:
			return a
		case <-f.kick:
			f.fetchPeer(ctx)
		case <-silent.C:
			f.setReachable(reachNo)
			f.fetchPeer(ctx)
			silent.Reset(f.opts.PeerInterval)
		}
	}
}

// handle delivers the answer to a read. It returns false when a peer should be asked.
func (f *Follower) handle(ctx context.Context, a answer) bool {
	trimmed := errors.Is(a.err, ports.ErrTrimmed)
	if a.err != nil && !trimmed {
		f.setReachable(reachNo)
		return false
	}
	f.setReachable(reachYes)
	if trimmed {
		return f.restart(ctx)
	}
	if f.Next() == 0 {
		return f.start(ctx, a.batch)
	}
	f.deliver(a.batch.Records)
	f.checkCaughtUp(a.batch.Next)
	return true
}

// errTimedOut marks a read that was given up.
var errTimedOut = errors.New("read timed out")

// read makes one read of the log that is bounded in time. The error also wraps
// errTimedOut when the platform did not answer within the bound.
func (f *Follower) read(ctx context.Context, from int64, wait time.Duration) (ports.Batch, error) {
	readCtx, cancel := context.WithTimeout(ctx, wait+f.opts.SlowTimeout)
	defer cancel()
	batch, err := f.log.Read(readCtx, from, f.pace.limit(), wait)
	f.pace.answered(batch, err)
	if err != nil && readCtx.Err() != nil {
		return batch, fmt.Errorf("%w: %w", errTimedOut, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.first = max(f.first, batch.First)
	return batch, err
}

// pause waits for the interval between attempts or the end of ctx, and fetches
// from a peer when kicked.
func (f *Follower) pause(ctx context.Context) {
	timer := time.NewTimer(f.opts.PeerInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.kick:
			f.fetchPeer(ctx)
		case <-timer.C:
			return
		}
	}
}

// fetchPeer fetches what follows from peers and delivers it, until they have no more.
func (f *Follower) fetchPeer(ctx context.Context) {
	for ctx.Err() == nil && f.fetchOnce(ctx) {
	}
}

// fetchOnce makes one fetch and reports whether there is more.
func (f *Follower) fetchOnce(ctx context.Context) bool {
	before := f.Next()
	fetchCtx, cancel := context.WithTimeout(ctx, f.opts.ReadTimeout)
	defer cancel()
	fetched, err := f.peers.Fetch(fetchCtx, max(before, 1), f.opts.ReadLimit)
	if err != nil {
		return false
	}
	if fetched.Snapshot != nil {
		f.deliverSnapshot(*fetched.Snapshot)
	}
	f.deliver(fetched.Records)
	next := f.Next()
	if next == 0 {
		return false
	}
	f.checkCaughtUp(fetched.Next)
	return next > before && next < fetched.Next
}

// setReachable tells the sink of a change.
func (f *Follower) setReachable(now reachability) {
	if f.reachable == now {
		return
	}
	f.reachable = now
	f.sink.Reachable(now == reachYes)
}

// checkCaughtUp closes ready when everything before offset end was delivered.
func (f *Follower) checkCaughtUp(end int64) {
	if f.Next() < end {
		return
	}
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

// deliver gives records to the sink and keeps them for peers. Those delivered
// before are left out, and so is all that follows a gap.
func (f *Follower) deliver(records []ports.Record) {
	next := max(f.Next(), 1)
	fresh := records[:0:0]
	for _, r := range records {
		if r.Offset < next {
			continue
		}
		if r.Offset > next {
			break
		}
		fresh = append(fresh, r)
		next++
	}
	if len(fresh) == 0 {
		return
	}
	entries := f.keep(fresh, next)
	f.sink.Records(entries, next)
}

// keep takes fresh records into the window and returns their entries.
func (f *Follower) keep(fresh []ports.Record, next int64) []LocatedEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window.add(fresh)
	f.next = next
	f.blocked = ""
	var entries []LocatedEntry
	for _, r := range fresh {
		entries = append(entries, EntriesOf(r)...)
	}
	for _, e := range entries {
		if s, ok := SnapshotOf(e.Entry); ok && s.Offset < e.Offset {
			f.window.offer(s)
		}
	}
	return entries
}

// deliverSnapshot gives s to the sink when it is newer than all that was delivered.
func (f *Follower) deliverSnapshot(s Snapshot) {
	f.mu.Lock()
	if s.Offset < f.next || s.Offset < 1 {
		f.mu.Unlock()
		return
	}
	f.window.restart(s)
	f.next = s.Offset + 1
	f.blocked = ""
	f.mu.Unlock()
	f.sink.Snapshot(s)
}
