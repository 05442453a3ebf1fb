package ports

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// maxAnswerBytes bounds the body of an answer that a client reads.
const maxAnswerBytes = 64 << 20

// call is one HTTP request of a port.
type call struct {
	method      string
	url         string
	contentType string
	body        []byte
	// readOnly is set for a call that has no effect on the server and may be
	// repeated: all its failures are ErrUnavailable.
	readOnly bool
	// condition is set for a read that the server may answer with 304 Not Modified.
	condition *condition
}

// send sends the call and decodes the body of a 200 response into reply, unless reply is nil.
func (c call) send(ctx context.Context, client *http.Client, reply any) error {
	tracker := &connTracker{}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, tracker.trace()), c.method, c.url, c.bodyReader())
	if err != nil {
		return c.wrapError(ErrUnavailable, err)
	}
	// Without GetBody the transport cannot retry the call by sending the body again.
	req.GetBody = nil
	if c.contentType != "" {
		req.Header.Set("Content-Type", c.contentType)
	}
	c.condition.apply(req.Header)
	resp, err := client.Do(req)
	if err != nil {
		return c.wrapError(tracker.classify(), err)
	}
	defer resp.Body.Close()
	return c.readResponse(resp, reply)
}

func (c call) bodyReader() io.Reader {
	if len(c.body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(c.body)
}

func (c call) readResponse(resp *http.Response, reply any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return c.wrapError(ErrInDoubt, err)
	}
	if c.condition.checkNotModified(resp) {
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		return c.statusError(resp.StatusCode, data)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return c.wrapError(ErrInDoubt, fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

// statusError converts a status other than 200 to an error. The status alone proves
// nothing: without a well-formed Problem in the body the outcome is in doubt.
func (c call) statusError(status int, data []byte) error {
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil {
		return c.wrapError(ErrInDoubt, fmt.Errorf("status %d without a problem body", status))
	}
	cause := fmt.Errorf("status %d: %s", status, p.Message)
	switch {
	case status == http.StatusNotFound && p.Code == CodeNotFound:
		return c.wrapError(ErrNotFound, &unknownError{cause: cause, rememberedFor: time.Duration(p.KeptMS) * time.Millisecond})
	case status == http.StatusGone && p.Code == CodeTrimmed:
		return c.wrapError(ErrTrimmed, cause)
	case p.Effect == EffectNone:
		return c.wrapError(ErrUnavailable, cause)
	default:
		return c.wrapError(ErrInDoubt, cause)
	}
}

// unknownError means that the server does not know an item. rememberedFor is how long
// the server has remembered what it received.
type unknownError struct {
	cause         error
	rememberedFor time.Duration
}

// Error returns the message of the cause.
func (e *unknownError) Error() string { return e.cause.Error() }

// wrapError returns an error that wraps the class, such as ErrInDoubt, and the cause.
func (c call) wrapError(class, cause error) error {
	if c.readOnly && errors.Is(class, ErrInDoubt) {
		class = ErrUnavailable
	}
	return fmt.Errorf("%s %s: %w: %w", c.method, c.url, class, cause)
}

// connTracker tracks the connection that the transport uses for one call, to find out
// whether the call was sent.
type connTracker struct {
	mu   sync.Mutex
	conn *guardedConn
	// untracked is set if the call got a connection whose writes are not tracked, or
	// a second connection.
	untracked bool
}

func (t *connTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*guardedConn)
	if !ok || t.conn != nil {
		t.untracked = true
		return
	}
	conn.begin()
	t.conn = conn
}

// classify returns ErrUnavailable if no byte of the call was sent and none can be sent
// later, and ErrInDoubt otherwise.
func (t *connTracker) classify() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.untracked {
		return ErrInDoubt
	}
	if t.conn == nil || t.conn.blockIfUnsent() {
		return ErrUnavailable
	}
	return ErrInDoubt
}
