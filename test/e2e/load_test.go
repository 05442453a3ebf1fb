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
	// callRetries is how often a caller asks again whose call was cut.
	callRetries = 3
	answerSize  = 200 // bytes of padding
	shortRunMS  = 60
)

// told is what one caller was told of one request, in the order of the tries.
type told struct {
	id      model.RequestID
	kind    string
	body    []byte
	answers []api.OutcomeReply
	errors  []error // calls that brought no outcome
}

// load is a set of callers that send requests until they are stopped.
type load struct {
	t       *testing.T
	prefix  string // of request IDs, which differs between loads
	vms     []*vm
	timeout time.Duration
	mu      sync.Mutex
	told    []*told
	group   sync.WaitGroup
	stopped chan struct{}
}

// startLoad starts callers that send requests of the kinds, in turn, to those of
// the VMs that admit them.
func startLoad(t *testing.T, vms []*vm, callers int, timeout time.Duration, kinds ...string) *load {
	t.Helper()
	l := &load{t: t, prefix: vms[0].name, vms: vms, timeout: timeout, stopped: make(chan struct{})}
	for n := range callers {
		l.group.Go(func() { l.call(n, kinds) })
	}
	return l
}

// stop waits until every caller has its last answer.
func (l *load) stop() []*told {
	close(l.stopped)
	l.group.Wait()
	return l.told
}

// outcomes counts the callers that were told an outcome so far.
func (l *load) outcomes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.told)
}

// awaitMore waits until n more callers were told an outcome.
func (l *load) awaitMore(n int) {
	l.t.Helper()
	want := l.outcomes() + n
	eventually(l.t, func() string {
		if got := l.outcomes(); got < want {
			return fmt.Sprintf("%d outcomes of %d", got, want)
		}
		return ""
	})
}

func (l *load) call(caller int, kinds []string) {
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		default:
		}
		r := &told{
			id:   model.RequestID(fmt.Sprintf("%s-%d-%d", l.prefix, caller, n)),
			kind: kinds[n%len(kinds)],
		}
		r.body = orderBody(r.id, shortRunMS)
		if l.ask(r, caller+n) {
			l.mu.Lock()
			l.told = append(l.told, r)
			l.mu.Unlock()
		}
	}
}

// ask sends one request, and again to the other VMs while a call is cut. It
// reports false when no VM would take it.
func (l *load) ask(r *told, first int) bool {
	ticket, ok := l.ticket(r, first)
	if !ok {
		return false
	}
	for try := range callRetries {
		v := l.vms[(first+try)%len(l.vms)]
		if !v.admits() {
			continue
		}
		ctx, cancel := context.WithTimeout(l.t.Context(), l.timeout)
		told := r.run(ctx, v, ticket)
		cancel()
		if told {
			return true
		}
	}
	return len(r.errors) > 0
}

// orderBody is the body of a request that runs for a time and differs from all others.
func orderBody(id model.RequestID, runMS int) []byte {
	return fmt.Appendf(nil, `{"runMS":%d,"size":%d,"id":%q}`, runMS, answerSize, id)
}

