package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// side is a part of a world: VMs, backend servers and perhaps the store.
type side map[string]bool

// sideOf returns the part with the holder, further VMs and backend servers, without the store.
func (w *world) sideOf(holder *node, vms, servers int) side {
	in := side{holder.name: true}
	for _, n := range w.nodes {
		if n != holder && vms > 0 {
			in[n.name] = true
			vms--
		}
	}
	for _, id := range eventloop.SortedKeys(w.servers)[:servers] {
		in[string(id)] = true
	}
	return in
}

// cutOff cuts all links between a side and the rest, and returns a function that heals them.
func (w *world) cutOff(in side) (heal func()) {
	all := []string{"store"}
	for _, n := range w.nodes {
		all = append(all, n.name)
	}
	for id := range w.servers {
		all = append(all, string(id))
	}
	var cut [][2]string
	for _, a := range all {
		for _, b := range all {
			if in[a] && !in[b] {
				cut = append(cut, link(a, b))
				w.cutLinks[link(a, b)] = true
			}
		}
	}
	return func() {
		for _, l := range cut {
			delete(w.cutLinks, l)
		}
	}
}

// A holder that was cut off with another VM went on extending the leases on its side, since a peer answered;
// its successor started the same tasks on the other side (issue 34, TWICE). The oracle checks that no task
// runs twice.
func TestHolderCutOffWithItsZoneLetsLeasesEnd(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		w := newWorld(t, seed, 4, 4)
		w.run(3 * time.Second)
		w.submit(newJob(16, oneAccelerator, 20))
		w.run(2 * time.Second)
		heal := w.cutOff(w.sideOf(w.holder(), 1, 2))
		w.run(25 * time.Second)
		heal()
		w.run(40 * time.Second)
		w.oracle.checkAllEnded()
	}
}

