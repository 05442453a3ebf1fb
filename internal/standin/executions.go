package standin

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/platform"
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
func (b *Backend) begin(e platform.Execution, now time.Time) (x *execution, run bool, refused platform.Refusal) {
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
			Input:    platform.Digest(e.Body),
			Times:    1,
			Received: 1,
			State:    platform.ExecutionRunning,
			Started:  now,
		},
	}
	b.executions[e.Request] = x
	b.running++
	return x, true, ""
}

func (b *Backend) refuseExecution() platform.Refusal {
	if b.refusesWork() {
		return platform.RefusedLeaving
	}
	if b.running >= b.slots {
		return platform.RefusedFull
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
	x.record.State = platform.ExecutionDone
	if p.Fail || b.faults.current().FailAll {
		x.record.State = platform.ExecutionFailed
		x.err = "the request failed"
	}
	x.body = answerBody(x.record, p)
	return true
}

// breakOff ends a request that still runs.
func (x *execution) breakOff(now time.Time) {
	if x.record.State == platform.ExecutionRunning {
		x.record.State = platform.ExecutionFailed
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
func (b *Backend) lookUp(id model.RequestID) (a platform.Answer, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.executions[id]
	if !ok {
		record := ExecutionRecord{Request: id, State: platform.ExecutionRefused}
		b.executions[id] = &execution{record: record}
		return platform.Answer{}, false
	}
	if x.record.State == platform.ExecutionRefused {
		return platform.Answer{}, false
	}
	return b.answer(x), true
}

// answer describes an execution as it is now.
func (b *Backend) answer(x *execution) platform.Answer {
	a := platform.Answer{
		Request:   x.record.Request,
		State:     x.record.State,
		Body:      x.body,
		Length:    len(x.body),
		Error:     x.err,
		FreeSlots: b.slots - b.running,
	}
	if len(x.body) > 0 {
		a.Digest = platform.Digest(x.body)
	}
	return a
}

// refusal answers a request that was not taken.
func (b *Backend) refusal(id model.RequestID, refused platform.Refusal) platform.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return platform.Answer{
		Request:   id,
		State:     platform.ExecutionRefused,
		Refused:   refused,
		FreeSlots: b.slots - b.running,
	}
}
