package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

const (
	callTimeout = 10 * time.Second
	// callAttempts is how often a caller tries to send a request, each time to the next VM,
	// until it gets an outcome.
	callAttempts = 3
	paddingSize  = 200 // bytes of padding
	shortRunMS   = 60
)

// trackedRequest is a request of one caller with the answers and errors that the caller
// received, in the order of its attempts.
type trackedRequest struct {
	id      model.RequestID
	kind    string
	body    []byte
	answers []api.OutcomeReply
	errors  []error // of calls that returned no outcome
}

// load is a set of callers that send requests until they are stopped.
type load struct {
	t        *testing.T
	prefix   string // of the request IDs; unique to each load of a test
	vms      []*vm
	timeout  time.Duration
	mu       sync.Mutex
	requests []*trackedRequest
	running  sync.WaitGroup
	stopped  chan struct{}
}

// startLoad starts callers that send requests to those of the VMs that are ready. Each
// caller uses the kinds in turn.
func startLoad(t *testing.T, vms []*vm, callers int, timeout time.Duration, kinds ...string) *load {
	t.Helper()
	l := &load{t: t, prefix: vms[0].name, vms: vms, timeout: timeout, stopped: make(chan struct{})}
	for n := range callers {
		l.running.Go(func() { l.runCaller(n, kinds) })
	}
	return l
}

// stop stops the callers, waits for their last answers, and returns all requests.
func (l *load) stop() []*trackedRequest {
	close(l.stopped)
	l.running.Wait()
	return l.requests
}

// finishedCount returns the number of requests that have ended so far, including those
// whose calls all failed.
func (l *load) finishedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests)
}

// awaitFinished waits until n more requests have ended.
func (l *load) awaitFinished(n int) {
	l.t.Helper()
	want := l.finishedCount() + n
	eventually(l.t, func() string {
		if got := l.finishedCount(); got < want {
			return fmt.Sprintf("%d requests have ended, want %d", got, want)
		}
		return ""
	})
}

func (l *load) runCaller(caller int, kinds []string) {
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		default:
		}
		r := &trackedRequest{
			id:   model.RequestID(fmt.Sprintf("%s-%d-%d", l.prefix, caller, n)),
			kind: kinds[n%len(kinds)],
		}
		r.body = orderBody(r.id, shortRunMS)
		if l.send(r, caller+n) {
			l.mu.Lock()
			l.requests = append(l.requests, r)
			l.mu.Unlock()
		}
	}
}

// send tries to send a request to one VM after another until a call returns an outcome,
// callAttempts times at most. It returns false if no call was made: no VM was ready, or
// the request needs a ticket and got none.
func (l *load) send(r *trackedRequest, first int) bool {
	ticket, ok := l.newTicket(r, first)
	if !ok {
		return false
	}
	for try := range callAttempts {
		v := l.vms[(first+try)%len(l.vms)]
		if !v.ready() {
			continue
		}
		ctx, cancel := context.WithTimeout(l.t.Context(), l.timeout)
		answered := r.run(ctx, v, ticket)
		cancel()
		if answered {
			return true
		}
	}
	return len(r.errors) > 0
}

// orderBody returns a request body that sets the run time and differs from all others.
func orderBody(id model.RequestID, runMS int) []byte {
	return fmt.Appendf(nil, `{"runMS":%d,"size":%d,"id":%q}`, runMS, paddingSize, id)
}

// run sends the request to a VM once. It reports whether the call returned an outcome.
func (r *trackedRequest) run(ctx context.Context, v *vm, ticket string) bool {
	reply, err := v.client.Run(ctx, api.RunRequest{
		ID: r.id, Ticket: ticket, Kind: r.kind, Organisation: organisation, Caller: "shop", Body: r.body,
	})
	if err != nil {
		r.errors = append(r.errors, fmt.Errorf("%s: %w", v.name, err))
		return false
	}
	r.answers = append(r.answers, reply)
	return true
}

// orders is a set of single orders in flight.
type orders struct {
	requests []*trackedRequest
	running  sync.WaitGroup
}

// startOrders sends n orders to a VM without waiting for their answers.
func startOrders(t *testing.T, v *vm, n, runMS int) *orders {
	t.Helper()
	o := &orders{}
	for i := range n {
		id := model.RequestID(fmt.Sprintf("single-%d-%s", i, model.RandomID()))
		r := &trackedRequest{id: id, kind: kindOrder, body: orderBody(id, runMS)}
		ticket, err := v.client.NewTicket(t.Context(), api.TicketRequest{})
		assert.NilError(t, err)
		o.requests = append(o.requests, r)
		o.running.Go(func() { r.run(t.Context(), v, ticket.Ticket) })
	}
	return o
}

// wait waits until every call has returned, and returns the orders.
func (o *orders) wait() []*trackedRequest {
	o.running.Wait()
	return o.requests
}

// awaitRunning waits until all the orders run on backend servers.
func (c *cluster) awaitRunning(t *testing.T, o *orders) {
	t.Helper()
	eventually(t, func() string {
		running := make(map[model.RequestID]bool)
		for _, b := range c.backends {
			for _, x := range b.record(t).Executions {
				running[baseRequestID(x.Request)] = x.State == ports.ExecutionRunning
			}
		}
		for _, r := range o.requests {
			if !running[r.id] {
				return fmt.Sprintf("%s is not running", r.id)
			}
		}
		return ""
	})
}

