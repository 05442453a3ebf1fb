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

// errWriteBlocked is returned to the transport when it writes to a blocked connection.
var errWriteBlocked = errors.New("write on a blocked connection")

// NewHTTPClient returns a client for the ports of this package. It opens at most
// maxConns connections to a host (0 means no bound), keeps idle connections unless
// disableKeepAlives is set, never follows redirects, ignores proxy settings, and starts
// a span for each call. Its connections track whether a call was sent.
func NewHTTPClient(maxConns int, disableKeepAlives bool) *http.Client {
	transport := &http.Transport{
		DialContext:         dialGuarded,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     newTracedTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// tracedTransport starts a span for each call and propagates the trace context.
type tracedTransport struct {
	http.RoundTripper
	pool *http.Transport
}

func newTracedTransport(pool *http.Transport) *tracedTransport {
	traced := otelhttp.NewTransport(pool,
		otelhttp.WithPropagators(propagation.TraceContext{}),
		otelhttp.WithFilter(hasParentSpan))
	return &tracedTransport{RoundTripper: traced, pool: pool}
}

// hasParentSpan excludes calls without a parent span from tracing: every poll, renewal and
// read of the log would be a trace of its own, several hundred per second.
func hasParentSpan(r *http.Request) bool {
	return trace.SpanContextFromContext(r.Context()).IsValid()
}

// CloseIdleConnections closes the idle connections of the pool; the transport of
// otelhttp does not forward this call.
func (t *tracedTransport) CloseIdleConnections() { t.pool.CloseIdleConnections() }

func dialGuarded(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: c}, nil
}

// guardedConn tracks whether any byte was passed to the operating system since an
// HTTP exchange began, and can block writes if none was. An HTTP/1.1 connection
// carries one exchange at a time.
type guardedConn struct {
	net.Conn
	mu      sync.Mutex
	wrote   bool
	blocked bool
}

// Write sends b unless the connection is blocked.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.allowWrite() {
		return 0, errWriteBlocked
	}
	return c.Conn.Write(b)
}

func (c *guardedConn) allowWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked {
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

// blockIfUnsent reports whether nothing was written since begin, and if so blocks all
// later writes: when the call's context ends, the transport may still be about to write.
func (c *guardedConn) blockIfUnsent() (nothingSent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wrote {
		return false
	}
	c.blocked = true
	return true
}
