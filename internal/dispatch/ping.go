package dispatch

import (
	"context"
	"time"
)

const (
	pingInterval = time.Second
	pingTimeout  = 500 * time.Millisecond
	// After maxMissedPings consecutive missed pings, the exchanges with a server look up
	// their outcomes on other connections.
	maxMissedPings = 2
)

// pinger checks the network paths to backend servers by pings. See
// Scheduler.PingTargets for the servers.
type pinger struct {
	d    *Dispatcher
	next time.Time
	// The maps below are by address. The dispatcher's lock guards them.
	missedPings map[string]int // consecutive
	inFlight    map[string]bool
}

func newPinger(d *Dispatcher) *pinger {
	return &pinger{d: d, missedPings: map[string]int{}, inFlight: map[string]bool{}}
}

func (p *pinger) tick(ctx context.Context, now time.Time) {
	if now.Before(p.next) {
		return
	}
	p.next = now.Add(pingInterval)
	for _, address := range p.claimTargets() {
		go p.ping(ctx, address)
	}
}

func (p *pinger) claimTargets() []string {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	var out []string
	for _, address := range p.d.scheduler.PingTargets() {
		if !p.inFlight[address] {
			p.inFlight[address] = true
			out = append(out, address)
		}
	}
	return out
}

func (p *pinger) ping(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := p.d.ports.Dialer.Backend(address).Ping(ctx)
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	delete(p.inFlight, address)
	if err == nil {
		delete(p.missedPings, address)
		p.d.scheduler.MarkReachable(address, time.Now())
		return
	}
	p.missedPings[address]++
	if p.missedPings[address] < maxMissedPings {
		return
	}
	p.d.markSuspect(address)
	if p.d.scheduler.MarkUnreachable(address, time.Now()) {
		p.d.metrics.ejections.Inc(1)
	}
}

// suspectChannel returns a channel that is closed when the server misses its pings. The
// caller holds d.mu.
func (d *Dispatcher) suspectChannel(address string) <-chan struct{} {
	ch := d.suspects[address]
	if ch == nil {
		ch = make(chan struct{})
		d.suspects[address] = ch
	}
	return ch
}

func (d *Dispatcher) markSuspect(address string) {
	if ch := d.suspects[address]; ch != nil {
		close(ch)
		delete(d.suspects, address)
	}
}
