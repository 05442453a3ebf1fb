package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// playImages submits small tasks of two images, one a time, for a while, and returns how many were at work beside one
// of the other image in the last third, of how many.
func playImages(w *world, d time.Duration) (beside, all int) {
	end := w.now.Add(d)
	for i := 0; w.now.Before(end); i++ {
		j := newJob(1, oneAccelerator, 4)
		j.Steps[0].Image = []string{"planner", "indexer"}[i%2]
		w.submit(j)
		w.run(250 * time.Millisecond)
		if end.Sub(w.now) > d/3 {
			continue
		}
		for _, s := range w.servers {
			images := make(map[string]int)
			for _, r := range s.runs {
				images[r.step(w).Image]++
				all++
			}
			if len(images) > 1 {
				beside += images["planner"] + images["indexer"]
			}
		}
	}
	return beside, all
}

// Two images that slow each other down come to be kept apart, since there is room; a third of the time is not enough for
// all to have been found by chance.
func TestTasksThatSlowEachOtherDownAreKeptApart(t *testing.T) {
	w := newWorldWithHolder(t, 1, 6)
	mixed, all := playImages(w, 30*time.Second)
	assert.Assert(t, cmp.Len(w.holder().state.interference.Pairs(), 0), "nothing is slowed down")
	assert.Assert(t, mixed*2 > all, "%d of %d tasks share a backend server while nothing is known", mixed, all)

	w = newWorldWithHolder(t, 1, 6)
	w.slowdowns = map[[2]string]float64{{"planner", "indexer"}: 0.25, {"indexer", "planner"}: 0.25}
	playImages(w, 60*time.Second)
	mixed, all = playImages(w, 30*time.Second)
	assert.Assert(t, cmp.Len(w.holder().state.interference.Pairs(), 2))
	assert.Assert(t, mixed*10 < all, "%d of %d tasks share a backend server with the image that slows them down", mixed, all)
	assert.Assert(t, w.holder().state.interference.Pairs()[0].Slowed == job.Kind(testQueue+"/indexer"))
}
