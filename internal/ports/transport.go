package ports

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	keepAlivePeriod = 5 * time.Second
)

// errSealed is returned to the transport when it writes on a sealed connection.
var errSealed = errors.New("connection sealed before its first byte")

// NewHTTPClient returns a client for the ports of this package. It opens at most
// connections to one host, 0 means no bound; it keeps idle connections unless
// fresh is set, never follows redirects, ignores proxy settings, and makes a span
// for each call. Its connections tell with certainty whether a call was sent.
func NewHTTPClient(connections int, fresh bool) *http.Client {
	transport := &http.Transport{
		DialContext:         dialGuarded,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     newTracedTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// tracedTransport makes a span for each call and passes the trace context on.
type tracedTransport struct {
	http.RoundTripper
	pool *http.Transport
}

func newTracedTransport(pool *http.Transport) *tracedTransport {
	traced := otelhttp.NewTransport(pool,
		otelhttp.WithPropagators(propagation.TraceContext{}),
		otelhttp.WithFilter(inTrace))
	return &tracedTransport{RoundTripper: traced, pool: pool}
}

// inTrace leaves calls without a parent span out of the traces: polls, renewals and
// reads of the log would make a trace each, several hundred a second.
func inTrace(r *http.Request) bool {
	return trace.SpanContextFromContext(r.Context()).IsValid()
}

// CloseIdleConnections closes the idle connections of the pool, which the wrapper
// of otelhttp doesn't.
func (t *tracedTransport) CloseIdleConnections() { t.pool.CloseIdleConnections() }

func dialGuarded(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: c}, nil
}

// guardedConn knows whether any byte was handed to the operating system since an
// exchange began, and can forbid the first one. An HTTP/1.1 connection carries one
// exchange at a time.
type guardedConn struct {
	net.Conn
	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write sends b unless the connection was sealed before.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.admitWrite() {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

func (c *guardedConn) admitWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.wrote = true
	return true
}

// begin marks the start of an exchange.
func (c *guardedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// seal reports whether nothing was written since begin, and if so forbids all
// later writes. The transport may still be about to write when a context ends.
func (c *guardedConn) seal() (nothingSent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wrote {
		return false
	}
	c.sealed = true
	return true
}
