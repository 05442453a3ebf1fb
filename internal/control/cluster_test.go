package control

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

const (
	testZone       model.AZ = "harju-a"
	linkDelay               = time.Millisecond
	followDelay             = 50 * time.Millisecond
	serverIDFormat          = "s%d"
)

// testVM is one VM of the cluster.
type testVM struct {
	name             string
	state            *State
	dead             bool
	frozen           bool
	pendingEvents    []Event // events that arrived while frozen
	pendingActions   []func()
	next             int64
	logReachable     bool
	reachabilitySent bool
	// inDoubt holds the IDs of entries whose append was answered as in doubt and that were not
	// stored.
	inDoubt []string
	replies []Action
}

// testFailer is implemented by testing.T and rapid.T.
type testFailer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// cluster runs several States against fakes in virtual time.
type cluster struct {
	t                  testFailer
	now                time.Time
	rng                *rand.Rand
	due                dueQueue
	seq                int
	log                fakeLog
	vms                []*testVM
	servers            map[model.BackendServerID]*fakeServer
	config             *config.Current
	settings           Settings
	cut                map[[2]string]bool // links that are cut in both directions, by name
	loseAnswers        map[[2]string]bool // links on which calls take effect but their answers are lost
	dropCalls          map[[2]string]bool // links on which calls are lost and get no answer
	lateCalls          map[[2]string]lateness
	commandDelay       map[model.BackendServerID]time.Duration // how long commands to a server are under way
	reportDelay        time.Duration                           // how long status reports are
	failingJobs        map[model.JobID]bool                    // jobs that fail wherever they run
	onAction           func(*testVM, Action)                   // called before each action is executed
	vmList             []ports.VMEntry                         // the platform's VM list
	listStale          bool                                    // the VM list is not updated
	observedViolations []string                                // invariant violations seen from the fakes
	reportedViolations []invariant.Violation                   // violations reported by the VMs
	firstDump          string                                  // state of the VM that reported first
	ids                int
	partialSince       map[model.AttemptID]time.Time
	runtimes           map[model.JobID]time.Duration
	jobs               map[model.JobID]model.Job
	steps              int
	peerCalls          map[ReplyID]peerCall
}

// lateness is how late the commands on a link are carried out. Their senders get no answer.
type lateness time.Duration

type dueEvent struct {
	at  time.Time
	seq int
	run func()
}

type dueQueue []dueEvent

