package standin

import (
	"encoding/json"
	"time"
)

// defaultRunTime is the run time of a task or request whose payload does not set it.
const defaultRunTime = 50 * time.Millisecond

// Payload controls how a task or a request behaves. A payload that is not a JSON
// object counts as the zero value.
type Payload struct {
	RunMS *int `json:"runMS,omitempty"` // run time in milliseconds; nil means 50
	Fail  bool `json:"fail,omitempty"`  // fails at the end of its run time
	Size  int  `json:"size,omitempty"`  // bytes of padding in a request's answer
}

func parsePayload(data []byte) Payload {
	var p Payload
	if err := json.Unmarshal(data, &p); err != nil {
		return Payload{}
	}
	return p
}

func (p Payload) runTime() time.Duration {
	if p.RunMS == nil {
		return defaultRunTime
	}
	return time.Duration(*p.RunMS) * time.Millisecond
}

// RequestAnswer is the body of the answer to a request. It identifies the request and its
// input, so that a test detects an answer that was delivered to another request.
type RequestAnswer struct {
	Request string `json:"request"`
	Input   string `json:"input"` // SHA-256 of the request's body, hexadecimal
	Padding string `json:"padding,omitempty"`
}
