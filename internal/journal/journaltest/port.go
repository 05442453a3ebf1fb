package journaltest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Fault is a fault injected into a call through a port.
type Fault int

// The faults. All but FaultNone and FaultDown leave the caller in doubt about an append.
const (
	FaultNone        Fault = iota
	FaultDown              // the call fails without effect
	FaultCutBefore         // an append is cut off before it takes effect
	FaultCutAfter          // an append is cut off after it takes effect
	FaultSilent            // the call is never answered and has no effect
	FaultSilentAfter       // the call is never answered; an append takes effect
)

// Faults are the settings of a port.
type Faults struct {
	Append  Fault
	Read    Fault
	Latency time.Duration // before the effect, and for an append again before the answer
	// AnswerBytes is the largest answer to a read that the client accepts; 0 for any.
	AnswerBytes int
}

// Port is a VM's link to the log. It implements ports.Log.
type Port struct {
	log *Log

	mu      sync.Mutex
	faults  Faults
	appends int
	frozen  chan struct{} // closed at the end of a freeze; nil outside
	dead    chan struct{} // closed by Kill
}

// Port returns a VM's link to the log.
func (l *Log) Port() *Port { return &Port{log: l, dead: make(chan struct{})} }

// SetFaults sets the faults of later calls.
func (p *Port) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Freeze blocks every call, also those in progress, until Thaw.
func (p *Port) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = make(chan struct{})
	}
}

// Thaw lets blocked calls continue.
func (p *Port) Thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

// Kill aborts calls in progress where they are and makes later ones fail. It must be
// called only once.
func (p *Port) Kill() { close(p.dead) }

// Appends returns the number of calls of Append.
func (p *Port) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

// Append implements ports.Log.
func (p *Port) Append(ctx context.Context, data []byte) (int64, error) {
	faults := p.currentFaults()
	p.countAppend()
	inDoubt := fmt.Errorf("append: %w", ports.ErrInDoubt)
	if !p.pause(ctx, faults.Latency) {
		return 0, inDoubt
	}
	switch faults.Append {
	case FaultDown:
		return 0, fmt.Errorf("append: %w", ports.ErrUnavailable)
	case FaultCutBefore:
		return 0, inDoubt
	case FaultSilent:
		p.awaitCancel(ctx)
		return 0, inDoubt
	}
	offset := p.log.Append(data)
	if faults.Append == FaultSilentAfter {
		p.awaitCancel(ctx)
	}
	if faults.Append != FaultNone || !p.pause(ctx, faults.Latency) {
		return 0, inDoubt
	}
	return offset, nil
}

// Read implements ports.Log.
func (p *Port) Read(ctx context.Context, from int64, limit int, wait time.Duration) (ports.Batch, error) {
	deadline, stop := newTimer(wait)
	defer stop()
	unavailable := fmt.Errorf("read: %w", ports.ErrUnavailable)
	for {
		faults := p.currentFaults()
		if !p.pause(ctx, faults.Latency) || faults.Read == FaultDown {
			return ports.Batch{}, unavailable
		}
		if faults.Read != FaultNone {
			p.awaitCancel(ctx)
			return ports.Batch{}, unavailable
		}
		batch, changed, err := p.log.read(from, limit)
		if faults.AnswerBytes > 0 && dataBytes(batch) > faults.AnswerBytes {
			return ports.Batch{}, unavailable
		}
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return ports.Batch{}, unavailable
		case <-p.dead:
			return ports.Batch{}, unavailable
		case <-deadline:
			return batch, nil
		case <-changed:
		}
	}
}

// dataBytes returns the total size of the records of a batch.
func dataBytes(batch ports.Batch) int {
	bytes := 0
	for _, r := range batch.Records {
		bytes += len(r.Data)
	}
	return bytes
}

// currentFaults returns the faults for a call that starts now.
func (p *Port) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// countAppend counts a call of Append.
func (p *Port) countAppend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appends++
}

// awaitCancel waits until ctx ends or the VM is killed.
func (p *Port) awaitCancel(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.dead:
	}
}

// pause waits for d and then for the end of a freeze. It returns false when ctx
// ended or the VM was killed.
func (p *Port) pause(ctx context.Context, d time.Duration) bool {
	due, stop := newTimer(d)
	defer stop()
	select {
	case <-ctx.Done():
		return false
	case <-p.dead:
		return false
	case <-due:
	}
	p.mu.Lock()
	frozen := p.frozen
	p.mu.Unlock()
	if frozen == nil {
		return ctx.Err() == nil
	}
	select {
	case <-p.dead:
		return false
	case <-frozen:
		return ctx.Err() == nil
	}
}

// newTimer returns a channel that is ready after d, and a function that stops the
// timer. For d of 0 it creates no timer, because selecting on an expired timer in
// virtual time crashes the race detector of Go 1.26.
func newTimer(d time.Duration) (<-chan time.Time, func() bool) {
	if d <= 0 {
		due := make(chan time.Time)
		close(due)
		return due, func() bool { return false }
	}
	timer := time.NewTimer(d)
	return timer.C, timer.Stop
}
