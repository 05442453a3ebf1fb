package placement_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/placement/replay"
)

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
	checkInvariants(t, s, plan)
}

func TestUnplacedGuarantees(t *testing.T) {
	servers := serversOf(2, 2, 8)
	fits := []model.Organisation{
		organisationOf("a", guaranteeOf(1, 2, 8, model.AdjacentRack)),
		organisationOf("b", guaranteeOf(4, 1, 4, model.AdjacentServer)),
	}
	assert.Equal(t, len(placement.UnplacedGuarantees(servers, fits)), 0)
	fits[1].Guarantees = append(fits[1].Guarantees, guaranteeOf(2, 1, 1, model.AdjacentAny))
	unfit := placement.UnplacedGuarantees(servers, fits)
	assert.DeepEqual(t, unfit, []placement.UnplacedGuarantee{{
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
		assert.Assert(t, errors.As(err, &shapeError), "%v", err)
		assert.Equal(t, shapeError.Reason, c.reason)
	}
}

// TestSoakLargeGangIsNotStarved keeps two racks full of small gangs. It expects that a
// large batch gang without a guarantee starts when it is overdue, or when it counts as
// starved if some of the small gangs are urgent. The gangs submitted before it have
// ended by then.
func TestSoakLargeGangIsNotStarved(t *testing.T) {
	cases := map[string]struct {
		mostUrgent model.Class // most urgent class of the small gangs
		bound      time.Duration
	}{
		"normal": {model.ClassNormal, 2 * time.Hour},
		"urgent": {model.ClassUrgent, 6 * time.Hour},
	}
	policy := placement.Reclaiming{Options: placement.Options{
		ReserveAfter: 30 * time.Minute,
		EvictAfter:   cases["normal"].bound,
		StarvedAfter: cases["urgent"].bound,
	}}
	for name, c := range cases {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			z := &busyZone{
				state:        stateOf(serversOf(2, 4, 8), organisationOf("a", guaranteeOf(1, 1, 8, model.AdjacentServer)), organisationOf("b")),
				ends:         make(map[model.JobID]int),
				mostUrgent:   c.mostUrgent,
				boundMinutes: int(c.bound / time.Minute),
			}
			assert.Assert(t, z.startsLargeGang(t, policy), "the large gang does not run %s after its submission", c.bound)
		}))
	}
}

// busyZone is a zone whose queue of small gangs is never empty.
type busyZone struct {
	state        *replay.State
	ends         map[model.JobID]int // minute in which each gang ends
	mostUrgent   model.Class
	boundMinutes int // the large gang has to start within this time
}

// largeSubmitted is the minute of the large gang's submission.
const largeSubmitted = 60

// startsLargeGang reports whether the large gang starts in time and keeps running.
func (z *busyZone) startsLargeGang(t *rapid.T, policy placement.Policy) bool {
	for minute := range largeSubmitted + z.boundMinutes + 5 {
		z.finishEvictions()
		z.finishEnded(minute)
		if minute == largeSubmitted {
			z.state.Submit(gangOf(z.state, "large", "b", shapeOf(4, 8, model.AdjacentRack), model.ClassBatch))
		}
		z.submitSmall(t, minute)
		z.state.Decide(policy)
		z.state.Advance(time.Minute)
	}
	_, placed := z.state.Find("large")
	return placed
}

func (z *busyZone) finishEvictions() {
	for _, gang := range z.state.Zone.Placed {
		if gang.Evicting {
			z.state.Requeue(gang.Job)
		}
	}
}

// finishEnded removes the gangs whose end has come, also those that still wait.
func (z *busyZone) finishEnded(minute int) {
	ended := func(job model.JobID) bool {
		at, known := z.ends[job]
		return known && at <= minute
	}
	z.state.Pending = slices.DeleteFunc(z.state.Pending, func(g placement.Gang) bool { return ended(g.Job) })
	for job := range z.ends {
		if ended(job) {
			z.state.Remove(job)
			delete(z.ends, job)
		}
	}
}

