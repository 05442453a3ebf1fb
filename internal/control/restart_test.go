package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

var oneTask = model.GangShape{Tasks: 1, Accelerators: 8, Adjacency: model.AdjacentAny}

// An idle backend server that has restarted gets the holder's token again before a deposed holder
// can use it.
func TestRestartedIdleServerGetsTheTokenAgain(t *testing.T) {
	c := newRunningCluster(t, 2, 2)
	h := c.holder()
	s := c.servers["s0"]
	assert.Equal(t, s.token, h.state.term.token)
	s.restart(c.now)
	c.run(c.settings.PollInterval + 2*c.settings.CommandTimeout)
	assert.Equal(t, s.token, h.state.term.token)
	c.assertNoViolations()
}

// A restarted server that takes no commands holds up no work on others.
func TestRestartedServerHoldsUpNoOther(t *testing.T) {
	c := newRunningCluster(t, 2, 2)
	h := c.holder()
	s := c.servers["s0"]
	s.restart(c.now)
	c.lateCalls[link(h.name, "s0")] = lateness(time.Hour)
	c.run(2 * c.settings.PollInterval)
	id := c.submit(h, oneTask, false, time.Minute)
	c.run(time.Second)
	assert.Equal(t, c.running(id), 1)
	assert.Equal(t, len(s.tasks), 0)
	c.assertNoViolations()
}

// restartedBehindADeposedHolder returns a cluster in which old still acts, since it hears neither its
// successor nor the log, and reaches only s0, which has restarted after the successor surveyed it.
func restartedBehindADeposedHolder(t *testing.T) (c *cluster, old, successor *testVM) {
	t.Helper()
	c = newRunningCluster(t, 2, 2)
	old, successor = c.holder(), c.nonHolder()
	for _, to := range []string{successor.name, "log", "s0", "s1"} {
		c.setCut(old.name, to, true)
	}
	c.run(10 * time.Second)
	assert.Assert(t, old.state.acting() && successor.state.acting())
	assert.Assert(t, old.state.term.token.Less(successor.state.term.token))
	assert.Equal(t, c.servers["s0"].token, successor.state.term.token)
	c.servers["s0"].restart(c.now)
	c.setCut(old.name, "s0", false)
	return c, old, successor
}

// A deposed holder's hold and start are refused by a server that restarted after its successor took over.
func TestDeposedHolderStartsNothingOnARestartedServer(t *testing.T) {
	c, old, _ := restartedBehindADeposedHolder(t)
	c.run(3 * time.Second)
	id := c.submit(old, oneTask, false, time.Minute)
	c.run(10 * time.Second)
	assert.Equal(t, c.running(id), 0)
	assert.Assert(t, !old.state.acting())
	c.assertNoViolations()
}

// An attempt that a deposed holder began on a server that has restarted since its survey is not closed as
// lost by that survey and started again elsewhere.
func TestAttemptOnARestartedServerIsNotClosedByAnOldSurvey(t *testing.T) {
	c, old, successor := restartedBehindADeposedHolder(t)
	c.setCut(successor.name, "s0", true)
	id := c.submit(old, oneTask, false, time.Hour)
	c.run(3 * time.Second)
	assert.Equal(t, c.running(id), 1)
	c.setCut(old.name, "log", false)
	c.run(10 * time.Second)
	c.assertNoViolations()
	assert.Assert(t, !old.state.acting() && successor.state.replica.Job(id) != nil)
	assert.Assert(t, c.running(id) <= 1)
	c.setCut(successor.name, "s0", false)
	c.run(10 * time.Second)
	c.assertNoViolations()
	assert.Equal(t, c.running(id), 1)
}

// takeOverAfterRestart runs a gang of non-idempotent tasks to its end, kills the holder before it learns of it,
// restarts some of the servers and lets the successor settle the job.
func takeOverAfterRestart(t *testing.T, tasks int, runtime time.Duration, restarted func(*fakeServer) bool) (*cluster, model.JobID) {
	t.Helper()
	c := newRunningCluster(t, 2, 2)
	old := c.holder()
	shape := model.GangShape{Tasks: tasks, Accelerators: 8, Adjacency: model.AdjacentAny}
	id := c.submit(c.nonHolder(), shape, false, runtime)
	assert.Assert(t, c.runUntil(5*time.Second, func() bool { return c.running(id) == tasks }))
	old.dead = true
	c.run(1500 * time.Millisecond)
	for _, f := range c.servers {
		if restarted(f) {
			f.restart(c.now)
		}
	}
	c.run(30 * time.Second)
	return c, id
}

func ranTask(f *fakeServer) bool { return len(f.tasks) > 0 }

// A successor does not start a job again that was done on a server which has restarted since.
func TestDoneTaskOfARestartedServerIsNotStartedBySuccessor(t *testing.T) {
	c, id := takeOverAfterRestart(t, 1, time.Second, ranTask)
	c.assertNoViolations()
	st, _ := c.holder().state.jobStatus(id)
	assert.Equal(t, st.State, JobFailed)
	assert.Equal(t, st.Reason, ReasonMayHaveRun)
}

