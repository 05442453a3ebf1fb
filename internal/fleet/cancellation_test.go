package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// lateWrite is how late the store carries out an append without an answer.
const lateWrite = 6 * time.Second

// submitLate has a VM send a submission that the store carries out after lateWrite, without an answer. It does so also
// if the VM is gone by then.
func (w *world) submitLate(n *node, j job.Job) *job.Job {
	w.seq++
	j.ID = model.JobID(fmt.Sprintf("%016x", w.seq))
	j.Queue, j.Service, j.Organisation, j.Accepted, j.Attempts, j.Stretch = testQueue, service, "o", w.now, 3, 3
	w.oracle.jobs[j.ID] = &j
	w.at(lateWrite, func() { w.storeSubmission(&j) })
	w.at(callTimeout, func() { w.deliver(n, SubmissionUnanswered{Job: j.ID}) })
	return &j
}

func (w *world) storeSubmission(j *job.Job) {
	r, err := job.SubmissionRecord(j)
	if err != nil {
		w.t.Fatalf("submission: %v", err)
	}
	w.store.append(w, AppendRequest{Partition: SubmissionPartition(j.ID), Records: []job.Record{r}, At: -1})
}

// cancelAt does what a VM does for a call that cancels a job, and reports whether the VM may acknowledge it.
func (w *world) cancelAt(n *node, id model.JobID) bool {
	switch n.state.Cancellation(id) {
	case CancellationHolds:
		return true
	case CancellationDue:
		w.store.append(w, AppendRequest{Partition: SubmissionPartition(id), Records: []job.Record{job.CancellationRecord(id)}, At: -1})
		return true
	default:
		return false
	}
}

func newCancellationWorld(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed, 3, 2)
	w.run(5 * time.Second)
	return w
}

// Guards against a cancelled job that runs since its submission is carried out after the cancellation (UNASKED), in
// whatever order the VMs involved come and go.
func TestLateSubmissionOfACancelledJobNeverRuns(t *testing.T) {
	cancel := func(node int) func(*world, *job.Job) {
		return func(w *world, j *job.Job) {
			assert.Assert(w.t.(*testing.T), w.cancelAt(w.nodes[node], j.ID), "the cancellation is not acknowledged")
		}
	}
	kill := func(w *world, _ *job.Job) { w.nodes[0].dead = true }
	takeOver := func(w *world, _ *job.Job) {
		w.holder().dead = true
		w.run(2500 * time.Millisecond)
		assert.Assert(w.t.(*testing.T), w.holder() != nil)
	}
	restartAll := func(w *world, _ *job.Job) {
		for _, n := range w.nodes {
			n.dead = true
		}
		w.run(500 * time.Millisecond)
		for _, n := range w.nodes {
			w.restart(n)
		}
		w.run(2 * time.Second)
	}
	unanswered := func(w *world, j *job.Job) { // the append of the cancellation has no answer, and is carried out late too
		w.at(lateWrite, func() {
			w.store.append(w, AppendRequest{Partition: SubmissionPartition(j.ID), Records: []job.Record{job.CancellationRecord(j.ID)}, At: -1})
		})
	}
	again := func(w *world, j *job.Job) { w.storeSubmission(j) }
	for name, events := range map[string][]func(*world, *job.Job){
		"at another VM":                        {cancel(1)},
		"at the same VM":                       {cancel(0)},
		"after the writing VM was killed":      {kill, cancel(1)},
		"before the writing VM is killed":      {cancel(0), kill},
		"twice":                                {cancel(1), cancel(2)},
		"its own append is late":               {unanswered, cancel(2)},
		"a take-over in between":               {cancel(1), takeOver},
		"a restart of all VMs in between":      {cancel(1), restartAll},
		"a take-over and a restart in between": {cancel(2), takeOver, restartAll},
		"handed in again":                      {cancel(1), again},
		"handed in again after a restart":      {cancel(1), restartAll, again},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newCancellationWorld(t, seed)
				j := w.submitLate(w.nodes[0], job.Job{Steps: []job.Step{{Count: 2, EstimatedRuntime: time.Second, Need: job.Resources{Accelerators: 1}}}})
				for _, event := range events {
					w.run(time.Second)
					event(w, j)
				}
				w.run(lateWrite + 10*time.Second)
				assert.Equal(t, w.oracle.starts, 0, "seed %d: a task of the cancelled job was started", seed)
				assert.Equal(t, w.status(j.ID), job.StatusCancelled, "seed %d", seed)
			}
		})
	}
}

