// Package peer connects VMs by twirp: it serves the peer services from the
// control loop and the dispatcher, and calls them on other VMs.
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
	idlePerPeer         = 8
	maxCachedPeers      = 256
	heartbeatPathSuffix = "/Heartbeat"
)

// stubs are the generated clients of one VM.
type stubs struct {
	control  peerpb.Control
	dispatch peerpb.Dispatch
}

// Clients holds the connections to other VMs, by address. Control traffic has its
// own, so that slow requests never hold up heartbeats. It is safe for concurrent use.
type Clients struct {
	control  *http.Client
	dispatch *http.Client

	mu    sync.Mutex
	stubs map[string]stubs
}

// NewClients returns an empty set of connections.
func NewClients() *Clients {
	return &Clients{
		control:  newClient(controlConnections),
		dispatch: newClient(dispatchConnections),
		stubs:    make(map[string]stubs),
	}
}

// newClient returns a traced client with a bound on the connections to one VM.
func newClient(connections int) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: min(connections, idlePerPeer),
		IdleConnTimeout:     idleTimeout,
	}
	return &http.Client{Transport: otelhttp.NewTransport(transport, otelhttp.WithFilter(notHeartbeat))}
}

func notHeartbeat(r *http.Request) bool {
	path := r.URL.Path
	return len(path) < len(heartbeatPathSuffix) || path[len(path)-len(heartbeatPathSuffix):] != heartbeatPathSuffix
}

// at returns the stubs for an address.
func (c *Clients) at(address string) stubs {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.stubs[address]; ok {
		return s
	}
	if len(c.stubs) >= maxCachedPeers {
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

// call runs one RPC and sorts its error: ports.ErrUnavailable when no
// connection was made, so that the peer did nothing, ports.ErrInDoubt otherwise.
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
