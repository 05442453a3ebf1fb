package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// wireFault is what happens to one call on its way.
type wireFault int

const (
	wireOK        wireFault = iota
	wireRefused             // never sent
	wireCutBefore           // cut before effect
	wireCutAfter            // cut after effect
	wireSilent              // never arrives, never answers
	wireLost                // takes effect, never answers
	wireLate                // silent, and takes effect late
	wireCrossed             // answered with another request's answer
	wireCut                 // answered with a part of the body
	wireFaultCount
)

const (
	wireLatency = time.Millisecond
	wireLateBy  = 3 * time.Second
)

// wire carries a call under a fault. effect runs the call at the other side.
func wire[T any](ctx context.Context, f wireFault, effect func() (T, error)) (T, error) {
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
	case wireLate:
		go func() {
			time.Sleep(wireLateBy)
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
	if f == wireLost {
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

// execution is the backend servers' record of one request.
type execution struct {
	answer ports.Answer
	ran    bool
}

// fakeServer is a backend server with slots that executes a request ID at most once.
type fakeServer struct {
	mu       sync.Mutex
	id       model.BackendServerID
	slots    int
	used     int
	service  time.Duration
	leaving  bool
	failAll  bool
	faults   func(call string) wireFault
	records  map[model.RequestID]*execution
	order    []ports.Execution // executed
	refusals int
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
	_, err := wire(ctx, s.fault("ping"), func() (bool, error) { return true, nil })
	return err
}

func (s *fakeServer) Execute(ctx context.Context, e ports.Execution) (ports.Answer, error) {
	f := s.fault("execute")
	a, err := wire(ctx, f, func() (ports.Answer, error) { return s.run(e), nil })
	switch {
	case err == nil && f == wireCrossed:
		a.Request = "other"
		a.Body = []byte("answer of another request")
		a.Length, a.Digest = len(a.Body), digestOf(a.Body)
	case err == nil && f == wireCut && len(a.Body) > 0:
		a.Body = a.Body[:len(a.Body)/2]
	}
	return a, err
}

func (s *fakeServer) Lookup(ctx context.Context, id model.RequestID) (ports.Answer, error) {
	return wire(ctx, s.fault("lookup"), func() (ports.Answer, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if x := s.records[id]; x != nil {
			a := x.answer
			a.FreeSlots = s.slots - s.used
			return a, nil
		}
		s.records[id] = &execution{answer: ports.Answer{Request: id, State: ports.ExecutionRefused}}
		return ports.Answer{}, ports.ErrNotFound
	})
}

func (s *fakeServer) run(e ports.Execution) ports.Answer {
	s.mu.Lock()
	if x := s.records[e.Request]; x != nil {
		defer s.mu.Unlock()
		return x.answer
	}
	x := &execution{answer: ports.Answer{Request: e.Request, State: ports.ExecutionRunning}}
	s.records[e.Request] = x
	if refused := s.refuses(); refused != "" {
		defer s.mu.Unlock()
		s.refusals++
		x.answer.State, x.answer.Refused = ports.ExecutionRefused, refused
		return x.answer
	}
	s.used++
	x.ran = true
	s.order = append(s.order, e)
	service := s.service
	s.mu.Unlock()
	time.Sleep(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	x.answer.FreeSlots = s.slots - s.used
	if s.failAll {
		x.answer.State, x.answer.Error = ports.ExecutionFailed, "broken"
		return x.answer
	}
	x.answer.State = ports.ExecutionDone
	x.answer.Body = answerTo(e)
	x.answer.Length, x.answer.Digest = len(x.answer.Body), digestOf(x.answer.Body)
	return x.answer
}

func (s *fakeServer) refuses() ports.Refusal {
	switch {
	case s.leaving:
		return ports.RefusedLeaving
	case s.used >= s.slots:
		return ports.RefusedFull
	default:
		return ""
	}
}

// answerTo is the one right answer to a request.
func answerTo(e ports.Execution) []byte {
	return fmt.Appendf(nil, "%s|%s|%s|%s", RequestOf(e.Request), e.Organisation, e.Caller, e.Body)
}

// world is a set of VMs and backend servers in one process and virtual time.
type world struct {
	t       reporter
	mu      sync.Mutex
	servers map[string]*fakeServer
	vms     map[string]*vm // by address
	all     []*vm          // with those that were replaced
	view    View
	// peerFault decides on the calls between VMs.
	peerFault func(call, from, to string) wireFault
}

type vm struct {
	*Dispatcher
	world   *world
	address string
	cancel  context.CancelFunc
	down    bool
	// frozenUntil holds back all that the VM sends and gets.
	frozenUntil time.Time
}

// reporter takes findings; *testing.T is one.
type reporter interface {
	Errorf(format string, args ...any)
}

// violations reports broken promises that the program found itself.
type violations struct{ reporter }

func (r violations) Violated(v invariant.Violation) {
	r.Errorf("violated: %s: request %s: %s", v.Invariant, v.Request, v.Detail)
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

func newWorld(t reporter, vms, servers int) *world {
	w := &world{t: t, servers: map[string]*fakeServer{}, vms: map[string]*vm{}}
	w.view = View{AZ: "az", Region: "region", Config: testConfig()}
	for i := range servers {
		address := fmt.Sprintf("backend-%d", i)
		id := model.BackendServerID(address)
		w.servers[address] = &fakeServer{
			id:      id,
			slots:   8,
			service: 20 * time.Millisecond,
			records: map[model.RequestID]*execution{},
		}
		server := model.BackendServer{ID: id, Address: address, AZ: "az", Region: "region", Slots: 8, Connections: 64}
		w.view.Backends = append(w.view.Backends, BackendView{Server: server, Live: true, FreeSlots: 8})
	}
	for i := range vms {
		address := fmt.Sprintf("vm-%d", i)
		w.addVM(address, model.Incarnation("inc-"+address))
	}
	return w
}

func (w *world) addVM(address string, incarnation model.Incarnation) *vm {
	m := &vm{world: w, address: address}
	m.Dispatcher = New(Options{
		Address:     address,
		Incarnation: incarnation,
		Ports:       Ports{View: func() *View { return w.viewOf(address) }, Dialer: dialer{m}, Peers: peers{m}},
		Reporter:    violations{w.t},
		Seed:        uint64(len(w.all) + 1),
	})
	w.change(func(v *View) {
		v.Peers = append(v.Peers, PeerView{Address: address, Incarnation: incarnation, AZ: "az", Alive: true})
	})
	w.vms[address] = m
	w.all = append(w.all, m)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.Run(ctx)
	return m
}

// viewOf returns the shared view without the VM itself.
func (w *world) viewOf(address string) *View {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.view
	v.Peers = nil
	for _, p := range w.view.Peers {
		if p.Address != address {
			v.Peers = append(v.Peers, p)
		}
	}
	return &v
}

// change edits the view under the lock.
func (w *world) change(edit func(v *View)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	edit(&w.view)
}

func (w *world) close() {
	for _, m := range w.all {
		m.cancel()
		m.Close()
	}
}

// executions counts how often the servers ran the request of a caller's ID.
func (w *world) executions(id model.RequestID) int {
	n := 0
	for _, s := range w.servers {
		s.mu.Lock()
		for _, e := range s.order {
			if RequestOf(e.Request) == id {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

// kill ends a VM without any goodbye.
func (w *world) kill(m *vm) {
	w.mu.Lock()
	m.down = true
	for i := range w.view.Peers {
		if w.view.Peers[i].Address == m.address {
			w.view.Peers[i].Alive = false
		}
	}
	w.mu.Unlock()
}

// freeze holds back all calls of a VM for a while.
func (w *world) freeze(m *vm, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.frozenUntil = time.Now().Add(d)
}

// pass holds a call back while the VM is frozen and reports whether the VM lives. A
// thawed VM goes on with the call, however late it is.
func (m *vm) pass() bool {
	m.world.mu.Lock()
	until := m.frozenUntil
	m.world.mu.Unlock()
	time.Sleep(time.Until(until))
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	return !m.down
}

type dialer struct{ m *vm }

func (d dialer) Backend(address string) ports.Backend {
	s := d.m.world.servers[address]
	if s == nil {
		s = &fakeServer{faults: func(string) wireFault { return wireRefused }}
	}
	return backendOf{s, d.m}
}

// backendOf is a backend server as one VM reaches it.
type backendOf struct {
	*fakeServer
	m *vm
}

func (b backendOf) Execute(ctx context.Context, e ports.Execution) (ports.Answer, error) {
	if !b.m.pass() {
		return ports.Answer{}, ports.ErrUnavailable
	}
	a, err := b.fakeServer.Execute(ctx, e)
	b.m.pass()
	return a, err
}

func (b backendOf) Lookup(ctx context.Context, id model.RequestID) (ports.Answer, error) {
	if !b.m.pass() {
		return ports.Answer{}, ports.ErrUnavailable
	}
	a, err := b.fakeServer.Lookup(ctx, id)
	b.m.pass()
	return a, err
}

type peers struct{ m *vm }

func (p peers) call(name, to string) (*vm, wireFault) {
	w := p.m.world
	w.mu.Lock()
	defer w.mu.Unlock()
	target := w.vms[to]
	if target == nil || target.down || p.m.down {
		return nil, wireRefused
	}
	if w.peerFault == nil {
		return target, wireOK
	}
	return target, w.peerFault(name, p.m.address, to)
}

// callPeer carries a call between VMs. A VM that dies meanwhile answers nothing.
func callPeer[T any](ctx context.Context, p peers, name, to string, effect func(*vm) (T, error)) (T, error) {
	if !p.m.pass() {
		var zero T
		return zero, ports.ErrUnavailable
	}
	target, f := p.call(name, to)
	return wire(ctx, f, func() (T, error) {
		var zero T
		if !target.pass() {
			return zero, ports.ErrInDoubt
		}
		value, err := effect(target)
		if !target.pass() {
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
		res, ok := target.Known(ctx, id, ticket)
		if !ok {
			return res, ports.ErrNotFound
		}
		return res, nil
	})
}

func (p peers) HandOver(ctx context.Context, address string, from model.Incarnation, tickets []TicketState) error {
	_, err := callPeer(ctx, p, "hand-over", address, func(target *vm) (bool, error) {
		if target.Accept(from, tickets) != nil {
			return false, ports.ErrUnavailable
		}
		return true, nil
	})
	return err
}
