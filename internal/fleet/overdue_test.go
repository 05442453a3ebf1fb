package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

// overdueJob is a job that was due the given number of times, once a minute until now.
func overdueJob(w *world, times int, steps ...job.Step) job.Job {
	return job.Job{Occurrences: times, FirstDue: w.now.Add(-time.Duration(times) * time.Minute), Interval: time.Minute, Steps: steps}
}

// overdueStep is a step of one task that takes a whole backend server for 11 s.
var overdueStep = job.Step{Count: 1, Need: wholeServer, EstimatedRuntime: 11 * time.Second}

// BenchmarkOverdueRound measures a round with jobs of which many occurrences are overdue, in time and memory.
func BenchmarkOverdueRound(b *testing.B) {
	for _, c := range []struct{ jobs, times int }{{1, 10}, {1, 1000}, {1, 100000}, {1, 1000000}, {50, 1000}, {1000, 1000000}} {
		b.Run(fmt.Sprintf("jobs=%d/times=%d", c.jobs, c.times), func(b *testing.B) {
			w := newWorld(b, 1, 1, 16)
			w.run(2 * time.Second)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for range c.jobs {
				w.submit(overdueJob(w, c.times, overdueStep))
			}
			w.run(100 * time.Millisecond)
			s := w.holder().state
			for b.Loop() {
				sched.Decide(s.snapshot())
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/(1<<20), "heap-MB")
			b.ReportMetric(float64(len(s.snapshot().Pending)), "pending")
		})
	}
}

// Guards against one job with very many overdue occurrences that keeps all others from running (LOST), as in
// review/8: each round weighed all of its occurrences, and all of them went before what others had waiting.
func TestOverdueOccurrencesLeaveOthersTheirTurn(t *testing.T) {
	for name, jobs := range map[string]int{"one job": 1, "many jobs": 100} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 3, 16)
			w.run(3 * time.Second)
			for range jobs {
				w.submit(overdueJob(w, 525600, overdueStep))
			}
			w.run(30 * time.Second)
			s := w.holder().state
			groups := 0
			s.jobs.ForEach(func(st *job.State) { st.ForEachGroup(func(*job.Group) { groups++ }) })
			most := roundOccurrenceTasks + jobs + 16
			assert.Assert(t, len(s.snapshot().Pending) <= most && groups <= 2*most, "a round weighs %d steps, %d are kept", len(s.snapshot().Pending), groups)
			began := w.oracle.starts
			assert.Assert(t, began >= 2*16, "the backend servers are used for overdue occurrences: %d starts", began)
			var ordinary []*job.Job
			for range 20 {
				ordinary = append(ordinary, w.submit(job.Job{Steps: []job.Step{{Count: 2, Need: oneAccelerator, EstimatedRuntime: 2 * time.Second}}}))
				w.run(100 * time.Millisecond)
			}
			w.run(30 * time.Second)
			for _, j := range ordinary {
				assert.Equal(t, w.status(j.ID), job.StatusDone)
			}
			assert.Assert(t, w.oracle.starts > began+2*20, "the overdue occurrences go on")
		})
	}
}

// All due occurrences are done, in order and once, across take-overs and restarts, and the store then holds little
// of them. Guards against progress of done occurrences that is kept until the job ends.
func TestOverdueOccurrencesAreAllDoneInOrder(t *testing.T) {
	const times = 1500
	w := newWorld(t, 2, 3, 4)
	w.run(3 * time.Second)
	newest, early := -1, 0
	w.oracle.onEnd = func(r *fakeRun, how RunOutcome) {
		if how == EndedDone && r.key.Step == 0 {
			if r.key.Occurrence < newest-jobOccurrenceTasks-4*8 {
				early++
			}
			newest = max(newest, r.key.Occurrence)
		}
	}
	j := w.submit(overdueJob(w, times,
		job.Step{Count: 1, Need: oneAccelerator, EstimatedRuntime: 100 * time.Millisecond},
		job.Step{Count: 1, Need: oneAccelerator, EstimatedRuntime: 100 * time.Millisecond, DependsOn: []int{0}}))
	for round := 0; w.status(j.ID) != job.StatusDone; round++ {
		assert.Assert(t, round < 60, "%d of %d occurrences are done", len(w.oracle.done)/2, times)
		w.run(2 * time.Second)
		stored := len(w.store.newest(progressPartition))
		assert.Assert(t, stored < 2*finishedKeptInTest+500, "the store holds %d records", stored)
		switch {
		case round == 4: // the holder stops
			n := w.holder()
			n.dead = true
			w.run(3 * time.Second)
			w.restart(n)
		case round == 8: // all VMs start again
			for _, n := range w.nodes {
				n.dead = true
			}
			w.run(time.Second)
			for _, n := range w.nodes {
				w.restart(n)
			}
		}
	}
	assert.Equal(t, len(w.oracle.done), 2*times)
	assert.Equal(t, early, 0, "occurrences were done long after later ones")
	for _, n := range w.nodes {
		kept := 0
		n.state.jobs.Job(j.ID).ForEachGroup(func(*job.Group) { kept++ })
		assert.Equal(t, kept, 0, "%s still keeps groups", n.name)
	}
	before := len(w.store.newest(progressPartition))
	for _, n := range w.nodes {
		n.state.bounds.FinalStateRetention = 0
	}
	w.run(dropDelay + 4*dropInterval)
	assert.Equal(t, string(w.status(j.ID)), "")
	for _, r := range w.store.newest(progressPartition) {
		_, known, err := job.NewTable().Apply(r.Record, w.now)
		assert.Assert(t, err == nil && !known, "%s is left in the store, of %d records", r.Key, before)
	}
}

