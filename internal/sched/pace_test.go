package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// withPaces sets the paces of the backend servers in turn.
func (c *cluster) withPaces(paces ...float64) *cluster {
	for i := range c.Servers {
		c.Servers[i].Pace = paces[i%len(paces)]
	}
	return c
}

// takes sets the run time of a step's tasks and its objective.
func takes(runtime, objective time.Duration) func(*PendingStep) {
	return func(p *PendingStep) {
		p.Runtime, p.Remaining, p.Objective = runtime, runtime, p.Due.Add(objective)
	}
}

func assertOnlyOn(t *testing.T, c *cluster, name string, tasks int, allowed func(Server) bool) {
	t.Helper()
	n := 0
	for id, count := range placedOn(Decide(c.Snapshot), name) {
		n += count
		for _, v := range c.Servers {
			assert.Assert(t, v.ID != id || allowed(v), "%d tasks on %s, of pace %v on rack %s", count, id, v.Pace, v.Rack)
		}
	}
	assert.Equal(t, n, tasks)
}

func pace(p float64) func(Server) bool { return func(v Server) bool { return v.Pace == p } }

// A rack has room for the gang without its slow member, and another rack has none that is slow.
func TestGangAvoidsTheSlowMember(t *testing.T) {
	gang := job.Step{Count: 3, Need: whole, Gang: true, SameRack: true}
	c := newCluster(4).withPaces(0.5, 1, 1, 1).addPending("plan", gang, takes(2*time.Second, 3*time.Second))
	assertOnlyOn(t, c, "plan", 3, pace(1))
	gang.Count = 4
	c = newCluster(12).withPaces(1, 1, 1, 1, 1, 0.5, 1, 1, 1, 0.5, 1, 1).addPending("plan", gang, takes(2*time.Second, 3*time.Second))
	assertOnlyOn(t, c, "plan", 4, func(v Server) bool { return v.Rack == "r0" })
}

// A gang across racks takes the fast backend servers of several, also if that leaves more room unused.
func TestGangAcrossRacksTakesLikeServers(t *testing.T) {
	c := newCluster(12).withPaces(0.5, 1, 1).addPending("plan", job.Step{Count: 7, Need: whole, Gang: true}, takes(2*time.Second, 3*time.Second))
	assertOnlyOn(t, c, "plan", 7, pace(1))
}

// Ordinary members that are in time are better than some fast ones that wait for them.
func TestFastServersDoNotWaitForOrdinaryMembers(t *testing.T) {
	c := newCluster(8).withPaces(2, 1, 1, 1).addPending("plan", job.Step{Count: 5, Need: whole, Gang: true}, takes(2*time.Second, 8*time.Second))
	assertOnlyOn(t, c, "plan", 5, pace(1))
}

// With no other room a gang starts on slow members rather than wait.
func TestGangStartsOnSlowMembersWhenAllElseIsTaken(t *testing.T) {
	for _, objective := range []time.Duration{3 * time.Second, 20 * time.Second} {
		c := newCluster(8).withPaces(1, 0.5)
		for i := range c.Servers {
			if c.Servers[i].Pace == 1 {
				c.addPreemptible("other", i, whole, 1)
			}
		}
		c.addPending("plan", job.Step{Count: 4, Need: whole, Gang: true}, takes(2*time.Second, objective))
		assertOnlyOn(t, c, "plan", 4, pace(0.5))
	}
}

// The more urgent step is placed first and takes the fast backend servers; the wide one still starts at once.
func TestTightWorkTakesTheFastServers(t *testing.T) {
	c := newCluster(8).withPaces(1, 0.5)
	c.addPending("roster", job.Step{Count: 4, Need: whole}, func(p *PendingStep) {
		takes(6*time.Second, 20*time.Second)(p)
		p.Priority = 2
	})
	c.addPending("confirm", job.Step{Count: 4, Need: whole, Gang: true}, takes(2*time.Second, 3*time.Second))
	assertOnlyOn(t, c, "confirm", 4, pace(1))
	assertOnlyOn(t, c, "roster", 4, pace(0.5))
}

// Tasks that would be late on slow backend servers go to the others, also if those are empty.
func TestTasksAvoidServersOnWhichTheyWouldBeLate(t *testing.T) {
	small := job.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}
	c := newCluster(4).withPaces(0.5, 1)
	c.addPreemptible("other", 0, small.Times(7), 1)
	c.addPending("scan", job.Step{Count: 8, Need: small}, takes(2*time.Second, 3*time.Second))
	assertOnlyOn(t, c, "scan", 8, pace(1))
}

