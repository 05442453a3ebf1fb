package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

var halfCapacity = job.Resources{MilliCPU: 16000, MemoryMB: 32000, Accelerators: 4}

// newUnguardedWorld returns a world whose backend servers start whatever they are told to.
func newUnguardedWorld(t *testing.T, vms, servers int) *world {
	w := newWorldWithHolder(t, vms, servers)
	w.unguarded = true
	return w
}

// A backend server's capacity shrinks under the tasks that run there, and grows again. They run on,
// and no start brings it over what is left, also by another holder.
func TestNothingIsStartedOverAShrunkCapacity(t *testing.T) {
	for _, killHolder := range []bool{false, true} {
		w := newUnguardedWorld(t, 2, 1)
		server := w.servers["s00"]
		w.submit(newJob(8, oneAccelerator, 7))
		w.run(time.Second)
		for range 40 {
			w.submit(newJob(1, oneAccelerator, 2))
		}
		assert.Equal(t, len(server.runs), 8)
		server.setCapacity(w, halfCapacity)
		if killHolder {
			w.holder().dead = true
			w.addNode()
		}
		w.run(4 * time.Second)
		assert.Equal(t, len(server.runs), 8, "running tasks were stopped")
		w.run(6 * time.Second)
		assert.Assert(t, server.used().FitsIn(halfCapacity))
		server.setCapacity(w, fakeCapacity)
		most := 0
		for range 25 {
			w.run(100 * time.Millisecond)
			most = max(most, len(server.runs))
		}
		assert.Equal(t, most, 8, "the capacity has grown again")
	}
}

// A capacity may shrink while a start waits for its placement to be stored, or for an answer to
// an earlier order.
func TestStartThatWaitedIsNotSentOverAShrunkCapacity(t *testing.T) {
	w := newUnguardedWorld(t, 2, 2)
	w.submit(newJob(2, job.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 4}, 30))
	w.run(time.Second)
	w.progressUnstored = true
	id := w.submit(newJob(8, oneAccelerator, 2)).ID
	w.run(200 * time.Millisecond)
	for _, s := range w.servers {
		s.setCapacity(w, halfCapacity)
	}
	w.run(6 * time.Second)
	w.progressUnstored = false
	w.run(2 * time.Second)
	for _, s := range w.servers {
		assert.Assert(t, s.used().FitsIn(fakeCapacity))
		s.setCapacity(w, fakeCapacity)
	}
	w.run(6 * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
}

// A start without an answer is not repeated to a backend server that would not hold it any more.
func TestUnansweredStartIsNotRepeatedOverAShrunkCapacity(t *testing.T) {
	w := newUnguardedWorld(t, 1, 1)
	w.submit(newJob(4, oneAccelerator, 30))
	w.run(time.Second)
	w.cutLinks[link(w.holder().name, "s00")] = true
	first := w.now
	w.submit(newJob(1, job.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 4}, 2))
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.ordersTo("s00", first)), 1)
	w.servers["s00"].setCapacity(w, halfCapacity)
	w.servers["s00"].largerUntil = w.now
	w.run(600 * time.Millisecond)
	clear(w.cutLinks)
	w.run(4 * time.Second)
	assert.Equal(t, len(w.ordersTo("s00", first)), 1, "the start was repeated")
}

// A job that fits a backend server as it usually is, is accepted while all capacities have shrunk.
func TestJobThatFitsTheUsualCapacityIsAccepted(t *testing.T) {
	w := newWorldWithHolder(t, 2, 1)
	w.servers["s00"].setCapacity(w, halfCapacity)
	w.run(5 * time.Second)
	for _, n := range w.nodes {
		fits := n.state.CouldFit(service, &job.Step{Count: 1, Need: wholeServer})
		assert.Assert(t, fits, "%s refuses a job that fits once the capacity grows again", n.name)
	}
}
