package journaltest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Fault is what happens to one call through a port.
type Fault int

// The faults of calls.
const (
	FaultNone        Fault = iota
	FaultDown              // refused without effect
	FaultCutBefore         // an append is cut off before its effect; the caller cannot tell
	FaultCutAfter          // an append is cut off after its effect
	FaultSilent            // no answer ever, no effect
	FaultSilentAfter       // no answer ever, after the effect of an append
)

// Faults are the settings of a port.
type Faults struct {
	Append  Fault
	Read    Fault
	Latency time.Duration // before the effect and again before the answer
	// AnswerBytes is the largest answer to a read that the client takes; 0 for any.
	AnswerBytes int
}

// Port is a VM's link to the log. It implements ports.Log.
type Port struct {
	log *Log

	mu     sync.Mutex
	faults Faults
	calls  int
	frozen chan struct{} // closed at the end of a freeze; nil outside
	dead   chan struct{} // closed by Kill
}

// Port returns a VM's link to the log.
func (l *Log) Port() *Port { return &Port{log: l, dead: make(chan struct{})} }

// SetFaults changes the faults of later calls.
func (p *Port) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Freeze holds every call, also those under way, until Thaw.
func (p *Port) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = make(chan struct{})
	}
}

// Thaw lets held calls go on.
func (p *Port) Thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

// Kill cuts calls under way where they are and refuses later ones. It is called once.
func (p *Port) Kill() { close(p.dead) }

// Appends returns the number of appends that were tried.
func (p *Port) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Append implements ports.Log.
func (p *Port) Append(ctx context.Context, data []byte) (int64, error) {
	faults := p.current()
	p.count()
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
		p.silence(ctx)
		return 0, inDoubt
	}
	offset := p.log.Append(data)
	if faults.Append == FaultSilentAfter {
		p.silence(ctx)
	}
	if faults.Append != FaultNone || !p.pause(ctx, faults.Latency) {
		return 0, inDoubt
	}
	return offset, nil
}

// Read implements ports.Log.
func (p *Port) Read(ctx context.Context, from int64, limit int, wait time.Duration) (ports.Batch, error) {
	deadline, stop := alarm(wait)
	defer stop()
	unavailable := fmt.Errorf("read: %w", ports.ErrUnavailable)
	for {
		faults := p.current()
		if !p.pause(ctx, faults.Latency) || faults.Read == FaultDown {
			return ports.Batch{}, unavailable
		}
		if faults.Read != FaultNone {
			p.silence(ctx)
			return ports.Batch{}, unavailable
		}
		batch, changed, err := p.log.read(from, limit)
		if faults.AnswerBytes > 0 && size(batch) > faults.AnswerBytes {
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

// size returns the bytes of the records of a batch.
func size(batch ports.Batch) int {
	bytes := 0
	for _, r := range batch.Records {
		bytes += len(r.Data)
	}
	return bytes
}

// current returns the faults of a call that begins.
func (p *Port) current() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// count counts an append.
func (p *Port) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
}

// silence waits for the end of ctx, or of the VM.
func (p *Port) silence(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.dead:
	}
}

// pause waits for d and the end of a freeze; it returns false when ctx ended or
// the VM was killed.
func (p *Port) pause(ctx context.Context, d time.Duration) bool {
	due, stop := alarm(d)
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

// alarm returns a channel that is ready after d, and a function that stops it. It
// makes no timer for d of 0: selecting on a timer that is due crashes the race
// detector of Go 1.26 in virtual time.
func alarm(d time.Duration) (<-chan time.Time, func() bool) {
	if d <= 0 {
		due := make(chan time.Time)
		close(due)
		return due, func() bool { return false }
	}
	timer := time.NewTimer(d)
	return timer.C, timer.Stop
}
