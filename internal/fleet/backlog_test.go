package fleet

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
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
