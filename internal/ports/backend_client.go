package ports

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	defaultServerConnections = 16
	minServerConnections     = 4
	// controlConnections are reserved for commands, status and pings, so that
	// requests never delay the renewal of a lease.
	controlConnections = 2
	lookupConnections  = 1
	contentTypeJSON    = "application/json"
)

var (
	_ Dialer  = (*HTTPDialer)(nil)
	_ Backend = (*backendClient)(nil)
)

// DialerOptions are the settings of an HTTPDialer.
type DialerOptions struct {
	// ConnectionsPerServer bounds the connections to one backend server; 0 means
	// 16, and the minimum is 4. The VMs of an availability zone share the 64
	// connections that a backend server accepts.
	ConnectionsPerServer int
}

// HTTPDialer creates clients of backend servers and caches one for each address.
type HTTPDialer struct {
	connections int
	mu          sync.Mutex
	backends    map[string]*backendClient
}

// NewHTTPDialer returns a dialer; it opens no connections yet.
func NewHTTPDialer(opts DialerOptions) *HTTPDialer {
	n := opts.ConnectionsPerServer
	if n == 0 {
		n = defaultServerConnections
	}
	return &HTTPDialer{
		connections: max(n, minServerConnections),
		backends:    make(map[string]*backendClient),
	}
}

// Backend returns the client of the backend server at an address, IP:port.
func (d *HTTPDialer) Backend(address string) Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b, ok := d.backends[address]; ok {
		return b
	}
	b := newBackendClient(address, d.connections)
	d.backends[address] = b
	return b
}

// Close closes the idle connections of all clients.
func (d *HTTPDialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.backends {
		b.close()
	}
}

// backendClient is the port to one backend server over HTTP.
type backendClient struct {
	base      string
	control   *http.Client
	execute   *http.Client
	lookup    *http.Client // opens a new connection for each call
	sendTimes sendTimes
	status    statusCache
}

func newBackendClient(address string, connections int) *backendClient {
	return &backendClient{
		base:    "http://" + address,
		control: NewHTTPClient(controlConnections, false),
		execute: NewHTTPClient(connections-controlConnections-lookupConnections, false),
		lookup:  NewHTTPClient(lookupConnections, true),
	}
}

func (b *backendClient) close() {
	b.control.CloseIdleConnections()
	b.execute.CloseIdleConnections()
	b.lookup.CloseIdleConnections()
}

func (b *backendClient) Ping(ctx context.Context) error {
	c := call{method: http.MethodGet, url: b.base + PathPing, readOnly: true}
	return c.send(ctx, b.control, nil)
}

func (b *backendClient) Command(ctx context.Context, batch CommandBatch) ([]TaskResult, error) {
	c, err := b.post(PathCommands, batch)
	if err != nil {
		return nil, err
	}
	var reply CommandReply
	if err := c.send(ctx, b.control, &reply); err != nil {
		return nil, err
	}
	if err := matchResults(batch, reply.Results); err != nil {
		return nil, c.wrapError(ErrInDoubt, err)
	}
	return reply.Results, nil
}

func (b *backendClient) Execute(ctx context.Context, e Execution) (Answer, error) {
	c, err := b.post(PathExecutions, e)
	if err != nil {
		return Answer{}, err
	}
	b.sendTimes.add(e.Request, time.Now())
	a, err := c.fetchAnswer(ctx, b.execute, e.Request)
	if err == nil && a.State != ExecutionRunning || errors.Is(err, ErrUnavailable) {
		b.sendTimes.remove(e.Request)
	}
	return a, err
}

// Lookup returns ErrNotFound only if the backend server has remembered requests since
// before this client sent the request: a backend server that was restarted since then
// has forgotten the requests that it ran before.
func (b *backendClient) Lookup(ctx context.Context, id model.RequestID) (Answer, error) {
	path := PathExecutions + "/" + url.PathEscape(string(id)) + PathLookup
	c := call{method: http.MethodPost, url: b.base + path}
	a, err := c.fetchAnswer(ctx, b.lookup, id)
	if err == nil && a.State == ExecutionRefused {
		return Answer{}, c.wrapError(ErrInDoubt, errors.New("unexpected state refused in the answer to a lookup"))
	}
	var unknown *unknownError
	if errors.As(err, &unknown) && !b.sendTimes.sentWithin(id, unknown.rememberedFor, time.Now()) {
		return Answer{}, c.wrapError(ErrInDoubt, errors.New("the request may have been sent before the backend server started"))
	}
	return a, err
}

func (b *backendClient) post(path string, body any) (call, error) {
	c := call{method: http.MethodPost, url: b.base + path, contentType: contentTypeJSON}
	data, err := json.Marshal(body)
	if err != nil {
		return c, c.wrapError(ErrUnavailable, err)
	}
	c.body = data
	return c, nil
}

// fetchAnswer sends the call and returns the verified answer to the request.
func (c call) fetchAnswer(ctx context.Context, client *http.Client, id model.RequestID) (Answer, error) {
	var a Answer
	if err := c.send(ctx, client, &a); err != nil {
		return Answer{}, err
	}
	if err := a.verify(id); err != nil {
		return Answer{}, c.wrapError(ErrInDoubt, err)
	}
	return a, nil
}

// verify returns an error if the answer belongs to another request, is truncated or was altered.
func (a Answer) verify(id model.RequestID) error {
	if a.Request != id {
		return fmt.Errorf("the answer is to request %q, not %q", a.Request, id)
	}
	switch a.State {
	case ExecutionRunning, ExecutionRefused:
		return nil
	case ExecutionDone, ExecutionFailed:
		return a.verifyBody()
	default:
		return fmt.Errorf("unknown execution state %q", a.State)
	}
}

func (a Answer) verifyBody() error {
	if a.Length != len(a.Body) {
		return fmt.Errorf("the answer has %d bytes of %d", len(a.Body), a.Length)
	}
	if a.Digest != Digest(a.Body) {
		return fmt.Errorf("the answer does not match its digest")
	}
	return nil
}

// Digest returns the SHA-256 of body in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// matchResults checks that there is one result for each command of the batch, in order.
func matchResults(batch CommandBatch, results []TaskResult) error {
	if len(results) != len(batch.Commands) {
		return fmt.Errorf("%d results for %d commands", len(results), len(batch.Commands))
	}
	for i, r := range results {
		if r.Task != batch.Commands[i].Task {
			return fmt.Errorf("result %d is of task %q, not %q", i, r.Task, batch.Commands[i].Task)
		}
	}
	return nil
}
