package fleet

import (
	"strconv"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// The backlog report tells by priority what waits and what was stopped, also when single
// lines are sampled away.
func TestBacklogReportsWhatWaitsAndWhatIsLost(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	core, logs := observer.New(zapcore.InfoLevel)
	scope := tally.NewTestScope("", nil)
	w.holder().state.log = zap.New(core)
	w.holder().state.metrics = NewCounters(scope)
	w.submit(newJob(2, wholeServer, 60))
	w.run(5 * time.Second)
	quote := newJob(1, wholeServer, 10)
	quote.Priority, quote.Queue = 0, "quotes"
	w.submit(quote)
	w.run(3 * time.Second)

	var lost, waiting bool
	for _, line := range logs.FilterMessage("backlog").FilterField(zap.Int("priority", 1)).All() {
		fields := line.ContextMap()
		lost = lost || fields["preempted"] == int64(1) && fields["lost_preempted"] != "0"
		waiting = waiting || fields["waiting_tasks"] == int64(1) && fields["oldest_wait"].(time.Duration) > time.Second
	}
	assert.Assert(t, lost, "no report of the preempted run")
	assert.Assert(t, waiting, "no report of the waiting task")
	counters := scope.Snapshot().Counters()
	assert.Equal(t, counters["runs_stopped+cause=preempted,priority=1"].Value(), int64(1))
	assert.Assert(t, counters["lost_core_milliseconds+cause=preempted,priority=1"].Value() > 0)
	assert.Equal(t, scope.Snapshot().Gauges()["waiting_tasks+priority=1"].Value(), 1.0)
}

// A gang of priority 1 meets its objective although smaller jobs of priority 2 arrive
// faster than they end, and any of them fits as soon as another one ends (incident SHORT).
func TestGangMeetsItsObjectiveBesideSmallerJobs(t *testing.T) {
	const seconds = 4
	w := newWorldWithHolder(t, 1, 12)
	w.every(300*time.Millisecond, func() {
		small := newJob(12, oneAccelerator, seconds) // 40 tasks a second; 24 end
		small.Priority = 2
		w.submit(small)
	})
	w.run(5 * time.Second)
	gang := newJob(5, wholeServer, seconds)
	gang.Steps[0].Gang, gang.Steps[0].SameRack = true, true
	id := w.submit(gang).ID
	w.run(3 * seconds * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
}

// While a gang waits, the report tells why, of which organisation, and how much is at work meanwhile.
func TestBacklogTellsWhyGangsWait(t *testing.T) {
	w := newWorldWithHolder(t, 1, 3)
	core, logs := observer.New(zapcore.InfoLevel)
	scope := tally.NewTestScope("", nil)
	w.holder().state.log = zap.New(core)
	w.holder().state.metrics = NewCounters(scope)
	w.submit(newJob(2, wholeServer, 20))
	w.run(time.Second)
	gang := newJob(3, wholeServer, 5)
	gang.Steps[0].Gang = true
	w.submit(gang)
	w.run(3 * time.Second)

	why := logs.FilterMessage("backlog").FilterField(zap.Int("why_no_accelerators", 1)).All()
	assert.Assert(t, len(why) >= 2 && len(why) <= 4, "%d lines in 3 s", len(why))
	use := logs.FilterMessage("utilisation").All()
	assert.Assert(t, len(use) > 0)
	fields := use[len(use)-1].ContextMap()
	assert.Equal(t, fields["accelerators"], "0.667")
	assert.Equal(t, fields["whole_servers_free"], int64(1))
	assert.Equal(t, len(logs.FilterMessage("backlog of organisations").All()), len(why))
	gauges := scope.Snapshot().Gauges()
	assert.Equal(t, gauges["waiting_steps+priority="+strconv.Itoa(gang.Priority)+",reason=no_accelerators"].Value(), 1.0)
	assert.Equal(t, gauges["used_share+resource=accelerators"].Value(), 2.0/3)
}
