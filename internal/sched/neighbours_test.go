package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// beside returns a cluster of two half-full servers, the first with tasks of kind "b", and a waiting step of kind "a" that
// would be packed there.
func beside(slowdown float64) *cluster {
	c := newCluster(2)
	c.Servers[0].Free, c.Servers[1].Free = halfFree, capacity
	c.Servers[0].Kinds = map[job.Kind]int{"b": 2}
	c.Slowdowns = map[KindPair]float64{{"a", "b"}: slowdown}
	c.addPending("scan", job.Step{Count: 1, Need: one}, func(p *PendingStep) { p.Kind = "a" })
	return c
}

var (
	one      = job.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}
	halfFree = job.Resources{MilliCPU: capacity.MilliCPU / 2, MemoryMB: capacity.MemoryMB / 2, Accelerators: capacity.Accelerators / 2}
)

func TestKindsThatHurtEachOtherAreKeptApartWhereThereIsRoom(t *testing.T) {
	assert.Equal(t, placedOn(Decide(beside(0).Snapshot), "scan")["s0"], 1)
	plan := Decide(beside(0.2).Snapshot)
	assert.Equal(t, placedOn(plan, "scan")["s1"], 1)
	assert.Equal(t, plan.Placements[0].Beside, 0.0)
}

func TestKindsThatHurtEachOtherShareAServerWithoutOtherRoom(t *testing.T) {
	c := beside(0.2)
	c.Servers[1].Free = job.Resources{}
	plan := Decide(c.Snapshot)
	assert.Equal(t, placedOn(plan, "scan")["s0"], 1)
	assert.Equal(t, plan.Placements[0].Beside, 0.4)
}

// Tasks of a kind that slows itself down are spread, also those of one round.
func TestKindThatHurtsItselfIsSpread(t *testing.T) {
	c := newCluster(4)
	c.Slowdowns = map[KindPair]float64{{"a", "a"}: 0.1}
	c.addPending("scan", job.Step{Count: 4, Need: one}, func(p *PendingStep) { p.Kind = "a" })
	assert.Equal(t, len(placedOn(Decide(c.Snapshot), "scan")), 4)
}
