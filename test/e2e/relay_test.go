package e2e

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay forwards TCP connections to a target. It can be cut: it then closes the open
// connections and refuses new ones.
type relay struct {
	address string

	mu       sync.Mutex
	target   string
	listener net.Listener // nil while cut
	open     map[net.Conn]bool
}

// newRelay returns a relay to a target address, which may be set later.
func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{address: listener.Addr().String(), target: target, listener: listener, open: make(map[net.Conn]bool)}
	go r.accept(listener)
	t.Cleanup(r.cut)
	return r
}

func (r *relay) setTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// cut cuts the relay. It does nothing if the relay is cut already.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return
	}
	_ = r.listener.Close()
	r.listener = nil
	for c := range r.open {
		_ = c.Close()
	}
	clear(r.open)
}

// heal makes a cut relay accept connections again at the same address.
func (r *relay) heal(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", r.address)
	assert.NilError(t, err)
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	go r.accept(listener)
}

func (r *relay) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go r.connect(listener, near)
	}
}

func (r *relay) connect(listener net.Listener, near net.Conn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	if !r.register(listener, near, far) {
		_ = near.Close()
		_ = far.Close()
		return
	}
	go r.pipe(near, far)
	go r.pipe(far, near)
}

// register records the open connections. It returns false if the relay was cut after the
// first of them was accepted.
func (r *relay) register(listener net.Listener, conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != listener {
		return false
	}
	for _, c := range conns {
		r.open[c] = true
	}
	return true
}

func (r *relay) pipe(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range []net.Conn{from, to} {
		_ = c.Close()
		delete(r.open, c)
	}
}
