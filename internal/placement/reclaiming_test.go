package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant/invarianttest"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/placement/replay"
)

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

func check(t invarianttest.T, s *replay.State, plan placement.Plan) {
	reporter := invarianttest.New(t)
	for _, v := range invariant.CheckNoDoublePromise(s.Zone) {
		reporter.Violated(v)
	}
	for _, v := range invariant.CheckWholeGangs(s.Zone) {
		reporter.Violated(v)
	}
	for _, v := range invariant.CheckReclaimable(s.Zone, plan) {
		reporter.Violated(v)
	}
}

func TestGuaranteedGangEvictsOnlyBorrowed(t *testing.T) {
	whole := shapeOf(1, 8, model.AdjacentServer)
	s := stateOf(serversOf(1, 2, 8), organisationOf("a", guaranteeOf(1, 1, 8, model.AdjacentServer)), organisationOf("b"))
	for i := range 8 {
		s.Submit(gangOf(s, fmt.Sprintf("b%d", i), "b", shapeOf(1, 2, model.AdjacentServer), model.ClassBatch))
	}
	s.Decide(placement.Reclaiming{})
	assert.Equal(t, len(s.Zone.Placed), 8)

	s.Submit(gangOf(s, "a0", "a", whole, model.ClassNormal))
	plan := s.Decide(placement.Reclaiming{})
	assert.Equal(t, len(plan.Evictions), 4)
	assert.Equal(t, plan.Waiting[0].Reason, placement.WaitReclaim)

	again := s.Decide(placement.Reclaiming{})
	assert.Equal(t, len(again.Evictions), 0, "no further evictions while the first ones are under way")

	for _, e := range plan.Evictions {
		s.Requeue(e.Job)
	}
	plan = s.Decide(placement.Reclaiming{})
	assert.Equal(t, plan.Starts[0].Job, model.JobID("a0"))
	assert.Assert(t, !plan.Starts[0].Borrowed)
	check(t, s, plan)
}

func TestFitGuarantees(t *testing.T) {
	servers := serversOf(2, 2, 8)
	fits := []model.Organisation{
		organisationOf("a", guaranteeOf(1, 2, 8, model.AdjacentRack)),
		organisationOf("b", guaranteeOf(4, 1, 4, model.AdjacentServer)),
	}
	assert.Equal(t, len(placement.FitGuarantees(servers, fits)), 0)
	fits[1].Guarantees = append(fits[1].Guarantees, guaranteeOf(2, 1, 1, model.AdjacentAny))
	unfit := placement.FitGuarantees(servers, fits)
	assert.DeepEqual(t, unfit, []placement.Unfit{{
		Organisation: "b",
		Index:        1,
		Guarantee:    guaranteeOf(2, 1, 1, model.AdjacentAny),
		Fits:         0,
	}})
}

func TestCheckShape(t *testing.T) {
	servers := serversOf(2, 2, 8)
	bounded := model.Organisation{ID: "a", MaxAccelerators: 16}
	for _, c := range []struct {
		shape  model.GangShape
		reason placement.ShapeReason
	}{
		{shapeOf(2, 8, model.AdjacentRack), ""},
		{shapeOf(0, 8, model.AdjacentRack), placement.ShapeInvalid},
		{shapeOf(1, 8, "room"), placement.ShapeInvalid},
		{shapeOf(3, 8, model.AdjacentAny), placement.ShapeOverBound},
		{shapeOf(2, 8, model.AdjacentServer), placement.ShapeNoCell},
		{shapeOf(1, 9, model.AdjacentAny), placement.ShapeNoCell},
	} {
		err := placement.CheckShape(testAZ, servers, bounded, c.shape)
		if c.reason == "" {
			assert.NilError(t, err)
			continue
		}
		var shapeError *placement.ShapeError
		assert.Assert(t, asShapeError(err, &shapeError), "%v", err)
		assert.Equal(t, shapeError.Reason, c.reason)
	}
}

var testShapes = []model.GangShape{
	shapeOf(1, 1, model.AdjacentServer),
	shapeOf(1, 3, model.AdjacentServer),
	shapeOf(1, 4, model.AdjacentServer),
	shapeOf(1, 8, model.AdjacentServer),
	shapeOf(2, 4, model.AdjacentRack),
	shapeOf(2, 8, model.AdjacentRack),
	shapeOf(6, 2, model.AdjacentRack),
	shapeOf(5, 4, model.AdjacentAny),
	shapeOf(12, 1, model.AdjacentAny),
}

// TestRandomisedZone drives a zone through submissions, ends, evictions, losses and
// returns of servers, and checks the promises after each decision.
func TestRandomisedZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"end":     m.end,
			"evicted": m.evicted,
			"lose":    m.lose,
			"return":  m.comeBack,
			"advance": m.advance,
			"reclaim": m.reclaim,
			"":        func(*rapid.T) {},
		})
	})
}

type machine struct {
	state *replay.State
	jobs  int
	lost  []model.BackendServerID
	// disturbed is set once a server was lost: from then on risks are legitimate.
	disturbed bool
}

func newMachine(t *rapid.T) *machine {
	servers := serversOf(rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(1, 4).Draw(t, "perRack"), 8)
	organisations := drawOrganisations(t, servers)
	return &machine{state: stateOf(servers, organisations...)}
}

