package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// gangOfTwo submits a gang of two tasks, each of which takes a whole backend server for a minute.
func gangOfTwo(w *world) job.GroupKey {
	step := job.Step{Count: 2, Gang: true, EstimatedRuntime: time.Minute, Need: wholeServer}
	return job.GroupKey{Job: w.submit(job.Job{Priority: 1, Steps: []job.Step{step}}).ID}
}

// A successor is told of a member of an earlier run of a gang, and repeats the start of another member of the present
// run while that is still there.
func TestStartOfAMemberIsNotRepeatedWhileAnEarlierRunOfItsGangIsThere(t *testing.T) {
	w := newWorldWithHolder(t, 3, 3)
	first, second, third := w.servers["s00"], w.servers["s01"], w.servers["s02"]
	first.unlisted = true
	w.run(20 * time.Second)
	gang := gangOfTwo(w)
	runUntil(w, "the gang at work", func() bool { return len(second.runs) == 1 && len(third.runs) == 1 })
	w.run(100 * time.Millisecond)
	var early Start
	for _, r := range third.runs {
		early = r.order
	}
	third.crash(w)
	third.unlisted, first.unlisted = true, false
	s := w.holder().state
	g := s.jobs.Job(gang.Job).Group(0, 0)
	runUntil(w, "the next run", func() bool { return g.Tasks[0].Run == 2 && g.Tasks[1].Run == 2 })
	cutOff(w, first) // placed, and not ordered yet
	cutOff(w, second)
	runUntil(w, "its start orders", func() bool { return w.startOrders[len(w.startOrders)-1].Run == 2 })
	w.holder().dead = true
	// the late order of the earlier run is the first call of a new incarnation
	third.crash(w)
	third.unlisted = false
	_, err := third.start(w, early, "a late order")
	assert.NilError(t, err)
	runUntil(w, "a successor that knows of it", func() bool { return w.holder() != nil && w.holder().state.orphans[early.Task] > 0 })
	cutOff(w, third) // its stop order does not arrive
	sent := len(w.startOrders)
	for _, n := range w.nodes {
		w.cutLinks[link(n.name, string(first.id))] = false
		w.cutLinks[link(n.name, string(second.id))] = false
	}
	runUntil(w, "the end of the earlier run", func() bool {
		assert.Equal(t, len(w.startOrders), sent, "the start of a member was ordered beside an earlier run")
		return len(third.runs) == 0
	})
}

// A successor found a start of the previous holder missing from a report, when its gang was broken already, and took it
// for never sent. It arrived in the next incarnation, and the holder, which knew of that, ordered the start of a member of
// the next run beside it.
func TestStartOfAMemberWaitsForAStartOfThePreviousHolderAfterARestart(t *testing.T) {
	w := newWorldWithHolder(t, 3, 3)
	first, second, third := w.servers["s00"], w.servers["s01"], w.servers["s02"]
	third.unlisted = true
	w.run(20 * time.Second)
	gang := gangOfTwo(w)
	s := w.holder().state
	runUntil(w, "the placement", func() bool { return len(s.servers[second.id].runs) == 1 })
	cutOff(w, second) // placed, and not ordered yet
	runUntil(w, "the other member", func() bool { return len(first.runs) == 1 })
	var late Start
	for _, o := range w.startOrders {
		if o.Server == second.id {
			late = o.Start
		}
	}
	w.holder().dead = true
	runUntil(w, "a successor", func() bool { return w.holder() != nil })
	s = w.holder().state
	third.unlisted, second.draining = false, true
	g := s.jobs.Job(gang.Job).Group(0, 0)
	w.run(3 * time.Second)
	assert.Equal(t, len(first.runs), 0, "the gang has not ended as alone")
	reach := func(at *fakeServer) {
		for _, n := range w.nodes {
			delete(w.cutLinks, link(n.name, string(at.id)))
		}
	}
	reach(second)
	runUntil(w, "the next run", func() bool { return g.Tasks[0].Run == 2 && g.Tasks[1].Run == 2 })
	for _, at := range []*fakeServer{first, second, third} {
		cutOff(w, at) // placed, and not ordered yet
	}
	runUntil(w, "its start orders", func() bool { return w.startOrders[len(w.startOrders)-1].Run == 2 })
	second.crash(w)
	_, err := second.start(w, late, "a late order")
	assert.NilError(t, err)
	runUntil(w, "the notice of the restart", func() bool { return s.servers[second.id].incarnationStart == second.born() })
	sent := len(w.startOrders)
	reach(first)
	reach(third)
	w.run(time.Second)
	assert.Equal(t, len(w.startOrders), sent, "the start of a member was ordered beside an earlier run")
	reach(second)
	second.draining = false
	w.run(15 * time.Second)
	assert.Equal(t, len(w.oracle.running[gang.TaskName(0)]), 1, "the gang is not at work again")
}
