package command

import (
	"context"
	"sync"
)

// Gate admits commands until it is closed and counts those inside.
type Gate struct {
	mu     sync.Mutex
	closed bool
	inside int
	idle   chan struct{} // closed when the gate is closed and empty
}

// NewGate returns an open gate.
func NewGate() *Gate {
	return &Gate{idle: make(chan struct{})}
}

// Enter admits one command; ok is false once the gate is closed. The release
// function must be called exactly once.
func (g *Gate) Enter() (release func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, false
	}
	g.inside++
	return g.leave, true
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	if g.closed && g.inside == 0 {
		close(g.idle)
	}
}

// Close stops admission. Commands inside go on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	if g.inside == 0 {
		close(g.idle)
	}
}

// Wait returns nil when the closed gate is empty, or the error of ctx.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Closed reports whether admission has stopped.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}
