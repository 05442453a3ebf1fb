package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// entryDelay is how long after its start a backend server writes its entry at most, a heartbeat's interval.
const entryDelay = 1500 * time.Millisecond

// Guards against a task on a backend server without the label that its step requires (ROUTE): the server has started
// again as one of another kind, and its entry is still that of the incarnation before.
func TestRestartedServerGetsNoTaskByItsOldEntry(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(t, seed, 2, 3)
		rare := w.servers["s00"]
		rare.label = "rare"
		w.run(5 * time.Second)
		j := newJob(1, oneAccelerator, 20)
		j.Steps[0].Label = "rare"
		id := w.submit(j).ID
		w.run(3 * time.Second)
		assert.Equal(t, w.oracle.starts, 1)
		rare.crashWithOldEntry(w, entryDelay)
		rare.label = ""
		w.run(10 * time.Second)
		assert.Equal(t, w.oracle.starts, 1, "seed %d: the task was started on a server without the label", seed)
		whole := w.submit(newJob(3, wholeServer, 1)).ID
		w.run(5 * time.Second)
		assert.Equal(t, w.status(whole), job.StatusDone, "the server is used for what needs no label")
		rare.label = "rare"
		w.run(30 * time.Second)
		assert.Equal(t, w.status(id), job.StatusDone)
	}
}

// Guards against the same with a capacity that is smaller than before, on backend servers that do not guard theirs (LIMIT).
func TestRestartedServerIsNotFilledByItsOldEntry(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(t, seed, 2, 2)
		w.unguarded = true
		config := testConfig(64)
		config.Version = 2
		config.Services[service] = Service{Name: service}
		for _, n := range w.nodes {
			w.deliver(n, ConfigChanged{Config: config})
		}
		w.run(5 * time.Second)
		w.submit(newJob(16, oneAccelerator, 20))
		w.run(3 * time.Second)
		s := w.servers["s00"]
		s.crashWithOldEntry(w, entryDelay)
		s.capacity = halfCapacity // the oracle fails the test if more is started
		w.run(30 * time.Second)
	}
}
