package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	callTimeout = 3 * time.Second // X-Deadline-Ms
	retries     = 4
)

// step is a step of a job as clients hand it in.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"memMb"`
	GPU          int    `json:"gpu,omitempty"`
	EstRuntimeMs int    `json:"estRuntimeMs"`
	Requires     string `json:"requires,omitempty"`
}

// job is the body of a submission.
type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Times      int    `json:"times,omitempty"`
	StartAtMs  int64  `json:"startAtMs,omitempty"`
	IntervalMs int64  `json:"intervalMs,omitempty"`
}

func newJob(s spec, steps ...step) job { return job{Spec: string(mustJSON(s)), Steps: steps} }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one call to a VM. The status is 0 if it ended without an answer.
func (d *deployment) call(m *machine, method, path string, body []byte) (status int, answer []byte, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := d.client.Do(request)
	if err != nil {
		return 0, nil, 0
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	if answer, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil, 0
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		retryAfter = time.Duration(s) * time.Second
	}
	return resp.StatusCode, answer, retryAfter
}

// submit hands a job in, and again at other VMs as the protocol allows, until it is accepted.
func (d *deployment) submit(id string, j job) error {
	body := mustJSON(j)
	for n := range retries + 1 {
		m := d.machines[(n+rand.IntN(len(d.machines)))%len(d.machines)]
		status, answer, after := d.call(m, http.MethodPost, queuePath+id, body)
		d.record.note("POST %s at %s: %d %s", id, m.node, status, answer)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(max(after, 300*time.Millisecond))
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks a VM for the state of a job; empty if it gives none.
func (d *deployment) state(m *machine, id string) string {
	status, answer, _ := d.call(m, http.MethodGet, queuePath+id, nil)
	var body struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(answer, &body); err != nil && status == http.StatusOK {
		status = 0
	}
	d.record.detail("GET %s at %s: %d %s", id, m.node, status, answer)
	if status != http.StatusOK {
		return ""
	}
	return body.State
}

// awaitState waits until a VM shows a job in a state.
func (d *deployment) awaitState(id, state string, timeout time.Duration) bool {
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(200 * time.Millisecond) {
		if d.state(d.machines[rand.IntN(len(d.machines))], id) == state {
			d.record.note("job %s is shown as %s", id, state)
			return true
		}
	}
	return false
}

// runs counts the workers that run a task of a job.
func (d *deployment) runs(id string) int {
	n := 0
	for _, w := range d.workers {
		if w.runs(id) {
			n++
		}
	}
	return n
}
