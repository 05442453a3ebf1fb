package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

var (
	thin  = job.Step{Count: 1, Need: job.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}}
	heavy = job.Step{Count: 4, Need: job.Resources{MilliCPU: 4000, MemoryMB: 36000, Accelerators: 2}}
)

// asking returns the shapes of steps on servers of the usual capacity.
func asking(steps ...job.Step) []Shape {
	d := NewDemand(map[string]job.Resources{"desk": capacity})
	for i := range steps {
		d.Add("desk", &steps[i], steps[i].Count)
	}
	return d.Shapes()
}

// A server whose memory is taken has accelerators that tasks which need much memory can't use. Small tasks go
// there, although another server would be left with less room.
func TestSmallTasksGoWhereTheySpoilLeast(t *testing.T) {
	c := newCluster(4).addPreemptible("b", 0, job.Resources{MilliCPU: 12000, MemoryMB: 20000, Accelerators: 6}, 1)
	c.addPreemptible("a", 1, job.Resources{MilliCPU: 12000, MemoryMB: 40000, Accelerators: 5}, 1)
	c.addPending("thin", thin, nil)
	assert.DeepEqual(t, placedOn(Decide(c.Snapshot), "thin"), map[model.BackendServerID]int{"s0": 1})
	c.Shapes = asking(heavy)
	assert.DeepEqual(t, placedOn(Decide(c.Snapshot), "thin"), map[model.BackendServerID]int{"s0": 1}) // one shape decides as none
	c.Shapes = asking(heavy, thin)
	assert.DeepEqual(t, placedOn(Decide(c.Snapshot), "thin"), map[model.BackendServerID]int{"s1": 1})
}

// A task goes beside one that outlasts it rather than to a server that would be whole before it ends.
func TestTasksThatEndTogetherShareServers(t *testing.T) {
	c := newCluster(2)
	for i, after := range []time.Duration{time.Second, 20 * time.Second} {
		c.addPreemptible("other", i, thin.Need, 1)
		c.Servers[i].Ends = []ExpectedEnd{{Need: thin.Need, After: after}}
	}
	c.addPending("thin", thin, lasting(10*time.Second))
	assert.DeepEqual(t, placedOn(Decide(c.Snapshot), "thin"), map[model.BackendServerID]int{"s0": 1})
	c.Shapes = asking(thin, job.Step{Count: 1, Need: whole})
	assert.DeepEqual(t, placedOn(Decide(c.Snapshot), "thin"), map[model.BackendServerID]int{"s1": 1})
}

// Single tasks go to a rack that has no room for a wide gang any more, and leave the other one to it.
func TestSingleTasksLeaveARackToWideGangs(t *testing.T) {
	c := newCluster(8).addPreemptible("a", 4, whole, 1).addPreemptible("b", 5, whole, 1)
	gang := job.Step{Count: 4, Need: whole, Gang: true, SameRack: true}
	c.Shapes = asking(gang, thin)
	c.addPending("single", job.Step{Count: 2, Need: capacity}, nil)
	assert.DeepEqual(t, placedOn(Decide(c.Snapshot), "single"), map[model.BackendServerID]int{"s6": 1, "s7": 1})
}

// Needs that are nearly alike count as one shape, and few shapes are kept, those that are asked for most.
func TestShapesAreBounded(t *testing.T) {
	var steps []job.Step
	for i := range 40 {
		steps = append(steps, job.Step{Count: i + 1, Need: job.Resources{MilliCPU: 400 * i, MemoryMB: 1500 * i, Accelerators: i % 8}})
	}
	shapes := asking(steps...)
	assert.Equal(t, len(shapes), maxShapes)
	for i := 1; i < len(shapes); i++ {
		assert.Assert(t, shapes[i].Weight <= shapes[i-1].Weight)
	}
	alike := asking(job.Step{Count: 1, Need: job.Resources{MilliCPU: 3700, MemoryMB: 7600}}, job.Step{Count: 2, Need: job.Resources{MilliCPU: 3900, MemoryMB: 7900}})
	assert.Equal(t, len(alike), 1)
	assert.Equal(t, len(NewDemand(nil).Shapes()), 0)
}
