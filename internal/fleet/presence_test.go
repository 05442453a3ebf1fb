package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// partVMs cuts the links between the VMs of a side and the others. All still reach the store and the backend
// servers.
func (w *world) partVMs(in side) {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if in[a.name] && !in[b.name] {
				w.cutLinks[link(a.name, b.name)] = true
			}
		}
	}
}

// holderChanges advances the time and counts how often another VM holds the term.
func (w *world) holderChanges(d time.Duration) int {
	last, changes := w.holder(), 0
	for end := w.now.Add(d); w.now.Before(end); w.run(10 * time.Millisecond) {
		if h := w.holder(); h != nil && h != last {
			last, changes = h, changes+1
		}
	}
	return changes
}

// VMs that do not hear each other took the term from each other every 0.95 s (issue 43), since a holder without
// work to record was silent in the log.
func TestHolderThatIsAtWorkIsNotReplacedByVMsThatDoNotHearIt(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		w := newWorld(t, seed, 4, 4)
		w.run(3 * time.Second)
		id := w.submit(newJob(8, oneAccelerator, 20)).ID
		w.run(time.Second)
		w.partVMs(w.sideOf(w.holder(), 1, 0))
		assert.Equal(t, w.holderChanges(22*time.Second), 0)
		assert.Equal(t, w.oracle.starts, 8)
		clear(w.cutLinks)
		w.run(time.Second)
		assert.Equal(t, w.status(id), job.StatusDone)
	}
}

// The same if only the holder's heartbeats are lost.
func TestHolderWhoseHeartbeatsAreLostIsNotReplacedWhileItIsAtWork(t *testing.T) {
	w := newWorldWithHolder(t, 3, 4)
	w.submit(newJob(8, oneAccelerator, 60))
	w.run(time.Second)
	w.heartbeatsLost = map[string]bool{w.holder().name: true}
	assert.Equal(t, w.holderChanges(20*time.Second), 0)
}

// The same in a large fleet, where a zone's VMs hear nothing of the others: its standbys read the records.
func TestHolderOfALargeFleetIsNotReplacedByAZoneThatDoesNotHearIt(t *testing.T) {
	w := newWorld(t, 1, 0, 8)
	for i := range 12 {
		w.addNodeIn([]string{"a", "b", "c"}[i%3], 0)
	}
	w.run(6 * time.Second)
	assert.Assert(t, w.holder() != nil)
	w.submit(newJob(8, oneAccelerator, 60))
	w.run(time.Second)
	in := make(side)
	for _, n := range w.nodes {
		in[n.name] = n.state.self.AZ == w.holder().state.self.AZ
	}
	w.partVMs(in)
	assert.Equal(t, w.holderChanges(25*time.Second), 0)
}

// A holder that VMs do not hear is replaced within the goal of 2 s for a take-over when it has failed.
func TestFailedHolderIsReplacedByVMsThatDidNotHearIt(t *testing.T) {
	for _, failure := range []string{"killed", "frozen", "without the store"} {
		t.Run(failure, func(t *testing.T) {
			for phase := range 10 {
				w := newWorldWithHolder(t, 4, 4)
				w.submit(newJob(8, oneAccelerator, 60))
				w.run(time.Second)
				old := w.holder()
				w.partVMs(side{old.name: true})
				w.run(5*time.Second + time.Duration(phase)*50*time.Millisecond)
				assert.Equal(t, w.holder(), old)
				switch failure {
				case "killed":
					old.dead = true
				case "frozen":
					old.frozen = true
				default:
					w.cutLinks[link(old.name, "store")] = true
				}
				took := time.Duration(0)
				for w.otherHolder(old) == nil && took < 10*time.Second {
					w.run(10 * time.Millisecond)
					took += 10 * time.Millisecond
				}
				assert.Assert(t, took <= 2*time.Second, "the term was taken after %v", took)
			}
		})
	}
}

// Each side of a partition reaches its own backend servers only: the sides take turns, so that runs on both go
// on. When the holder kept the term, those on the other side were lost.
func TestSidesOfAPartitionKeepTheirRuns(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		w := newWorld(t, seed, 4, 4)
		w.run(3 * time.Second)
		id := w.submit(newJob(32, oneAccelerator, 20)).ID
		w.run(2 * time.Second)
		heal := w.cutOff(w.sideOf(w.holder(), 1, 2))
		for _, n := range w.nodes {
			delete(w.cutLinks, link(n.name, "store"))
		}
		w.run(15 * time.Second)
		heal()
		w.run(10 * time.Second)
		assert.Equal(t, w.status(id), job.StatusDone)
		assert.Equal(t, w.oracle.starts, 32, "runs were lost")
	}
}

// A holder stores no records for VMs that hear it.
func TestHolderThatIsHeardStoresNoRecordsOfItsPresence(t *testing.T) {
	w := newWorldWithHolder(t, 4, 4)
	before := w.store.end(progressPartition)
	w.run(20 * time.Second)
	assert.Equal(t, w.store.end(progressPartition), before)
}
