package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const otherZone model.AZ = "tartu-a"

// newTwoZones returns a cluster with a second availability zone, in which
// organisation a has a guarantee.
func newTwoZones(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, 2, 2)
	for i := range 2 {
		c.addVMIn(otherZone)
		c.addServerIn(otherZone, 10+i)
	}
	guarantee := model.Guarantee{AZ: otherZone, Shape: gangOfFour, Count: 1}
	c.config.Organisations["a"] = model.Organisation{ID: "a", Guarantees: []model.Guarantee{guarantee}}
	c.run(10 * time.Second)
	return c
}

// A job's home is the availability zone in which its organisation has a guarantee.
func TestHomeByGuarantee(t *testing.T) {
	c := newTwoZones(t)
	id := c.submit(c.vms[0], gangOfFour, false, 5*time.Second)
	c.run(10 * time.Second)
	st, _ := c.vms[0].state.jobStatus(id)
	assert.Equal(t, st.Job.HomeAZ, otherZone)
	assert.Equal(t, st.State, JobDone)
	c.assertNoViolations()
}

// While the log is down, the acceptor passes a job and its permit to the term holder of
// the home in another availability zone, and the job runs once.
func TestOfferAcrossZones(t *testing.T) {
	c := newTwoZones(t)
	c.log.down = true
	c.run(time.Second)
	id := c.submit(c.vms[0], gangOfFour, false, 5*time.Second)
	assert.Assert(t, c.runUntil(5*time.Second, func() bool { return c.running(id) == 4 }))
	c.run(30 * time.Second)
	c.log.down = false
	c.run(10 * time.Second)
	st, _ := c.vms[0].state.jobStatus(id)
	assert.Equal(t, st.State, JobDone)
	assert.Equal(t, st.Attempts, 1)
	c.assertNoViolations()
}

// A job that fits no healthy cell of its home is moved by the home's term holder.
func TestMoveFromBrokenHome(t *testing.T) {
	c := newTwoZones(t)
	c.servers["s10"].die(c.now)
	c.servers["s11"].die(c.now)
	c.run(10 * time.Second)
	id := c.submit(c.vms[0], gangOfFour, false, 5*time.Second)
	c.run(5 * time.Second)
	st, _ := c.vms[0].state.jobStatus(id)
	assert.Equal(t, st.Job.HomeAZ, otherZone)
	far := c.vms[2].state.View().GuaranteesAtRisk
	assert.Equal(t, len(far), 1)
	assert.Equal(t, far[0].Honoured, 0)
	c.run(30 * time.Second)
	st, _ = c.vms[0].state.jobStatus(id)
	assert.Equal(t, st.Job.HomeAZ, testZone)
	assert.Equal(t, st.State, JobDone)
	c.assertNoViolations()
}

// A permit whose offer was left without an answer is given to no other VM. Otherwise the job
// would run twice if the first VM ran it and died.
func TestOfferInDoubt(t *testing.T) {
	c := newTwoZones(t)
	first := c.vms[2]
	assert.Assert(t, first.state.acting())
	c.log.down = true
	c.run(time.Second)
	c.loseAnswers[link(c.vms[0].name, first.name)] = true
	id := c.submit(c.vms[0], gangOfFour, false, 2*time.Second)
	c.run(5 * time.Second)
	first.dead = true
	c.run(30 * time.Second)
	assert.Assert(t, c.vms[3].state.acting())
	st, _ := c.vms[0].state.jobStatus(id)
	assert.Equal(t, st.Reason, ReasonPermitElsewhere)
	c.log.down = false
	c.run(30 * time.Second)
	st, _ = c.vms[0].state.jobStatus(id)
	assert.Equal(t, st.State, JobDone)
	assert.Equal(t, st.Attempts, 1)
	c.assertNoViolations()
}

// A home that the submitter requests is kept, or refused if it can never hold the job.
func TestRequestedHome(t *testing.T) {
	s := remoteState(t, "b1")
	org := model.Organisation{ID: "o"}
	cfg := s.replica.Config().Current()
	job := model.Job{ID: "j", HomeAZ: "b", Shape: model.GangShape{Tasks: 1, Accelerators: 8, Adjacency: model.AdjacentAny}}
	home, err := s.resolveHome(cfg, org, job)
	assert.NilError(t, err)
	assert.Equal(t, home, model.AZ("b"))
	job.HomeAZ = "a"
	_, err = s.resolveHome(cfg, org, job)
	assert.Equal(t, shapeRefusal(err).Reason, ReasonNeverFits)
}
