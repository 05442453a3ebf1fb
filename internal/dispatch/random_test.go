package dispatch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// findings collects what a randomised run found, so that rapid can shrink it.
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
	Other int // another VM, server or earlier request
	Call  string
	Fault wireFault
	Count int
	Wait  time.Duration // before the next step
}

const (
	randomVMs     = 4
	randomServers = 3
)

func genStep(t *rapid.T) step {
	return step{
		Do: rapid.SampledFrom([]string{
			"order", "order", "order", "retry", "retry", "quote", "quote",
			"server fault", "server fault", "peer fault", "peer fault",
			"freeze", "kill", "drain", "leave", "fail", "heal",
		}).Draw(t, "do"),
		VM:    rapid.IntRange(0, randomVMs-1).Draw(t, "vm"),
		Other: rapid.IntRange(0, 7).Draw(t, "other"),
		Call:  rapid.SampledFrom([]string{"execute", "lookup", "forward", "hand-over"}).Draw(t, "call"),
		Fault: wireFault(rapid.IntRange(1, int(wireFaultCount)-1).Draw(t, "fault")),
		Count: rapid.IntRange(1, 5).Draw(t, "count"),
		Wait:  time.Duration(rapid.SampledFrom([]int{0, 1, 5, 19, 500, 2000}).Draw(t, "wait")) * time.Millisecond,
	}
}

// randomRun carries out steps on a world.
type randomRun struct {
	w        *world
	ledger   ledger
	requests []Request
	lost     int // VMs killed or drained
	serial   int
}

func (r *randomRun) vm(i int) *vm { return r.w.vms[fmt.Sprint("vm-", i%randomVMs)] }

func (r *randomRun) server(i int) *fakeServer {
	return r.w.servers[fmt.Sprint("backend-", i%randomServers)]
}

func (r *randomRun) ask(m *vm, q Request) {
	go r.ledger.ask(context.Background(), m, q)
}

func (r *randomRun) step(s step) {
	switch s.Do {
	case "order":
		r.serial++
		q := r.vm(s.Other).order(fmt.Sprint("order-", r.serial))
		r.requests = append(r.requests, q)
		r.ask(r.vm(s.VM), q)
	case "retry":
		if len(r.requests) > 0 {
			r.ask(r.vm(s.VM), r.requests[len(r.requests)-1-s.Other%len(r.requests)])
		}
	case "quote":
		r.serial++
		r.ask(r.vm(s.VM), quote(fmt.Sprint("quote-", r.serial)))
	case "server fault":
		r.faultServer(s)
	case "peer fault":
		r.faultPeers(s)
	case "freeze":
		r.w.freeze(r.vm(s.VM), time.Duration(s.Count)*time.Second)
	case "kill", "drain":
		r.lose(s)
	case "leave", "fail":
		r.degrade(s)
	case "heal":
		r.heal()
	}
	time.Sleep(s.Wait)
}

func (r *randomRun) faultServer(s step) {
	faults := make([]wireFault, s.Count)
	for i := range faults {
		faults[i] = s.Fault
	}
	server := r.server(s.Other)
	server.mu.Lock()
	defer server.mu.Unlock()
	server.faults = breakCalls(s.Call, faults...)
}

func (r *randomRun) faultPeers(s step) {
	left := s.Count
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.w.peerFault = func(call, _, _ string) wireFault {
		if call != s.Call || left == 0 {
			return wireOK
		}
		left--
		return s.Fault
	}
}

// lose takes a VM away, but never the last one.
func (r *randomRun) lose(s step) {
	m := r.vm(s.VM)
	if r.lost >= randomVMs-1 || m.isDraining() {
		return
	}
	r.lost++
	if s.Do == "kill" {
		r.w.kill(m)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = m.Drain(ctx)
		r.w.kill(m)
	}()
}

func (r *randomRun) degrade(s step) {
	server := r.server(s.Other)
	server.mu.Lock()
	defer server.mu.Unlock()
	if s.Do == "leave" {
		server.leaving = !server.leaving
		return
	}
	server.failAll = !server.failAll
}

func (r *randomRun) heal() {
	for _, s := range r.w.servers {
		s.mu.Lock()
		s.faults, s.leaving, s.failAll = nil, false, false
		s.mu.Unlock()
	}
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.w.peerFault = nil
}

func (r *randomRun) run(t *testing.T, f *findings, steps []step) {
	synctest.Test(t, func(t *testing.T) {
		r.w = newWorld(f, randomVMs, randomServers)
		for _, s := range steps {
			r.step(s)
		}
		time.Sleep(recovery)
		r.heal()
		for _, q := range r.requests {
			for _, m := range r.w.vms {
				r.ask(m, q)
			}
		}
		time.Sleep(recovery)
		r.ledger.check(f, r.w)
		r.w.close()
		time.Sleep(recovery)
	})
}

// TestRandomRequests runs random steps and faults on several VMs and compares what
// callers were told with the backend servers' record of executions.
func TestRandomRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(genStep), 1, 25).Draw(rt, "steps")
		f := &findings{}
		(&randomRun{}).run(t, f, steps)
		if len(f.list) > 0 {
			rt.Fatalf("%s", strings.Join(f.list, "\n"))
		}
	})
}