// Guards against "no such job" at one VM while another one, which may be gone by then, has sent a submission that the
// store has not answered; in a large fleet also one that follows no jobs.
func TestVMsTellEachOtherOfSubmissionsInDoubt(t *testing.T) {
	for _, vms := range []int{3, 12} {
		for _, kill := range []bool{false, true} {
			w := newWorld(t, 1, vms, 2)
			w.run(15 * time.Second)
			writer := w.nodes[0]
			for _, n := range w.nodes {
				if !n.state.HoldsTerm() && n.state.IsReplica() == (vms == 3) {
					writer = n
				}
			}
			j := w.submitLate(writer, job.Job{Steps: []job.Step{{Count: 1, EstimatedRuntime: time.Second}}})
			w.run(callTimeout + tickInterval + linkDelay)
			writer.dead = kill
			checked := 0
			for range 10 {
				for _, n := range w.nodes {
					if _, known := n.state.JobStatus(j.ID); !known && !n.dead && n.state.IsReplica() {
						assert.Assert(t, n.state.SubmissionInDoubt(j.ID), "%s of %d, writer killed: %v", n.name, vms, kill)
						assert.Assert(t, !n.state.SubmissionInDoubt("another"))
						checked++
					}
				}
				w.run(500 * time.Millisecond)
			}
			assert.Assert(t, checked >= 20)
			w.run(StoreDoubt + time.Second)
			for _, n := range w.nodes {
				assert.Assert(t, n.dead || !n.state.SubmissionInDoubt(j.ID), "the doubt does not end")
			}
		}
	}
}

// The doubts of many jobs are told as a doubt about any, in a message of bounded size.
func TestManyDoubtsAreToldAsOne(t *testing.T) {
	now := time.Unix(1000, 0)
	var own, heard doubtTable
	for i := range maxDoubtsSent + 1 {
		own.add(model.JobID(fmt.Sprint(i)), now.Add(time.Second))
	}
	m := doubtsMessage(now, &own)
	assert.Equal(t, len(m.Jobs), 0)
	heard.merge(m, now)
	assert.Assert(t, heard.contains("any", now) && !heard.contains("any", now.Add(2*time.Second)))
	heard.merge(&Doubts{ForMs: 1 << 60}, now)
	assert.Assert(t, !heard.contains("any", now.Add(StoreDoubt)), "an odd message has effect for too long")
	own.expire(now.Add(time.Second))
	assert.Assert(t, doubtsMessage(now.Add(time.Second), &own) == nil)
}

// Cancellations of jobs that never were are kept as long as the state of a job, and not without bound.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	w := newCancellationWorld(t, 1)
	for _, n := range w.nodes {
		n.state.bounds.FinalStateRetention = time.Minute
	}
	partitions := func() (stored int) {
		for _, p := range Partitions() {
			stored += len(w.store.newest(p))
		}
		return stored
	}
	before := partitions()
	w.run(time.Second)
	for i := range 50 {
		assert.Assert(t, w.cancelAt(w.nodes[i%3], model.JobID(fmt.Sprintf("%016x", 1<<40+i))))
	}
	w.run(time.Minute)
	assert.Assert(t, partitions() >= before+50, "the cancellations are forgotten too early")
	w.run(dropDelay + 2*dropInterval)
	assert.Equal(t, partitions(), before)
	for _, n := range w.nodes {
		assert.Equal(t, n.state.jobs.EarlyCancels(), 0)
	}

	state := w.holder().state
	for i := range maxEarlyCancels {
		state.jobs.Cancel(model.JobID(fmt.Sprintf("%016x", 1<<40+i)), w.now)
	}
	assert.Equal(t, state.Cancellation("ffffffffffffffff"), CancellationRefused)
	w.run(StoreDoubt + dropInterval + 10*dropInterval)
	assert.Assert(t, state.jobs.EarlyCancels() <= maxEarlyCancels/2, "%d", state.jobs.EarlyCancels())
	assert.Equal(t, state.Cancellation("ffffffffffffffff"), CancellationDue)
}

// Guards against a cancelled job that runs after a restart: its submission is stored right before the holder, which has
// not read it, deletes the cancellation as that of a job that never was.
func TestCancellationIsNotDeletedBehindASubmission(t *testing.T) {
	w := newCancellationWorld(t, 1)
	for _, n := range w.nodes {
		n.state.bounds.FinalStateRetention = time.Minute
	}
	j := &job.Job{ID: "00000000000000aa", Queue: testQueue, Service: service, Organisation: "o", Attempts: 3, Steps: []job.Step{{Count: 1, EstimatedRuntime: time.Second}}}
	w.oracle.jobs[j.ID] = j
	assert.Assert(t, w.cancelAt(w.nodes[0], j.ID))
	w.run(time.Minute + dropDelay - time.Second)
	w.withoutSubmissions[w.holder().name] = true
	w.storeSubmission(j)
	w.run(2 * dropInterval)
	for _, n := range w.nodes {
		n.dead = true
	}
	w.run(time.Second)
	clear(w.withoutSubmissions)
	for _, n := range w.nodes {
		w.restart(n)
	}
	w.run(10 * time.Second)
	assert.Equal(t, w.oracle.starts, 0)
	assert.Equal(t, w.status(j.ID), job.StatusCancelled)
}
