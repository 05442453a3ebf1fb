// Package prepared plays the prepared platform for tests with real processes: its store, its backend
// servers and the network between availability zones. It speaks the platform's published protocol, and
// records what the backend servers run.
package prepared

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// StoreSite is the name of the store's side of a path; all other sides are availability zones.
const StoreSite = "store"

// pathCheck is the time between two looks at a path that is cut.
const pathCheck = 20 * time.Millisecond

// Network holds which paths between availability zones, and between them and the store, are cut, both ways or
// one way. A cut path is silent: what is sent stays unanswered, and open connections stay open.
type Network struct {
	mu  sync.Mutex
	cut map[[2]string]int // by sender and receiver
	// silencedAt is when the connections that were open then went silent for good.
	silencedAt time.Time
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network { return &Network{cut: make(map[[2]string]int)} }

// Cut cuts a path both ways until the returned function is called. Cuts of one path may overlap.
func (n *Network) Cut(a, b string) (heal func()) {
	there, back := n.CutOneWay(a, b), n.CutOneWay(b, a)
	return func() {
		there()
		back()
	}
}

// CutOneWay lets what one side sends to the other stay away until the returned function is called. What
// comes back arrives, answers included.
func (n *Network) CutOneWay(from, to string) (heal func()) {
	n.change(from, to, 1)
	return sync.OnceFunc(func() { n.change(from, to, -1) })
}

func (n *Network) change(from, to string, d int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] += d
}

// Open reports whether what one side sends reaches the other. A side always reaches itself.
func (n *Network) Open(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return from == to || n.cut[[2]string{from, to}] == 0
}

// SilenceConnections lets all connections that are open now go silent for good, without a reset.
func (n *Network) SilenceConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silencedAt = time.Now()
}

// silent reports whether a connection that was opened at the given time has gone silent.
func (n *Network) silent(opened time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return opened.Before(n.silencedAt)
}

type openedKey struct{}

// noteOpened is a http.Server's ConnContext. It notes when a connection was opened.
func noteOpened(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

// silentRequest reports whether the connection of a request has gone silent.
func (n *Network) silentRequest(r *http.Request) bool {
	opened, ok := r.Context().Value(openedKey{}).(time.Time)
	return ok && n.silent(opened)
}

// await waits until what one side sends reaches the other. It returns false if ctx ends before.
func (n *Network) await(ctx context.Context, from, to string) bool {
	for !n.Open(from, to) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pathCheck):
		}
	}
	return true
}

// Relay passes connections and datagrams from one side of a path on to an address on the other side.
type Relay struct {
	Address string // IP:port of both the listener and the socket

	network  *Network
	from, to string
	target   string
	ctx      context.Context
	listener net.Listener
	socket   net.PacketConn
}

// NewRelay starts a relay that runs until ctx ends.
func NewRelay(ctx context.Context, n *Network, from, to, target string) (*Relay, error) {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		u, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil {
			_ = l.Close()
			continue // another socket has this port; the next one differs
		}
		r := &Relay{Address: l.Addr().String(), network: n, from: from, to: to, target: target, ctx: ctx, listener: l, socket: u}
		context.AfterFunc(ctx, func() {
			_ = l.Close()
			_ = u.Close()
		})
		go r.accept()
		go r.passDatagrams()
		return r, nil
	}
}

func (r *Relay) passDatagrams() {
	buffer := make([]byte, 64<<10)
	target, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return
	}
	for {
		n, _, err := r.socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		if r.network.Open(r.from, r.to) {
			_, _ = r.socket.WriteTo(buffer[:n], target) // datagrams may be lost
		}
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	opened := time.Now()
	for !r.network.Open(r.from, r.to) || !r.network.Open(r.to, r.from) { // a connection is made by packets both ways
		if !r.network.await(r.ctx, r.from, r.to) || !r.network.await(r.ctx, r.to, r.from) {
			return
		}
	}
	d, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	stop := context.AfterFunc(r.ctx, func() {
		_ = c.Close()
		_ = d.Close()
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { r.copy(d, c, r.from, r.to, opened) })
	both.Go(func() { r.copy(c, d, r.to, r.from, opened) })
	both.Wait()
}

// copy passes bytes on that one side sends to the other; they wait while the path is cut.
func (r *Relay) copy(out, in net.Conn, from, to string, opened time.Time) {
	defer func() {
		_ = out.Close()
		_ = in.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			if !r.network.await(r.ctx, from, to) {
				return
			}
			if r.network.silent(opened) {
				continue
			}
			if _, err := out.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
