package requests

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/measure/stats"
)

const seed = 1

// testDeployment is small so that the tests are fast under the race detector.
var testDeployment = deployment{"test", []zoneSize{{2, 6}}, time.Millisecond, 8 * time.Millisecond}

func runBoth(t *testing.T, s loadScenario) (baseline, product *scenarioResult) {
	t.Helper()
	baseline = newSimulation(testDeployment, s, seed, newFIFOVM).run()
	product = newSimulation(testDeployment, s, seed, newSchedulerVM).run()
	return baseline, product
}

func (r *scenarioResult) donePercent(work int) float64 {
	return percent(r.byWorkload[work].done, r.byWorkload[work].offered)
}

func TestFloodOfLeastUrgent(t *testing.T) {
	baseline, product := runBoth(t, loadScenarios[1])
	assert.Assert(t, baseline.donePercent(workQuote) < 50)
	assert.Assert(t, product.donePercent(workQuote) > 99)
	assert.Assert(t, product.donePercent(workPlan) > 99)
}

func TestFloodOfMostUrgent(t *testing.T) {
	baseline, product := runBoth(t, loadScenarios[2])
	assert.Assert(t, baseline.donePercent(workPlan) < 50)
	assert.Assert(t, product.donePercent(workPlan) > 99)
	assert.Assert(t, product.donePercent(workMatch) > 99)
	assert.Assert(t, product.byWorkload[workQuote].doneInPeriod > baseline.byWorkload[workQuote].doneInPeriod)
}

func TestLargeCallerWaitsBehindItself(t *testing.T) {
	_, product := runBoth(t, loadScenarios[3])
	assert.Assert(t, percent(len(product.smallTimes), product.smallOffered) > 99)
	assert.Assert(t, 4*stats.Quantile(product.smallTimes, 0.5) < stats.Quantile(product.largeTimes, 0.5))
}