func (q dueQueue) Len() int { return len(q) }
func (q dueQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *dueQueue) Push(x any)   { *q = append(*q, x.(dueEvent)) }
func (q *dueQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newCluster(t testFailer, vms, servers int) *cluster {
	c := &cluster{
		t:            t,
		now:          time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rng:          rand.New(rand.NewPCG(1, 2)),
		servers:      make(map[model.BackendServerID]*fakeServer),
		settings:     DefaultSettings(),
		cut:          make(map[[2]string]bool),
		loseAnswers:  make(map[[2]string]bool),
		dropCalls:    make(map[[2]string]bool),
		lateCalls:    make(map[[2]string]lateness),
		commandDelay: make(map[model.BackendServerID]time.Duration),
		partialSince: make(map[model.AttemptID]time.Time),
		runtimes:     make(map[model.JobID]time.Duration),
		peerCalls:    make(map[ReplyID]peerCall),
		jobs:         make(map[model.JobID]model.Job),
	}
	c.config = &config.Current{
		Organisations:  map[model.OrganisationID]model.Organisation{"a": {ID: "a"}, "b": {ID: "b"}, "c": {ID: "c"}},
		BackendServers: make(map[model.BackendServerID]model.BackendServer),
	}
	for i := range servers {
		c.addServer(i)
	}
	for range vms {
		c.addVM()
	}
	c.after(0, c.deliverLog)
	c.after(0, c.tick)
	return c
}

func (c *cluster) addServer(i int) { c.addServerIn(testZone, i) }

func (c *cluster) addServerIn(az model.AZ, i int) {
	id := model.BackendServerID(fmt.Sprintf(serverIDFormat, i))
	info := model.BackendServer{ID: id, Address: string(id), AZ: az, Rack: "r0", Accelerators: 8, Slots: 8}
	next := *c.config
	next.BackendServers = maps.Clone(c.config.BackendServers)
	next.BackendServers[id] = info
	*c.config = next
	for _, n := range c.vms {
		n.state.syncedConfig = nil
	}
	c.servers[id] = &fakeServer{
		info:     info,
		tasks:    make(map[model.TaskID]*fakeTask),
		failsJob: func(j model.JobID) bool { return c.failingJobs[j] },
		runtime: func(j model.JobID) time.Duration {
			if d, ok := c.runtimes[j]; ok {
				return d
			}
			return 10 * time.Second
		},
	}
	c.vmList = append(c.vmList, ports.VMEntry{Address: info.Address, Role: ports.RoleBackendServer, AZ: az, State: ports.VMLive})
}

func (c *cluster) newID() string {
	c.ids++
	return fmt.Sprintf("id%04d", c.ids)
}

func (c *cluster) addVM() *testVM { return c.addVMIn(testZone) }

func (c *cluster) addVMIn(az model.AZ) *testVM {
	name := fmt.Sprintf("vm%d", len(c.vms))
	id := Identity{Incarnation: model.Incarnation("i-" + name), Address: name, AZ: az}
	n := &testVM{name: name, next: 1}
	n.state = NewState(id, c.settings, replica.New(fixedConfig{c.config}), placement.Reclaiming{}, c.newID)
	c.vms = append(c.vms, n)
	c.vmList = append(c.vmList, ports.VMEntry{Address: name, Role: ports.RoleVM, AZ: az, State: ports.VMLive})
	return n
}

func (c *cluster) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.due, dueEvent{at: c.now.Add(d), seq: c.seq, run: f})
}

// run lets virtual time pass.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.due) > 0 && !c.due[0].at.After(end) {
		e := heap.Pop(&c.due).(dueEvent)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// runUntil lets time pass until ok holds, for at most d.
func (c *cluster) runUntil(d time.Duration, ok func() bool) bool {
	end := c.now.Add(d)
	for c.now.Before(end) {
		if ok() {
			return true
		}
		c.run(10 * time.Millisecond)
	}
	return ok()
}

// deliver applies events to a VM now, or queues them while it is frozen.
func (c *cluster) deliver(n *testVM, events ...Event) {
	if n.dead {
		return
	}
	if n.frozen {
		n.pendingEvents = append(n.pendingEvents, events...)
		return
	}
	c.steps++
	for _, a := range n.state.Step(events, c.now) {
		c.execute(n, a)
	}
}

func (c *cluster) unfreeze(n *testVM) {
	n.frozen = false
	actions, events := n.pendingActions, n.pendingEvents
	n.pendingActions, n.pendingEvents = nil, nil
	for _, f := range actions {
		f()
	}
	c.deliver(n, events...)
}

func (c *cluster) tick() {
	for _, n := range c.vms {
		c.deliver(n, Ticked{}, VMsListed{VMs: c.listVMs()})
	}
	c.checkObserved()
	c.after(c.settings.TickInterval, c.tick)
}

// listVMs returns the platform's VM list, without dead VMs and servers unless listStale is set.
func (c *cluster) listVMs() []ports.VMEntry {
	if c.listStale {
		return c.vmList
	}
	var list []ports.VMEntry
	for _, vm := range c.vmList {
		if !c.isDead(vm.Address) {
			list = append(list, vm)
		}
	}
	return list
}

func (c *cluster) isDead(name string) bool {
	for _, n := range c.vms {
		if n.name == name {
			return n.dead
		}
	}
	f := c.servers[model.BackendServerID(name)]
	return f != nil && f.dead
}

