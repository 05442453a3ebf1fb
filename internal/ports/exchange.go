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

// call is one HTTP call of a port.
type call struct {
	method      string
	url         string
	contentType string
	body        []byte
	// harmless is set for a call that has no effect on the other side, so that it
	// may be repeated: each of its failures is ErrUnavailable.
	harmless bool
	// condition is set for a read that the other side may answer as not modified.
	condition *condition
}

// send makes the call and decodes the body of a 200 answer into reply, unless it is nil.
func (c call) send(ctx context.Context, client *http.Client, reply any) error {
	x := &exchange{}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, x.trace()), c.method, c.url, c.reader())
	if err != nil {
		return c.fail(ErrUnavailable, err)
	}
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	if c.contentType != "" {
		req.Header.Set("Content-Type", c.contentType)
	}
	c.condition.apply(req.Header)
	resp, err := client.Do(req)
	if err != nil {
		return c.fail(x.classify(), err)
	}
	defer resp.Body.Close()
	return c.read(resp, reply)
}

func (c call) reader() io.Reader {
	if len(c.body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(c.body)
}

func (c call) read(resp *http.Response, reply any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return c.fail(ErrInDoubt, err)
	}
	if c.condition.met(resp) {
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		return c.refused(resp.StatusCode, data)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return c.fail(ErrInDoubt, fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

// refused maps a status other than 200. Only a well-formed Problem proves anything.
func (c call) refused(status int, data []byte) error {
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil {
		return c.fail(ErrInDoubt, fmt.Errorf("status %d without a problem body", status))
	}
	cause := fmt.Errorf("status %d: %s", status, p.Message)
	switch {
	case status == http.StatusNotFound && p.Code == CodeNotFound:
		return c.fail(ErrNotFound, &unknownError{cause: cause, kept: time.Duration(p.KeptMS) * time.Millisecond})
	case status == http.StatusGone && p.Code == CodeTrimmed:
		return c.fail(ErrTrimmed, cause)
	case p.Effect == EffectNone:
		return c.fail(ErrUnavailable, cause)
	default:
		return c.fail(ErrInDoubt, cause)
	}
}

// unknownError says that the other side knows nothing of an item, and for how long
// it has remembered what it was sent.
type unknownError struct {
	cause error
	kept  time.Duration
}

// Error returns the message of the cause.
func (e *unknownError) Error() string { return e.cause.Error() }

// fail wraps the cause and its class.
func (c call) fail(class, cause error) error {
	if c.harmless && errors.Is(class, ErrInDoubt) {
		class = ErrUnavailable
	}
	return fmt.Errorf("%s %s: %w: %w", c.method, c.url, class, cause)
}

// exchange follows the connections that one call was given.
type exchange struct {
	mu   sync.Mutex
	conn *guardedConn
	// opaque is set when the call was given a connection whose writes are not
	// known, or a second connection.
	opaque bool
}

func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: x.gotConn}
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	conn, ok := info.Conn.(*guardedConn)
	if !ok || x.conn != nil {
		x.opaque = true
		return
	}
	conn.begin()
	x.conn = conn
}

// classify returns ErrUnavailable when no byte of the call was sent nor ever will
// be, and ErrInDoubt otherwise.
func (x *exchange) classify() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.opaque {
		return ErrInDoubt
	}
	if x.conn == nil || x.conn.seal() {
		return ErrUnavailable
	}
	return ErrInDoubt
}
