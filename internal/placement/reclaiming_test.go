package placement_test

import (
	"errors"
	"fmt"
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
		assert.Assert(t, errors.As(err, &shapeError), "%v", err)
		assert.Equal(t, shapeError.Reason, c.reason)
	}
}

// runSteps decides every minute, frees evicted gangs before each decision and calls
// step before that.
func runSteps(s *replay.State, minutes int, step func(minute int)) {
	for minute := range minutes {
		for _, gang := range s.Zone.Placed {
			if gang.Evicting {
				s.Requeue(gang.Job)
			}
		}
		step(minute)
		s.Decide(placement.Reclaiming{})
		s.Advance(time.Minute)
	}
}

// TestSoakLargeGangIsNotStarved keeps two racks full of small gangs of all classes and
// expects that a large gang without a guarantee starts once it is overdue and the
// gangs submitted before it have ended.
func TestSoakLargeGangIsNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := stateOf(serversOf(2, 4, 8), organisationOf("a", guaranteeOf(1, 1, 8, model.AdjacentServer)), organisationOf("b"))
		const before = 180
		large := gangOf(s, "large", "b", shapeOf(4, 8, model.AdjacentRack), model.ClassBatch)
		large.Submitted = start.Add(before * time.Minute)
		ends := make(map[model.JobID]int)
		limit := before + int(placement.DefaultEvictAfter/time.Minute) + 5
		started := false
		runSteps(s, limit, func(minute int) {
			endDue(s, ends, minute)
			if minute == before {
				s.Submit(large)
			}
			submitSmall(t, s, ends, minute, before)
			_, placed := s.Find("large")
			started = started || placed
		})
		assert.Assert(t, started, "the large gang does not run after %d minutes: it starves", limit-before)
	})
}

func endDue(s *replay.State, ends map[model.JobID]int, minute int) {
	for job, at := range ends {
		if at <= minute {
			s.Remove(job)
		}
	}
}

// submitSmall keeps the queue filled. Gangs from before the large one end in time; the
// others run for long.
func submitSmall(t *rapid.T, s *replay.State, ends map[model.JobID]int, minute, before int) {
	for i := len(s.Pending); i < 12; i++ {
		class := model.Class(rapid.IntRange(0, int(model.ClassCount)-1).Draw(t, "class"))
		accelerators := rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "accelerators")
		shape := shapeOf(1, accelerators, model.AdjacentServer)
		g := gangOf(s, fmt.Sprintf("s%04d-%d", minute, i), "a", shape, class)
		g.DeclaredRuntime = time.Duration(rapid.IntRange(1, 100).Draw(t, "declared")) * time.Minute
		ends[g.Job] = minute + rapid.IntRange(10, 600).Draw(t, "runtime")
		if minute < before {
			ends[g.Job] = min(ends[g.Job], before+int(placement.DefaultEvictAfter/time.Minute))
		}
		s.Submit(g)
	}
}

// TestUrgentAndOldGangsDoNotEvictEachOther has an urgent gang evict an old batch gang,
// which must not take the room back, nor be evicted once more after it waited.
func TestUrgentAndOldGangsDoNotEvictEachOther(t *testing.T) {
	whole := shapeOf(1, 8, model.AdjacentServer)
	s := stateOf(serversOf(1, 1, 8), organisationOf("a"))
	s.Submit(gangOf(s, "batch", "a", whole, model.ClassBatch))
	s.Decide(placement.Reclaiming{})
	s.Advance(10 * time.Hour)
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

func TestTightestCellIsChosen(t *testing.T) {
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
