package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// A tenth of the backend servers fails all that they start for six seconds, beside a load of gangs and
// single tasks (large trouble-1, 8.8 to 14.5 s). Members of several gangs may be there at the first
// failure, but once that is reported no gang is started there: each would break.
func TestGangsKeepAwayFromServersThatFail(t *testing.T) {
	const failing, reported = 6, 500 * time.Millisecond
	w := newWorldWithHolder(t, 1, 60)
	for _, id := range eventloop.SortedKeys(w.servers)[:failing] {
		w.servers[id].failsAll = true
	}
	failedAt := make(map[model.BackendServerID]time.Time)
	w.oracle.onEnd = func(r *fakeRun, how RunOutcome) {
		if _, known := failedAt[r.order.Server]; how == EndedFailed && !known {
			failedAt[r.order.Server] = w.now
		}
	}
	for range 20 {
		for range 2 {
			w.submit(job.Job{Queue: "quotes", Steps: []job.Step{{Count: 16, Gang: true, EstimatedRuntime: 4 * time.Second, Need: oneAccelerator}}})
		}
		w.submit(newJob(20, oneAccelerator, 2))
		w.run(300 * time.Millisecond)
	}
	assert.Equal(t, len(failedAt), failing)
	for _, o := range w.startOrders {
		key, _, err := job.ParseTaskName(o.Task)
		assert.NilError(t, err)
		at, failed := failedAt[o.Server]
		late := failed && w.servers[o.Server].failsAll && o.at.Sub(at) > reported
		assert.Assert(t, !late || !w.oracle.jobs[key.Job].Steps[0].Gang, "%s is started on %s, which failed %v ago", o.Task, o.Server, o.at.Sub(at))
	}
	for _, s := range w.servers {
		s.failsAll = false
	}
	w.run(30 * time.Second)
	w.oracle.checkAllEnded()
}

// A task failed once on the only backend server that may run it, and its step was never started again
// while the holder kept the term (review/1).
func TestStepReturnsToTheOnlyServerAfterAFailure(t *testing.T) {
	w := newWorldWithHolder(t, 2, 6)
	only := w.servers[model.BackendServerID("s03")]
	only.label = "scanner"
	j := newJob(2, oneAccelerator, 2)
	j.Steps[0].Label = only.label
	only.failsAll = true
	id := w.submit(j).ID
	w.run(3 * time.Second)
	only.failsAll = false
	w.run(avoidDuration + 3*time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
}

// The other backend server that may run the step is full for good: the one where it failed is idle.
func TestStepReturnsToAServerWhenTheOthersAreFull(t *testing.T) {
	w := newWorldWithHolder(t, 2, 2)
	w.servers["s00"].draining = true
	w.run(time.Second)
	w.submit(newJob(1, wholeServer, 120))
	w.run(time.Second)
	w.servers["s00"].draining, w.servers["s00"].failsAll = false, true
	w.run(time.Second)
	id := w.submit(newJob(1, oneAccelerator, 2)).ID
	w.run(time.Second)
	w.servers["s00"].failsAll = false
	w.run(avoidDuration + 3*time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
}
