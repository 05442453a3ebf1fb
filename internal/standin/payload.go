package standin

import (
	"encoding/json"
	"time"
)

// defaultRun is how long a task or request runs when its payload doesn't say.
const defaultRun = 50 * time.Millisecond

// Payload decides how a task or a request behaves. One that is no JSON object
// stands for the zero value.
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

// run returns the run time.
func (p Payload) run() time.Duration {
	if p.RunMS == nil {
		return defaultRun
	}
	return time.Duration(*p.RunMS) * time.Millisecond
}

// RequestAnswer is the body of a request's answer. It names the request and its
// input, so that a crossed answer shows.
type RequestAnswer struct {
	Request string `json:"request"`
	Input   string `json:"input"` // SHA-256 of the request's body, hexadecimal
	Padding string `json:"padding,omitempty"`
}
