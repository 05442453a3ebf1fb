package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

var (
	// ErrBackpressure means that the queue of the publisher is full. The entry was
	// rejected.
	ErrBackpressure = errors.New("journal queue is full")
	// ErrTooLarge means that the entry exceeds EntryBytes. It was rejected.
	ErrTooLarge = errors.New("journal entry is too large")
	// ErrStopped means that the publisher stopped before it sent the entry.
	ErrStopped = errors.New("journal publisher stopped")
	// ErrExpired means that the log does not hold the entry up to its NotAfter offset.
	ErrExpired = errors.New("journal entry was not stored up to its NotAfter offset")
	// ErrOutcomeUnknown means that the reader skipped to a snapshot so new that it
	// may no longer hold the decision on the entry.
	ErrOutcomeUnknown = errors.New("outcome of the journal entry is no longer known")
)

const (
	// entryOverheadBytes estimates the JSON around the variable parts of an entry.
	entryOverheadBytes = 96
	// flushPollInterval is how often Flush checks the queue.
	flushPollInterval = 10 * time.Millisecond
)

// PublisherStats holds the counters of a publisher since its creation.
type PublisherStats struct {
	Appends  int64 // calls of the log's Append
	Entries  int64 // entries in these calls; one that is sent again counts again
	Bytes    int64 // bytes sent in these calls
	Rejected int64 // submissions rejected with ErrBackpressure
	Pending  int   // entries queued, being sent or in doubt now
}

// Publisher appends entries to the log. It batches them into packets, limits the
// appends per second, and tracks entries in doubt until replay shows their outcome.
// Entries that are never in doubt are stored in the order of their submission.
type Publisher struct {
	log  ports.Log
	opts PublisherOptions
	wake chan struct{}
	rate atomic.Int64 // appends per second

	mu      sync.Mutex
	outbox  *outbox
	sending bool
	stopped bool
	stats   PublisherStats
}

// NewPublisher returns a publisher to log. It sends nothing until Run is called, and
// Observe or ObserveSnapshot has given it the log's next offset.
func NewPublisher(log ports.Log, opts PublisherOptions) *Publisher {
	opts = opts.withDefaults()
	p := &Publisher{log: log, opts: opts, wake: make(chan struct{}, 1), outbox: newOutbox(opts)}
	p.SetRate(opts.AppendsPerSecond)
	return p
}

// Submit queues an entry and returns at once. An error wraps ErrBackpressure,
// ErrTooLarge or ErrStopped and means that the entry was rejected and done will not
// be called. Otherwise done is called from the goroutine of Run with each state of
// the append. An entry with the ID of a pending one is not queued again; its done is
// called with the states of the pending one.
func (p *Publisher) Submit(e Entry, done func(AppendResult)) error {
	size := len(e.Body) + len(e.ID) + len(e.Author) + entryOverheadBytes
	if size > p.opts.EntryBytes {
		return fmt.Errorf("%w: %d bytes, the limit is %d", ErrTooLarge, size, p.opts.EntryBytes)
	}
	if done == nil {
		done = func(AppendResult) {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.signal()
	if p.stopped {
		return ErrStopped
	}
	if p.outbox.addCallback(e.ID, done) {
		return nil
	}
	if p.outbox.full(size) {
		p.stats.Rejected++
		return fmt.Errorf("%w: %d entries, %d bytes", ErrBackpressure, len(p.outbox.pending), p.outbox.bytes)
	}
	p.outbox.add(e, size, done)
	return nil
}

// Skip tells the publisher that the reader skipped to a snapshot. Until
// ObserveSnapshot is called, no entry in doubt is reported as absent from the log.
func (p *Publisher) Skip() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outbox.skipped = true
}

// Observe tells the publisher which entries were read back. All entries before
// offset next have then been read without gaps. Skip or ObserveSnapshot must be
// called before Observe is called with entries that follow a snapshot.
func (p *Publisher) Observe(entries []LocatedEntry, next int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outbox.observe(entries, next)
	p.signal()
}

// ObserveSnapshot tells the publisher that the reader skipped to a snapshot of the
// given offset. The lookup returns the snapshot's decision on an entry ID. It is
// called without the publisher's lock, so it may wait for a goroutine that calls
// Submit.
func (p *Publisher) ObserveSnapshot(offset int64, lookup func(entryID string) (Decision, bool)) {
	lookups := make(map[string]lookupResult)
	for !p.tryObserveSnapshot(offset, lookups) {
		p.lookUpDecisions(lookups, lookup)
	}
}

// tryObserveSnapshot resolves entries after a snapshot. It does nothing and returns
// false when the decision on a sent entry was not looked up yet.
func (p *Publisher) tryObserveSnapshot(offset int64, lookups map[string]lookupResult) (ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.outbox.notLookedUp(lookups)) > 0 {
		return false
	}
	p.outbox.observeSnapshot(offset, lookups)
	p.signal()
	return true
}

