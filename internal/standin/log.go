package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// recordLog is an append-only log that keeps the newest records.
type recordLog struct {
	mu       sync.Mutex
	retain   int // records kept; 0 means all
	records  []ports.Record
	next     int64
	appended chan struct{} // closed at the next append
}

func newRecordLog(retain int) *recordLog {
	return &recordLog{retain: retain, next: 1, appended: make(chan struct{})}
}

// append stores data and returns its offset.
func (l *recordLog) append(data []byte, now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.next
	l.next++
	l.records = append(l.records, ports.Record{Offset: offset, Time: now, Data: data})
	if l.retain > 0 && len(l.records) > l.retain {
		l.records = slices.Delete(l.records, 0, len(l.records)-l.retain)
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return offset
}

// read returns up to limit records, starting at offset from; ok is false if that offset
// is no longer retained. The channel is closed at the next append.
func (l *recordLog) read(from int64, limit int) (b ports.Batch, appended <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b = ports.Batch{First: l.next - int64(len(l.records)), Next: l.next}
	if from < b.First {
		return b, l.appended, false
	}
	if from < l.next {
		kept := l.records[from-b.First:]
		b.Records = slices.Clone(kept[:min(limit, len(kept))])
	}
	return b, l.appended, true
}

// readWait is like read and waits up to wait for the first record.
func (l *recordLog) readWait(ctx context.Context, from int64, limit int, wait time.Duration) (ports.Batch, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, appended, ok := l.read(from, limit)
		if !ok || len(b.Records) > 0 {
			return b, ok
		}
		select {
		case <-appended:
		case <-timer.C:
			return b, true
		case <-ctx.Done():
			return b, true
		}
	}
}
