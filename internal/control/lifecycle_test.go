package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

var gangOfFour = model.GangShape{Tasks: 4, Accelerators: 4, Adjacency: model.AdjacentAny}

func TestJobRunsToItsEnd(t *testing.T) {
	c := newCluster(t, 3, 4)
	assert.Assert(t, c.runUntil(5*time.Second, func() bool { return c.holder() != nil }))
	id := c.submit(c.vms[1], gangOfFour, false, 20*time.Second)
	assert.Assert(t, c.runUntil(2*time.Second, func() bool { return c.running(id) == 4 }))
	assert.Assert(t, c.runUntil(30*time.Second, func() bool { return c.stateOf(c.vms[2], id) == JobDone }))
	c.assertNoViolations()
}

func TestCancelManyJobs(t *testing.T) {
	c := newCluster(t, 3, 4)
	assert.Assert(t, c.runUntil(5*time.Second, func() bool { return c.holder() != nil }))
	var ids []model.JobID
	for range 1000 {
		ids = append(ids, c.submit(c.vms[0], gangOfFour, false, time.Hour))
	}
	c.run(3 * time.Second)
	c.deliver(c.vms[1], JobsCancelled{Reply: 9, Jobs: ids})
	c.run(3 * time.Second)
	for _, id := range ids {
		assert.Equal(t, c.stateOf(c.vms[2], id), JobCancelled)
		assert.Equal(t, c.running(id), 0)
	}
	c.assertNoViolations()
}

func TestTakeOverAdoptsRunningGangs(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		c := newCluster(t, 3, 4)
		assert.Assert(t, c.runUntil(5*time.Second, func() bool { return c.holder() != nil }))
		id := c.submit(c.vms[1], gangOfFour, false, 40*time.Second)
		c.run(15 * time.Second)
		assert.Equal(t, c.running(id), 4)
		c.log.down = logDown
		old := c.holder()
		old.dead = true
		c.run(15 * time.Second)
		assert.Assert(t, c.holder() != nil && c.holder() != old)
		assert.Equal(t, c.running(id), 4)
		c.log.down = false
		assert.Assert(t, c.runUntil(30*time.Second, func() bool { return c.stateOf(c.holder(), id) == JobDone }))
		st, _ := c.holder().state.jobStatus(id)
		assert.Equal(t, st.Attempts, 1)
		c.assertNoViolations()
	}
}
