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
	faultDuration   = 10 * time.Second
	settleDuration  = 10 * time.Second
	recoveryTimeout = 5 * time.Minute
)

// scenario is the run of one cell of the fault matrix.
type scenario struct {
	*cluster
	job   model.JobID
	fired bool
}

// faultSite is where a fault is injected: the VM that performs the step and its peer, which is a VM,
// a backend server or the log.
type faultSite struct {
	vm   *testVM
	peer string
}

// step is a row of the fault matrix: it leads a scenario to the step and recognises the action
// that performs it.
type step struct {
	name faultmatrix.Step
	// begin starts what leads to the step; onAction is set before it is called.
	begin func(s *scenario)
	// match returns the peer of an action that performs the step.
	match func(s *scenario, n *testVM, a Action) (peer string, ok bool)
	// want is the state in which the job ends.
	want JobState
}

// commandWith matches a batch that contains a command with the verb.
func commandWith(verb ports.Verb) func(*scenario, *testVM, Action) (string, bool) {
	return func(_ *scenario, _ *testVM, a Action) (string, bool) {
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

// start submits the job of a scenario.
func (s *scenario) start() {
	s.run(settleDuration)
	s.job = s.submit(s.vms[1], gangOfFour, false, 20*time.Second)
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
			s.deliver(s.vms[2], JobsCancelled{Reply: 2, Jobs: []model.JobID{s.job}})
		},
		match: commandWith(ports.VerbStop),
		want:  JobCancelled,
	},
	{
		name:  faultmatrix.StepClaim,
		begin: (*scenario).start,
		match: func(_ *scenario, _ *testVM, a Action) (string, bool) {
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
		match: func(_ *scenario, _ *testVM, a Action) (string, bool) {
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
		match: func(_ *scenario, _ *testVM, a Action) (string, bool) {
			c, ok := a.(Command)
			return c.Address, ok && c.Batch.Token.Rank > 0
		},
		want: JobDone,
	},
}

// inject applies a fault and returns the function that ends it.
func (s *scenario) inject(f faultmatrix.Fault, site faultSite) (end func()) {
	l := link(site.vm.name, site.peer)
	switch f {
	case faultmatrix.FaultKilled:
		site.vm.dead = true
		return func() {}
	case faultmatrix.FaultFrozen:
		site.vm.frozen = true
		return func() { s.unfreeze(site.vm) }
	case faultmatrix.FaultLeaseLapsed:
		site.vm.frozen = true
		s.after(s.settings.Lease+time.Second, func() { s.unfreeze(site.vm) })
		return func() {}
	case faultmatrix.FaultCutBefore:
		s.cut[l] = true
		return func() { s.cut[l] = false }
	case faultmatrix.FaultCutAfter:
		s.loseAnswers[l] = true
		s.after(2*linkDelay, func() { s.cut[l] = true })
		return func() { s.loseAnswers[l], s.cut[l] = false, false }
	case faultmatrix.FaultSilent:
		s.dropCalls[l] = true
		return func() { s.dropCalls[l] = false }
	case faultmatrix.FaultAnswerLost:
		s.loseAnswers[l] = true
		return func() { s.loseAnswers[l] = false }
	case faultmatrix.FaultLogDown:
		s.log.down = true
		return func() { s.log.down = false }
	case faultmatrix.FaultLogSlow:
		s.log.delay = 3 * time.Second
		return func() { s.log.delay = 0 }
	case faultmatrix.FaultListStale:
		return s.freezeList(site)
	case faultmatrix.FaultZoneCut:
		s.listStale = true
		s.cutFromLog(true)
		return func() {
			s.listStale = false
			s.cutFromLog(false)
		}
	default:
		return s.failAllTasks(site)
	}
}

// freezeList stops updates of the VM list and kills a backend server that it shows as live.
func (s *scenario) freezeList(site faultSite) func() {
	s.listStale = true
	victim := model.BackendServerID(site.peer)
	if s.servers[victim] == nil {
		victim = eventloop.SortedKeys(s.servers)[0]
	}
	s.servers[victim].die(s.now)
	return func() { s.listStale = false }
}

func (s *scenario) cutFromLog(cut bool) {
	for _, n := range s.vms {
		s.setCut(n.name, "log", cut)
	}
}

// failAllTasks makes the backend server of the step fail all its tasks, or the first server if the
// step involves none.
func (s *scenario) failAllTasks(site faultSite) func() {
	f := s.servers[model.BackendServerID(site.peer)]
	if f == nil {
		f = s.servers[eventloop.SortedKeys(s.servers)[0]]
	}
	f.failAll = true
	for _, t := range f.tasks {
		if t.State == ports.TaskRunning {
			t.State, t.ended, t.Error = ports.TaskFailed, s.now, "injected failure"
		}
	}
	return func() {}
}

func TestMatrixControl(t *testing.T) {
	for _, st := range steps {
		for _, f := range faultmatrix.Faults {
			faultmatrix.RunCell(t, st.name, f, func(t *testing.T) { runCell(t, st, f) })
		}
	}
}

// runCell injects a fault the first time that a step is performed. It checks the invariants while
// the fault lasts, and that the job ends afterwards.
func runCell(t *testing.T, st step, f faultmatrix.Fault) {
	s := &scenario{cluster: newCluster(t, 3, 4)}
	s.onAction = func(n *testVM, a Action) {
		peer, ok := st.match(s, n, a)
		if !ok || s.fired {
			return
		}
		s.fired = true
		s.after(faultDuration, s.inject(f, faultSite{vm: n, peer: peer}))
	}
	st.begin(s)
	assert.Assert(t, s.runUntil(recoveryTimeout, func() bool { return s.fired }), "the step was not performed")
	s.run(faultDuration + settleDuration)
	ended := s.runUntil(recoveryTimeout, func() bool {
		h := s.holder()
		return h != nil && s.stateOf(h, s.job) == st.want
	})
	s.assertNoViolations()
	assert.Assert(t, ended, "job %s is not %s\n%s", s.job, st.want, s.describe(s.holder()))
}
