package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// wireFault is the fault that a call over the simulated network suffers.
type wireFault int

const (
	wireOK          wireFault = iota
	wireRefused               // connection refused, the call is never sent
	wireCutBefore             // connection cut before the call takes effect
	wireCutAfter              // connection cut after the call took effect
	wireSilent                // the call never arrives, and no answer or error comes
	wireAnswerLost            // the call takes effect, but no answer or error comes
	wireDelayed               // no answer or error comes, and the call takes effect late
	wireWrongAnswer           // the answer is that of another request
	wireTruncated             // the answer has only a part of its body
	wireFaultCount
)

const (
	wireLatency = time.Millisecond
	wireDelay   = 3 * time.Second
)

// callWithFault simulates a call that suffers a fault. effect is what the call does at
// the receiver.
func callWithFault[T any](ctx context.Context, f wireFault, effect func() (T, error)) (T, error) {
	var zero T
	time.Sleep(wireLatency)
	switch f {
	case wireRefused:
		return zero, ports.ErrUnavailable
	case wireCutBefore:
		return zero, ports.ErrInDoubt
	case wireSilent:
		<-ctx.Done()
		return zero, fmt.Errorf("%w: %w", ports.ErrInDoubt, ctx.Err())
	case wireDelayed:
		go func() {
			time.Sleep(wireDelay)
			_, _ = effect()
		}()
		<-ctx.Done()
		return zero, ports.ErrInDoubt
	}
	type reply struct {
		value T
		err   error
	}
	done := make(chan reply, 1)
	go func() {
		v, err := effect()
		done <- reply{v, err}
	}()
	if f == wireCutAfter {
		time.Sleep(wireLatency)
		return zero, ports.ErrInDoubt
	}
	if f == wireAnswerLost {
		<-ctx.Done()
		return zero, ports.ErrInDoubt
	}
	select {
	case r := <-done:
		time.Sleep(wireLatency)
		return r.value, r.err
	case <-ctx.Done():
		return zero, fmt.Errorf("%w: %w", ports.ErrInDoubt, ctx.Err())
	}
}

// execution is a backend server's record of one request.
type execution struct {
	answer ports.Answer
	ran    bool
}

// fakeServer is a backend server with slots that executes a request ID at most once.
type fakeServer struct {
	mu          sync.Mutex
	id          model.BackendServerID
	slots       int
	busySlots   int
	serviceTime time.Duration
	leaving     bool
	failAll     bool
	faults      func(call string) wireFault
	records     map[model.RequestID]*execution
	executed    []ports.Execution // in order of their start
	refusals    int
	incarnation int
	startedAt   time.Time // of this incarnation; zero for the first
}

// incarnationText is how a server names its incarnation.
func incarnationText(n int) string { return strconv.Itoa(n + 1) }

// restart replaces the server by a new incarnation under the same ID, which remembers no request.
func (s *fakeServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.startedAt = time.Now()
	s.records = map[model.RequestID]*execution{}
	s.busySlots = 0
}

// setFaults changes the faults of a server that is in use.
func (s *fakeServer) setFaults(f func(call string) wireFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *fakeServer) fault(call string) wireFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults == nil {
		return wireOK
	}
	return s.faults(call)
}

func (s *fakeServer) Status(context.Context) (ports.BackendStatus, error) {
	return ports.BackendStatus{}, ports.ErrUnavailable
}

func (s *fakeServer) Command(context.Context, ports.CommandBatch) ([]ports.TaskResult, error) {
	return nil, ports.ErrUnavailable
}

func (s *fakeServer) Ping(ctx context.Context) error {
	_, err := callWithFault(ctx, s.fault("ping"), func() (bool, error) { return true, nil })
	return err
}

func (s *fakeServer) Execute(ctx context.Context, e ports.Execution) (ports.Answer, error) {
	f := s.fault("execute")
	a, err := callWithFault(ctx, f, func() (ports.Answer, error) { return s.run(e) })
	switch {
	case err == nil && f == wireWrongAnswer:
		a.Request = "other"
		a.Body = []byte("answer of another request")
		a.Length, a.Digest = len(a.Body), digestOf(a.Body)
	case err == nil && f == wireTruncated && len(a.Body) > 0:
		a.Body = a.Body[:len(a.Body)/2]
	}
	return a, err
}

