package command

import (
	"context"
	"sync"
)

// Gate admits commands until it is closed and counts the commands in flight.
type Gate struct {
	mu       sync.Mutex
	closed   bool
	inFlight int
	drained  chan struct{} // closed once the gate is closed and no command is in flight
}

// NewGate returns an open gate.
func NewGate() *Gate {
	return &Gate{drained: make(chan struct{})}
}

// Enter admits one command; ok is false once the gate is closed. The release
// function must be called exactly once.
func (g *Gate) Enter() (release func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, false
	}
	g.inFlight++
	return g.leave, true
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.closed && g.inFlight == 0 {
		close(g.drained)
	}
}

// Close stops admission. Commands in flight continue.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	if g.inFlight == 0 {
		close(g.drained)
	}
}

// Wait waits until the gate is closed and no command is in flight. It returns the error
// of ctx if ctx ends first.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Closed reports whether the gate is closed.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}