// A suspect backend server is used only when no other one fits, however fast it is.
func TestGangAvoidsFastSuspects(t *testing.T) {
	c := newCluster(8).withPaces(2, 1)
	for i := range c.Servers {
		c.Servers[i].Suspect = c.Servers[i].Pace == 2
	}
	c.addPending("plan", job.Step{Count: 4, Need: whole, Gang: true}, takes(2*time.Second, 3*time.Second))
	assertOnlyOn(t, c, "plan", 4, pace(1))
}

// A gang that may stop others' tasks does so where it is in time, and there where the least work is lost.
func TestPreemptionMakesRoomWhereTheGangIsInTime(t *testing.T) {
	c := newCluster(12).withPaces(0.5, 0.5, 0.5, 0.5, 1, 1, 1, 1, 1, 1, 1, 1)
	for i, unsaved := range []float64{1, 1, 1, 1, 8, 8, 8, 8, 4, 4, 4, 4} {
		c.addPreemptible("other", i, whole, unsaved)
	}
	c.addPending("confirm", job.Step{Count: 4, Need: whole, Gang: true, SameRack: true}, func(p *PendingStep) {
		takes(2*time.Second, 3*time.Second)(p)
		p.Guaranteed = true
	})
	plan := Decide(c.Snapshot)
	assert.Equal(t, len(plan.Evictions), 4)
	for _, e := range plan.Evictions {
		assert.Equal(t, c.Servers[e.Index].Rack, model.RackID("r2"))
	}
}

// randomSnapshot draws backend servers that are partly used, and steps of all forms.
func randomSnapshot(rng *rand.Rand, steps int) *cluster {
	c := newCluster(8 + rng.IntN(40))
	for i := range c.Servers {
		v := &c.Servers[i]
		v.Suspect = rng.IntN(10) == 0
		used := job.Resources{MilliCPU: 4000, MemoryMB: 8000, Accelerators: 1}.Times(rng.IntN(9))
		for k := range rng.IntN(2) {
			c.Preemptible = append(c.Preemptible, PreemptibleTask{Key: groupKey(fmt.Sprintf("held%d-%d", i, k)), Server: v.ID, Need: used, UnsavedWork: rng.Float64() * 40})
		}
		v.Free = v.Free.Sub(used)
		v.Ends = []ExpectedEnd{{Need: used, After: time.Duration(rng.IntN(9000)) * time.Millisecond}}
	}
	for i := range steps {
		step := job.Step{
			Count: 1 + rng.IntN(16), Need: job.Resources{MilliCPU: 3500, MemoryMB: 7000, Accelerators: 1 + rng.IntN(8)}, Gang: rng.IntN(2) == 0,
			SameRack: rng.IntN(2) == 0, LongRunning: rng.IntN(12) == 0,
		}
		c.addPending(fmt.Sprintf("p%d", i), step, func(p *PendingStep) {
			takes(time.Duration(500+rng.IntN(9000))*time.Millisecond, time.Duration(500+rng.IntN(30000))*time.Millisecond)(p)
			p.Priority, p.Urgent, p.Guaranteed = rng.IntN(3), rng.IntN(3) == 0, rng.IntN(5) == 0
		})
	}
	return c
}

// Where no pace is known, or all are alike, plans are those of a fleet of equal machines.
func TestLikePacesChangeNoPlan(t *testing.T) {
	for seed := range uint64(300) {
		snapshot := func(paces ...float64) *cluster {
			return randomSnapshot(rand.New(rand.NewPCG(seed, 1)), 12).withPaces(paces...)
		}
		unknown := Decide(snapshot(0).Snapshot)
		assert.DeepEqual(t, unknown, Decide(snapshot(1).Snapshot))
		assert.DeepEqual(t, unknown, Decide(snapshot(0, 1, 1).Snapshot))
		assert.DeepEqual(t, unknown, Decide(snapshot(0.5).Snapshot))
		assert.DeepEqual(t, unknown, Decide(snapshot(1, 1.05).Snapshot))
	}
}

// Paces choose among places. A step that finds room on a fleet of equal machines finds it on unlike ones.
func TestPacesKeepNoStepFromStarting(t *testing.T) {
	unlike := 0
	for seed := range uint64(1000) {
		snapshot := func(paces ...float64) *cluster {
			return randomSnapshot(rand.New(rand.NewPCG(seed, 2)), 1).withPaces(paces...)
		}
		even, uneven := Decide(snapshot(1).Snapshot), Decide(snapshot(0.5, 1, 1.2, 2).Snapshot)
		assert.Equal(t, len(uneven.Placements), len(even.Placements), "seed %d", seed)
		for i := range even.Placements {
			if even.Placements[i] != uneven.Placements[i] {
				unlike++
				break
			}
		}
	}
	assert.Assert(t, unlike > 100, "paces changed %d plans", unlike)
}
