package dispatch

import (
	"context"
	"time"
)

const (
	pingEvery   = time.Second
	pingTimeout = 500 * time.Millisecond
	// pingMisses in a row make the exchanges with a server ask on other connections.
	pingMisses = 2
)

// pinger proves the paths to backend servers: those that have requests in flight,
// and those that were ejected for their path.
type pinger struct {
	d      *Dispatcher
	next   time.Time
	misses map[string]int // by address; guarded by the dispatcher's lock
	busy   map[string]bool
}

func newPinger(d *Dispatcher) *pinger {
	return &pinger{d: d, misses: map[string]int{}, busy: map[string]bool{}}
}

func (p *pinger) tick(ctx context.Context, now time.Time) {
	if now.Before(p.next) {
		return
	}
	p.next = now.Add(pingEvery)
	for _, address := range p.due() {
		go p.ping(ctx, address)
	}
}

func (p *pinger) due() []string {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	var out []string
	for _, address := range p.d.scheduler.PingTargets() {
		if !p.busy[address] {
			p.busy[address] = true
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
	delete(p.busy, address)
	if err == nil {
		delete(p.misses, address)
		p.d.scheduler.MarkReachable(address, time.Now())
		return
	}
	p.misses[address]++
	if p.misses[address] < pingMisses {
		return
	}
	p.d.suspect(address)
	if p.d.scheduler.MarkUnreachable(address, time.Now()) {
		p.d.metrics.ejections.Inc(1)
	}
}

// suspicion returns a channel that closes when the server misses its pings. The
// lock is held.
func (d *Dispatcher) suspicion(address string) <-chan struct{} {
	ch := d.suspected[address]
	if ch == nil {
		ch = make(chan struct{})
		d.suspected[address] = ch
	}
	return ch
}

func (d *Dispatcher) suspect(address string) {
	if ch := d.suspected[address]; ch != nil {
		close(ch)
		delete(d.suspected, address)
	}
}