func (s *fakeServer) Lookup(ctx context.Context, id model.RequestID) (ports.Answer, error) {
	return callWithFault(ctx, s.fault("lookup"), func() (ports.Answer, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if x := s.records[id]; x != nil && x.answer.State != ports.ExecutionRefused {
			a := x.answer
			a.FreeSlots = s.slots - s.busySlots
			return a, nil
		}
		s.records[id] = &execution{answer: ports.Answer{Request: id, State: ports.ExecutionRefused}}
		return ports.Answer{}, ports.ErrNotFound
	})
}

// run executes a request. A restart meanwhile ends the execution and cuts its connection.
func (s *fakeServer) run(e ports.Execution) (ports.Answer, error) {
	s.mu.Lock()
	if x := s.records[e.Request]; x != nil {
		defer s.mu.Unlock()
		return x.answer, nil
	}
	incarnation := s.incarnation
	if e.Incarnation != "" && e.Incarnation != incarnationText(incarnation) {
		defer s.mu.Unlock()
		s.refusals++
		return ports.Answer{Request: e.Request, State: ports.ExecutionRefused, Refused: ports.RefusedOtherIncarnation, Incarnation: incarnationText(incarnation)}, nil
	}
	x := &execution{answer: ports.Answer{Request: e.Request, State: ports.ExecutionRunning, Incarnation: incarnationText(incarnation)}}
	s.records[e.Request] = x
	if refused := s.refuses(); refused != "" {
		defer s.mu.Unlock()
		s.refusals++
		x.answer.State, x.answer.Refused = ports.ExecutionRefused, refused
		return x.answer, nil
	}
	s.busySlots++
	x.ran = true
	s.executed = append(s.executed, e)
	service := s.serviceTime
	s.mu.Unlock()
	time.Sleep(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != incarnation {
		return ports.Answer{}, ports.ErrInDoubt
	}
	s.busySlots--
	x.answer.FreeSlots = s.slots - s.busySlots
	if s.failAll {
		x.answer.State, x.answer.Error = ports.ExecutionFailed, "broken"
		return x.answer, nil
	}
	x.answer.State = ports.ExecutionDone
	x.answer.Body = answerBody(e)
	x.answer.Length, x.answer.Digest = len(x.answer.Body), digestOf(x.answer.Body)
	return x.answer, nil
}

func (s *fakeServer) refuses() ports.Refusal {
	switch {
	case s.leaving:
		return ports.RefusedLeaving
	case s.busySlots >= s.slots:
		return ports.RefusedFull
	default:
		return ""
	}
}

// answerBody returns the body of the correct answer to a request.
func answerBody(e ports.Execution) []byte {
	return fmt.Appendf(nil, "%s|%s|%s|%s", CallerRequestID(e.Request), e.Organisation, e.Caller, e.Body)
}

// testCluster is a set of VMs and backend servers in one process, in virtual time.
type testCluster struct {
	t       reporter
	mu      sync.Mutex
	servers map[string]*fakeServer
	vms     map[string]*vm // by address
	all     []*vm          // including those that addVM replaced
	view    View
	// peerFault returns the fault of a call between VMs.
	peerFault func(call, from, to string) wireFault
}

type vm struct {
	*Dispatcher
	cluster *testCluster
	address string
	cancel  context.CancelFunc
	down    bool
	// frozenUntil is the time until which calls from and to the VM are delayed.
	frozenUntil time.Time
	firstSent   map[model.RequestID]time.Time
}

// reporter receives test failures; *testing.T is one.
type reporter interface {
	Errorf(format string, args ...any)
}

// violationReporter reports violations that the dispatcher itself detected.
type violationReporter struct{ reporter }

func (r violationReporter) Violated(v invariant.Violation) {
	r.Errorf("invariant violated: %s: request %s: %s", v.Invariant, v.Request, v.Detail)
}

const (
	kindQuote = "quote" // urgent, idempotent
	kindOrder = "order" // normal, not idempotent
	kindMatch = "match" // batch, idempotent
)

func testConfig() *config.Current {
	return &config.Current{
		Organisations: map[model.OrganisationID]model.Organisation{"org": {ID: "org", Weight: 1}},
		RequestKinds: map[string]model.RequestKind{
			kindQuote: {Name: kindQuote, Class: model.ClassUrgent, Deadline: 10 * time.Second, Idempotent: true},
			kindOrder: {Name: kindOrder, Class: model.ClassNormal, Deadline: 10 * time.Second},
			kindMatch: {Name: kindMatch, Class: model.ClassBatch, Deadline: 60 * time.Second, Idempotent: true},
		},
	}
}

func newTestCluster(t reporter, vms, servers int) *testCluster {
	cluster := &testCluster{t: t, servers: map[string]*fakeServer{}, vms: map[string]*vm{}}
	cluster.view = View{AZ: "az", Region: "region", Config: testConfig()}
	for i := range servers {
		address := fmt.Sprintf("backend-%d", i)
		id := model.BackendServerID(address)
		cluster.servers[address] = &fakeServer{
			id:          id,
			slots:       8,
			serviceTime: 20 * time.Millisecond,
			records:     map[model.RequestID]*execution{},
		}
		server := model.BackendServer{ID: id, Address: address, AZ: "az", Region: "region", Slots: 8, Connections: 64}
		cluster.view.Backends = append(cluster.view.Backends, BackendView{Server: server, Live: true, FreeSlots: 8, Incarnation: incarnationText(0)})
	}
	for i := range vms {
		address := fmt.Sprintf("vm-%d", i)
		cluster.addVM(address, model.Incarnation("inc-"+address))
	}
	return cluster
}

func (cluster *testCluster) addVM(address string, incarnation model.Incarnation) *vm {
	m := &vm{cluster: cluster, address: address, firstSent: map[model.RequestID]time.Time{}}
	m.Dispatcher = New(Options{
		Address:     address,
		Incarnation: incarnation,
		Ports:       Ports{View: func() *View { return cluster.viewOf(address) }, Dialer: dialer{m}, Peers: peers{m}},
		Reporter:    violationReporter{cluster.t},
		Seed:        uint64(len(cluster.all) + 1),
	})
	cluster.change(func(v *View) {
		v.Peers = append(v.Peers, PeerView{Address: address, Incarnation: incarnation, AZ: "az", Alive: true})
	})
	cluster.vms[address] = m
	cluster.all = append(cluster.all, m)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.Run(ctx)
	return m
}

// viewOf returns the view of the VM at address: the shared view without that VM.
func (cluster *testCluster) viewOf(address string) *View {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	v := cluster.view
	v.Peers = nil
	for _, p := range cluster.view.Peers {
		if p.Address != address {
			v.Peers = append(v.Peers, p)
		}
	}
	return &v
}

// change edits the shared view.
func (cluster *testCluster) change(edit func(v *View)) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	edit(&cluster.view)
}