// deliverLog delivers new log entries to every VM that reaches the log.
func (c *cluster) deliverLog() {
	for _, n := range c.vms {
		if n.dead || n.frozen {
			continue
		}
		up := !c.log.down && c.connected(n.name, "log")
		if up != n.logReachable || !n.reachabilitySent {
			n.logReachable, n.reachabilitySent = up, true
			c.deliver(n, LogReachable{OK: up})
		}
		if !up {
			continue
		}
		for _, id := range n.inDoubt {
			c.deliver(n, EntryAppended{Result: journal.AppendResult{EntryID: id, State: journal.AppendNotSent}})
		}
		n.inDoubt = nil
		entries, next := c.log.from(n.next)
		n.next = next
		c.deliver(n, EntriesRead{Entries: entries, Next: next})
	}
	c.after(followDelay, c.deliverLog)
}

func link(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (c *cluster) connected(a, b string) bool { return !c.cut[link(a, b)] }

// setCut cuts or restores the link between two names.
func (c *cluster) setCut(a, b string, cut bool) { c.cut[link(a, b)] = cut }

func (c *cluster) execute(n *testVM, a Action) {
	if c.onAction != nil {
		c.onAction(n, a)
	}
	if n.dead {
		return
	}
	if n.frozen {
		n.pendingActions = append(n.pendingActions, func() { c.execute(n, a) })
		return
	}
	switch a := a.(type) {
	case Append:
		c.append(n, a.Entry)
	case Command:
		c.command(n, a)
	case PollStatus:
		c.poll(n, a)
	case SendHeartbeat:
		c.heartbeat(n, a)
	case SendOffer:
		c.offer(n, a)
	case SendTermOffer:
		c.termOffer(n, a)
	case ReportViolation:
		if len(c.reportedViolations) == 0 {
			c.firstDump = c.describe(n)
		}
		c.reportedViolations = append(c.reportedViolations, a.Violation)
	default:
		n.replies = append(n.replies, a)
		c.routeReply(a)
	}
}

func (c *cluster) append(n *testVM, e journal.Entry) {
	result := journal.AppendResult{EntryID: e.ID}
	if c.log.down || !c.connected(n.name, "log") {
		result.State = journal.AppendNotSent
		c.after(linkDelay, func() { c.deliver(n, EntryAppended{Result: result}) })
		return
	}
	dropped := c.dropCalls[link(n.name, "log")]
	c.after(linkDelay+c.log.delay, func() {
		if dropped || c.log.down || n.dead && c.rng.IntN(2) == 0 {
			n.inDoubt = append(n.inDoubt, e.ID)
			result.State = journal.AppendInDoubt
		} else {
			result.Offset = c.log.append(e, c.now)
			result.State = journal.AppendStored
			if c.log.loseAnswers || c.loseAnswers[link(n.name, "log")] || !c.connected(n.name, "log") {
				result.State = journal.AppendInDoubt
			}
		}
		c.deliver(n, EntryAppended{Result: result})
	})
}

var errLost = errors.New("answer lost")

func (c *cluster) command(n *testVM, a Command) {
	answered := CommandAnswered{Server: a.Server, Batch: a.Batch}
	f := c.servers[a.Server]
	if c.now.After(a.NotAfter) {
		answered.Err = ports.ErrUnavailable
		c.after(0, func() { c.deliver(n, answered) })
		return
	}
	if f == nil || f.dead || !c.connected(n.name, a.Address) {
		answered.Err = ports.ErrUnavailable
		c.after(a.Timeout, func() { c.deliver(n, answered) })
		return
	}
	if late := c.lateCalls[link(n.name, a.Address)]; late > 0 {
		c.after(time.Duration(late), func() { c.arriveLate(f, a.Batch) })
		answered.Err = errors.Join(errLost, ports.ErrInDoubt)
		c.after(a.Timeout, func() { c.deliver(n, answered) })
		return
	}
	dropped := c.dropCalls[link(n.name, a.Address)]
	c.after(linkDelay+c.commandDelay[a.Server], func() {
		if dropped || f.dead || n.dead {
			answered.Err = errors.Join(errLost, ports.ErrInDoubt)
			c.after(a.Timeout, func() { c.deliver(n, answered) })
			return
		}
		answered.Results = f.command(a.Batch, c.now)
		if c.loseAnswers[link(n.name, a.Address)] || !c.connected(n.name, a.Address) {
			answered.Results, answered.Err = nil, errors.Join(errLost, ports.ErrInDoubt)
			c.after(a.Timeout, func() { c.deliver(n, answered) })
			return
		}
		c.after(linkDelay, func() { c.deliver(n, answered) })
	})
}

// arriveLate carries a batch out in whatever incarnation the server has by then.
func (c *cluster) arriveLate(f *fakeServer, b ports.CommandBatch) {
	if !f.dead {
		f.command(b, c.now)
	}
}

func (c *cluster) poll(n *testVM, a PollStatus) {
	answered := StatusAnswered{Server: a.Server, Sent: a.Sent}
	f := c.servers[a.Server]
	if f == nil || f.dead || !c.connected(n.name, a.Address) || c.loseAnswers[link(n.name, a.Address)] || c.dropCalls[link(n.name, a.Address)] {
		answered.Err = ports.ErrUnavailable
		c.after(a.Timeout, func() { c.deliver(n, answered) })
		return
	}
	c.after(linkDelay, func() {
		answered.Status = f.status(c.now)
		c.after(linkDelay+c.reportDelay, func() { c.deliver(n, answered) })
	})
}

func (c *cluster) vmByAddress(address string) *testVM {
	for _, n := range c.vms {
		if n.name == address {
			return n
		}
	}
	return nil
}

func (c *cluster) reachablePeer(n *testVM, address string) *testVM {
	p := c.vmByAddress(address)
	if p == nil || p.dead || p.frozen || c.cut[link(n.name, address)] || c.dropCalls[link(n.name, address)] {
		return nil
	}
	return p
}

// peerError returns the error of a call to a peer that is not reached.
func (c *cluster) peerError(n *testVM, address string) error {
	if c.dropCalls[link(n.name, address)] {
		return errors.Join(errLost, ports.ErrInDoubt)
	}
	return ports.ErrUnavailable
}

func (c *cluster) heartbeat(n *testVM, a SendHeartbeat) {
	c.after(linkDelay, func() {
		p := c.reachablePeer(n, a.Address)
		if p == nil {
			return
		}
		c.deliver(p, HeartbeatReceived{Heartbeat: a.Heartbeat})
		answer := p.state.ownHeartbeat()
		c.after(linkDelay, func() { c.deliver(n, HeartbeatReceived{Heartbeat: answer}) })
	})
}

// peerCall is a call from one VM to another, whose reply is routed back to the caller.
type peerCall struct {
	caller *testVM
	peer   *testVM
	job    model.JobID
}

func (c *cluster) newPeerCall(n, p *testVM, job model.JobID) ReplyID {
	c.ids++
	id := ReplyID(1_000_000 + c.ids)
	c.peerCalls[id] = peerCall{caller: n, peer: p, job: job}
	return id
}

func (c *cluster) routeReply(a Action) {
	switch a := a.(type) {
	case OfferReply:
		r := c.peerCalls[a.Reply]
		e := OfferAnswered{Job: r.job, Answer: a.Answer}
		if c.losesAnswer(r) {
			e = OfferAnswered{Job: r.job, Err: errors.Join(errLost, ports.ErrInDoubt)}
		}
		c.after(linkDelay, func() { c.deliver(r.caller, e) })
	case TermOfferReply:
		r := c.peerCalls[a.Reply]
		e := TermOfferAnswered{Accepted: a.Accepted}
		if c.losesAnswer(r) {
			e = TermOfferAnswered{Err: errors.Join(errLost, ports.ErrInDoubt)}
		}
		c.after(linkDelay, func() { c.deliver(r.caller, e) })
	}
}

// losesAnswer reports whether the answer of a peer is lost.
func (c *cluster) losesAnswer(r peerCall) bool {
	l := link(r.caller.name, r.peer.name)
	return c.loseAnswers[l] || c.cut[l]
}

func (c *cluster) offer(n *testVM, a SendOffer) {
	c.after(linkDelay, func() {
		p := c.reachablePeer(n, a.Address)
		if p == nil {
			c.deliver(n, OfferAnswered{Job: a.Offer.Job.ID, Err: c.peerError(n, a.Address)})
			return
		}
		c.deliver(p, JobOffered{Reply: c.newPeerCall(n, p, a.Offer.Job.ID), Offer: a.Offer})
	})
}

func (c *cluster) termOffer(n *testVM, a SendTermOffer) {
	c.after(linkDelay, func() {
		p := c.reachablePeer(n, a.Address)
		if p == nil {
			c.deliver(n, TermOfferAnswered{Err: c.peerError(n, a.Address)})
			return
		}
		c.deliver(p, TermOffered{Reply: c.newPeerCall(n, p, ""), Offer: a.Offer})
	})
}

// submit submits a job at a VM and returns its ID.
func (c *cluster) submit(n *testVM, shape model.GangShape, idempotent bool, runtime time.Duration) model.JobID {
	id := model.JobID(fmt.Sprintf("job%03d", len(c.jobs)))
	org := []model.OrganisationID{"a", "b", "c"}[len(c.jobs)%3]
	job := model.Job{ID: id, Organisation: org, Shape: shape, Class: model.ClassNormal, Idempotent: idempotent}
	c.jobs[id] = job
	c.runtimes[id] = runtime
	c.deliver(n, JobSubmitted{Reply: 1, Job: job})
	return id
}

func (c *cluster) holder() *testVM {
	for _, n := range c.vms {
		if !n.dead && !n.frozen && n.state.acting() {
			return n
		}
	}
	return nil
}

func (c *cluster) stateOf(n *testVM, id model.JobID) JobState {
	st, _ := n.state.jobStatus(id)
	return st.State
}

// running returns the number of running members of a job.
func (c *cluster) running(id model.JobID) int {
	n := 0
	for _, f := range c.servers {
		f.advanceTo(c.now)
		for _, t := range f.tasks {
			if t.Job == id && t.State == ports.TaskRunning {
				n++
			}
		}
	}
	return n
}

// describe formats a VM's gangs and backend servers for the message of a failed run.
func (c *cluster) describe(n *testVM) string {
	if n == nil {
		return "no term holder"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s token %v newest %v ready to place %v\n", n.name, n.state.term.token, n.state.term.newest, n.state.readyToPlace())
	n.state.replica.OpenJobs(func(j *replica.Job) {
		st, _ := n.state.jobStatus(j.Job.ID)
		fmt.Fprintf(&b, "  %s: %s, %s, attempt %+v\n", j.Job.ID, st.State, st.Reason, j.Attempt)
	})
	for _, j := range eventloop.SortedKeys(n.state.gangs) {
		g := n.state.gangs[j]
		fmt.Fprintf(&b, "  %s: %s recovering %v since %v\n", j, g.phase, g.recovering, g.since.Sub(c.now))
		for _, m := range g.members {
			fmt.Fprintf(&b, "    %s on %s: %d %q pending %q expires by %v\n",
				m.task, m.server, m.accelerators, m.state, m.pending, m.expiresBy.Sub(c.now))
		}
	}
	for _, id := range eventloop.SortedKeys(n.state.servers) {
		v := n.state.servers[id]
		fmt.Fprintf(&b, "  %s live %v gone %v leaving %v surveyed %v confirmed token %v quarantined %v\n",
			id, n.state.live(v), v.gone, v.leaving, v.surveyed, v.confirmedToken, v.health.quarantined)
	}
	return b.String()
}
