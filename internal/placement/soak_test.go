package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/placement/replay"
)

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

// TestSoakZone runs random submissions, ends, evictions, and losses and returns of
// servers, and checks the invariants after each decision.
func TestSoakZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newZoneMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"end":     m.end,
			"evicted": m.evicted,
			"lose":    m.lose,
			"leave":   m.leave,
			"return":  m.returnServer,
			"advance": m.advance,
			"reclaim": m.reclaim,
			"":        func(*rapid.T) {},
		})
	})
}

// zoneMachine is the model that TestSoakZone drives.
type zoneMachine struct {
	state *replay.State
	jobs  int
	lost  []model.BackendServerID
	// disturbed is set once a server became unusable. From then on guarantees may be at
	// risk.
	disturbed bool
}

func newZoneMachine(t *rapid.T) *zoneMachine {
	servers := serversOf(rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(1, 4).Draw(t, "perRack"), 8)
	organisations := drawOrganisations(t, servers)
	return &zoneMachine{state: stateOf(servers, organisations...)}
}

// drawOrganisations draws guarantees that fit together.
func drawOrganisations(t *rapid.T, servers []model.BackendServer) []model.Organisation {
	organisations := []model.Organisation{organisationOf("a"), organisationOf("b"), organisationOf("c")}
	organisations[2].MaxAccelerators = rapid.SampledFrom([]int{0, 40}).Draw(t, "bound")
	for range rapid.IntRange(0, 6).Draw(t, "guarantees") {
		i := rapid.IntRange(0, len(organisations)-1).Draw(t, "organisation")
		shape := rapid.SampledFrom(testShapes).Draw(t, "guaranteed")
		count := rapid.IntRange(1, 3).Draw(t, "count")
		before := organisations[i].Guarantees
		guarantee := model.Guarantee{AZ: testAZ, Shape: shape, Count: count}
		organisations[i].Guarantees = append(before[:len(before):len(before)], guarantee)
		if len(placement.UnplacedGuarantees(servers, organisations)) > 0 {
			organisations[i].Guarantees = before
		}
	}
	return organisations
}

func (m *zoneMachine) decide(t *rapid.T) placement.Plan {
	before := m.state.Zone
	pending := len(m.state.Pending)
	plan := m.state.Decide(placement.Reclaiming{})
	checkInvariants(t, m.state, plan)
	expectUsable(t, before, plan)
	assert.Equal(t, len(plan.Starts)+len(plan.Waiting), pending, "each gang starts or waits")
	if !m.disturbed {
		assert.Equal(t, len(plan.Risks), 0, "guarantees are at risk although no server has been unusable")
	}
	return plan
}

// expectUsable expects that no gang starts on an unusable server.
func expectUsable(t *rapid.T, zone placement.Zone, plan placement.Plan) {
	usable := make(map[model.BackendServerID]bool)
	for _, server := range zone.Servers {
		usable[server.ID] = server.Usable
	}
	for _, start := range plan.Starts {
		for _, member := range start.Members {
			assert.Assert(t, usable[member.Server], "%s starts on the unusable server %s", start.Job, member.Server)
		}
	}
}

func (m *zoneMachine) nextJob() string {
	m.jobs++
	return fmt.Sprintf("j%04d", m.jobs)
}

func (m *zoneMachine) submit(t *rapid.T) {
	organisation := rapid.SampledFrom([]model.OrganisationID{"a", "b", "c"}).Draw(t, "organisation")
	shape := rapid.SampledFrom(testShapes).Draw(t, "shape")
	class := model.Class(rapid.IntRange(0, int(model.ClassCount)-1).Draw(t, "class"))
	g := gangOf(m.state, m.nextJob(), organisation, shape, class)
	if rapid.IntRange(0, 9).Draw(t, "avoids") == 0 {
		g.Avoid = []model.BackendServerID{rapid.SampledFrom(m.state.Zone.Servers).Draw(t, "avoided").ID}
	}
	m.state.Submit(g)
	m.decide(t)
}

func (m *zoneMachine) end(t *rapid.T) {
	if len(m.state.Zone.Placed) == 0 {
		t.Skip("no gang is running")
	}
	m.state.Remove(rapid.SampledFrom(m.state.Zone.Placed).Draw(t, "ends").Job)
	m.decide(t)
}

func (m *zoneMachine) evicted(t *rapid.T) {
	m.finishEvictions()
	m.decide(t)
}

func (m *zoneMachine) finishEvictions() {
	for _, gang := range m.state.Zone.Placed {
		if gang.Evicting {
			m.state.Requeue(gang.Job)
		}
	}
}

// dropEvicted removes the evicted gangs instead of requeueing them, so that they do not
// compete with others of their organisation for its guarantees.
func (m *zoneMachine) dropEvicted() {
	for _, gang := range m.state.Zone.Placed {
		if gang.Evicting {
			m.state.Remove(gang.Job)
		}
	}
}

// lose makes a server unusable and requeues its gangs.
func (m *zoneMachine) lose(t *rapid.T) {
	m.state.Lose(m.drawUnusable(t))
	m.decide(t)
}

// leave makes a server unusable while its gangs keep running.
func (m *zoneMachine) leave(t *rapid.T) {
	m.state.SetUsable(m.drawUnusable(t), false)
	m.decide(t)
}

func (m *zoneMachine) drawUnusable(t *rapid.T) model.BackendServerID {
	server := rapid.SampledFrom(m.state.Zone.Servers).Draw(t, "server")
	if !server.Usable {
		t.Skip("the server is already unusable")
	}
	m.disturbed = true
	m.lost = append(m.lost, server.ID)
	return server.ID
}

func (m *zoneMachine) returnServer(t *rapid.T) {
	if len(m.lost) == 0 {
		t.Skip("no server is unusable")
	}
	m.state.SetUsable(m.lost[0], true)
	m.lost = m.lost[1:]
	m.decide(t)
}

func (m *zoneMachine) advance(t *rapid.T) {
	m.state.Advance(time.Duration(rapid.IntRange(1, 150).Draw(t, "minutes")) * time.Minute)
	m.decide(t)
}

// reclaim submits a gang for each unused guarantee and expects that all of these gangs
// start once the borrowed gangs that the plans evict are gone.
func (m *zoneMachine) reclaim(t *rapid.T) {
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

func (m *zoneMachine) expectOnlyBorrowedEvicted(t *rapid.T, plan placement.Plan, guaranteed map[model.JobID]bool) {
	for _, e := range plan.Evictions {
		assert.Assert(t, !guaranteed[e.Job], "evicted %s, which runs under a guarantee", e.Job)
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

// submitIdle empties the queue, then submits one gang of the exact shape for each
// guarantee with fewer running gangs of its shape than its count.
func (m *zoneMachine) submitIdle() []model.JobID {
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
