package requests

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/measure/stats"
)

const seed = 1

// testSite is small, so that the tests stay quick under the race detector.
var testSite = deployment{"test", []zoneSize{{2, 6}}, time.Millisecond, 8 * time.Millisecond}

func both(t *testing.T, s situation) (baseline, product *sceneResult) {
	t.Helper()
	baseline = newSimulation(testSite, s, seed, newFIFO).run()
	product = newSimulation(testSite, s, seed, newScheduled).run()
	return baseline, product
}

func (r *sceneResult) kept(work int) float64 {
	return percent(r.works[work].done, r.works[work].offered)
}

func TestFloodOfLeastUrgent(t *testing.T) {
	baseline, product := both(t, scenes[1])
	assert.Assert(t, baseline.kept(workQuote) < 50)
	assert.Assert(t, product.kept(workQuote) > 99)
	assert.Assert(t, product.kept(workPlan) > 99)
}

func TestFloodOfMostUrgent(t *testing.T) {
	baseline, product := both(t, scenes[2])
	assert.Assert(t, baseline.kept(workPlan) < 50)
	assert.Assert(t, product.kept(workPlan) > 99)
	assert.Assert(t, product.kept(workMatch) > 99)
	assert.Assert(t, product.works[workQuote].window > baseline.works[workQuote].window)
}

func TestLargeCallerWaitsBehindItself(t *testing.T) {
	_, product := both(t, scenes[3])
	assert.Assert(t, percent(len(product.small), product.smallOffered) > 99)
	assert.Assert(t, 4*stats.Quantile(product.small, 0.5) < stats.Quantile(product.large, 0.5))
}
