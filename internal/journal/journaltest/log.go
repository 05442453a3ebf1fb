// Package journaltest has an in-memory log with switchable faults, for tests and
// measurements of the journal.
package journaltest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/platform"
)

// Log is an in-memory append-only log. It is reached through ports.
type Log struct {
	mu      sync.Mutex
	records []platform.Record
	first   int64
	changed chan struct{} // closed and replaced on each append
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{first: 1, changed: make(chan struct{})}
}

// Append stores data and returns its offset.
func (l *Log) Append(data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.next()
	l.records = append(l.records, platform.Record{Offset: offset, Time: time.Now(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

// Trim drops all records before offset first.
func (l *Log) Trim(first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = min(first, l.next())
	if first <= l.first {
		return
	}
	l.records = append([]platform.Record(nil), l.records[first-l.first:]...)
	l.first = first
}

// Next returns the offset that the next append will get.
func (l *Log) Next() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next()
}

// next returns the next offset; the caller holds the lock.
func (l *Log) next() int64 { return l.first + int64(len(l.records)) }

// Records returns all records that are kept.
func (l *Log) Records() []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Record(nil), l.records...)
}

// read returns the records from an offset on, and a channel that is closed on the
// next append.
func (l *Log) read(from int64, limit int) (platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := platform.Batch{First: l.first, Next: l.next()}
	if from < l.first {
		return batch, l.changed, fmt.Errorf("read from offset %d: %w", from, platform.ErrTrimmed)
	}
	if from < batch.Next {
		rest := l.records[from-l.first:]
		batch.Records = append(batch.Records, rest[:min(limit, len(rest))]...)
	}
	return batch, l.changed, nil
}

// Port returns a VM's link to the log.
func (l *Log) Port() *Port { return &Port{log: l} }

// Fault is what happens to one call through a port.
type Fault int

// The faults of calls.
const (
	FaultNone      Fault = iota
	FaultDown            // refused without effect
	FaultLost            // the answer is lost after the effect
	FaultCutBefore       // the connection is cut before the effect; the caller cannot tell
	FaultSilent          // no answer ever, no effect
	FaultSilentSet       // no answer ever, after the effect
)

// Faults are the settings of a port.
type Faults struct {
	Append  Fault
	Read    Fault
	Latency time.Duration // before the effect and again before the answer
}

// Port is a VM's link to the log. It implements platform.Log.
type Port struct {
	log *Log

	mu     sync.Mutex
	faults Faults
	choose func() Fault
	calls  int
}

// Set changes the faults of later calls.
func (p *Port) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Choose sets a source of faults for each append in place of Faults.Append; nil
// removes it.
func (p *Port) Choose(choose func() Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.choose = choose
}

// Appends returns the number of appends that were tried.
func (p *Port) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// appendFaults returns the faults of one append.
func (p *Port) appendFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	faults := p.faults
	if p.choose != nil {
		faults.Append = p.choose()
	}
	return faults
}

// readFaults returns the faults of one read.
func (p *Port) readFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Append implements platform.Log.
func (p *Port) Append(ctx context.Context, data []byte) (int64, error) {
	faults := p.appendFaults()
	if !pause(ctx, faults.Latency) {
		return 0, fmt.Errorf("append: %w", platform.ErrInDoubt)
	}
	switch faults.Append {
	case FaultDown:
		return 0, fmt.Errorf("append: %w", platform.ErrUnavailable)
	case FaultCutBefore:
		return 0, fmt.Errorf("append: %w", platform.ErrInDoubt)
	case FaultSilent:
		<-ctx.Done()
		return 0, fmt.Errorf("append: %w", platform.ErrInDoubt)
	}
	offset := p.log.Append(data)
	if faults.Append == FaultSilentSet {
		<-ctx.Done()
	}
	if faults.Append == FaultLost || !pause(ctx, faults.Latency) {
		return 0, fmt.Errorf("append: %w", platform.ErrInDoubt)
	}
	return offset, nil
}

// Read implements platform.Log.
func (p *Port) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		faults := p.readFaults()
		if !pause(ctx, faults.Latency) || faults.Read == FaultDown {
			return platform.Batch{}, fmt.Errorf("read: %w", platform.ErrUnavailable)
		}
		if faults.Read != FaultNone {
			<-ctx.Done()
			return platform.Batch{}, fmt.Errorf("read: %w", platform.ErrUnavailable)
		}
		batch, changed, err := p.log.read(from, limit)
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return platform.Batch{}, fmt.Errorf("read: %w", platform.ErrUnavailable)
		case <-deadline.C:
			return batch, nil
		case <-changed:
		}
	}
}

// pause waits for d; it returns false when ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