// finishedKeptInTest is an upper bound on the done groups of a job whose progress is stored one by one.
const finishedKeptInTest = 64 + maxBatchRecords

// A step that finds no place keeps no other step of its job from its turn, and not the job's later occurrences.
func TestStepWithoutAPlaceKeepsNoOccurrenceFromItsTurn(t *testing.T) {
	const times = 400
	w := newWorld(t, 3, 3, 4)
	w.run(3 * time.Second)
	w.submit(overdueJob(w, times,
		job.Step{Count: 1, Need: oneAccelerator, EstimatedRuntime: 100 * time.Millisecond},
		job.Step{Count: 1, Need: oneAccelerator, EstimatedRuntime: 100 * time.Millisecond, DependsOn: []int{0}, Label: "nowhere"}))
	w.run(60 * time.Second)
	assert.Equal(t, len(w.oracle.done), times)
	kept := 0
	s := w.holder().state
	s.jobs.ForEach(func(st *job.State) { st.ForEachGroup(func(*job.Group) { kept++ }) })
	assert.Assert(t, kept <= jobOccurrenceTasks, "%d groups are kept", kept)
}

// Occurrences that become due while others of their job wait start at their times where there is room, none earlier; a job
// that is due years ahead costs nothing meanwhile.
func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	w := newWorld(t, 4, 3, 4)
	w.run(3 * time.Second)
	j := w.submit(job.Job{Occurrences: 1000000, FirstDue: w.now.Add(-5 * time.Second), Interval: 2 * time.Second, Steps: []job.Step{{Count: 1, Need: oneAccelerator, EstimatedRuntime: 5 * time.Second}}})
	w.submit(job.Job{Occurrences: 1000000, FirstDue: w.now.AddDate(3, 0, 0), Interval: 1 << 62, Steps: []job.Step{{Count: 1, Need: oneAccelerator}}})
	began := w.now
	for range 40 {
		w.run(time.Second)
		for _, o := range w.startOrders {
			key, _, err := job.ParseTaskName(o.Task)
			assert.NilError(t, err)
			assert.Assert(t, key.Job == j.ID && !o.at.Before(j.Due(key.Occurrence)), "%s is started %v early", o.Task, j.Due(key.Occurrence).Sub(o.at))
		}
	}
	due := 3 + int(w.now.Sub(began)/(2*time.Second))
	assert.Assert(t, w.oracle.starts >= due-1 && w.oracle.starts <= due+1, "%d starts, %d due", w.oracle.starts, due)
	assert.Equal(t, w.status(j.ID), job.StatusRunning)
}

// A job ends as failed when a task of an early occurrence has used up its attempts, and as cancelled when it is, whatever
// else is due.
func TestJobWithOverdueOccurrencesEnds(t *testing.T) {
	w := newWorld(t, 5, 3, 4)
	w.run(3 * time.Second)
	failing := w.submit(overdueJob(w, 100000, job.Step{Count: 1, Need: oneAccelerator, EstimatedRuntime: time.Second}))
	for _, s := range w.servers {
		s.failsJob = failing.ID
	}
	w.run(time.Minute)
	assert.Equal(t, w.status(failing.ID), job.StatusFailed)
	cancelled := w.submit(overdueJob(w, 100000, overdueStep))
	w.run(time.Minute)
	assert.Equal(t, w.status(cancelled.ID), job.StatusRunning)
	w.cancel(cancelled.ID)
	w.run(5 * time.Second)
	assert.Equal(t, w.status(cancelled.ID), job.StatusCancelled)
	for name, runs := range w.oracle.running {
		assert.Equal(t, len(runs), 0, "%s still runs", name)
	}
}

// A guarantee covers one occurrence of a job at a time: the others preempt nothing in its name.
func TestGuaranteeCoversOneOccurrence(t *testing.T) {
	w := newWorld(t, 6, 1, 16)
	w.run(3 * time.Second)
	j := overdueJob(w, 100000, overdueStep)
	j.Queue, j.Priority = "quotes", 0
	w.submit(j)
	w.run(5 * time.Second)
	guaranteed := 0
	for _, p := range w.holder().state.snapshot().Pending {
		if p.Guaranteed {
			guaranteed++
		}
	}
	assert.Assert(t, guaranteed <= 1, "%d occurrences are covered", guaranteed)
}

// A question where a job with very many overdue occurrences would go is answered like any other.
func TestWhereOverdueOccurrencesGo(t *testing.T) {
	w := newWorld(t, 7, 1, 4)
	w.run(3 * time.Second)
	j := overdueJob(w, 1000000, overdueStep)
	j.ID, j.Queue, j.Service, j.Organisation, j.Attempts, j.Accepted = "00000000000000ff", testQueue, service, "o", 3, w.now
	where := w.holder().state.Where(&j)
	assert.Equal(t, where.Blocked, "")
	assert.Equal(t, len(where.Steps[0].Starts), 1)
}