// The same holds for a gang of which one server still lists a done task.
func TestDoneGangOfARestartedServerIsNotStartedBySuccessor(t *testing.T) {
	c, id := takeOverAfterRestart(t, 2, time.Second, func(f *fakeServer) bool { return f.info.ID == "s0" })
	c.assertNoViolations()
	st, _ := c.holder().state.jobStatus(id)
	assert.Equal(t, st.State, JobFailed)
	assert.Equal(t, st.Reason, ReasonMayHaveRun)
}

// A gang with a member that certainly stopped early is not complete, and runs again.
func TestStoppedGangOfARestartedServerIsStartedBySuccessor(t *testing.T) {
	c, id := takeOverAfterRestart(t, 2, time.Minute, func(f *fakeServer) bool { return f.info.ID == "s0" })
	c.assertNoViolations()
	assert.Equal(t, c.running(id), 2)
}

// The same holds for an attempt that its acceptor granted itself without the log, which names no servers,
// whether the acceptor is the holder or another VM that is gone.
func TestDoneAttemptOfAnAcceptorIsNotStartedBySuccessor(t *testing.T) {
	for _, atHolder := range []bool{true, false} {
		c := newRunningCluster(t, 3, 2)
		old, other := c.holder(), c.nonHolder()
		c.log.down = true
		c.run(time.Second)
		acceptor := old
		if !atHolder {
			acceptor = other
		}
		id := c.submit(acceptor, oneTask, false, time.Second)
		assert.Assert(t, c.runUntil(5*time.Second, func() bool { return c.running(id) == 1 }))
		other.dead = true
		for _, n := range c.vms {
			if n != old {
				c.setCut(old.name, n.name, true)
			}
		}
		c.setCut(old.name, "s0", true)
		c.setCut(old.name, "s1", true)
		c.run(1500 * time.Millisecond)
		for _, f := range c.servers {
			if ranTask(f) {
				f.restart(c.now)
			}
		}
		c.run(10 * time.Second)
		c.log.down = false
		c.run(20 * time.Second)
		clear(c.cut) // the VM that got the permit is waited for until it is heard again
		c.run(20 * time.Second)
		c.assertNoViolations()
		st, _ := c.holder().state.jobStatus(id)
		assert.Equal(t, st.State, JobFailed, "accepted by the holder: %v", atHolder)
		assert.Equal(t, st.Reason, ReasonMayHaveRun)
	}
}

// An acceptor does not use its permit once the log may have the job, and its successor may have closed the attempt.
func TestAcceptorDoesNotUseAPermitThatTheLogMayHave(t *testing.T) {
	c := newRunningCluster(t, 2, 2)
	old, successor := c.holder(), c.nonHolder()
	for _, to := range []string{successor.name, "log", "s0", "s1"} {
		c.setCut(old.name, to, true)
	}
	c.setCut(successor.name, "log", true)
	c.run(10 * time.Second)
	id := c.submit(old, oneTask, false, time.Hour)
	c.run(time.Second)
	assert.Equal(t, old.state.localJobs[id].permit, permitAvailable)
	c.onAction = func(n *testVM, a Action) {
		if e, ok := a.(Append); ok && n == old && e.Entry.ID == acceptEntryID(id) {
			c.after(0, func() { c.setCut(old.name, "log", true) })
		}
	}
	c.setCut(old.name, "log", false)
	c.run(time.Second)
	assert.Assert(t, !c.connected(old.name, "log") && old.state.acting())
	c.setCut(successor.name, "log", false)
	c.run(15 * time.Second)
	assert.Equal(t, c.running(id), 1)
	for _, f := range c.servers {
		if !ranTask(f) {
			f.restart(c.now)
			c.setCut(successor.name, string(f.info.ID), true)
			c.setCut(old.name, string(f.info.ID), false)
		}
	}
	c.run(10 * time.Second)
	c.assertNoViolations()
	assert.Equal(t, c.running(id), 1)
}

// The holder that got a permit in an offer does not use it after the acceptor has recorded the attempt, and a
// successor has closed it.
func TestOfferedPermitIsNotUsedAfterTheAcceptorRecordedIt(t *testing.T) {
	c := newRunningCluster(t, 2, 2)
	old, acceptor := c.holder(), c.nonHolder()
	c.log.down = true
	c.setCut(old.name, "s0", true)
	c.setCut(old.name, "s1", true)
	c.run(5 * time.Second)
	id := c.submit(acceptor, oneTask, false, time.Hour)
	assert.Assert(t, c.runUntil(5*time.Second, func() bool { return old.state.localJobs[id] != nil }))
	c.setCut(old.name, acceptor.name, true)
	c.setCut(old.name, "log", true)
	c.log.down = false
	c.run(15 * time.Second)
	assert.Assert(t, old.state.acting() && acceptor.state.acting())
	idle := c.servers["s0"]
	if ranTask(idle) {
		idle = c.servers["s1"]
	}
	idle.restart(c.now)
	c.setCut(acceptor.name, string(idle.info.ID), true)
	c.setCut(old.name, string(idle.info.ID), false)
	c.run(10 * time.Second)
	c.assertNoViolations()
	assert.Equal(t, c.running(id), 1)
	clear(c.cut)
	c.run(30 * time.Second)
	c.assertNoViolations()
	assert.Equal(t, c.running(id), 1)
}

