package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// urgentBound is the time in which urgent work must start.
const urgentBound = 1100 * time.Millisecond

// Borrowed gangs are checkpointed and stopped for a guarantee, and the guaranteed gang runs
// within urgentBound although an append takes 100 ms.
func TestReclaimInTime(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.log.delay = 100 * time.Millisecond
	shape := model.GangShape{Tasks: 2, Accelerators: 8, Adjacency: model.AdjacentAny}
	c.config.Organisations["a"] = model.Organisation{ID: "a"}
	c.config.Organisations["b"] = model.Organisation{ID: "b", Guarantees: []model.Guarantee{{AZ: testZone, Shape: shape, Count: 1}}}
	c.run(5 * time.Second)
	borrower := c.submit(c.nonHolder(), shape, false, time.Hour)
	c.run(5 * time.Second)
	assert.Equal(t, c.running(borrower), 2)
	submitted := c.now
	urgent := c.submit(c.nonHolder(), shape, false, time.Second)
	assert.Assert(t, c.runUntil(5*time.Second, func() bool { return c.running(urgent) == 2 }))
	took := c.now.Sub(submitted)
	assert.Assert(t, took <= urgentBound, "took %v", took)
	t.Logf("urgent gang ran after %v", took)

	c.run(10 * time.Second)
	assert.Equal(t, c.running(borrower), 2)
	j := c.holder().state.replica.Job(borrower)
	assert.Equal(t, j.Attempt.Number, 2)
	assert.Assert(t, j.Checkpoint != "")
	c.assertNoViolations()
}

// A backend server that reports that it is leaving gets no more holds, and its gangs run again
// elsewhere, as a whole and from their checkpoint.
func TestLeavingServer(t *testing.T) {
	c := newRunningCluster(t, 3, 3)
	id := c.submit(c.nonHolder(), model.GangShape{Tasks: 2, Accelerators: 4, Adjacency: model.AdjacentServer}, false, time.Hour)
	c.run(5 * time.Second)
	st, _ := c.holder().state.jobStatus(id)
	assert.Equal(t, len(st.Servers), 1)
	leaving := c.servers[st.Servers[0]]
	leaving.leaving = true
	c.run(3 * time.Second)
	before := len(leaving.tasks)
	for range 4 {
		c.submit(c.nonHolder(), model.GangShape{Tasks: 1, Accelerators: 2, Adjacency: model.AdjacentAny}, false, time.Hour)
	}
	c.run(5 * time.Second)
	assert.Equal(t, len(leaving.tasks), before)
	assert.Equal(t, c.running(id), 2)
	st, _ = c.holder().state.jobStatus(id)
	assert.Assert(t, st.Servers[0] != leaving.info.ID)
	assert.Assert(t, c.holder().state.replica.Job(id).Checkpoint != "")
	c.assertNoViolations()
}

// A backend server that fails all jobs is quarantined, and a job that fails everywhere is ended;
// neither is taken for the other.
func TestBadServerAndBadJob(t *testing.T) {
	c := newRunningCluster(t, 3, 6)
	one := model.GangShape{Tasks: 1, Accelerators: 8, Adjacency: model.AdjacentAny}
	c.servers["s0"].failAll = true
	c.failingJobs = map[model.JobID]bool{"job000": true}
	bad := c.submit(c.nonHolder(), one, false, 2*time.Second)
	var good []model.JobID
	for range 12 {
		good = append(good, c.submit(c.nonHolder(), one, false, 2*time.Second))
	}
	c.run(2 * time.Minute)
	for _, id := range good {
		assert.Equal(t, c.stateOf(c.holder(), id), JobDone)
	}
	assert.Assert(t, len(c.servers["s0"].tasks) <= 2*quarantineThreshold, "%d tasks were placed on s0", len(c.servers["s0"].tasks))
	st, _ := c.holder().state.jobStatus(bad)
	assert.Equal(t, st.State, JobFailed)
	assert.Equal(t, st.Reason, ReasonFailedOnManyServers)
	for id, v := range c.holder().state.servers {
		assert.Equal(t, v.health.period > 0, id == "s0", "server %s", id)
	}

	c.servers["s0"].failAll = false
	c.run(10 * time.Minute)
	probe := c.submit(c.nonHolder(), model.GangShape{Tasks: 6, Accelerators: 8, Adjacency: model.AdjacentAny}, false, time.Second)
	c.run(20 * time.Second)
	assert.Equal(t, c.stateOf(c.holder(), probe), JobDone)
	c.assertNoViolations()
}

// Failures on backend servers that fail other jobs too do not count against a job, even after
// it has failed on several of them.
func TestBadServersEndNoJob(t *testing.T) {
	c := newRunningCluster(t, 3, 8)
	one := model.GangShape{Tasks: 1, Accelerators: 8, Adjacency: model.AdjacentAny}
	for range 4 {
		c.submit(c.nonHolder(), one, false, time.Minute)
	}
	c.run(5 * time.Second)
	for _, f := range c.servers {
		f.failAll = len(f.tasks) == 0
	}
	var good []model.JobID
	for range 4 {
		good = append(good, c.submit(c.nonHolder(), one, false, 2*time.Second))
	}
	c.run(3 * time.Minute)
	for _, id := range good {
		assert.Equal(t, c.stateOf(c.holder(), id), JobDone)
		assert.Assert(t, len(c.holder().state.replica.Job(id).FailedServers) >= c.settings.FailedServerLimit)
	}
	c.assertNoViolations()
}

// Shapes that can never run are refused with a typed reason.
func TestNeverFits(t *testing.T) {
	c := newRunningCluster(t, 1, 2)
	n := c.vms[0]
	c.submit(n, model.GangShape{Tasks: 2, Accelerators: 8, Adjacency: model.AdjacentServer}, false, time.Second)
	reply := n.replies[len(n.replies)-1].(SubmitReply)
	assert.Assert(t, reply.Refusal != nil)
	assert.Equal(t, reply.Refusal.Reason, ReasonNeverFits)
}
