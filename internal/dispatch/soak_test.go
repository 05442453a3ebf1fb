package dispatch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// findings collects the failures of a randomised run, so that rapid can shrink the run.
type findings struct {
	mu   sync.Mutex
	list []string
}

func (f *findings) Errorf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// step is one step of a randomised run.
type step struct {
	Do    string
	VM    int
	Other int  // another VM, server or earlier request
	Late  bool // the fault hits the second of the two kinds of call: look-up or hand-over
	Fault wireFault
	Count int
	Then  wireFault     // of the call after the Count calls with Fault
	Wait  time.Duration // before the next step
}

const (
	randomVMs     = 4
	randomServers = 3
)

var (
	stepNames = []string{
		"order", "order", "order", "order", "retry", "retry", "quote", "quote", "same ID", "same ID",
		"server fault", "server fault", "server fault", "peer fault", "peer fault",
		"freeze", "kill", "drain", "drain", "leave", "fail", "slow", "heal",
	}
	stepWaits = []time.Duration{0, 1, 5, 19, 500, 2000} // milliseconds
)

// pick draws from 0 to n-1 with nearly equal probabilities, unlike rapid's ranges.
func pick(t *rapid.T, n int, label string) int {
	const many = 1 << 20
	return rapid.IntRange(0, many).Draw(t, label) % n
}

func genStep(t *rapid.T) step {
	return step{
		Do:    stepNames[pick(t, len(stepNames), "do")],
		VM:    pick(t, randomVMs, "vm"),
		Other: pick(t, 8, "other"),
		Late:  pick(t, 3, "late") == 0,
		Fault: wireFault(1 + pick(t, int(wireFaultCount)-1, "fault")),
		Count: 1 + pick(t, 5, "count"),
		Then:  wireFault(pick(t, int(wireFaultCount), "then")),
		Wait:  stepWaits[pick(t, len(stepWaits), "wait")] * time.Millisecond,
	}
}

// randomRun executes steps on a cluster.
type randomRun struct {
	cluster  *testCluster
	calls    callLog
	requests []Request
	removed  int // VMs killed or drained
	serial   int
}

func (r *randomRun) vm(i int) *vm { return r.cluster.vms[fmt.Sprint("vm-", i%randomVMs)] }

func (r *randomRun) server(i int) *fakeServer {
	return r.cluster.servers[fmt.Sprint("backend-", i%randomServers)]
}

func (r *randomRun) startCall(m *vm, q Request) {
	go r.calls.call(context.Background(), m, q)
}

func (r *randomRun) step(s step) {
	switch s.Do {
	case "order":
		r.serial++
		q := r.vm(s.Other).newOrder(fmt.Sprint("order-", r.serial))
		r.requests = append(r.requests, q)
		r.startCall(r.vm(s.VM), q)
	case "retry":
		if len(r.requests) > 0 {
			r.startCall(r.vm(s.VM), r.requests[len(r.requests)-1-s.Other%len(r.requests)])
		}
	case "quote":
		r.serial++
		r.startCall(r.vm(s.VM), newQuote(fmt.Sprint("quote-", r.serial)))
	case "same ID": // of an earlier quote, by another caller
		r.serial++
		q := newQuote(fmt.Sprint("quote-", r.serial-1-s.Other%r.serial))
		q.Caller = model.CallerID(fmt.Sprint("clerk-", r.serial))
		r.startCall(r.vm(s.VM), q)
	case "server fault":
		r.faultServer(s)
	case "peer fault":
		r.faultPeers(s)
	case "freeze":
		r.cluster.freeze(r.vm(s.VM), time.Duration(s.Count)*time.Second)
	case "kill", "drain":
		r.removeVM(s)
	case "leave", "fail", "slow":
		r.degrade(s)
	case "heal":
		r.clearFaults()
	}
	time.Sleep(s.Wait)
}

// faultServer makes the next calls to one server, or to all of them, suffer a fault.
func (r *randomRun) faultServer(s step) {
	call := "execute"
	if s.Late {
		call = "lookup"
	}
	for i := range randomServers {
		if s.Other%4 != i && s.Other%4 != randomServers {
			continue
		}
		server := r.server(i)
		server.mu.Lock()
		server.faults = failCalls(call, slices.Repeat([]wireFault{s.Fault}, s.Count)...)
		server.mu.Unlock()
	}
}

func (r *randomRun) faultPeers(s step) {
	call := "forward"
	if s.Late {
		call = "hand-over"
	}
	fail := failCalls(call, append(slices.Repeat([]wireFault{s.Fault}, s.Count), s.Then)...)
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	r.cluster.peerFault = func(call, _, _ string) wireFault { return fail(call) }
}

// removeVM kills or drains a VM, but never the last one.
func (r *randomRun) removeVM(s step) {
	m := r.vm(s.VM)
	if r.removed >= randomVMs-1 || m.isDraining() {
		return
	}
	r.removed++
	if s.Do == "kill" {
		r.cluster.kill(m)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = m.Drain(ctx)
		if s.Late {
			<-ctx.Done() // until then it serves callers on open connections
		}
		r.cluster.kill(m)
	}()
}

func (r *randomRun) degrade(s step) {
	server := r.server(s.Other)
	server.mu.Lock()
	defer server.mu.Unlock()
	switch s.Do {
	case "leave":
		server.leaving = !server.leaving
	case "fail":
		server.failAll = !server.failAll
	case "slow": // slower than a drain
		server.serviceTime = 8 * time.Second
	}
}

func (r *randomRun) clearFaults() {
	for _, s := range r.cluster.servers {
		s.mu.Lock()
		s.faults, s.leaving, s.failAll, s.serviceTime = nil, false, false, 20*time.Millisecond
		s.mu.Unlock()
	}
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	r.cluster.peerFault = nil
}

func (r *randomRun) run(t *testing.T, f *findings, steps []step) {
	synctest.Test(t, func(t *testing.T) {
		r.cluster = newTestCluster(f, randomVMs, randomServers)
		for _, s := range steps {
			r.step(s)
		}
		time.Sleep(recoveryTime)
		r.clearFaults()
		for _, q := range r.requests {
			for _, m := range r.cluster.vms {
				r.startCall(m, q)
			}
		}
		time.Sleep(recoveryTime)
		r.calls.check(f, r.cluster)
		r.cluster.close()
		time.Sleep(recoveryTime)
	})
}

// TestSoakRequests runs random steps and faults on several VMs and compares the results
// that callers got with the backend servers' records of executions.
func TestSoakRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(genStep), 20, 50).Draw(rt, "steps")
		f := &findings{}
		(&randomRun{}).run(t, f, steps)
		if len(f.list) > 0 {
			rt.Fatalf("%s", strings.Join(f.list, "\n"))
		}
	})
}