// The store does not serve the holder's side, and the successor's side does not reach some of the backend
// servers: all VMs but one still reach the holder.
func TestHolderWithoutTheStoreIsNotConfirmedByAllPeers(t *testing.T) {
	w := newWorldWithHolder(t, 4, 4)
	id := w.submit(newJob(8, oneAccelerator, 20)).ID
	w.run(2 * time.Second)
	old := w.holder()
	w.cutLinks[link(old.name, "store")] = true
	for _, n := range w.nodes {
		if n != old {
			w.cutLinks[link(n.name, "s00")] = true
			w.cutLinks[link(n.name, "s01")] = true
		}
	}
	w.cutLinks[link(old.name, w.nodes[(indexOf(w, old)+1)%4].name)] = true
	w.run(25 * time.Second)
	clear(w.cutLinks)
	w.run(40 * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
}

func indexOf(w *world, n *node) int {
	for i, other := range w.nodes {
		if other == n {
			return i
		}
	}
	return -1
}

// A paused holder counted the store as heard from at its thaw, and extended leases for as long as before a
// loss. Answers that waited for it in its socket say nothing of the present either.
func TestThawedHolderDoesNotExtendLeases(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	w.submit(newJob(2, oneAccelerator, 60))
	w.run(2 * time.Second)
	old := w.holder()
	w.cutOff(side{old.name: true, "s00": true})
	old.frozen = true
	w.run(4 * time.Second)
	assert.Assert(t, w.holder() != nil && w.holder() != old)
	deadline := w.servers["s00"].deadline
	w.unfreeze(old)
	w.run(3 * time.Second)
	assert.Equal(t, w.servers["s00"].deadline, deadline)
}

// While the store is away for all VMs, nobody can claim the term: work goes on, also beside a VM that had
// been removed before.
func TestLeasesAreExtendedWhileTheStoreIsAway(t *testing.T) {
	w := newWorldWithHolder(t, 4, 4)
	id := w.submit(newJob(8, oneAccelerator, 40)).ID
	for _, n := range w.nodes {
		if n != w.holder() {
			n.dead = true
			break
		}
	}
	w.run(15 * time.Second)
	starts := w.oracle.starts
	w.store.down = true
	w.run(20 * time.Second)
	w.store.down = false
	w.run(15 * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
	assert.Equal(t, w.oracle.starts, starts)
}

// The same in a large fleet, whose holder asks its standbys only.
func TestLeasesAreExtendedWhileTheStoreIsAwayInALargeFleet(t *testing.T) {
	w := newWorld(t, 1, 0, 8)
	for i := range 12 {
		w.addNodeIn([]string{"a", "b", "c"}[i%3], 0)
	}
	w.run(6 * time.Second)
	assert.Assert(t, w.holder() != nil)
	id := w.submit(newJob(8, oneAccelerator, 40)).ID
	w.run(5 * time.Second)
	starts := w.oracle.starts
	w.store.down = true
	w.run(20 * time.Second)
	w.store.down = false
	w.run(20 * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
	assert.Equal(t, w.oracle.starts, starts)
}

// A successor that read a job only after it had taken the term did not allow for the time that its
// predecessor may act on, and started the job's task while the predecessor's lease still lasted.
func TestJobReadAfterTheTermWaitsForOldLeases(t *testing.T) {
	for phase := range 20 {
		w := newWorldWithHolder(t, 3, 2)
		old := w.holder()
		for _, n := range w.nodes {
			n.state.bounds.LeaseMax = 6 * time.Second // shorter than leaseDuration
			w.withoutSubmissions[n.name] = n != old
		}
		w.servers["s01"].draining = true
		w.run(time.Second)
		id := w.submit(newJob(1, oneAccelerator, 20)).ID
		w.run(2*time.Second + time.Duration(phase)*50*time.Millisecond)
		assert.Equal(t, w.oracle.starts, 1)
		heal := w.cutOff(side{old.name: true, "s00": true})
		w.servers["s00"].unlisted = true
		w.servers["s01"].draining = false
		for w.otherHolder(old) == nil {
			w.run(10 * time.Millisecond)
		}
		clear(w.withoutSubmissions)
		w.poll(w.otherHolder(old))
		w.run(15 * time.Second)
		assert.Equal(t, w.oracle.starts, 2)
		heal()
		w.servers["s00"].unlisted = false
		w.run(30 * time.Second)
		assert.Equal(t, w.status(id), job.StatusDone)
	}
}

// otherHolder returns a VM other than n that holds the term; nil if there is none.
func (w *world) otherHolder(n *node) *node {
	for _, other := range w.nodes {
		if other != n && !other.dead && other.state.HoldsTerm() {
			return other
		}
	}
	return nil
}

// A new holder that could not extend leases yet took those of its predecessor for ended as soon as a backend
// server that had reported once was silent.
func TestLeasesOfThePredecessorOutlastTheFirstReport(t *testing.T) {
	w := newWorldWithHolder(t, 2, 2)
	w.submit(newJob(1, oneAccelerator, 20))
	w.servers["s01"].draining = true
	w.run(2 * time.Second)
	w.servers["s01"].draining = false
	old := w.holder()
	cut := func(is bool) {
		for _, n := range w.nodes {
			w.cutLinks[link(n.name, "s00")] = is
		}
	}
	old.dead = true
	cut(true)
	for w.otherHolder(old) == nil {
		w.run(time.Millisecond)
	}
	w.store.down = true
	w.run(2 * time.Second)
	cut(false)
	for reports := w.servers["s00"].answeredHolds; w.servers["s00"].answeredHolds == reports; {
		w.run(time.Millisecond)
	}
	w.run(2 * linkDelay)
	cut(true)
	w.run(200 * time.Millisecond)
	w.store.down = false
	w.run(2 * time.Second)
	assert.Equal(t, len(w.servers["s00"].runs), 1)
	assert.Equal(t, w.oracle.starts, 1)
}

// The same in a large fleet, whose holder asks one VM of each availability zone (issue 34, TWICE on
// swanbank-ribs-grown): the one of its own zone answers from behind the cut.
func TestZoneOfALargeFleetCutOffLetsLeasesEnd(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		w := newWorld(t, seed, 0, 6)
		for i := range 12 {
			w.addNodeIn([]string{"a", "b", "c"}[i%3], 0)
		}
		w.run(6 * time.Second)
		old := w.holder()
		assert.Assert(t, old != nil)
		w.submit(newJob(16, oneAccelerator, 20))
		w.run(2 * time.Second)
		in := side{"s00": true, "s01": true}
		for _, n := range w.nodes {
			in[n.name] = in[n.name] || n.state.self.AZ == old.state.self.AZ
		}
		heal := w.cutOff(in)
		w.run(25 * time.Second)
		heal()
		w.run(40 * time.Second)
		w.oracle.checkAllEnded()
	}
}
