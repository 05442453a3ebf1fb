package invariant_test

import (
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

var pair = model.GangShape{Tasks: 2, Accelerators: 4, Adjacency: model.AdjacentRack}

func members(servers ...model.BackendServerID) []placement.Member {
	var list []placement.Member
	for _, server := range servers {
		list = append(list, placement.Member{Server: server, Accelerators: 4})
	}
	return list
}

func gang(borrowed bool, servers ...model.BackendServerID) placement.PlacedGang {
	g := placement.PlacedGang{Members: members(servers...), Borrowed: borrowed}
	g.Job, g.Organisation, g.Shape = "job", "a", pair
	return g
}

// zoneOf returns a zone with servers s1 and s2 in one rack, and s3 and the unusable s4 in
// another. One pair is guaranteed to organisation a.
func zoneOf(placed ...placement.PlacedGang) placement.Zone {
	server := func(id model.BackendServerID, rack model.RackID, usable bool) placement.Server {
		return placement.Server{
			BackendServer: model.BackendServer{ID: id, Rack: rack, Accelerators: 8},
			Usable:        usable,
		}
	}
	return placement.Zone{
		AZ:            "harju-a",
		Servers:       []placement.Server{server("s1", "r1", true), server("s2", "r1", true), server("s3", "r2", true), server("s4", "r2", false)},
		Organisations: []model.Organisation{{ID: "a", Guarantees: []model.Guarantee{{AZ: "harju-a", Shape: pair, Count: 1}}}},
		Placed:        placed,
	}
}

func backing(servers ...model.BackendServerID) placement.Plan {
	return placement.Plan{Backing: []placement.Backing{{Organisation: "a", Shape: pair, Members: members(servers...)}}}
}

func TestCheckReclaimable(t *testing.T) {
	risk := placement.Risk{Organisation: "a", Guarantee: model.Guarantee{AZ: "harju-a", Shape: pair, Count: 1}}
	for _, c := range []struct {
		name string
		zone placement.Zone
		plan placement.Plan
		want string // part of the first violation, empty for none
	}{
		{"backed by a cell", zoneOf(), backing("s1", "s2"), ""},
		{"backed over borrowed gangs", zoneOf(gang(true, "s1", "s1")), backing("s1", "s1"), ""},
		{"taken up by a gang", zoneOf(gang(false, "s1", "s2")), placement.Plan{}, ""},
		{"reported", zoneOf(), placement.Plan{Risks: []placement.Risk{risk}}, ""},
		{"not backed", zoneOf(), placement.Plan{}, "0 of 1 gangs"},
		{"cell in two racks", zoneOf(), backing("s1", "s3"), "adjacency is rack"},
		{"cell cut short", zoneOf(), backing("s1"), "1 members placed of 2"},
		{"cell on an unusable server", zoneOf(), backing("s3", "s4"), "unusable"},
		{"gang on an unusable server", zoneOf(gang(false, "s4", "s4")), placement.Plan{}, "0 of 1 gangs"},
		{"cell under a guaranteed gang", zoneOf(gang(false, "s1", "s1")), backing("s1", "s2"), "do not fit"},
	} {
		t.Run(c.name, func(t *testing.T) {
			violations := invariant.CheckReclaimable(c.zone, c.plan)
			if c.want == "" {
				assert.Equal(t, len(violations), 0, "%v", violations)
				return
			}
			assert.Assert(t, len(violations) > 0)
			assert.Equal(t, violations[0].Invariant, invariant.GuaranteeReclaimable)
			assert.Assert(t, strings.Contains(violations[0].Detail, c.want), "%s", violations[0].Detail)
		})
	}
}

func TestCheckNoOvercommit(t *testing.T) {
	assert.Equal(t, len(invariant.CheckNoOvercommit(zoneOf(gang(true, "s1", "s1")))), 0)
	violations := invariant.CheckNoOvercommit(zoneOf(gang(true, "s1", "s1"), gang(true, "s1", "s2")))
	assert.Equal(t, len(violations), 1)
	assert.Equal(t, violations[0].Server, model.BackendServerID("s1"))
}

func TestCheckNoPartialGang(t *testing.T) {
	assert.Equal(t, len(invariant.CheckNoPartialGang(zoneOf(gang(true, "s1", "s2")))), 0)
	for _, partial := range []placement.PlacedGang{gang(true), gang(true, "s1"), gang(true, "s1", "s3")} {
		assert.Equal(t, len(invariant.CheckNoPartialGang(zoneOf(partial))), 1)
	}
}

func TestCounter(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	counter := invariant.NewCounter(scope, zap.NewNop())
	counter.Violated(invariant.Violation{Invariant: invariant.NoOvercommit})
	assert.Equal(t, counter.Total(), int64(1))
	counts := scope.Snapshot().Counters()
	assert.Equal(t, len(counts), 1)
	for _, count := range counts {
		assert.Equal(t, count.Name(), "invariant_violations")
		assert.Equal(t, count.Tags()["promise"], string(invariant.NoOvercommit))
	}
}
