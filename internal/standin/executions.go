package standin

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// execution is a request that a backend server has seen.
type execution struct {
	record ExecutionRecord
	run    int // of the backend server, see Backend.run
	body   []byte
	err    string
}

// begin starts a request unless it is refused or was seen before. Run is non-nil
// when the caller must run it.
func (b *Backend) begin(e ports.Execution, now time.Time) (x *execution, run bool, refused ports.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x, ok := b.executions[e.Request]; ok {
		x.record.Received++
		return x, false, ""
	}
	refused = b.refuseExecution()
	b.offers = append(b.offers, Offer{Time: now, Request: e.Request, Refused: refused})
	if refused != "" {
		return nil, false, refused
	}
	x = &execution{
		run: b.run,
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
	b.running++
	return x, true, ""
}

func (b *Backend) refuseExecution() ports.Refusal {
	if b.refusesWork() {
		return ports.RefusedLeaving
	}
	if b.running >= b.slots {
		return ports.RefusedFull
	}
	return ""
}

// finish ends a request that ran. It reports false when the backend server started
// anew meanwhile and knows nothing of the request.
func (b *Backend) finish(x *execution, p Payload, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x.run != b.run {
		return false
	}
	b.running--
	x.record.Ended = now
	x.record.State = ports.ExecutionDone
	if p.Fail || b.faults.current().FailAll {
		x.record.State = ports.ExecutionFailed
		x.err = "the request failed"
	}
	x.body = answerBody(x.record, p)
	return true
}

// breakOff ends a request that still runs.
func (x *execution) breakOff(now time.Time) {
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
		panic(err) // strings always encode
	}
	return body
}

// lookUp returns what is known of a request. One that was never executed is
// refused from now on, and ok is false.
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
	return b.answer(x), true
}

// answer describes an execution as it is now.
func (b *Backend) answer(x *execution) ports.Answer {
	a := ports.Answer{
		Request:   x.record.Request,
		State:     x.record.State,
		Body:      x.body,
		Length:    len(x.body),
		Error:     x.err,
		FreeSlots: b.slots - b.running,
	}
	if len(x.body) > 0 {
		a.Digest = ports.Digest(x.body)
	}
	return a
}

// refusal answers a request that was not taken.
func (b *Backend) refusal(id model.RequestID, refused ports.Refusal) ports.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return ports.Answer{
		Request:   id,
		State:     ports.ExecutionRefused,
		Refused:   refused,
		FreeSlots: b.slots - b.running,
	}
}
