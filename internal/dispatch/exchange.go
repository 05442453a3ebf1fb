package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// exchangeEnd says how an exchange with a backend server ended.
type exchangeEnd int

const (
	endAnswered  exchangeEnd = iota // the answer is whole and of this request
	endRefused                      // the server refused it unexecuted
	endUnsent                       // the server certainly did not get it
	endNeverSeen                    // the server never saw it and will refuse it
	endInDoubt                      // it may have run or may still run
)

type exchangeResult struct {
	end    exchangeEnd
	answer ports.Answer // endAnswered and endRefused
	direct bool         // answered on the connection that carried it
	silent bool         // ended in doubt after a look-up brought no answer either
}

const (
	// silenceMin and silenceDefault bound the wait for an answer before the outcome
	// is asked for on another connection.
	silenceMin     = 500 * time.Millisecond
	silenceDefault = time.Second
	// lookupEvery spaces further look-ups, which take at most lookupTimeout each.
	lookupEvery   = time.Second
	lookupTimeout = time.Second
	// lookupRetry is the pause after a connection was lost or a bad answer came.
	lookupRetry = 50 * time.Millisecond
)

// exchange sends one execution and watches it: after silence, and after a lost
// connection, the outcome is asked for by request ID on another connection. It
// ends when the outcome is certain or ctx ends.
type exchange struct {
	backend   ports.Backend
	execution ports.Execution
	silence   time.Duration
	suspect   <-chan struct{} // closes when the server misses a ping
	onBad     func()          // called for an answer that does not match
	onLookup  func()

	sent     chan reply // nil after the first reply
	asked    chan reply // nil while no look-up is under way
	lostSend bool
	misses   int // look-ups without an answer
}

type reply struct {
	answer ports.Answer
	err    error
}

func (x *exchange) run(ctx context.Context) exchangeResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.send(ctx)
	timer := time.NewTimer(x.silence)
	defer timer.Stop()
	for {
		select {
		case r := <-x.sent:
			x.sent = nil
			if res, ok := x.onReply(r); ok {
				return res
			}
			x.lostSend = true
			timer.Reset(lookupRetry)
		case r := <-x.asked:
			x.asked = nil
			if res, ok := x.onLookedUp(r); ok {
				return res
			}
			timer.Reset(x.pause(r))
		case <-x.suspect:
			x.suspect = nil
			x.ask(ctx)
		case <-timer.C:
			x.ask(ctx)
		case <-ctx.Done():
			return x.lastReply()
		}
	}
}

// lastReply takes an answer that arrived together with the end of the context.
func (x *exchange) lastReply() exchangeResult {
	select {
	case r := <-x.sent:
		if res, ok := x.onReply(r); ok {
			return res
		}
	default:
	}
	return exchangeResult{end: endInDoubt, silent: x.lostSend || x.misses > 0}
}

func (x *exchange) send(ctx context.Context) {
	sent := make(chan reply, 1)
	x.sent = sent
	go func() {
		a, err := x.backend.Execute(ctx, x.execution)
		sent <- reply{a, err}
	}()
}

func (x *exchange) ask(ctx context.Context) {
	if x.asked != nil {
		return
	}
	x.onLookup()
	asked := make(chan reply, 1)
	x.asked = asked
	go func() {
		ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
		defer cancel()
		a, err := x.backend.Lookup(ctx, x.execution.Request)
		asked <- reply{a, err}
	}()
}

func (x *exchange) pause(r reply) time.Duration {
	if x.lostSend && r.err != nil {
		return lookupRetry
	}
	return lookupEvery
}

// onReply judges the reply to the send itself; ok is false when it leaves doubt.
func (x *exchange) onReply(r reply) (exchangeResult, bool) {
	switch {
	case errors.Is(r.err, ports.ErrUnavailable):
		return exchangeResult{end: endUnsent}, true
	case r.err != nil:
		return exchangeResult{}, false
	default:
		res, ok := x.onAnswer(r.answer)
		res.direct = true
		return res, ok
	}
}

func (x *exchange) onLookedUp(r reply) (exchangeResult, bool) {
	switch {
	case errors.Is(r.err, ports.ErrNotFound):
		return exchangeResult{end: endNeverSeen}, true
	case r.err != nil:
		x.misses++
		return exchangeResult{}, false
	default:
		return x.onAnswer(r.answer)
	}
}

func (x *exchange) onAnswer(a ports.Answer) (exchangeResult, bool) {
	if !whole(a, x.execution) {
		x.onBad()
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

// whole reports whether an answer belongs to the execution, and carries the whole
// body when it is done.
func whole(a ports.Answer, e ports.Execution) bool {
	if a.Request != e.Request {
		return false
	}
	if a.State != ports.ExecutionDone {
		return true
	}
	return len(a.Body) == a.Length && digestOf(a.Body) == a.Digest
}
