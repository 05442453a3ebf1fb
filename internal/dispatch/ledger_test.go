package dispatch

import (
	"context"
	"sync"
	"testing"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// ledger compares what callers were told with the backend servers' own record.
type ledger struct {
	mu   sync.Mutex
	told []told
}

type told struct {
	request Request
	result  Result
}

// ask runs a request at a VM. A VM that died meanwhile told its caller nothing.
func (l *ledger) ask(ctx context.Context, m *vm, r Request) Result {
	if !m.pass() {
		return Result{}
	}
	res := m.Do(ctx, r)
	if !m.pass() {
		return Result{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, told{r, res})
	return res
}

// check reports every broken promise.
func (l *ledger) check(t reporter, w *world) {
	l.mu.Lock()
	defer l.mu.Unlock()
	settledAs := map[string]model.Outcome{}
	for _, x := range l.told {
		id, res := x.request.ID, x.result
		runs := w.executions(id)
		if x.request.Ticket != "" && runs > 1 {
			t.Errorf("request %s with a ticket ran %d times", id, runs)
		}
		if res.Outcome == model.OutcomeNotRun && runs > 0 {
			t.Errorf("request %s was told `not run` (%s) and ran", id, res.Reason)
		}
		if res.Outcome == model.OutcomeDone && string(res.Body) != wholeAnswer(x.request) {
			t.Errorf("request %s got the answer %q", id, res.Body)
		}
		if (res.Outcome == model.OutcomeDone || res.Outcome == model.OutcomeFailed) && runs == 0 {
			t.Errorf("request %s was told %s and did not run", id, res.Outcome)
		}
		if x.request.Ticket == "" || !settled(res) {
			continue
		}
		if before := settledAs[x.request.Ticket]; before != "" && before != res.Outcome {
			t.Errorf("request %s was told %s and %s", id, before, res.Outcome)
		}
		settledAs[x.request.Ticket] = res.Outcome
	}
}

// retryEverywhere asks every live VM again under the same ticket.
func (l *ledger) retryEverywhere(t *testing.T, w *world, r Request) {
	t.Helper()
	for _, m := range w.vms {
		l.ask(context.Background(), m, r)
	}
}
