package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// A report that a backend server wrote before a hold reached it, and that arrived after the hold's answer, was taken for
// proof that the server has forgotten the held task: the attempt was given up.
func TestReportFromBeforeAHoldProvesNothingOfIt(t *testing.T) {
	c := newRunningCluster(t, 2, 2)
	c.commandDelay = map[model.BackendServerID]time.Duration{"s0": 200 * time.Millisecond, "s1": 450 * time.Millisecond}
	c.reportDelay = 300 * time.Millisecond
	shape := model.GangShape{Tasks: 2, Accelerators: 8, Adjacency: model.AdjacentAny}
	for range 40 {
		id := c.submit(c.nonHolder(), shape, false, time.Second)
		c.run(6230 * time.Millisecond) // the holds are sent at another moment between two reports
		st, _ := c.holder().state.jobStatus(id)
		assert.Equal(t, st.State, JobDone)
		assert.Equal(t, st.Attempts, 1)
	}
	c.assertNoViolations()
}