// submitSmall refills the queue. Gangs submitted before the large one end before the
// bound on its wait; the others may run for longer.
func (z *busyZone) submitSmall(t *rapid.T, minute int) {
	for i := len(z.state.Pending); i < 12; i++ {
		class := model.Class(rapid.IntRange(int(z.mostUrgent), int(model.ClassCount)-1).Draw(t, "class"))
		accelerators := rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "accelerators")
		shape := shapeOf(1, accelerators, model.AdjacentServer)
		g := gangOf(z.state, fmt.Sprintf("s%04d-%d", minute, i), "a", shape, class)
		g.DeclaredRuntime = time.Duration(rapid.IntRange(1, 100).Draw(t, "declared")) * time.Minute
		z.ends[g.Job] = minute + rapid.IntRange(10, 600).Draw(t, "runtime")
		if minute < largeSubmitted {
			z.ends[g.Job] = min(z.ends[g.Job], largeSubmitted+z.boundMinutes-1)
		}
		z.state.Submit(g)
	}
}

// TestUrgentAndOldGangsDoNotEvictEachOther lets an urgent gang evict an old batch gang.
// The batch gang must not evict the urgent one in turn, and must not be evicted again
// once it has restarted after its wait.
func TestUrgentAndOldGangsDoNotEvictEachOther(t *testing.T) {
	whole := shapeOf(1, 8, model.AdjacentServer)
	s := stateOf(serversOf(1, 1, 8), organisationOf("a"))
	s.Submit(gangOf(s, "batch", "a", whole, model.ClassBatch))
	s.Decide(placement.Reclaiming{})
	s.Advance(30 * time.Hour)
	s.Submit(gangOf(s, "urgent1", "a", whole, model.ClassUrgent))
	plan := s.Decide(placement.Reclaiming{})
	assert.DeepEqual(t, plan.Evictions, []placement.Eviction{{Job: "batch", For: "urgent1"}})

	s.Requeue("batch")
	plan = s.Decide(placement.Reclaiming{})
	assert.Equal(t, plan.Starts[0].Job, model.JobID("urgent1"))
	s.Remove("urgent1")
	plan = s.Decide(placement.Reclaiming{})
	assert.Equal(t, plan.Starts[0].Job, model.JobID("batch"))
	s.Submit(gangOf(s, "urgent2", "a", whole, model.ClassUrgent))
	plan = s.Decide(placement.Reclaiming{})
	assert.Equal(t, len(plan.Evictions), 0)
}

func TestBoundYieldsToGuarantee(t *testing.T) {
	a := organisationOf("a", guaranteeOf(1, 1, 8, model.AdjacentServer))
	a.MaxAccelerators = 8
	s := stateOf(serversOf(1, 2, 8), a)
	half := shapeOf(1, 4, model.AdjacentServer)
	for _, job := range []string{"a1", "a2", "a3"} {
		s.Submit(gangOf(s, job, "a", half, model.ClassNormal))
	}
	plan := s.Decide(placement.Reclaiming{})
	assert.DeepEqual(t, plan.Waiting, []placement.Waiting{{Job: "a3", Reason: placement.WaitQuota}})

	s.Submit(gangOf(s, "g", "a", shapeOf(1, 8, model.AdjacentServer), model.ClassNormal))
	plan = s.Decide(placement.Reclaiming{})
	assert.Equal(t, len(plan.Evictions), 2)
	s.Remove("a1")
	s.Remove("a2")
	plan = s.Decide(placement.Reclaiming{})
	assert.Equal(t, plan.Starts[0].Job, model.JobID("g"))
}

