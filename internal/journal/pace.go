package journal

import (
	"errors"
	"sync"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

const (
	// initialReadLimit is the number of records in the first read, before their size
	// is known.
	initialReadLimit = 64
	// targetReadBytes is the size of an answer that adaptiveLimit aims at.
	targetReadBytes = 2 << 20
)

// adaptiveLimit adapts the number of records in one read to their size, so that an
// answer stays within the bounds of the client and of memory.
type adaptiveLimit struct {
	mu      sync.Mutex
	current int
	max     int
}

// newAdaptiveLimit returns an adaptiveLimit that never exceeds limit records.
func newAdaptiveLimit(limit int) *adaptiveLimit {
	return &adaptiveLimit{current: min(initialReadLimit, limit), max: limit}
}

// records returns the number of records to request.
func (l *adaptiveLimit) records() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// update adapts the limit to the answer to a read. It halves the limit after an
// error other than ports.ErrTrimmed or an answer of more than twice targetReadBytes,
// and doubles it after a full answer of less than half of targetReadBytes.
func (l *adaptiveLimit) update(batch ports.Batch, err error) {
	bytes := 0
	for _, r := range batch.Records {
		bytes += len(r.Data)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, ports.ErrTrimmed):
	case err != nil, bytes > 2*targetReadBytes:
		l.current = max(l.current/2, 1)
	case len(batch.Records) == l.current && bytes < targetReadBytes/2:
		l.current = min(2*l.current, l.max)
	}
}
