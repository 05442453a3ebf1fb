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
	testZone     model.AZ = "harju-a"
	linkDelay             = time.Millisecond
	followDelay           = 50 * time.Millisecond
	testAZServer          = "s%d"
)

// node is one VM of the cluster.
type node struct {
	name   string
	state  *State
	dead   bool
	frozen bool
	queue  []Event // what arrived while frozen
	acts   []func()
	next   int64
	up     bool
	told   bool
	// doubts are entries that were sent, not stored, and not answered.
	doubts  []string
	replies []Action
}

// failer is what a testing.T and a rapid.T have in common.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// cluster runs several States against fakes in virtual time.
type cluster struct {
	t        failer
	now      time.Time
	rng      *rand.Rand
	due      dueQueue
	seq      int
	log      fakeLog
	nodes    []*node
	servers  map[model.BackendServerID]*fakeServer
	config   *config.Current
	settings Settings
	cut      map[[2]string]bool    // both ways, by name
	mute     map[[2]string]bool    // answers are lost after the effect
	silent   map[[2]string]bool    // calls vanish and get no answer
	bad      map[model.JobID]bool  // jobs that fail wherever they run
	hook     func(*node, Action)   // called before each action is carried out
	vms      []ports.VMEntry       // the platform's list
	stale    bool                  // the list is not updated
	breaches []string              // broken promises seen by the fakes
	reported []invariant.Violation // reported by the program
	dump     string                // of the VM that reported first
	ids      int
	partial  map[model.AttemptID]time.Time
	runtimes map[model.JobID]time.Duration
	jobs     map[model.JobID]model.Job
	steps    int
	remote   map[ReplyID]remoteReply
}

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

func newCluster(t failer, vms, servers int) *cluster {
	c := &cluster{
		t:        t,
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rng:      rand.New(rand.NewPCG(1, 2)),
		servers:  make(map[model.BackendServerID]*fakeServer),
		settings: DefaultSettings(),
		cut:      make(map[[2]string]bool),
		mute:     make(map[[2]string]bool),
		silent:   make(map[[2]string]bool),
		partial:  make(map[model.AttemptID]time.Time),
		runtimes: make(map[model.JobID]time.Duration),
		remote:   make(map[ReplyID]remoteReply),
		jobs:     make(map[model.JobID]model.Job),
	}
	c.config = &config.Current{
		Organisations:  map[model.OrganisationID]model.Organisation{"a": {ID: "a"}, "b": {ID: "b"}, "c": {ID: "c"}},
		BackendServers: make(map[model.BackendServerID]model.BackendServer),
	}
	for i := range servers {
		c.addServer(i)
	}
	for range vms {
		c.addNode()
	}
	c.after(0, c.follow)
	c.after(0, c.tick)
	return c
}

func (c *cluster) addServer(i int) { c.addServerIn(testZone, i) }

func (c *cluster) addServerIn(az model.AZ, i int) {
	id := model.BackendServerID(fmt.Sprintf(testAZServer, i))
	info := model.BackendServer{ID: id, Address: string(id), AZ: az, Rack: "r0", Accelerators: 8, Slots: 8}
	next := *c.config
	next.BackendServers = maps.Clone(c.config.BackendServers)
	next.BackendServers[id] = info
	*c.config = next
	for _, n := range c.nodes {
		n.state.synced = nil
	}
	c.servers[id] = &fakeServer{
		info:   info,
		tasks:  make(map[model.TaskID]*fakeTask),
		badJob: func(j model.JobID) bool { return c.bad[j] },
		runtime: func(j model.JobID) time.Duration {
			if d, ok := c.runtimes[j]; ok {
				return d
			}
			return 10 * time.Second
		},
	}
	c.vms = append(c.vms, ports.VMEntry{Address: info.Address, Role: ports.RoleBackendServer, AZ: az, State: ports.VMLive})
}

func (c *cluster) newID() string {
	c.ids++
	return fmt.Sprintf("id%04d", c.ids)
}