// drawOrganisations draws guarantees that fit together.
func drawOrganisations(t *rapid.T, servers []model.BackendServer) []model.Organisation {
	organisations := []model.Organisation{organisationOf("a"), organisationOf("b"), organisationOf("c")}
	for range rapid.IntRange(0, 6).Draw(t, "guarantees") {
		i := rapid.IntRange(0, len(organisations)-1).Draw(t, "organisation")
		shape := rapid.SampledFrom(testShapes).Draw(t, "guaranteed")
		count := rapid.IntRange(1, 3).Draw(t, "count")
		before := organisations[i].Guarantees
		guarantee := model.Guarantee{AZ: testAZ, Shape: shape, Count: count}
		organisations[i].Guarantees = append(before[:len(before):len(before)], guarantee)
		if len(placement.FitGuarantees(servers, organisations)) > 0 {
			organisations[i].Guarantees = before
		}
	}
	return organisations
}

func (m *machine) decide(t *rapid.T) placement.Plan {
	plan := m.state.Decide(placement.Reclaiming{})
	check(t, m.state, plan)
	if !m.disturbed {
		assert.Equal(t, len(plan.Risks), 0, "guarantees at risk without a lost server")
	}
	return plan
}

func (m *machine) nextJob() string {
	m.jobs++
	return fmt.Sprintf("j%04d", m.jobs)
}

func (m *machine) submit(t *rapid.T) {
	organisation := rapid.SampledFrom([]model.OrganisationID{"a", "b", "c"}).Draw(t, "organisation")
	shape := rapid.SampledFrom(testShapes).Draw(t, "shape")
	class := model.Class(rapid.IntRange(0, int(model.ClassCount)-1).Draw(t, "class"))
	m.state.Submit(gangOf(m.state, m.nextJob(), organisation, shape, class))
	m.decide(t)
}

func (m *machine) end(t *rapid.T) {
	if len(m.state.Zone.Placed) == 0 {
		t.Skip("nothing runs")
	}
	m.state.Remove(rapid.SampledFrom(m.state.Zone.Placed).Draw(t, "ends").Job)
	m.decide(t)
}

func (m *machine) evicted(t *rapid.T) {
	m.finishEvictions()
	m.decide(t)
}

func (m *machine) finishEvictions() {
	for _, gang := range m.state.Zone.Placed {
		if gang.Evicting {
			m.state.Requeue(gang.Job)
		}
	}
}

// dropEvicted takes the evicted gangs out, so that they do not compete with others of
// their organisation for its guarantees.
func (m *machine) dropEvicted() {
	for _, gang := range m.state.Zone.Placed {
		if gang.Evicting {
			m.state.Remove(gang.Job)
		}
	}
}

func (m *machine) lose(t *rapid.T) {
	server := rapid.SampledFrom(m.state.Zone.Servers).Draw(t, "lost")
	if !server.Usable {
		t.Skip("lost already")
	}
	m.disturbed = true
	m.lost = append(m.lost, server.ID)
	m.state.SetUsable(server.ID, false)
	m.decide(t)
}

func (m *machine) comeBack(t *rapid.T) {
	if len(m.lost) == 0 {
		t.Skip("nothing is lost")
	}
	m.state.SetUsable(m.lost[0], true)
	m.lost = m.lost[1:]
	m.decide(t)
}

func (m *machine) advance(t *rapid.T) {
	m.state.Advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "minutes")) * time.Minute)
	m.decide(t)
}

// reclaim submits a gang for each guarantee that nobody takes up and expects that all
// start once the borrowed gangs that the plan evicts are gone.
func (m *machine) reclaim(t *rapid.T) {
	risks := m.decide(t).Risks
	if len(risks) > 0 {
		t.Skip("guarantees are at risk")
	}
	before := guaranteedJobs(m.state)
	wanted := m.submitIdle()
	for range len(wanted) + 2 {
		plan := m.decide(t)
		m.expectOnlyBorrowedEvicted(t, plan, before)
		m.dropEvicted()
	}
	for _, job := range wanted {
		gang, placed := m.state.Find(job)
		assert.Assert(t, placed, "guaranteed gang %s does not run", job)
		assert.Assert(t, !gang.Borrowed, "guaranteed gang %s runs borrowed", job)
	}
}

func (m *machine) expectOnlyBorrowedEvicted(t *rapid.T, plan placement.Plan, guaranteed map[model.JobID]bool) {
	for _, e := range plan.Evictions {
		assert.Assert(t, !guaranteed[e.Job], "evicted %s, which runs inside a guarantee", e.Job)
	}
}

func guaranteedJobs(s *replay.State) map[model.JobID]bool {
	jobs := make(map[model.JobID]bool)
	for _, gang := range s.Zone.Placed {
		if !gang.Borrowed {
			jobs[gang.Job] = true
		}
	}
	return jobs
}

// submitIdle submits one gang of the exact shape for each guarantee that has fewer
// gangs of its shape running than its count, with the queue emptied first.
func (m *machine) submitIdle() []model.JobID {
	m.state.Pending = nil
	var wanted []model.JobID
	for _, organisation := range m.state.Zone.Organisations {
		count := make(map[model.GangShape]int)
		for _, guarantee := range organisation.Guarantees {
			count[guarantee.Shape] += guarantee.Count
		}
		for _, gang := range m.state.Zone.Placed {
			if gang.Organisation == organisation.ID && !gang.Borrowed {
				count[gang.Shape]--
			}
		}
		for _, shape := range testShapes {
			if count[shape] < 1 {
				continue
			}
			g := gangOf(m.state, m.nextJob(), organisation.ID, shape, model.ClassNormal)
			m.state.Submit(g)
			wanted = append(wanted, g.Job)
		}
	}
	return wanted
}
