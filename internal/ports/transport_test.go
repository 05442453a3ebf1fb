package ports

import (
	"errors"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSealForbidsLateWrite has the transport write after the call was reported as unsent.
func TestSealForbidsLateWrite(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	assert.NilError(t, near.SetDeadline(time.Now())) // a write that gets through fails at once
	conn := &guardedConn{Conn: near}
	x := &exchange{}
	x.gotConn(httptrace.GotConnInfo{Conn: conn})
	assert.ErrorIs(t, x.classify(), ErrUnavailable)
	_, err := conn.Write([]byte("x"))
	assert.ErrorIs(t, err, errSealed)
}

// TestOpaqueConnectionIsInDoubt covers a client that was made without guardedConn.
func TestOpaqueConnectionIsInDoubt(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	x := &exchange{}
	x.gotConn(httptrace.GotConnInfo{Conn: near})
	assert.Assert(t, errors.Is(x.classify(), ErrInDoubt))
}
