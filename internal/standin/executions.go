package standin

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// execution is a request that a backend server has received or that was looked up there.
type execution struct {
	record       ExecutionRecord
	incarnation  int // of the backend server when the request started, see Backend.incarnation
	body         []byte
	errorMessage string
}

// beginExecution records the start of a request unless it is refused or was received
// before. mustRun is true if the caller must run it.
func (b *Backend) beginExecution(e ports.Execution, now time.Time) (x *execution, mustRun bool, refused ports.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x, ok := b.executions[e.Request]; ok {
		x.record.Received++
		return x, false, ""
	}
	refused = b.refuseExecution(e)
	b.offers = append(b.offers, Offer{Time: now, Request: e.Request, Refused: refused})
	if refused != "" {
		return nil, false, refused
	}
	x = &execution{
		incarnation: b.incarnation,
		record: ExecutionRecord{
			Request:  e.Request,
			Caller:   e.Caller,
			Kind:     e.Kind,
			Input:    ports.Digest(e.Body),
			Times:    1,
			Received: 1,
			State:    ports.ExecutionRunning,
			Started:  now,
		},
	}
	b.executions[e.Request] = x
	b.runningExecutions++
	return x, true, ""
}

func (b *Backend) refuseExecution(e ports.Execution) ports.Refusal {
	if e.Incarnation != "" && e.Incarnation != b.incarnationText() {
		return ports.RefusedOtherIncarnation
	}
	if b.refusesWork() {
		return ports.RefusedLeaving
	}
	if b.runningExecutions >= b.slots {
		return ports.RefusedFull
	}
	return ""
}

// finishExecution ends a request that ran. It returns false if the backend server has been
// restarted since the request started, and so no longer knows it.
func (b *Backend) finishExecution(x *execution, p Payload, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x.incarnation != b.incarnation {
		return false
	}
	b.runningExecutions--
	x.record.Ended = now
	x.record.State = ports.ExecutionDone
	if p.Fail || b.injector.current().FailAll {
		x.record.State = ports.ExecutionFailed
		x.errorMessage = "the request failed"
	}
	x.body = answerBody(x.record, p)
	return true
}

// interrupt marks a running request as failed.
func (x *execution) interrupt(now time.Time) {
	if x.record.State == ports.ExecutionRunning {
		x.record.State = ports.ExecutionFailed
		x.record.Ended = now
	}
}

func answerBody(r ExecutionRecord, p Payload) []byte {
	body, err := json.Marshal(RequestAnswer{
		Request: string(r.Request),
		Input:   r.Input,
		Padding: strings.Repeat("x", p.Size),
	})
	if err != nil {
		panic(err) // strings can always be encoded
	}
	return body
}

// lookUp returns the state of a request. If it was never executed, ok is false and the
// request is refused from now on.
func (b *Backend) lookUp(id model.RequestID) (a ports.Answer, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.executions[id]
	if !ok {
		record := ExecutionRecord{Request: id, State: ports.ExecutionRefused}
		b.executions[id] = &execution{record: record}
		return ports.Answer{}, false
	}
	if x.record.State == ports.ExecutionRefused {
		return ports.Answer{}, false
	}
	return b.answerLocked(x), true
}

// answerLocked returns the answer that describes the current state of an execution. The
// caller holds b.mu.
func (b *Backend) answerLocked(x *execution) ports.Answer {
	a := ports.Answer{
		Request:   x.record.Request,
		State:     x.record.State,
		Body:      x.body,
		Length:    len(x.body),
		Error:     x.errorMessage,
		FreeSlots: b.slots - b.runningExecutions,

		Incarnation: b.incarnationText(),
	}
	if len(x.body) > 0 {
		a.Digest = ports.Digest(x.body)
	}
	return a
}

// refusedAnswer returns the answer to a request that was refused.
func (b *Backend) refusedAnswer(id model.RequestID, refused ports.Refusal) ports.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return ports.Answer{
		Request:   id,
		State:     ports.ExecutionRefused,
		Refused:   refused,
		FreeSlots: b.slots - b.runningExecutions,

		Incarnation: b.incarnationText(),
	}
}
