package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// newRunningCluster returns a cluster with a term holder.
func newRunningCluster(t *testing.T, vms, servers int) *cluster {
	t.Helper()
	c := newCluster(t, vms, servers)
	c.run(5 * time.Second)
	assert.Assert(t, c.holder() != nil)
	return c
}

// nonHolder returns a VM that is not the term holder.
func (c *cluster) nonHolder() *testVM {
	for _, n := range c.vms {
		if !n.dead && n != c.holder() {
			return n
		}
	}
	return nil
}

// While the log is down, recorded jobs that are not idempotent wait and give the reason; jobs
// accepted in that time run under their acceptor's permit, placed by the term holder.
func TestLogOutage(t *testing.T) {
	c := newRunningCluster(t, 3, 2)
	small := model.GangShape{Tasks: 2, Accelerators: 2, Adjacency: model.AdjacentAny}
	whole := model.GangShape{Tasks: 4, Accelerators: 4, Adjacency: model.AdjacentAny}
	blocker := c.submit(c.nonHolder(), whole, true, 8*time.Second)
	recorded := c.submit(c.nonHolder(), small, false, time.Second)
	idempotent := c.submit(c.nonHolder(), small, true, time.Second)
	c.run(2 * time.Second)
	assert.Equal(t, c.running(blocker), 4)

	c.log.down = true
	c.run(time.Second)
	local := c.submit(c.nonHolder(), small, false, time.Second)
	c.run(30 * time.Second)
	h := c.holder()
	assert.Equal(t, c.stateOf(h, blocker), JobDone)
	assert.Equal(t, c.stateOf(h, idempotent), JobDone)
	assert.Equal(t, c.stateOf(h, local), JobDone)
	st, _ := h.state.jobStatus(recorded)
	assert.Equal(t, st.State, JobWaiting)
	assert.Equal(t, st.Reason, ReasonLogUnreachable)
	unsaved, _ := h.state.jobStatus(local)
	assert.Assert(t, !unsaved.Durable)

	c.log.down = false
	c.run(10 * time.Second)
	for _, id := range []model.JobID{blocker, recorded, idempotent, local} {
		st, _ := c.nonHolder().state.jobStatus(id)
		assert.Equal(t, st.State, JobDone, "job %s", id)
		assert.Equal(t, st.Attempts, 1, "job %s", id)
		assert.Assert(t, st.Durable)
	}
	c.assertNoViolations()
}

// An acceptor grants no start permit for a job whose append is in doubt, since the log may
// have the job.
func TestAppendInDoubtIsNotStarted(t *testing.T) {
	c := newRunningCluster(t, 3, 2)
	n := c.nonHolder()
	c.log.delay = 100 * time.Millisecond
	id := c.submit(n, gangOfFour, false, time.Second)
	c.run(50 * time.Millisecond)
	c.log.down = true
	c.run(20 * time.Second)
	st, _ := n.state.jobStatus(id)
	assert.Equal(t, st.State, JobWaiting)
	assert.Equal(t, st.Reason, ReasonLogInDoubt)
	assert.Equal(t, len(c.attempts()), 0)
	c.assertNoViolations()
}

// A holder that was frozen while a successor took over sends none of its old commands after it
// resumes.
func TestThawedHolderSendsNothing(t *testing.T) {
	c := newRunningCluster(t, 3, 4)
	id := c.submit(c.nonHolder(), gangOfFour, false, time.Minute)
	c.run(5 * time.Second)
	old := c.holder()
	old.frozen = true
	c.run(8 * time.Second)
	assert.Assert(t, c.holder() != nil)
	sent := 0
	c.onAction = func(n *testVM, a Action) {
		command, ok := a.(Command)
		if n == old && ok && !c.now.After(command.NotAfter) {
			sent++
		}
	}
	c.unfreeze(old)
	c.run(5 * time.Second)
	assert.Equal(t, sent, 0)
	assert.Equal(t, c.running(id), 4)
	c.assertNoViolations()
}

