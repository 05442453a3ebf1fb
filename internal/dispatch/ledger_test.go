package dispatch

import (
	"context"
	"sync"
	"testing"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// callLog records the results that callers got, and compares them with the backend
// servers' records of executions.
type callLog struct {
	mu      sync.Mutex
	results []callResult
}

type callResult struct {
	request Request
	result  Result
}

// call runs a request on a VM and records the result. A VM that was killed meanwhile
// returned no result.
func (l *callLog) call(ctx context.Context, m *vm, r Request) Result {
	if !m.waitWhileFrozen() {
		return Result{}
	}
	res := m.Do(ctx, r)
	if !m.waitWhileFrozen() {
		return Result{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, callResult{r, res})
	return res
}

// check reports every result that violates an invariant.
func (l *callLog) check(t reporter, cluster *testCluster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	settledAs := map[string]model.Outcome{}
	for _, x := range l.results {
		id, res := x.request.ID, x.result
		runs := cluster.executionsOf(x.request)
		if x.request.Ticket != "" && runs > 1 {
			t.Errorf("request %s has a ticket and ran %d times, want at most once", id, runs)
		}
		if res.Outcome == model.OutcomeNotRun && runs > 0 {
			t.Errorf("request %s got the outcome `not run` (%s) but ran", id, res.Reason)
		}
		if res.Outcome == model.OutcomeDone && string(res.Body) != expectedBody(x.request) {
			t.Errorf("request %s got a wrong answer body %q", id, res.Body)
		}
		if (res.Outcome == model.OutcomeDone || res.Outcome == model.OutcomeFailed) && runs == 0 {
			t.Errorf("request %s got the outcome %s but did not run", id, res.Outcome)
		}
		if x.request.Ticket == "" || !isFinal(res) {
			continue
		}
		if before := settledAs[x.request.Ticket]; before != "" && before != res.Outcome {
			t.Errorf("request %s got two different outcomes, %s and %s", id, before, res.Outcome)
		}
		settledAs[x.request.Ticket] = res.Outcome
	}
}

// retryOnAllVMs repeats a request with its ticket on every VM.
func (l *callLog) retryOnAllVMs(t *testing.T, cluster *testCluster, r Request) {
	t.Helper()
	for _, m := range cluster.vms {
		l.call(context.Background(), m, r)
	}
}
