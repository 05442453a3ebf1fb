package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// exchangeEnd tells how an exchange with a backend server ended.
type exchangeEnd int

const (
	endAnswered  exchangeEnd = iota // the answer is complete and belongs to this request
	endRefused                      // the server refused the request without executing it
	endUnsent                       // the server certainly did not get the request
	endNeverSeen                    // the server did not get the request so far and will refuse it from now on
	endInDoubt                      // the request may have run or may still run
)

type exchangeResult struct {
	end             exchangeEnd
	answer          ports.Answer // set for endAnswered and endRefused
	firstConnection bool         // the answer came on the connection that carried the request
	pathFailed      bool         // ended in doubt after the send or a look-up brought no usable reply
}

const (
	// minLookupDelay is the least wait for an answer before the outcome is looked up on
	// another connection.
	minLookupDelay = 500 * time.Millisecond
	// defaultSlowThreshold replaces the measured threshold for slow answers while there are
	// too few samples.
	defaultSlowThreshold = time.Second
	// lookupInterval is the pause between look-ups, each of which takes at most
	// lookupTimeout.
	lookupInterval = time.Second
	lookupTimeout  = time.Second
	// lookupRetryDelay is the pause before a look-up after the connection was lost or the
	// answer was bad.
	lookupRetryDelay = 50 * time.Millisecond
)

// exchange sends one execution to a backend server and waits for its outcome. When the
// answer takes too long or the connection is lost, it looks up the outcome by request ID
// on another connection. It ends when the outcome is certain or ctx ends.
type exchange struct {
	backend     ports.Backend
	execution   ports.Execution
	lookupDelay time.Duration   // wait for an answer before the first look-up
	suspected   <-chan struct{} // closed when the server misses its pings
	onBadAnswer func()          // called for an answer that is incomplete or of another request
	onLookup    func()

	sendReply      chan backendReply // nil after the reply
	lookupReply    chan backendReply // nil while no look-up is under way
	sendReplyLost  bool              // the send brought no usable reply
	lookupFailures int               // look-ups without an answer
}

type backendReply struct {
	answer ports.Answer
	err    error
}

func (x *exchange) run(ctx context.Context) exchangeResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.send(ctx)
	timer := time.NewTimer(x.lookupDelay)
	defer timer.Stop()
	for {
		select {
		case r := <-x.sendReply:
			x.sendReply = nil
			if res, ok := x.onSendReply(r); ok {
				return res
			}
			x.sendReplyLost = true
			timer.Reset(lookupRetryDelay)
		case r := <-x.lookupReply:
			x.lookupReply = nil
			if res, ok := x.onLookupReply(r); ok {
				return res
			}
			timer.Reset(x.nextLookupDelay(r))
		case <-x.suspected:
			x.suspected = nil
			x.startLookup(ctx)
		case <-timer.C:
			x.startLookup(ctx)
		case <-ctx.Done():
			return x.resultAtEnd()
		}
	}
}

// resultAtEnd returns the result after the end of the context. An answer that arrived at
// the same time is used.
func (x *exchange) resultAtEnd() exchangeResult {
	select {
	case r := <-x.sendReply:
		if res, ok := x.onSendReply(r); ok {
			return res
		}
	default:
	}
	return exchangeResult{end: endInDoubt, pathFailed: x.sendReplyLost || x.lookupFailures > 0}
}

func (x *exchange) send(ctx context.Context) {
	replies := make(chan backendReply, 1)
	x.sendReply = replies
	go func() {
		a, err := x.backend.Execute(ctx, x.execution)
		replies <- backendReply{a, err}
	}()
}

func (x *exchange) startLookup(ctx context.Context) {
	if x.lookupReply != nil {
		return
	}
	x.onLookup()
	replies := make(chan backendReply, 1)
	x.lookupReply = replies
	go func() {
		ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
		defer cancel()
		a, err := x.backend.Lookup(ctx, x.execution.Request)
		replies <- backendReply{a, err}
	}()
}

func (x *exchange) nextLookupDelay(r backendReply) time.Duration {
	if x.sendReplyLost && r.err != nil {
		return lookupRetryDelay
	}
	return lookupInterval
}

// onSendReply evaluates the reply to the send; ok is false when the outcome is still
// uncertain.
func (x *exchange) onSendReply(r backendReply) (exchangeResult, bool) {
	switch {
	case errors.Is(r.err, ports.ErrUnavailable):
		return exchangeResult{end: endUnsent}, true
	case r.err != nil:
		return exchangeResult{}, false
	default:
		res, ok := x.onAnswer(r.answer)
		res.firstConnection = true
		return res, ok
	}
}

func (x *exchange) onLookupReply(r backendReply) (exchangeResult, bool) {
	switch {
	case errors.Is(r.err, ports.ErrNotFound):
		return exchangeResult{end: endNeverSeen}, true
	case r.err != nil:
		x.lookupFailures++
		return exchangeResult{}, false
	default:
		return x.onAnswer(r.answer)
	}
}

func (x *exchange) onAnswer(a ports.Answer) (exchangeResult, bool) {
	if !isComplete(a, x.execution) {
		x.onBadAnswer()
		return exchangeResult{}, false
	}
	switch a.State {
	case ports.ExecutionDone, ports.ExecutionFailed:
		return exchangeResult{end: endAnswered, answer: a}, true
	case ports.ExecutionRefused:
		return exchangeResult{end: endRefused, answer: a}, true
	default:
		return exchangeResult{}, false
	}
}

// isComplete reports whether an answer belongs to the execution and, when the execution
// is done, contains the whole body.
func isComplete(a ports.Answer, e ports.Execution) bool {
	if a.Request != e.Request {
		return false
	}
	if a.State != ports.ExecutionDone {
		return true
	}
	return len(a.Body) == a.Length && digestOf(a.Body) == a.Digest
}