// run sends the request to a VM once. It reports whether it brought an outcome.
func (r *told) run(ctx context.Context, v *vm, ticket string) bool {
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

// orders are single orders that are under way.
type orders struct {
	told  []*told
	group sync.WaitGroup
}

// startOrders sends n orders to a VM.
func startOrders(t *testing.T, v *vm, n, runMS int) *orders {
	t.Helper()
	o := &orders{}
	for i := range n {
		id := model.RequestID(fmt.Sprintf("single-%d-%s", i, model.RandomID()))
		r := &told{id: id, kind: kindOrder, body: orderBody(id, runMS)}
		ticket, err := v.client.NewTicket(t.Context(), api.TicketRequest{})
		assert.NilError(t, err)
		o.told = append(o.told, r)
		o.group.Go(func() { r.run(t.Context(), v, ticket.Ticket) })
	}
	return o
}

// wait waits until every order was told.
func (o *orders) wait() []*told {
	o.group.Wait()
	return o.told
}

// awaitRunning waits until backend servers run all the orders.
func (c *cluster) awaitRunning(t *testing.T, o *orders) {
	t.Helper()
	eventually(t, func() string {
		running := make(map[model.RequestID]bool)
		for _, b := range c.backends {
			for _, x := range b.record(t).Executions {
				running[callerID(x.Request)] = x.State == ports.ExecutionRunning
			}
		}
		for _, r := range o.told {
			if !running[r.id] {
				return fmt.Sprintf("%s does not run", r.id)
			}
		}
		return ""
	})
}

// ticket mints a ticket when the kind needs one.
func (l *load) ticket(r *told, first int) (ticket string, ok bool) {
	if r.kind == kindQuote {
		return "", true
	}
	ctx, cancel := context.WithTimeout(l.t.Context(), l.timeout)
	defer cancel()
	v := l.vms[first%len(l.vms)]
	if !v.admits() {
		return "", false
	}
	reply, err := v.client.NewTicket(ctx, api.TicketRequest{})
	return reply.Ticket, err == nil
}

// executed returns how often each request ran, by the backend servers' own record,
// once none runs any more. Backend servers see a request under its ID and a suffix.
func (c *cluster) executed(t *testing.T) map[model.RequestID]int {
	t.Helper()
	var counts map[model.RequestID]int
	eventually(t, func() string {
		counts = make(map[model.RequestID]int)
		for _, b := range c.backends {
			for _, x := range b.record(t).Executions {
				if x.State == ports.ExecutionRunning {
					return fmt.Sprintf("%s runs on %s", x.Request, b.id)
				}
				counts[callerID(x.Request)] += x.Times
			}
		}
		return ""
	})
	return counts
}

func callerID(id model.RequestID) model.RequestID {
	base, _, _ := strings.Cut(string(id), "~")
	return model.RequestID(base)
}

// summary counts the requests by what was told last.
type summary map[model.Outcome]int

// noOutcome stands for a caller whose calls were all cut.
const noOutcome model.Outcome = "none"

// compare checks what callers were told against the backend servers' record: no
// order ran twice, nothing that was told not run ran, what was told done ran, and
// each answer is whole and of its own request.
func (c *cluster) compare(t *testing.T, all []*told) summary {
	t.Helper()
	counts := c.executed(t)
	s := make(summary)
	for _, r := range all {
		ran := counts[r.id]
		if r.kind == kindOrder && ran > 1 {
			t.Errorf("order %s ran %d times; told %s", r.id, ran, describe(r))
		}
		for _, a := range r.answers {
			checkAnswer(t, r, a, ran)
		}
		s[lastOutcome(r)]++
	}
	t.Logf("told: %v of %d requests", s, len(all))
	return s
}

func lastOutcome(r *told) model.Outcome {
	if len(r.answers) == 0 {
		return noOutcome
	}
	return r.answers[len(r.answers)-1].Outcome
}

func checkAnswer(t *testing.T, r *told, a api.OutcomeReply, ran int) {
	t.Helper()
	if a.ID != r.id {
		t.Errorf("the caller of %s got the answer to %s", r.id, a.ID)
	}
	switch a.Outcome {
	case model.OutcomeDone:
		if ran == 0 {
			t.Errorf("%s did not run; told %s", r.id, describe(r))
		}
		checkBody(t, r, a)
	case model.OutcomeFailed:
		if ran == 0 {
			t.Errorf("%s did not run; told %s", r.id, describe(r))
		}
	case model.OutcomeNotRun:
		if ran > 0 {
			t.Errorf("%s ran %d times; told %s", r.id, ran, describe(r))
		}
	case model.OutcomeUnknown:
	default:
		t.Errorf("%s has outcome %q", r.id, a.Outcome)
	}
}

// checkBody finds a crossed, cut or changed answer.
func checkBody(t *testing.T, r *told, a api.OutcomeReply) {
	t.Helper()
	var body standin.RequestAnswer
	if err := json.Unmarshal(a.Body, &body); err != nil {
		t.Errorf("the answer to %s is cut: %v", r.id, err)
		return
	}
	if callerID(model.RequestID(body.Request)) != r.id || body.Input != ports.Digest(r.body) {
		t.Errorf("the caller of %s got the answer to %s", r.id, body.Request)
	}
	if len(body.Padding) != answerSize || a.Length != len(a.Body) || a.Digest != ports.Digest(a.Body) {
		t.Errorf("the answer to %s is not whole", r.id)
	}
}

func describe(r *told) string {
	var b strings.Builder
	for _, a := range r.answers {
		fmt.Fprintf(&b, "%s (%s) ", a.Outcome, a.Reason)
	}
	fmt.Fprintf(&b, "errors %v", r.errors)
	return b.String()
}

// noneCut checks that no call was cut and that each request was done. Orders may
// also be told one of the other outcomes given.
func noneCut(t *testing.T, all []*told, orders ...model.Outcome) {
	t.Helper()
	cut := slices.DeleteFunc(slices.Clone(all), func(r *told) bool {
		allowed := lastOutcome(r) == model.OutcomeDone ||
			r.kind == kindOrder && slices.Contains(orders, lastOutcome(r))
		return len(r.errors) == 0 && allowed
	})
	for _, r := range cut {
		t.Errorf("%s %s was told %s", r.kind, r.id, describe(r))
	}
	assert.Assert(t, len(all) > 0)
}
