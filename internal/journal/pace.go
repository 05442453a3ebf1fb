package journal

import (
	"errors"
	"sync"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

const (
	// firstReadLimit is the number of records asked for before their size is known.
	firstReadLimit = 64
	// readBytes is the size of an answer up to which the next one may be larger.
	readBytes = 2 << 20
)

// pace adapts the number of records in one read to their size, so that an answer
// stays in the bounds of the client and of memory.
type pace struct {
	mu      sync.Mutex
	current int
	max     int
}

// newPace returns a pace that never asks for more than limit records.
func newPace(limit int) *pace {
	return &pace{current: min(firstReadLimit, limit), max: limit}
}

// limit returns the number of records to ask for.
func (p *pace) limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// answered learns from the answer to a read.
func (p *pace) answered(batch ports.Batch, err error) {
	bytes := 0
	for _, r := range batch.Records {
		bytes += len(r.Data)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case errors.Is(err, ports.ErrTrimmed):
	case err != nil, bytes > 2*readBytes:
		p.current = max(p.current/2, 1)
	case len(batch.Records) == p.current && bytes < readBytes/2:
		p.current = min(2*p.current, p.max)
	}
}