// newTicket gets a ticket from a VM if the request's kind needs one.
func (l *load) newTicket(r *trackedRequest, first int) (ticket string, ok bool) {
	if r.kind == kindQuote {
		return "", true
	}
	ctx, cancel := context.WithTimeout(l.t.Context(), l.timeout)
	defer cancel()
	v := l.vms[first%len(l.vms)]
	if !v.ready() {
		return "", false
	}
	reply, err := v.client.NewTicket(ctx, api.TicketRequest{})
	return reply.Ticket, err == nil
}

// executionCounts waits until no request runs, then returns how often each one ran
// according to the backend servers' records.
func (c *cluster) executionCounts(t *testing.T) map[model.RequestID]int {
	t.Helper()
	var counts map[model.RequestID]int
	eventually(t, func() string {
		counts = make(map[model.RequestID]int)
		for _, b := range c.backends {
			for _, x := range b.record(t).Executions {
				if x.State == ports.ExecutionRunning {
					return fmt.Sprintf("%s is still running on %s", x.Request, b.id)
				}
				counts[baseRequestID(x.Request)] += x.Times
			}
		}
		return ""
	})
	return counts
}

// baseRequestID returns the caller's request ID. Backend servers see it with a suffix.
func baseRequestID(id model.RequestID) model.RequestID {
	base, _, _ := strings.Cut(string(id), "~")
	return model.RequestID(base)
}

// summary counts the requests by the last outcome that their callers received.
type summary map[model.Outcome]int

// noOutcome is the outcome of a request whose calls all failed.
const noOutcome model.Outcome = "none"

// checkOutcomes checks the answers against the backend servers' records: no order ran
// twice, requests answered as not run did not run, those answered as done or failed ran,
// and each answer is complete and belongs to its request.
func (c *cluster) checkOutcomes(t *testing.T, all []*trackedRequest) summary {
	t.Helper()
	counts := c.executionCounts(t)
	s := make(summary)
	for _, r := range all {
		ran := counts[r.id]
		if r.kind == kindOrder && ran > 1 {
			t.Errorf("order %s ran %d times; answers: %s", r.id, ran, describeAnswers(r))
		}
		for _, a := range r.answers {
			checkAnswer(t, r, a, ran)
		}
		s[lastOutcome(r)]++
	}
	t.Logf("outcomes: %v of %d requests", s, len(all))
	return s
}

func lastOutcome(r *trackedRequest) model.Outcome {
	if len(r.answers) == 0 {
		return noOutcome
	}
	return r.answers[len(r.answers)-1].Outcome
}

func checkAnswer(t *testing.T, r *trackedRequest, a api.OutcomeReply, ran int) {
	t.Helper()
	if a.ID != r.id {
		t.Errorf("the caller of %s got the answer to %s", r.id, a.ID)
	}
	switch a.Outcome {
	case model.OutcomeDone:
		if ran == 0 {
			t.Errorf("%s did not run; answers: %s", r.id, describeAnswers(r))
		}
		checkBody(t, r, a)
	case model.OutcomeFailed:
		if ran == 0 {
			t.Errorf("%s did not run; answers: %s", r.id, describeAnswers(r))
		}
	case model.OutcomeNotRun:
		if ran > 0 {
			t.Errorf("%s ran %d times; answers: %s", r.id, ran, describeAnswers(r))
		}
	case model.OutcomeUnknown:
	default:
		t.Errorf("%s has outcome %q", r.id, a.Outcome)
	}
}

// checkBody checks that the body belongs to the request and is complete and unchanged.
func checkBody(t *testing.T, r *trackedRequest, a api.OutcomeReply) {
	t.Helper()
	var body standin.RequestAnswer
	if err := json.Unmarshal(a.Body, &body); err != nil {
		t.Errorf("the answer to %s cannot be parsed: %v", r.id, err)
		return
	}
	if baseRequestID(model.RequestID(body.Request)) != r.id || body.Input != ports.Digest(r.body) {
		t.Errorf("the caller of %s got the answer to %s", r.id, body.Request)
	}
	if len(body.Padding) != paddingSize || a.Length != len(a.Body) || a.Digest != ports.Digest(a.Body) {
		t.Errorf("the answer to %s is incomplete or altered", r.id)
	}
}

func describeAnswers(r *trackedRequest) string {
	var b strings.Builder
	for _, a := range r.answers {
		fmt.Fprintf(&b, "%s (%s) ", a.Outcome, a.Reason)
	}
	fmt.Fprintf(&b, "errors %v", r.errors)
	return b.String()
}

// checkAllDone checks that there are requests, that no call failed and that each request
// was done. An order may also have one of orderOutcomes.
func checkAllDone(t *testing.T, all []*trackedRequest, orderOutcomes ...model.Outcome) {
	t.Helper()
	notDone := slices.DeleteFunc(slices.Clone(all), func(r *trackedRequest) bool {
		allowed := lastOutcome(r) == model.OutcomeDone ||
			r.kind == kindOrder && slices.Contains(orderOutcomes, lastOutcome(r))
		return len(r.errors) == 0 && allowed
	})
	for _, r := range notDone {
		t.Errorf("%s %s was not done without errors; answers: %s", r.kind, r.id, describeAnswers(r))
	}
	assert.Assert(t, len(all) > 0)
}
