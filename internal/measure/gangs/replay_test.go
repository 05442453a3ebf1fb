package gangs

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

func TestReplayEndsEveryJobAndRepeats(t *testing.T) {
	d := deployments()[0]
	run := func() result {
		jobs := d.drawJobs(rand.New(rand.NewPCG(1, 0)))[:200]
		zone := emptyZone(d.zones[0], serversPerZone, acceleratorsPerServer, d.organisations)
		return replayZone(zone, jobs, placement.Reclaiming{}, 1)
	}
	first, second := run(), run()
	assert.Equal(t, first.unfinished, 0)
	assert.Equal(t, first.fragmentation, second.fragmentation)
	for i, rec := range first.records {
		assert.Assert(t, !rec.started.Before(rec.submitted))
		assert.DeepEqual(t, rec.ended, second.records[i].ended)
	}
}

func TestLinearFit(t *testing.T) {
	intercept, slope, fit := linearFit([]float64{1, 2, 4}, []float64{5, 7, 11})
	assert.Equal(t, intercept, 3.0)
	assert.Equal(t, slope, 2.0)
	assert.Equal(t, fit, 1.0)
}

func TestQuantile(t *testing.T) {
	times := []time.Duration{3 * time.Minute, time.Second, 800 * time.Millisecond}
	assert.Equal(t, quantile(times, 0), "800ms")
	assert.Equal(t, quantile(times, 1), "3.0m")
	assert.Equal(t, quantile(nil, 0.5), "-")
}
