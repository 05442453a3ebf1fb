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
	// not taken.
	ErrBackpressure = errors.New("journal queue is full")
	// ErrTooLarge means that one entry exceeds the bound on entries. It was not taken.
	ErrTooLarge = errors.New("journal entry is too large")
	// ErrStopped means that the publisher stopped before it sent the entry.
	ErrStopped = errors.New("journal publisher stopped")
	// ErrExpired means that the log passed the entry's NotAfter offset without it.
	ErrExpired = errors.New("journal entry was not stored before its last offset")
	// ErrOutcomeUnknown means that reading went on from a snapshot that is too new to
	// tell what became of the entry.
	ErrOutcomeUnknown = errors.New("what became of the journal entry is no longer known")
)

const (
	// entryOverheadBytes is the JSON around the variable parts of an entry.
	entryOverheadBytes = 96
	// flushInterval is the time between two looks of Flush.
	flushInterval = 10 * time.Millisecond
)

// PublisherStats counts what a publisher did since it was made.
type PublisherStats struct {
	Appends  int64 // calls of the log's Append
	Entries  int64 // entries in these calls, copies included
	Bytes    int64 // content of these calls
	Rejected int64 // submissions that got ErrBackpressure
	Pending  int   // entries queued, being sent or in doubt now
}

// Publisher appends entries to the log. It coalesces them into packets, keeps to
// a budget of appends per second and follows entries in doubt until replay tells.
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

// NewPublisher returns a publisher to log. It sends nothing before Run, nor before
// Observe or ObserveSnapshot told the log's next offset.
func NewPublisher(log ports.Log, opts PublisherOptions) *Publisher {
	opts = opts.withDefaults()
	p := &Publisher{log: log, opts: opts, wake: make(chan struct{}, 1), outbox: newOutbox(opts)}
	p.SetRate(opts.AppendsPerSecond)
	return p
}

// Submit queues an entry and returns at once. The error wraps ErrBackpressure,
// ErrTooLarge or ErrStopped; then the entry was not taken and done is not called.
// Otherwise done is called from the goroutine of Run with each state of the
// append. An entry with the ID of a pending one joins it.
func (p *Publisher) Submit(e Entry, done func(AppendResult)) error {
	size := len(e.Body) + len(e.ID) + len(e.Author) + entryOverheadBytes
	if size > p.opts.EntryBytes {
		return fmt.Errorf("%w: %d bytes, the bound is %d", ErrTooLarge, size, p.opts.EntryBytes)
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
	if p.outbox.join(e.ID, done) {
		return nil
	}
	if p.outbox.full(size) {
		p.stats.Rejected++
		return fmt.Errorf("%w: %d entries, %d bytes", ErrBackpressure, len(p.outbox.held), p.outbox.bytes)
	}
	p.outbox.add(e, size, done)
	return nil
}

// Skip tells the publisher that reading goes on from a snapshot. Until the call of
// ObserveSnapshot no entry in doubt is taken as absent from the log.
func (p *Publisher) Skip() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outbox.skipped = true
}

// Observe tells the publisher which entries were read back, without gaps, up to,
// not including, offset next. Before it is called for what follows a snapshot, Skip
// or ObserveSnapshot must be.
func (p *Publisher) Observe(entries []LocatedEntry, next int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outbox.observed(entries, next)
	p.signal()
}

// ObserveSnapshot tells the publisher that the reader went on from a snapshot of
// the given offset. The lookup returns the snapshot's decision on an entry ID; it
// may wait for a goroutine that calls Submit.
func (p *Publisher) ObserveSnapshot(offset int64, lookup func(entryID string) (Decision, bool)) {
	asked := make(map[string]lookedUp)
	for !p.jump(offset, asked) {
		p.ask(asked, lookup)
	}
}

// jump settles entries after a snapshot; ok is false when one was not asked for.
func (p *Publisher) jump(offset int64, asked map[string]lookedUp) (ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.outbox.unasked(asked)) > 0 {
		return false
	}
	p.outbox.jumped(offset, asked)
	p.signal()
	return true
}

// ask looks up the entries that were not asked for, without holding the lock.
func (p *Publisher) ask(asked map[string]lookedUp, lookup func(entryID string) (Decision, bool)) {
	p.mu.Lock()
	ids := p.outbox.unasked(asked)
	p.mu.Unlock()
	for _, id := range ids {
		decision, ok := lookup(id)
		asked[id] = lookedUp{decision, ok}
	}
}

// Flush waits until nothing is queued or being sent, or ctx ends. Entries in
// doubt may remain.
func (p *Publisher) Flush(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
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

// Stats returns the counters.
func (p *Publisher) Stats() PublisherStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Pending = len(p.outbox.held)
	return stats
}

// Run sends until ctx ends. An append under way is then completed; entries that
// were not sent are reported as such.
func (p *Publisher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.deliver()
		packet, pause := p.take()
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

// SetRate changes the budget of appends per second; less than 1 counts as 1.
func (p *Publisher) SetRate(appendsPerSecond int) {
	p.rate.Store(int64(max(1, appendsPerSecond)))
}

// interval is the least time between two appends.
func (p *Publisher) interval() time.Duration {
	return time.Second / time.Duration(p.rate.Load())
}

// take returns the next packet, or the time until there may be one.
func (p *Publisher) take() ([]*pending, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	packet, pause := p.outbox.take(time.Now())
	p.sending = len(packet) > 0
	return packet, pause
}

// send appends one packet and books the answer.
func (p *Publisher) send(ctx context.Context, packet []*pending) {
	entries := make([]Entry, 0, len(packet))
	for _, e := range packet {
		entries = append(entries, e.entry)
	}
	data, err := EncodePacket(entries)
	if err != nil {
		p.book(packet, 0, 0, fmt.Errorf("%w: %w", ports.ErrUnavailable, err))
		return
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.opts.AppendTimeout)
	defer cancel()
	offset, err := p.log.Append(callCtx, data)
	p.book(packet, len(data), offset, err)
}

// book records the answer to the append of a packet.
func (p *Publisher) book(packet []*pending, size int, offset int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sending = false
	p.stats.Appends++
	p.stats.Entries += int64(len(packet))
	p.stats.Bytes += int64(size)
	p.outbox.answered(packet, offset, err, time.Now())
}

// deliver calls the submitters with the results that wait.
func (p *Publisher) deliver() {
	p.mu.Lock()
	reports := p.outbox.takeReports()
	p.mu.Unlock()
	for _, r := range reports {
		r.done(r.result)
	}
}

// stop refuses further submissions and reports the queue as not sent.
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
