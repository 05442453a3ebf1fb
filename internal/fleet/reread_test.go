package fleet

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// readAgain has a node read the newest record of each key, as after the store has dropped records that it had not
// read yet.
func (w *world) readAgain(n *node) {
	generation := n.generation
	for _, p := range n.partitions {
		n.nextOffsets[p] = w.store.end(p)
		w.deliver(n, RecordsRead{Generation: generation, Partition: p, Records: w.store.newest(p), Initial: true, Synced: true, Next: n.nextOffsets[p], AsOf: w.now})
	}
}

// taskOf returns a node's state of the only task of a job.
func taskOf(t *testing.T, n *node, name string) *job.Task {
	t.Helper()
	g, index, err := n.state.groupOf(name)
	assert.NilError(t, err)
	assert.Assert(t, g != nil)
	return &g.Tasks[index]
}

// The store dropped records that the holder had not read back. It read the newest of each key again while its own
// newest ones were not stored yet, took the previous holder's for the state, and a task that was done ran again.
func TestHolderThatReadsAllRecordsAgainKeepsItsDecisions(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	name, _ := runningTask(t, w, 4, 500*time.Millisecond)
	w.holder().dead = true
	runUntil(w, "a successor", func() bool { return w.holder() != nil })
	w.run(time.Second)
	w.progressUnstored = true
	runUntil(w, "the end", func() bool { return taskOf(t, w.holder(), name).Phase == job.Done })
	w.readAgain(w.holder())
	assert.Equal(t, taskOf(t, w.holder(), name).Phase, job.Done)
	w.progressUnstored = false
	w.run(10 * time.Second)
	assert.Equal(t, w.oracle.startsOf[name], 1, "%s was started again after it was done", name)
}

// A VM was cut off from the store until a job was done and dropped, and the store no longer kept the records of that.
// The VM read the newest records again, kept the job as it had known it, took the term, and ran the job again.
func TestVMThatMissedTheEndOfADroppedJobDoesNotRunItAgain(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	for _, n := range w.nodes {
		n.state.bounds.FinalStateRetention = time.Second
	}
	name, _ := runningTask(t, w, 4, 500*time.Millisecond)
	var away *node
	for _, n := range w.nodes {
		if n != w.holder() {
			away = n
		}
	}
	w.cutLinks[link(away.name, "store")] = true
	w.run(dropDelay + dropInterval + 15*time.Second)
	assert.Assert(t, !slices.ContainsFunc(w.store.newest(progressPartition), func(r StoredRecord) bool { return strings.HasPrefix(r.Key, "tasks/") }), "the job is not dropped")
	delete(w.cutLinks, link(away.name, "store"))
	w.readAgain(away)
	for _, n := range w.nodes {
		n.dead = n != away
	}
	w.run(15 * time.Second)
	assert.Assert(t, away.state.HoldsTerm())
	assert.Equal(t, w.oracle.startsOf[name], 1, "%s was started again after it was done", name)
}

// A holder that read of a newer claim counted as having read all records, without those of the progress partition.
func TestDeposedHolderReadsTheProgressAgain(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	_, _ = runningTask(t, w, 60, 500*time.Millisecond)
	deposed := w.holder()
	s := deposed.state
	value := []byte(`{"node":"vm9","incarnation":"vm9"}`)
	w.deliver(deposed, RecordsRead{
		Generation: deposed.generation, Partition: progressPartition, Synced: true, Next: s.nextOf[progressPartition] + 1, AsOf: w.now,
		Records: []StoredRecord{{Record: job.Record{Key: claimKey, Value: value}, Offset: s.nextOf[progressPartition]}},
	})
	assert.Assert(t, !s.HoldsTerm())
	assert.Assert(t, s.unsynced[progressPartition], "the progress counts as read")
}

// The store refused to delete the submission of a job that was to be dropped, and its progress was deleted. A VM that
// started later read a job that had not begun, and ran it again.
func TestJobWhoseSubmissionCannotBeDroppedIsNotRunAgain(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	w.holder().state.bounds.FinalStateRetention = time.Second
	name, _ := runningTask(t, w, 4, 500*time.Millisecond)
	w.jobsUnstored = true
	w.run(dropDelay + dropInterval + 15*time.Second)
	w.jobsUnstored = false
	old := w.holder()
	old.dead = true
	w.addNode()
	w.run(15 * time.Second)
	assert.Assert(t, w.holder() != nil && w.holder() != old)
	assert.Equal(t, w.oracle.startsOf[name], 1, "%s was started again after it was done", name)
	w.holder().state.bounds.FinalStateRetention = time.Second
	w.run(dropDelay + 2*dropInterval)
	for _, p := range Partitions() {
		for _, r := range w.store.newest(p) {
			assert.Assert(t, !strings.Contains(r.Key, "/0"), "%s is not dropped", r.Key) // IDs of jobs begin with 0
		}
	}
}