func (cluster *testCluster) close() {
	for _, m := range cluster.all {
		m.cancel()
		m.Close()
	}
}

// executions counts how often the servers executed the request with a caller's ID.
func (cluster *testCluster) executions(id model.RequestID) int {
	n := 0
	for _, s := range cluster.servers {
		s.mu.Lock()
		for _, e := range s.executed {
			if CallerRequestID(e.Request) == id {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

// executionsOf counts how often the servers executed a request. Others may have its ID.
func (cluster *testCluster) executionsOf(r Request) int {
	n := 0
	for _, s := range cluster.servers {
		s.mu.Lock()
		for _, e := range s.executed {
			if CallerRequestID(e.Request) == r.ID && e.Kind == r.Kind && e.Organisation == r.Organisation && e.Caller == r.Caller && bytes.Equal(e.Body, r.Body) {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

// kill stops a VM abruptly: it sends and answers nothing any more.
func (cluster *testCluster) kill(m *vm) {
	cluster.mu.Lock()
	m.down = true
	for i := range cluster.view.Peers {
		if cluster.view.Peers[i].Address == m.address {
			cluster.view.Peers[i].Alive = false
		}
	}
	cluster.mu.Unlock()
}

// freeze delays all calls of a VM for a while, as if its process were paused.
func (cluster *testCluster) freeze(m *vm, d time.Duration) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	m.frozenUntil = time.Now().Add(d)
}

// waitWhileFrozen delays a call while the VM is frozen and reports whether the VM is
// still alive. After the freeze the call continues, however late it is.
func (m *vm) waitWhileFrozen() bool {
	m.cluster.mu.Lock()
	until := m.frozenUntil
	m.cluster.mu.Unlock()
	time.Sleep(time.Until(until))
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return !m.down
}

// recordSend records when the VM first sent a request.
func (m *vm) recordSend(id model.RequestID) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if _, sent := m.firstSent[id]; !sent {
		m.firstSent[id] = time.Now()
	}
}

// sentAt returns when the VM first sent a request; zero if it did not.
func (m *vm) sentAt(id model.RequestID) time.Time {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return m.firstSent[id]
}

// mayHaveForgotten reports whether the server may have restarted since a time.
func (s *fakeServer) mayHaveForgotten(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return since.IsZero() || since.Before(s.startedAt)
}

type dialer struct{ m *vm }

func (d dialer) Backend(address string) ports.Backend {
	s := d.m.cluster.servers[address]
	if s == nil {
		s = &fakeServer{faults: func(string) wireFault { return wireRefused }}
	}
	return vmBackend{s, d.m}
}

// vmBackend is the connection of one VM to a backend server.
type vmBackend struct {
	*fakeServer
	m *vm
}

func (b vmBackend) Execute(ctx context.Context, e ports.Execution) (ports.Answer, error) {
	if !b.m.waitWhileFrozen() {
		return ports.Answer{}, ports.ErrUnavailable
	}
	b.m.recordSend(e.Request)
	a, err := b.fakeServer.Execute(ctx, e)
	b.m.waitWhileFrozen()
	return a, err
}

// Lookup keeps to the port: a server that may have restarted since the VM sent the request proves
// nothing by not knowing it.
func (b vmBackend) Lookup(ctx context.Context, id model.RequestID) (ports.Answer, error) {
	if !b.m.waitWhileFrozen() {
		return ports.Answer{}, ports.ErrUnavailable
	}
	a, err := b.fakeServer.Lookup(ctx, id)
	b.m.waitWhileFrozen()
	if errors.Is(err, ports.ErrNotFound) && b.mayHaveForgotten(b.m.sentAt(id)) {
		return ports.Answer{}, ports.ErrInDoubt
	}
	return a, err
}

type peers struct{ m *vm }

func (p peers) call(name, to string) (*vm, wireFault) {
	cluster := p.m.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	target := cluster.vms[to]
	if target == nil || target.down || p.m.down {
		return nil, wireRefused
	}
	if cluster.peerFault == nil {
		return target, wireOK
	}
	return target, cluster.peerFault(name, p.m.address, to)
}

// callPeer simulates a call between VMs. A VM that is killed during the call does not
// answer.
func callPeer[T any](ctx context.Context, p peers, name, to string, effect func(*vm) (T, error)) (T, error) {
	if !p.m.waitWhileFrozen() {
		var zero T
		return zero, ports.ErrUnavailable
	}
	target, f := p.call(name, to)
	return callWithFault(ctx, f, func() (T, error) {
		var zero T
		if !target.waitWhileFrozen() {
			return zero, ports.ErrInDoubt
		}
		value, err := effect(target)
		if !target.waitWhileFrozen() {
			return zero, ports.ErrInDoubt
		}
		return value, err
	})
}

func (p peers) Forward(ctx context.Context, address string, r Request) (Result, error) {
	return callPeer(ctx, p, "forward", address, func(target *vm) (Result, error) {
		return target.Do(ctx, r), nil
	})
}

func (p peers) Lookup(ctx context.Context, address string, id model.RequestID, ticket string) (Result, error) {
	return callPeer(ctx, p, "lookup", address, func(target *vm) (Result, error) {
		res, ok := target.LookupLocal(ctx, id, ticket)
		if !ok {
			return res, ports.ErrNotFound
		}
		return res, nil
	})
}

func (p peers) HandOver(ctx context.Context, address string, from model.Incarnation, tickets []TicketState) error {
	_, err := callPeer(ctx, p, "hand-over", address, func(target *vm) (bool, error) {
		if target.AdoptTickets(from, tickets) != nil {
			return false, ports.ErrUnavailable
		}
		return true, nil
	})
	return err
}
