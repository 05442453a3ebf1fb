package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Follower reads the log in order and delivers it to a sink. It reads from the
// platform, and from peers while the platform does not answer or a peer is ahead.
// Delivered offsets only increase, without gaps except those that a snapshot covers.
type Follower struct {
	log      ports.Log
	peers    Peers
	sink     Sink
	opts     FollowerOptions
	fetchNow chan struct{}
	ready    chan struct{} // closed by checkCaughtUp

	readLimit *adaptiveLimit // on the records in one read of the platform
	reachable reachability   // only used by the goroutine of Run

	mu      sync.Mutex
	next    int64 // the next offset to deliver; 0 before the first delivery
	first   int64 // the oldest offset in the log, as of the last read; 0 when not known
	window  window
	blocked string // see Blocked
}

// reachability tells whether the platform's log answers.
type reachability int

const (
	reachUnknown reachability = iota
	reachYes
	reachNo
)

// NewFollower returns a follower that starts reading when Run is called.
func NewFollower(log ports.Log, peers Peers, sink Sink, opts FollowerOptions) *Follower {
	opts = opts.withDefaults()
	return &Follower{
		log:       log,
		peers:     peers,
		sink:      sink,
		opts:      opts,
		fetchNow:  make(chan struct{}, 1),
		ready:     make(chan struct{}),
		readLimit: newAdaptiveLimit(opts.ReadLimit),
		window:    window{maxBytes: opts.WindowBytes, minKept: opts.WindowKept},
	}
}

// TriggerFetch makes the follower fetch from a peer at once. It is called when a
// peer's heartbeat shows that the peer has applied offsets not yet delivered here.
func (f *Follower) TriggerFetch() {
	select {
	case f.fetchNow <- struct{}{}:
	default:
	}
}

// Next returns the offset after the last one delivered; 0 before the first delivery.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// First returns the oldest offset in the log, as of the last read; 0 when not known.
func (f *Follower) First() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.first
}

// CaughtUp returns a channel that is closed once the follower has delivered all
// that the platform, or the peer that answered, held at the time of the read.
func (f *Follower) CaughtUp() <-chan struct{} { return f.ready }

// Blocked returns why the follower cannot continue although the platform answers;
// it is empty when the follower can.
func (f *Follower) Blocked() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked
}

// Serve answers a peer's fetch from the records and the snapshot kept in memory.
func (f *Follower) Serve(from int64, limit int) FetchResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.window.serve(from, limit, f.next)
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r := f.awaitRead(ctx, f.startRead(ctx))
		if ctx.Err() != nil {
			return
		}
		if f.handleRead(ctx, r) {
			continue
		}
		f.fetchFromPeers(ctx)
		f.waitForRetry(ctx)
	}
}

// readResult is the result of a read of the log.
type readResult struct {
	batch ports.Batch
	err   error
}

// pendingRead is a read of the log that is in progress.
type pendingRead struct {
	wait   time.Duration     // how long the platform may hold the read without records
	result <-chan readResult // receives one result
}

// startRead starts a read from the next offset on. It is a long poll only once
// something was delivered and the platform is known to answer.
func (f *Follower) startRead(ctx context.Context) pendingRead {
	var wait time.Duration
	if f.Next() > 0 && f.reachable == reachYes {
		wait = f.opts.LongPoll
	}
	from := max(f.Next(), 1)
	results := make(chan readResult, 1)
	go func() {
		batch, err := f.read(ctx, from, wait)
		results <- readResult{batch, err}
	}()
	return pendingRead{wait: wait, result: results}
}

// awaitRead returns the result of r. Meanwhile it fetches from peers when
// TriggerFetch is called, and at intervals once the platform has not answered for
// ReadTimeout longer than the read may wait.
func (f *Follower) awaitRead(ctx context.Context, r pendingRead) readResult {
	overdue := time.NewTimer(r.wait + f.opts.ReadTimeout)
	defer overdue.Stop()
	for {
		select {
		case result := <-r.result:
			return result
		case <-f.fetchNow:
			f.fetchFromPeers(ctx)
		case <-overdue.C:
			f.setReachable(reachNo)
			f.fetchFromPeers(ctx)
			overdue.Reset(f.opts.PeerInterval)
		}
	}
}

// handleRead delivers the result of a read. It returns false when the caller should
// fetch from a peer.
func (f *Follower) handleRead(ctx context.Context, r readResult) bool {
	trimmed := errors.Is(r.err, ports.ErrTrimmed)
	if r.err != nil && !trimmed {
		f.setReachable(reachNo)
		return false
	}
	f.setReachable(reachYes)
	if trimmed {
		return f.resumeAfterTrim(ctx)
	}
	if f.Next() == 0 {
		return f.start(ctx, r.batch)
	}
	f.deliver(r.batch.Records)
	f.checkCaughtUp(r.batch.Next)
	return true
}

// errTimedOut marks a read that was cancelled after SlowTimeout.
var errTimedOut = errors.New("read timed out")

// read makes one read of the log, bounded by wait plus SlowTimeout. The error also
// wraps errTimedOut when the platform did not answer within that time.
func (f *Follower) read(ctx context.Context, from int64, wait time.Duration) (ports.Batch, error) {
	readCtx, cancel := context.WithTimeout(ctx, wait+f.opts.SlowTimeout)
	defer cancel()
	batch, err := f.log.Read(readCtx, from, f.readLimit.records(), wait)
	f.readLimit.update(batch, err)
	if err != nil && readCtx.Err() != nil {
		return batch, fmt.Errorf("%w: %w", errTimedOut, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.first = max(f.first, batch.First)
	return batch, err
}

// waitForRetry waits for PeerInterval or the end of ctx. Meanwhile it fetches from
// peers when TriggerFetch is called.
func (f *Follower) waitForRetry(ctx context.Context) {
	timer := time.NewTimer(f.opts.PeerInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.fetchNow:
			f.fetchFromPeers(ctx)
		case <-timer.C:
			return
		}
	}
}

// fetchFromPeers fetches from peers and delivers until they have nothing newer.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	for ctx.Err() == nil && f.fetchOnce(ctx) {
	}
}

// fetchOnce fetches once from a peer and reports whether the peer has more.
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

// setReachable records whether the platform's log answers and tells the sink of a
// change.
func (f *Follower) setReachable(now reachability) {
	if f.reachable == now {
		return
	}
	f.reachable = now
	f.sink.LogReachabilityChanged(now == reachYes)
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

// deliver passes records to the sink and keeps them for peers. It leaves out
// records already delivered and all records after a gap.
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
	entries := f.addToWindow(fresh, next)
	f.sink.Records(entries, next)
}

// addToWindow adds fresh records, which end before next, to the window and returns
// their entries.
func (f *Follower) addToWindow(fresh []ports.Record, next int64) []LocatedEntry {
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
			f.window.setSnapshot(s)
		}
	}
	return entries
}

// deliverSnapshot passes s to the sink when it is newer than everything delivered.
func (f *Follower) deliverSnapshot(s Snapshot) {
	f.mu.Lock()
	if s.Offset < f.next || s.Offset < 1 {
		f.mu.Unlock()
		return
	}
	f.window.reset(s)
	f.next = s.Offset + 1
	f.blocked = ""
	f.mu.Unlock()
	f.sink.Snapshot(s)
}