// The same with a gang of which the previous holder had started one member only. The holder ordered the start of the
// other one, of the earlier run, while the members of the next run were started.
func TestHolderThatReadsAllRecordsAgainStartsNoEarlierRunOfAGang(t *testing.T) {
	w := newWorldWithHolder(t, 3, 4)
	w.servers["s02"].unlisted, w.servers["s03"].unlisted = true, true
	w.run(20 * time.Second)
	gang := gangOfTwo(w)
	s := w.holder().state
	second := w.servers["s01"]
	runUntil(w, "the placement", func() bool { return len(s.servers[second.id].runs) == 1 })
	cutOff(w, second) // placed, and not ordered yet
	runUntil(w, "a member", func() bool { return len(w.servers["s00"].runs) == 1 })
	w.holder().dead = true
	runUntil(w, "a successor", func() bool { return w.holder() != nil })
	s = w.holder().state
	w.servers["s02"].unlisted, w.servers["s03"].unlisted = false, false
	g := s.jobs.Job(gang.Job).Group(0, 0)
	w.run(time.Second)
	assert.Equal(t, g.Tasks[0].Run, int64(1))
	w.progressUnstored = true
	runUntil(w, "the next run", func() bool { return g.Tasks[0].Run == 2 && g.Tasks[1].Run == 2 })
	for _, n := range w.nodes {
		delete(w.cutLinks, link(n.name, string(second.id)))
	}
	runUntil(w, "a report", func() bool { return s.servers[second.id].hasReported })
	w.readAgain(w.holder())
	w.run(50 * time.Millisecond)
	w.progressUnstored = false
	w.run(idleHoldInterval + time.Second)
	assert.Equal(t, len(w.oracle.running[gang.TaskName(0)]), 1)
	assert.Equal(t, len(w.oracle.running[gang.TaskName(1)]), 1)
	for _, o := range w.startOrders[2:] {
		assert.Equal(t, o.Run, int64(2), "the start of %s was ordered", o.Task)
	}
}

// Pages of the newest records are no snapshot. A VM that read its claim on a later page than an older record of a
// placement took the term on the older one.
func TestClaimOnALaterPageTakesNoTerm(t *testing.T) {
	w := newWorldWithHolder(t, 2, 2)
	_, _ = runningTask(t, w, 60, 500*time.Millisecond)
	old := w.holder()
	old.dead = true
	var n *node
	for _, other := range w.nodes {
		if other != old {
			n = other
		}
	}
	isClaim := func(r StoredRecord) bool { return r.Key == claimKey && r.Offset > n.state.claim.Offset }
	runUntil(w, "a claim", func() bool { return slices.ContainsFunc(w.store.newest(progressPartition), isClaim) })
	assert.Assert(t, n.state.term.claiming && !n.state.HoldsTerm())
	records := w.store.newest(progressPartition)
	claimed := records[slices.IndexFunc(records, isClaim)]
	w.deliver(n, RecordsRead{Generation: n.generation, Partition: progressPartition, Records: []StoredRecord{claimed}, Initial: true, Next: claimed.Offset - 1, AsOf: w.now})
	assert.Assert(t, !n.state.HoldsTerm(), "the term is taken before all records are read")
	w.run(5 * time.Second)
	assert.Assert(t, n.state.HoldsTerm())
}

// A VM that had just read the newest records had to read those of a partition again, as the store had dropped the next
// ones. It kept a job whose records were deleted in between, took the term, and ran the job again.
func TestVMThatReadsAPartitionTwiceForgetsTheFirstRead(t *testing.T) {
	w := newWorldWithHolder(t, 2, 2)
	for _, n := range w.nodes {
		n.state.bounds.FinalStateRetention = time.Second
	}
	name, _ := runningTask(t, w, 4, 500*time.Millisecond)
	key, _, err := job.ParseTaskName(name)
	assert.NilError(t, err)
	p := SubmissionPartition(key.Job)
	first, next := w.store.newest(p), w.store.end(p)
	away := w.nodes[0]
	if away == w.holder() {
		away = w.nodes[1]
	}
	w.cutLinks[link(away.name, "store")] = true
	w.readAgain(away) // the first read of all partitions, which does not go on
	w.deliver(away, RecordsRead{Generation: away.generation, Partition: p, Records: first, Initial: true, Next: next, AsOf: w.now})
	w.run(dropDelay + dropInterval + 15*time.Second)
	delete(w.cutLinks, link(away.name, "store"))
	w.run(time.Second)
	assert.Assert(t, away.state.synced())
	assert.Assert(t, away.state.jobs.Job(key.Job) == nil, "the VM still knows the job")
}