// A planned stop hands the term over at once, and running gangs go on.
func TestDrainHandsTermOver(t *testing.T) {
	c := newRunningCluster(t, 3, 4)
	id := c.submit(c.nonHolder(), gangOfFour, false, time.Minute)
	c.run(5 * time.Second)
	old := c.holder()
	c.deliver(old, DrainRequested{Reply: 7})
	c.run(500 * time.Millisecond)
	assert.Assert(t, c.holder() != nil && c.holder() != old)
	assert.Equal(t, old.replies[len(old.replies)-1], Action(DrainReply{Reply: 7}))
	c.run(15 * time.Second)
	assert.Equal(t, c.running(id), 4)
	c.assertNoViolations()
}

// A holder that cannot reach a backend server does not conclude from time alone that a task has
// ended there: another holder may be renewing it, or it may be done.
func TestSilentServerIsWaitedFor(t *testing.T) {
	c := newRunningCluster(t, 2, 2)
	id := c.submit(c.nonHolder(), model.GangShape{Tasks: 1, Accelerators: 8, Adjacency: model.AdjacentAny}, false, time.Hour)
	c.run(5 * time.Second)
	a, b := c.holder(), c.nonHolder()
	st, _ := a.state.jobStatus(id)
	c.setCut(a.name, b.name, true)
	c.setCut(b.name, "log", true)
	for server := range c.servers {
		silent := server == st.Servers[0]
		c.setCut(a.name, string(server), silent)
		c.setCut(b.name, string(server), !silent)
	}
	c.run(time.Minute)
	assert.Assert(t, a.state.acting() && b.state.acting())
	assert.Equal(t, c.running(id), 1)
	waiting, _ := a.state.jobStatus(id)
	assert.Equal(t, waiting.Reason, ReasonServerUnreachable)
	c.assertNoViolations()
}

// A backend server refuses a batch of a holder that was cut off once it has seen a newer token.
func TestOlderTokenIsFenced(t *testing.T) {
	c := newRunningCluster(t, 3, 3)
	id := c.submit(c.nonHolder(), gangOfFour, false, time.Hour)
	for range 8 { // renewed at different times, so that the old holder soon meets the new token
		c.submit(c.nonHolder(), model.GangShape{Tasks: 1, Accelerators: 1, Adjacency: model.AdjacentAny}, false, time.Hour)
		c.run(600 * time.Millisecond)
	}
	old := c.holder()
	c.log.down = true
	for _, n := range c.vms {
		if n != old {
			c.setCut(old.name, n.name, true)
		}
	}
	c.run(30 * time.Second)
	assert.Assert(t, !old.state.acting())
	assert.Equal(t, c.running(id), 4)
	c.assertNoViolations()
}

// No member starts while another is not held.
func TestNoStartBeforeAllHeld(t *testing.T) {
	c := newRunningCluster(t, 3, 4)
	c.dropCalls[link(c.holder().name, "s1")] = true
	c.submit(c.nonHolder(), model.GangShape{Tasks: 4, Accelerators: 8, Adjacency: model.AdjacentAny}, false, time.Hour)
	c.run(20 * time.Second)
	held := 0
	for _, f := range c.servers {
		held += len(f.tasks)
	}
	assert.Assert(t, held > 0)
	assert.Equal(t, len(c.attempts()), 0)
	c.assertNoViolations()
}

// A holder that the platform lists as leaving is replaced although it still sends heartbeats.
func TestListedLeavingHolderIsReplaced(t *testing.T) {
	c := newRunningCluster(t, 3, 4)
	id := c.submit(c.nonHolder(), gangOfFour, false, time.Minute)
	c.run(5 * time.Second)
	old := c.holder()
	for i := range c.vmList {
		if c.vmList[i].Address == old.name {
			c.vmList[i].State = ports.VMLeaving
		}
	}
	c.run(4 * time.Second)
	assert.Assert(t, c.holder() != nil && c.holder() != old && !old.state.acting())
	c.run(20 * time.Second)
	assert.Assert(t, c.holder() != old)
	assert.Equal(t, c.running(id), 4)
	c.assertNoViolations()
}