func TestLostRackIsReported(t *testing.T) {
	guarantee := guaranteeOf(2, 2, 8, model.AdjacentRack)
	s := stateOf(serversOf(2, 2, 8), organisationOf("a", guarantee))
	s.Lose("s002")
	plan := s.Decide(placement.Reclaiming{})
	assert.DeepEqual(t, plan.Risks, []placement.Risk{{Organisation: "a", Guarantee: guarantee, Honoured: 1}})
	s.SetUsable("s002", true)
	assert.Equal(t, len(s.Decide(placement.Reclaiming{}).Risks), 0)
}

func TestBestFitCellIsChosen(t *testing.T) {
	s := stateOf(serversOf(1, 3, 8), organisationOf("a"))
	s.Submit(gangOf(s, "a1", "a", shapeOf(1, 5, model.AdjacentServer), model.ClassNormal))
	s.Submit(gangOf(s, "a2", "a", shapeOf(1, 4, model.AdjacentServer), model.ClassNormal))
	s.Submit(gangOf(s, "a3", "a", shapeOf(1, 3, model.AdjacentServer), model.ClassNormal))
	s.Decide(placement.Reclaiming{})
	first, _ := s.Find("a1")
	third, _ := s.Find("a3")
	assert.Equal(t, first.Members[0].Server, third.Members[0].Server)
}

func TestGangRunsInFreedGuarantee(t *testing.T) {
	whole := shapeOf(1, 8, model.AdjacentServer)
	s := stateOf(serversOf(1, 2, 8), organisationOf("a", guaranteeOf(1, 1, 8, model.AdjacentServer)))
	s.Submit(gangOf(s, "a1", "a", whole, model.ClassNormal))
	s.Submit(gangOf(s, "a2", "a", whole, model.ClassNormal))
	s.Decide(placement.Reclaiming{})
	s.Remove("a1")
	plan := s.Decide(placement.Reclaiming{})
	assert.DeepEqual(t, plan.Promotions, []model.JobID{"a2"})
	s.Zone.Organisations[0].Guarantees = nil
	plan = s.Decide(placement.Reclaiming{})
	assert.DeepEqual(t, plan.Demotions, []model.JobID{"a2"})
}

func TestUrgentGoesBeforeOverdueButNotBeforeStarved(t *testing.T) {
	whole := shapeOf(1, 8, model.AdjacentServer)
	for wait, first := range map[time.Duration]model.JobID{
		placement.DefaultEvictAfter:   "urgent",
		placement.DefaultStarvedAfter: "batch",
	} {
		s := stateOf(serversOf(1, 1, 8), organisationOf("a"))
		s.Submit(gangOf(s, "running", "a", whole, model.ClassUrgent))
		s.Decide(placement.Reclaiming{})
		s.Advance(time.Minute)
		s.Submit(gangOf(s, "batch", "a", whole, model.ClassBatch))
		s.Advance(wait)
		s.Submit(gangOf(s, "urgent", "a", whole, model.ClassUrgent))
		s.Remove("running")
		plan := s.Decide(placement.Reclaiming{})
		assert.Equal(t, plan.Starts[0].Job, first, "after %s", wait)
	}
}

func TestStartingGangIsEvictedBeforeARunningOne(t *testing.T) {
	half := shapeOf(1, 4, model.AdjacentServer)
	s := stateOf(serversOf(1, 1, 8), organisationOf("a", guaranteeOf(1, 1, 4, model.AdjacentServer)), organisationOf("b"))
	for _, job := range []string{"b1", "b2"} {
		s.Submit(gangOf(s, job, "b", half, model.ClassNormal))
	}
	s.Decide(placement.Reclaiming{})
	s.Zone.Placed[1].Started = time.Time{}
	s.Advance(time.Hour)
	s.Submit(gangOf(s, "a1", "a", half, model.ClassNormal))
	plan := s.Decide(placement.Reclaiming{})
	assert.DeepEqual(t, plan.Evictions, []placement.Eviction{{Job: "b2", For: "a1"}})
	assert.Assert(t, s.Zone.Placed[1].Started.IsZero(), "Decide modified its input")
}
