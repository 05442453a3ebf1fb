// Package peer implements the calls between VMs, which use Twirp: the servers over the
// control loop and the dispatcher, and the clients.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"github.com/eelgrassreach/eelgrassreach/internal/peer/peerpb"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleTimeout         = 30 * time.Second
	controlConnections  = 4
	dispatchConnections = 64
	maxIdlePerPeer      = 8
	maxCachedStubs      = 256
	heartbeatPathSuffix = "/Heartbeat"
)

// stubs are the generated clients for one VM.
type stubs struct {
	control  peerpb.Control
	dispatch peerpb.Dispatch
}

// Clients calls other VMs. Control and dispatch calls use separate connections, so that
// slow requests do not delay heartbeats. Clients is safe for concurrent use.
type Clients struct {
	control  *http.Client
	dispatch *http.Client

	mu    sync.Mutex
	stubs map[string]stubs // by address
}

// NewClients returns Clients without open connections.
func NewClients() *Clients {
	return &Clients{
		control:  newClient(controlConnections),
		dispatch: newClient(dispatchConnections),
		stubs:    make(map[string]stubs),
	}
}

// newClient returns an HTTP client with tracing and a limit on the connections to one VM.
func newClient(connections int) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: min(connections, maxIdlePerPeer),
		IdleConnTimeout:     idleTimeout,
	}
	return &http.Client{Transport: otelhttp.NewTransport(transport, otelhttp.WithFilter(notHeartbeat))}
}

func notHeartbeat(r *http.Request) bool {
	path := r.URL.Path
	return len(path) < len(heartbeatPathSuffix) || path[len(path)-len(heartbeatPathSuffix):] != heartbeatPathSuffix
}

// stubsFor returns the stubs for an address. When the cache is full, it is emptied.
func (c *Clients) stubsFor(address string) stubs {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.stubs[address]; ok {
		return s
	}
	if len(c.stubs) >= maxCachedStubs {
		clear(c.stubs)
	}
	base := "http://" + address
	s := stubs{
		control:  peerpb.NewControlProtobufClient(base, c.control),
		dispatch: peerpb.NewDispatchProtobufClient(base, c.dispatch),
	}
	c.stubs[address] = s
	return s
}

// call runs one RPC and classifies its error. The error wraps ports.ErrUnavailable if the
// call had no effect, because no connection was made or the peer answered
// FailedPrecondition; otherwise it wraps ports.ErrInDoubt.
func call[T any](ctx context.Context, rpc func(context.Context) (T, error)) (T, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	reply, err := rpc(httptrace.WithClientTrace(ctx, trace))
	if err == nil {
		return reply, nil
	}
	var status twirp.Error
	refused := errors.As(err, &status) && status.Code() == twirp.FailedPrecondition
	if refused || !connected.Load() {
		return reply, fmt.Errorf("%w: %w", ports.ErrUnavailable, err)
	}
	return reply, fmt.Errorf("%w: %w", ports.ErrInDoubt, err)
}