// lookUpDecisions adds the missing decisions to lookups. It calls lookup without
// holding the lock.
func (p *Publisher) lookUpDecisions(lookups map[string]lookupResult, lookup func(entryID string) (Decision, bool)) {
	p.mu.Lock()
	ids := p.outbox.notLookedUp(lookups)
	p.mu.Unlock()
	for _, id := range ids {
		decision, ok := lookup(id)
		lookups[id] = lookupResult{decision, ok}
	}
}

// Flush waits until nothing is queued or being sent, or ctx ends. Entries in
// doubt may remain.
func (p *Publisher) Flush(ctx context.Context) error {
	ticker := time.NewTicker(flushPollInterval)
	defer ticker.Stop()
	for !p.idle() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("flush journal: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// idle reports whether nothing is queued or being sent.
func (p *Publisher) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.outbox.queue) == 0 && !p.sending
}

// Stats returns the current counters.
func (p *Publisher) Stats() PublisherStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Pending = len(p.outbox.pending)
	return stats
}

// Run sends entries until ctx ends. It then completes the append in progress and
// reports the entries still queued as not sent.
func (p *Publisher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.deliver()
		packet, pause := p.nextPacket()
		if len(packet) == 0 {
			p.await(ctx, pause)
			continue
		}
		p.send(ctx, packet)
		p.deliver()
		eventloop.Sleep(ctx, p.interval())
	}
	p.stop()
	p.deliver()
}

// SetRate changes the limit on appends per second; less than 1 counts as 1.
func (p *Publisher) SetRate(appendsPerSecond int) {
	p.rate.Store(int64(max(1, appendsPerSecond)))
}

// interval returns the pause after each append.
func (p *Publisher) interval() time.Duration {
	return time.Second / time.Duration(p.rate.Load())
}

// nextPacket returns the next packet. When it is empty, the duration is the time
// until a packet may be due, 0 when only a signal can make one due.
func (p *Publisher) nextPacket() ([]*pending, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	packet, pause := p.outbox.nextPacket(time.Now())
	p.sending = len(packet) > 0
	return packet, pause
}

// send appends one packet and records the answer.
func (p *Publisher) send(ctx context.Context, packet []*pending) {
	entries := make([]Entry, 0, len(packet))
	for _, e := range packet {
		entries = append(entries, e.entry)
	}
	data, err := EncodePacket(entries)
	if err != nil {
		p.recordAnswer(packet, 0, 0, fmt.Errorf("%w: %w", ports.ErrUnavailable, err))
		return
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.opts.AppendTimeout)
	defer cancel()
	offset, err := p.log.Append(callCtx, data)
	p.recordAnswer(packet, len(data), offset, err)
}

// recordAnswer records the answer to the append of a packet.
func (p *Publisher) recordAnswer(packet []*pending, size int, offset int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sending = false
	p.stats.Appends++
	p.stats.Entries += int64(len(packet))
	p.stats.Bytes += int64(size)
	p.outbox.recordAnswer(packet, offset, err, time.Now())
}

// deliver passes the collected results to their submitters.
func (p *Publisher) deliver() {
	p.mu.Lock()
	reports := p.outbox.takeReports()
	p.mu.Unlock()
	for _, r := range reports {
		r.done(r.result)
	}
}

// stop rejects further submissions and reports the queue as not sent.
func (p *Publisher) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.outbox.close()
}

// await waits for a signal, the end of ctx, or pause when it is positive.
func (p *Publisher) await(ctx context.Context, pause time.Duration) {
	var timeout <-chan time.Time
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-ctx.Done():
	case <-p.wake:
	case <-timeout:
	}
}

// signal wakes Run. The caller may hold the lock.
func (p *Publisher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
