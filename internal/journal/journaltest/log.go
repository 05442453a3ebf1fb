// Package journaltest provides an in-memory log with fault injection, for tests and
// benchmarks of the journal.
package journaltest

import (
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Log is an in-memory append-only log. VMs access it through a Port.
type Log struct {
	mu      sync.Mutex
	records []ports.Record
	history []ports.Record // all records ever stored
	first   int64          // the oldest offset kept
	changed chan struct{}  // closed and replaced on each append
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
	record := ports.Record{Offset: offset, Time: time.Now(), Data: data}
	l.records = append(l.records, record)
	l.history = append(l.history, record)
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
	l.records = append([]ports.Record(nil), l.records[first-l.first:]...)
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

// History returns all records that were ever stored, trimmed or not.
func (l *Log) History() []ports.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ports.Record(nil), l.history...)
}

// read returns up to limit records from an offset on, and a channel that is closed
// on the next append.
func (l *Log) read(from int64, limit int) (ports.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := ports.Batch{First: l.first, Next: l.next()}
	if from < l.first {
		return batch, l.changed, fmt.Errorf("read from offset %d: %w", from, ports.ErrTrimmed)
	}
	if from < batch.Next {
		rest := l.records[from-l.first:]
		batch.Records = append(batch.Records, rest[:min(limit, len(rest))]...)
	}
	return batch, l.changed, nil
}
