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