// A successor that waits for the VM which got a permit starts the job once that VM has read the attempt, or is gone.
func TestGivenPermitIsWaitedFor(t *testing.T) {
	for _, gone := range []bool{true, false} {
		c := newRunningCluster(t, 2, 2)
		old, acceptor := c.holder(), c.nonHolder()
		c.log.down = true
		c.setCut(old.name, "s0", true)
		c.setCut(old.name, "s1", true)
		c.run(5 * time.Second)
		id := c.submit(acceptor, oneTask, false, time.Hour)
		assert.Assert(t, c.runUntil(5*time.Second, func() bool { return old.state.localJobs[id] != nil }))
		c.setCut(old.name, acceptor.name, true)
		c.setCut(old.name, "log", true)
		c.log.down = false
		c.run(20 * time.Second)
		assert.Equal(t, c.running(id), 0)
		st, _ := acceptor.state.jobStatus(id)
		assert.Equal(t, st.Reason, ReasonPermitElsewhere)
		old.dead = gone
		if !gone {
			c.setCut(old.name, acceptor.name, false)
			c.setCut(old.name, "log", false)
		}
		c.run(10 * time.Second)
		assert.Equal(t, c.running(id), 1)
		c.assertNoViolations()
	}
}

// Renewals that arrive late, one after the other, extend a lease no longer than its holder counts on.
func TestLateRenewalsEndBeforeTheHolderCountsTheLeaseAsEnded(t *testing.T) {
	c := newRunningCluster(t, 1, 2)
	h := c.holder()
	id := c.submit(h, oneTask, true, time.Hour)
	c.run(2 * time.Second)
	assert.Equal(t, c.running(id), 1)
	g := h.state.gangs[id]
	m := g.members[0]
	f := c.servers[m.server]
	l := link(h.name, string(m.server))
	task := f.tasks[m.task]
	renewals, lastRenewal := 0, c.now
	c.onAction = func(_ *testVM, a Action) {
		if _, renewed := commandWith(ports.VerbRenew)(nil, h, a); !renewed || renewals == 3 {
			return
		}
		renewals++
		delete(c.lateCalls, l)
		switch renewals {
		case 1: // arrives when the lease of the third is nearly over
			c.lateCalls[l] = lateness(8 * time.Second)
		case 2: // arrives when the lease of the first is nearly over
			c.lateCalls[l] = lateness(12 * time.Second)
		case 3:
			lastRenewal = c.now
			c.after(10*linkDelay, func() { c.setCut(h.name, string(m.server), true) })
		}
	}
	assert.Assert(t, c.runUntil(10*time.Second, func() bool { return renewals == 3 }))
	for c.now.Before(lastRenewal.Add(30 * time.Second)) {
		c.run(100 * time.Millisecond)
		f.advanceTo(c.now)
		ended := !task.State.Active()
		assert.Assert(t, ended || c.now.Before(m.expiresBy), "the task runs %v after the third renewal, its holder counts on %v",
			c.now.Sub(lastRenewal), m.expiresBy.Sub(lastRenewal))
	}
	assert.Equal(t, c.running(id), 1)
}

func (m *machine) restartServer(*rapid.T) {
	if f := m.randomServer(); !f.dead && m.oneIn(2) {
		f.restart(m.now)
	}
}

// toggleLateCalls makes the commands on a link late, or ends that.
func (m *machine) toggleLateCalls(*rapid.T) {
	l := link(m.randomVM().name, m.randomServer().info.Address)
	if m.lateCalls[l] > 0 {
		delete(m.lateCalls, l)
		return
	}
	m.lateCalls[l] = lateness(time.Duration(rapid.IntRange(600, 15_000).Draw(m.t, "late")) * time.Millisecond)
}

// Servers restart under their IDs beside commands that are carried out late and cuts.
func TestRandomRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{cluster: newCluster(t, 3, 4), t: t}
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submitJob,
			"freeze":  m.toggleFreeze,
			"cut":     m.toggleLink,
			"mute":    m.toggleLinkFault,
			"log":     m.changeLogFault,
			"late":    m.toggleLateCalls,
			"leave":   m.toggleLeaving,
			"slow":    m.changeDelays,
			"restart": m.restartServer,
			"kill":    m.killVM,
			"drain":   m.drainVM,
			"break":   m.toggleServerFailure,
			"pass":    m.passTime,
			"":        m.check,
		})
		clear(m.lateCalls)
		m.endFaults()
		m.run(10 * time.Second)
		m.runUntil(10*time.Minute, func() bool {
			id, _ := m.unendedJob()
			return id == ""
		})
		m.check(nil)
		id, st := m.unendedJob()
		assert.Assert(t, id == "", "job %s never ended: %s, %s\n%s", id, st.State, st.Reason, fmt.Sprint(m.describe(m.holder())))
	})
}
