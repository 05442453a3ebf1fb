package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// Each step that finds no place is listed with the reason, if reasons are asked for.
func TestStepsThatWaitSayWhy(t *testing.T) {
	one := job.Step{Count: 1, Need: whole}
	gang := func(n int) job.Step { return job.Step{Count: n, Need: whole, Gang: true} }
	all := func(c *cluster, change func(*Server)) {
		for i := range c.Servers {
			change(&c.Servers[i])
		}
	}
	for want, prepare := range map[Reason]func(c *cluster){
		NoServer: func(c *cluster) { c.addPending("x", job.Step{Count: 1, Need: whole, Label: "large"}, nil) },
		Avoided: func(c *cluster) {
			all(c, func(v *Server) { v.Failing = true })
			c.addPending("x", gang(2), nil)
		},
		Isolated: func(c *cluster) {
			all(c, func(v *Server) { v.Isolated = true })
			c.addPending("x", one, nil)
		},
		TooLarge: func(c *cluster) { c.addPending("x", gang(9), nil) },
		Earmarked: func(c *cluster) {
			c.Servers[0].Free, c.Servers[0].Ends = job.Resources{}, []ExpectedEnd{{Need: capacity, After: time.Second}}
			c.addPending("a", gang(8), nil).addPending("x", one, lasting(time.Minute))
		},
		AwayFromData: func(c *cluster) {
			all(c, func(v *Server) {
				if v.Rack == "r0" {
					v.Free = job.Resources{}
				}
			})
			c.addPending("x", job.Step{Count: 1, Need: whole, DataRack: "r0"}, nil)
		},
		NoRack: func(c *cluster) {
			c.addPreemptible("b", 0, whole, 1).addPreemptible("c", 4, whole, 1)
			c.addPending("x", job.Step{Count: 4, Need: whole, Gang: true, SameRack: true}, nil)
		},
		Spread: func(c *cluster) {
			c.addPending("x", job.Step{Count: 2, Need: job.Resources{Accelerators: 1}, MaxPerServer: 1}, func(p *PendingStep) {
				for i := range c.Servers {
					p.TasksPerServer[c.Servers[i].ID] = 1
				}
			})
		},
		Releasing: func(c *cluster) {
			all(c, func(v *Server) { v.Free, v.Releasing = job.Resources{}, whole })
			c.addPending("x", one, guaranteed)
		},
		FragmentedMemory: func(c *cluster) {
			all(c, func(v *Server) { v.Free.MemoryMB = whole.MemoryMB / 2 })
			c.addPending("x", one, nil)
		},
		FragmentedAccelerators: func(c *cluster) {
			all(c, func(v *Server) { v.Free.Accelerators = 7 })
			c.addPending("x", gang(2), nil)
		},
		NoAccelerators: func(c *cluster) {
			all(c, func(v *Server) { v.Free.Accelerators = 0 })
			c.addPending("x", one, nil)
		},
		Expired: func(c *cluster) {
			for i := range c.Servers {
				c.addPreemptible("running", i, capacity, 1)
			}
			c.addPending("x", one, func(p *PendingStep) {
				p.Urgent, p.Due, p.Objective = true, testNow.Add(-time.Minute), testNow.Add(-time.Minute)
			})
		},
	} {
		c := newCluster(8)
		prepare(c)
		plan := Decide(c.Snapshot)
		assert.Assert(t, len(plan.Unplaced) > 0 && plan.Unplaced[0].Reason == "", "%s: nobody asked", want)
		c.Explain = true
		plan = Decide(c.Snapshot)
		last := plan.Unplaced[len(plan.Unplaced)-1]
		assert.Equal(t, last.Key, groupKey("x"))
		assert.Equal(t, last.Reason, want)
	}
}

// What is at work is told with the plan applied, and what is free in pieces that no step that waits can use.
func TestUseTellsWhatIsFreeInPieces(t *testing.T) {
	c := newCluster(8)
	for i := range 4 { // a whole rack at half
		c.Servers[i].Free.Accelerators, c.Servers[i].Free.MilliCPU = 4, 16000
	}
	c.addPending("placed", job.Step{Count: 1, Need: whole}, nil)
	c.addPending("waits", job.Step{Count: 5, Need: whole, Gang: true}, nil)
	use := MeasureUse(c.Snapshot, Decide(c.Snapshot))
	assert.Equal(t, use.Accelerators, (16.0+8)/64)
	assert.Equal(t, use.FragmentedAccelerators, 16.0/64)
	assert.Equal(t, use.WholeFree, 3)
	assert.DeepEqual(t, []RackUse{use.Fullest, use.Emptiest}, []RackUse{{Rack: "r0", Share: 0.5}, {Rack: "r1", Share: 0.25}})
}
