package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant/invarianttest"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/placement/replay"
	"github.com/eelgrassreach/eelgrassreach/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

const testAZ model.AZ = "harju-a"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// serversOf builds racks of servers with the given accelerators.
func serversOf(racks, perRack, accelerators int) []model.BackendServer {
	var servers []model.BackendServer
	for i := range racks * perRack {
		servers = append(servers, model.BackendServer{
			ID:           model.BackendServerID(fmt.Sprintf("s%03d", i)),
			AZ:           testAZ,
			Rack:         model.RackID(fmt.Sprintf("r%02d", i/perRack)),
			Accelerators: accelerators,
		})
	}
	return servers
}

func stateOf(servers []model.BackendServer, organisations ...model.Organisation) *replay.State {
	zone := placement.Zone{AZ: testAZ, Organisations: organisations, Now: start}
	for _, server := range servers {
		zone.Servers = append(zone.Servers, placement.Server{BackendServer: server, Usable: true})
	}
	return &replay.State{Zone: zone}
}

func organisationOf(id model.OrganisationID, guarantees ...model.Guarantee) model.Organisation {
	return model.Organisation{ID: id, Guarantees: guarantees, Weight: 1}
}

func guaranteeOf(count, tasks, accelerators int, adjacency model.Adjacency) model.Guarantee {
	return model.Guarantee{AZ: testAZ, Shape: shapeOf(tasks, accelerators, adjacency), Count: count}
}

func shapeOf(tasks, accelerators int, adjacency model.Adjacency) model.GangShape {
	return model.GangShape{Tasks: tasks, Accelerators: accelerators, Adjacency: adjacency}
}

func gangOf(s *replay.State, job string, organisation model.OrganisationID, shape model.GangShape, class model.Class) placement.Gang {
	return placement.Gang{
		Job:          model.JobID(job),
		Organisation: organisation,
		Shape:        shape,
		Class:        class,
		Submitted:    s.Zone.Now,
	}
}

// checkInvariants reports each invariant that the zone or the plan violates.
func checkInvariants(t invarianttest.T, s *replay.State, plan placement.Plan) {
	reporter := invarianttest.New(t)
	for _, v := range invariant.CheckNoOvercommit(s.Zone) {
		reporter.Violated(v)
	}
	for _, v := range invariant.CheckNoPartialGang(s.Zone) {
		reporter.Violated(v)
	}
	for _, v := range invariant.CheckReclaimable(s.Zone, plan) {
		reporter.Violated(v)
	}
}
