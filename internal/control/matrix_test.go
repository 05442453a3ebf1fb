package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/faultmatrix"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

const (
	faultTime   = 10 * time.Second
	settleTime  = 10 * time.Second
	recoverTime = 5 * time.Minute
)

// scenario is one cell of the matrix under way.
type scenario struct {
	*cluster
	job   model.JobID
	fired bool
}

// moment is the place of a step: the VM that performs it and the far end.
type moment struct {
	node *node
	peer string
}

// step brings a scenario to its step and recognises the action that performs it.
type step struct {
	name faultmatrix.Step
	// begin leads up to the step; the hook is set before it is called.
	begin func(s *scenario)
	// match returns the far end of an action that performs the step.
	match func(s *scenario, n *node, a Action) (peer string, ok bool)
	// want is the state in which the job ends.
	want JobState
}

// commandWith matches a batch that carries a verb.
func commandWith(verb ports.Verb) func(*scenario, *node, Action) (string, bool) {
	return func(_ *scenario, _ *node, a Action) (string, bool) {
		c, ok := a.(Command)
		if !ok {
			return "", false
		}
		for _, x := range c.Batch.Commands {
			if x.Verb == verb {
				return c.Address, true
			}
		}
		return "", false
	}
}

// run submits the job of a scenario and lets it run.
func (s *scenario) start() {
	s.run(settleTime)
	s.job = s.submit(s.nodes[1], gangOfFour, false, 20*time.Second)
}

func (s *scenario) startAndRun() {
	s.start()
	s.run(5 * time.Second)
}

var steps = []step{
	{
		name:  faultmatrix.StepHold,
		begin: (*scenario).start,
		match: commandWith(ports.VerbHold),
		want:  JobDone,
	},
	{
		name:  faultmatrix.StepStart,
		begin: (*scenario).start,
		match: commandWith(ports.VerbStart),
		want:  JobDone,
	},
	{
		name:  faultmatrix.StepRenew,
		begin: (*scenario).startAndRun,
		match: commandWith(ports.VerbRenew),
		want:  JobDone,
	},
	{
		name: faultmatrix.StepStop,
		begin: func(s *scenario) {
			s.startAndRun()
			s.deliver(s.nodes[2], JobsCancelled{Reply: 2, Jobs: []model.JobID{s.job}})
		},
		match: commandWith(ports.VerbStop),
		want:  JobCancelled,
	},
	{
		name:  faultmatrix.StepClaim,
		begin: (*scenario).start,
		match: func(_ *scenario, _ *node, a Action) (string, bool) {
			e, ok := a.(Append)
			return "log", ok && e.Entry.Kind == journal.KindTerm
		},
		want: JobDone,
	},
	{
		name: faultmatrix.StepHandOver,
		begin: func(s *scenario) {
			s.startAndRun()
			s.deliver(s.holder(), DrainRequested{Reply: 3})
		},
		match: func(_ *scenario, _ *node, a Action) (string, bool) {
			o, ok := a.(SendTermOffer)
			return o.Address, ok
		},
		want: JobDone,
	},
	{
		name: faultmatrix.StepTakeOver,
		begin: func(s *scenario) {
			s.startAndRun()
			s.holder().dead = true
		},
		match: func(_ *scenario, _ *node, a Action) (string, bool) {
			c, ok := a.(Command)
			return c.Address, ok && c.Batch.Token.Rank > 0
		},
		want: JobDone,
	},
}

// inject applies a fault at a moment and returns what ends it.
func (s *scenario) inject(f faultmatrix.Fault, m moment) (end func()) {
	l := link(m.node.name, m.peer)
	switch f {
	case faultmatrix.FaultKilled:
		m.node.dead = true
		return func() {}
	case faultmatrix.FaultFrozen:
		m.node.frozen = true
		return func() { s.thaw(m.node) }
	case faultmatrix.FaultLeaseLapsed:
		m.node.frozen = true
		s.after(s.settings.Lease+time.Second, func() { s.thaw(m.node) })
		return func() {}
	case faultmatrix.FaultCutBefore:
		s.cut[l] = true
		return func() { s.cut[l] = false }
	case faultmatrix.FaultCutAfter:
		s.mute[l] = true
		s.after(2*linkDelay, func() { s.cut[l] = true })
		return func() { s.mute[l], s.cut[l] = false, false }
	case faultmatrix.FaultSilent:
		s.silent[l] = true
		return func() { s.silent[l] = false }
	case faultmatrix.FaultAnswerLost:
		s.mute[l] = true
		return func() { s.mute[l] = false }
	case faultmatrix.FaultLogDown:
		s.log.down = true
		return func() { s.log.down = false }
	case faultmatrix.FaultLogSlow:
		s.log.delay = 3 * time.Second
		return func() { s.log.delay = 0 }
	case faultmatrix.FaultListStale:
		return s.staleList(m)
	case faultmatrix.FaultZoneCut:
		s.stale = true
		s.cutFromLog(true)
		return func() {
			s.stale = false
			s.cutFromLog(false)
		}
	default:
		return s.failAll(m)
	}
}

// staleList stops the list while a backend server dies that it shows as live.
func (s *scenario) staleList(m moment) func() {
	s.stale = true
	victim := model.BackendServerID(m.peer)
	if s.servers[victim] == nil {
		victim = eventloop.SortedKeys(s.servers)[0]
	}
	s.servers[victim].die(s.now)
	return func() { s.stale = false }
}

func (s *scenario) cutFromLog(cut bool) {
	for _, n := range s.nodes {
		s.sever(n.name, "log", cut)
	}
}

// failAll makes the backend server of the step fail all tasks, or one of them when
// the step has none.
func (s *scenario) failAll(m moment) func() {
	f := s.servers[model.BackendServerID(m.peer)]
	if f == nil {
		f = s.servers[eventloop.SortedKeys(s.servers)[0]]
	}
	f.failAll = true
	for _, t := range f.tasks {
		if t.State == ports.TaskRunning {
			t.State, t.ended, t.Error = ports.TaskFailed, s.now, "fails everything"
		}
	}
	return func() {}
}

func TestMatrixControl(t *testing.T) {
	for _, st := range steps {
		for _, f := range faultmatrix.Faults {
			faultmatrix.Cell(t, st.name, f, func(t *testing.T) { proveCell(t, st, f) })
		}
	}
}

// proveCell injects a fault the first time that a step is performed, and checks the
// promises while it lasts and that the job ends after it.
func proveCell(t *testing.T, st step, f faultmatrix.Fault) {
	s := &scenario{cluster: newCluster(t, 3, 4)}
	s.hook = func(n *node, a Action) {
		peer, ok := st.match(s, n, a)
		if !ok || s.fired {
			return
		}
		s.fired = true
		s.after(faultTime, s.inject(f, moment{node: n, peer: peer}))
	}
	st.begin(s)
	assert.Assert(t, s.runUntil(recoverTime, func() bool { return s.fired }), "the step was not reached")
	s.run(faultTime + settleTime)
	ended := s.runUntil(recoverTime, func() bool {
		h := s.holder()
		return h != nil && s.stateOf(h, s.job) == st.want
	})
	s.assertClean()
	assert.Assert(t, ended, "job %s is not %s\n%s", s.job, st.want, s.describe(s.holder()))
}