func (c *cluster) addNode() *node { return c.addNodeIn(testZone) }

func (c *cluster) addNodeIn(az model.AZ) *node {
	name := fmt.Sprintf("vm%d", len(c.nodes))
	id := Identity{Incarnation: model.Incarnation("i-" + name), Address: name, AZ: az}
	n := &node{name: name, next: 1}
	n.state = NewState(id, c.settings, replica.New(fixedConfig{c.config}), placement.Reclaiming{}, c.newID)
	c.nodes = append(c.nodes, n)
	c.vms = append(c.vms, ports.VMEntry{Address: name, Role: ports.RoleVM, AZ: az, State: ports.VMLive})
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

// deliver gives events to a VM now.
func (c *cluster) deliver(n *node, events ...Event) {
	if n.dead {
		return
	}
	if n.frozen {
		n.queue = append(n.queue, events...)
		return
	}
	c.steps++
	for _, a := range n.state.Step(events, c.now) {
		c.carryOut(n, a)
	}
}

func (c *cluster) thaw(n *node) {
	n.frozen = false
	acts, queue := n.acts, n.queue
	n.acts, n.queue = nil, nil
	for _, f := range acts {
		f()
	}
	c.deliver(n, queue...)
}

func (c *cluster) tick() {
	for _, n := range c.nodes {
		c.deliver(n, Ticked{}, VMsListed{VMs: c.listed()})
	}
	c.observe()
	c.after(c.settings.Tick, c.tick)
}

// listed is the platform's list, from which dead VMs and servers are gone.
func (c *cluster) listed() []ports.VMEntry {
	if c.stale {
		return c.vms
	}
	var list []ports.VMEntry
	for _, vm := range c.vms {
		if !c.isDead(vm.Address) {
			list = append(list, vm)
		}
	}
	return list
}

func (c *cluster) isDead(name string) bool {
	for _, n := range c.nodes {
		if n.name == name {
			return n.dead
		}
	}
	f := c.servers[model.BackendServerID(name)]
	return f != nil && f.dead
}

// follow delivers log entries to every VM that reaches the log.
func (c *cluster) follow() {
	for _, n := range c.nodes {
		if n.dead || n.frozen {
			continue
		}
		up := !c.log.down && c.connected(n.name, "log")
		if up != n.up || !n.told {
			n.up, n.told = up, true
			c.deliver(n, LogReachable{OK: up})
		}
		if !up {
			continue
		}
		for _, id := range n.doubts {
			c.deliver(n, EntryAppended{Result: journal.AppendResult{EntryID: id, State: journal.AppendNotSent}})
		}
		n.doubts = nil
		entries, next := c.log.from(n.next)
		n.next = next
		c.deliver(n, EntriesRead{Entries: entries, Next: next})
	}
	c.after(followDelay, c.follow)
}

func link(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (c *cluster) connected(a, b string) bool { return !c.cut[link(a, b)] }

// sever cuts or heals the link between two names.
func (c *cluster) sever(a, b string, cut bool) { c.cut[link(a, b)] = cut }

func (c *cluster) carryOut(n *node, a Action) {
	if c.hook != nil {
		c.hook(n, a)
	}
	if n.dead {
		return
	}
	if n.frozen {
		n.acts = append(n.acts, func() { c.carryOut(n, a) })
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
	case Report:
		if len(c.reported) == 0 {
			c.dump = c.describe(n)
		}
		c.reported = append(c.reported, a.Violation)
	default:
		n.replies = append(n.replies, a)
		c.relay(a)
	}
}

func (c *cluster) append(n *node, e journal.Entry) {
	result := journal.AppendResult{EntryID: e.ID}
	if c.log.down || !c.connected(n.name, "log") {
		result.State = journal.AppendNotSent
		c.after(linkDelay, func() { c.deliver(n, EntryAppended{Result: result}) })
		return
	}
	vanishes := c.silent[link(n.name, "log")]
	c.after(linkDelay+c.log.delay, func() {
		if vanishes || c.log.down || n.dead && c.rng.IntN(2) == 0 {
			n.doubts = append(n.doubts, e.ID)
			result.State = journal.AppendInDoubt
		} else {
			result.Offset = c.log.append(e, c.now)
			result.State = journal.AppendStored
			if c.log.lose || c.mute[link(n.name, "log")] || !c.connected(n.name, "log") {
				result.State = journal.AppendInDoubt
			}
		}
		c.deliver(n, EntryAppended{Result: result})
	})
}

var errLost = errors.New("answer lost")

func (c *cluster) command(n *node, a Command) {
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
	vanishes := c.silent[link(n.name, a.Address)]
	c.after(linkDelay, func() {
		if vanishes || f.dead || n.dead {
			answered.Err = errors.Join(errLost, ports.ErrInDoubt)
			c.after(a.Timeout, func() { c.deliver(n, answered) })
			return
		}
		answered.Results = f.command(a.Batch, c.now)
		if c.mute[link(n.name, a.Address)] || !c.connected(n.name, a.Address) {
			answered.Results, answered.Err = nil, errors.Join(errLost, ports.ErrInDoubt)
			c.after(a.Timeout, func() { c.deliver(n, answered) })
			return
		}
		c.after(linkDelay, func() { c.deliver(n, answered) })
	})
}

func (c *cluster) poll(n *node, a PollStatus) {
	answered := StatusAnswered{Server: a.Server, Sent: a.Sent}
	f := c.servers[a.Server]
	if f == nil || f.dead || !c.connected(n.name, a.Address) || c.mute[link(n.name, a.Address)] || c.silent[link(n.name, a.Address)] {
		answered.Err = ports.ErrUnavailable
		c.after(a.Timeout, func() { c.deliver(n, answered) })
		return
	}
	c.after(linkDelay, func() {
		answered.Status = f.status(c.now)
		c.after(linkDelay, func() { c.deliver(n, answered) })
	})
}

func (c *cluster) byAddress(address string) *node {
	for _, n := range c.nodes {
		if n.name == address {
			return n
		}
	}
	return nil
}

func (c *cluster) reaches(n *node, address string) *node {
	p := c.byAddress(address)
	if p == nil || p.dead || p.frozen || c.cut[link(n.name, address)] || c.silent[link(n.name, address)] {
		return nil
	}
	return p
}

// peerError is what a caller learns of a peer that it does not reach.
func (c *cluster) peerError(n *node, address string) error {
	if c.silent[link(n.name, address)] {
		return errors.Join(errLost, ports.ErrInDoubt)
	}
	return ports.ErrUnavailable
}

func (c *cluster) heartbeat(n *node, a SendHeartbeat) {
	c.after(linkDelay, func() {
		p := c.reaches(n, a.Address)
		if p == nil {
			return
		}
		c.deliver(p, HeartbeatReceived{Heartbeat: a.Heartbeat})
		answer := p.state.ownHeartbeat()
		c.after(linkDelay, func() { c.deliver(n, HeartbeatReceived{Heartbeat: answer}) })
	})
}

// remoteReply routes replies of a peer back to the VM that called.
type remoteReply struct {
	node *node
	from *node
	job  model.JobID
}

func (c *cluster) expect(n, p *node, job model.JobID) ReplyID {
	c.ids++
	id := ReplyID(1_000_000 + c.ids)
	c.remote[id] = remoteReply{node: n, from: p, job: job}
	return id
}

func (c *cluster) relay(a Action) {
	switch a := a.(type) {
	case OfferReply:
		r := c.remote[a.Reply]
		e := OfferAnswered{Job: r.job, Answer: a.Answer}
		if c.loses(r) {
			e = OfferAnswered{Job: r.job, Err: errors.Join(errLost, ports.ErrInDoubt)}
		}
		c.after(linkDelay, func() { c.deliver(r.node, e) })
	case TermOfferReply:
		r := c.remote[a.Reply]
		e := TermOfferAnswered{Accepted: a.Accepted}
		if c.loses(r) {
			e = TermOfferAnswered{Err: errors.Join(errLost, ports.ErrInDoubt)}
		}
		c.after(linkDelay, func() { c.deliver(r.node, e) })
	}
}

// loses reports whether the answer of a peer does not get back.
func (c *cluster) loses(r remoteReply) bool {
	l := link(r.node.name, r.from.name)
	return c.mute[l] || c.cut[l]
}

func (c *cluster) offer(n *node, a SendOffer) {
	c.after(linkDelay, func() {
		p := c.reaches(n, a.Address)
		if p == nil {
			c.deliver(n, OfferAnswered{Job: a.Offer.Job.ID, Err: c.peerError(n, a.Address)})
			return
		}
		c.deliver(p, JobOffered{Reply: c.expect(n, p, a.Offer.Job.ID), Offer: a.Offer})
	})
}

func (c *cluster) termOffer(n *node, a SendTermOffer) {
	c.after(linkDelay, func() {
		p := c.reaches(n, a.Address)
		if p == nil {
			c.deliver(n, TermOfferAnswered{Err: c.peerError(n, a.Address)})
			return
		}
		c.deliver(p, TermOffered{Reply: c.expect(n, p, ""), Offer: a.Offer})
	})
}

// submit submits a job at a VM and returns its ID.
func (c *cluster) submit(n *node, shape model.GangShape, idempotent bool, runtime time.Duration) model.JobID {
	id := model.JobID(fmt.Sprintf("job%03d", len(c.jobs)))
	org := []model.OrganisationID{"a", "b", "c"}[len(c.jobs)%3]
	job := model.Job{ID: id, Organisation: org, Shape: shape, Class: model.ClassNormal, Idempotent: idempotent}
	c.jobs[id] = job
	c.runtimes[id] = runtime
	c.deliver(n, JobSubmitted{Reply: 1, Job: job})
	return id
}

func (c *cluster) holder() *node {
	for _, n := range c.nodes {
		if !n.dead && !n.frozen && n.state.acting() {
			return n
		}
	}
	return nil
}

func (c *cluster) stateOf(n *node, id model.JobID) JobState {
	st, _ := n.state.status(id)
	return st.State
}

// running counts the members of a job that run now.
func (c *cluster) running(id model.JobID) int {
	n := 0
	for _, f := range c.servers {
		f.expire(c.now)
		for _, t := range f.tasks {
			if t.Job == id && t.State == ports.TaskRunning {
				n++
			}
		}
	}
	return n
}

// describe tells what a VM knows of its gangs and backend servers, for a failed run.
func (c *cluster) describe(n *node) string {
	if n == nil {
		return "no term holder"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s token %v newest %v settled %v\n", n.name, n.state.term.token, n.state.term.newest, n.state.settled())
	n.state.replica.OpenJobs(func(j *replica.Job) {
		st, _ := n.state.status(j.Job.ID)
		fmt.Fprintf(&b, "  %s: %s, %s, attempt %+v\n", j.Job.ID, st.State, st.Reason, j.Attempt)
	})
	for _, j := range eventloop.SortedKeys(n.state.gangs) {
		g := n.state.gangs[j]
		fmt.Fprintf(&b, "  %s: %s gathering %v since %v\n", j, g.phase, g.gathering, g.since.Sub(c.now))
		for _, m := range g.members {
			fmt.Fprintf(&b, "    %s on %s: %d %q pending %q until %v\n",
				m.task, m.server, m.accelerators, m.state, m.pending, m.until.Sub(c.now))
		}
	}
	for _, id := range eventloop.SortedKeys(n.state.servers) {
		v := n.state.servers[id]
		fmt.Fprintf(&b, "  %s live %v gone %v leaving %v surveyed %v fenced %v quarantined %v\n",
			id, n.state.live(v), v.gone, v.leaving, v.surveyed, v.fenced, v.health.quarantined)
	}
	return b.String()
}
