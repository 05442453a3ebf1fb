package ports

import (
	"errors"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateWriteIsBlocked covers a write of the transport after the call was reported as unsent.
func TestLateWriteIsBlocked(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	assert.NilError(t, near.SetDeadline(time.Now())) // a write that is not blocked fails with a timeout
	conn := &guardedConn{Conn: near}
	tracker := &connTracker{}
	tracker.gotConn(httptrace.GotConnInfo{Conn: conn})
	assert.ErrorIs(t, tracker.classify(), ErrUnavailable)
	_, err := conn.Write([]byte("x"))
	assert.ErrorIs(t, err, errWriteBlocked)
}

// TestUntrackedConnectionIsInDoubt covers an HTTP client whose connections are not guardedConns.
func TestUntrackedConnectionIsInDoubt(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	tracker := &connTracker{}
	tracker.gotConn(httptrace.GotConnInfo{Conn: near})
	assert.Assert(t, errors.Is(tracker.classify(), ErrInDoubt))
}
