package fleet

import (
	"maps"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

// asked asks where a job would go, as a queue's job that has just been accepted.
func (w *world) asked(j job.Job) Where {
	j.ID, j.Queue, j.Service, j.Organisation, j.Accepted, j.Attempts, j.Stretch = "00000000000fffff", testQueue, service, "o", w.now, 3, 3
	return w.holder().state.Where(&j)
}

// placedOn counts the tasks of a job's first step by backend server.
func (w *world) placedOn(id model.JobID) map[model.BackendServerID]int {
	on := make(map[model.BackendServerID]int)
	for _, t := range w.holder().state.jobs.Job(id).Group(0, 0).Tasks {
		if t.Phase != job.Waiting {
			on[t.Server]++
		}
	}
	return on
}

// What is told must be what happens to the same job when it is submitted at once.
func TestWhereTellsWhatThenHappens(t *testing.T) {
	for _, gang := range []bool{false, true} {
		w := newWorldWithHolder(t, 2, 6)
		w.submit(newJob(11, oneAccelerator, 60))
		w.run(time.Second)
		j := newJob(14, oneAccelerator, 30)
		j.Steps[0].Gang = gang
		told := w.asked(j)
		assert.Equal(t, told.Blocked, "")
		step := told.Steps[0]
		assert.Equal(t, step.Waits, 0, "%+v", step)
		want := make(map[model.BackendServerID]int)
		for _, s := range step.Starts {
			want[s.Server] = s.Tasks
		}
		id := w.submit(j).ID
		w.run(200 * time.Millisecond)
		assert.DeepEqual(t, w.placedOn(id), want)
	}
}

// A question must change nothing: two equal worlds go on alike, although in one of them it is asked all the time.
func TestWhereChangesNothing(t *testing.T) {
	play := func(ask bool) (*world, []string) {
		w := newWorldWithHolder(t, 2, 4)
		for range 6 {
			w.submit(newJob(9, oneAccelerator, 3))
			urgent := newJob(1, wholeServer, 1)
			urgent.Queue, urgent.Priority = "quotes", 0
			w.submit(urgent)
			for range 10 {
				if w.run(70 * time.Millisecond); ask {
					s := w.holder().state
					known, actions, dirty := s.jobs.Len(), len(s.actions), len(s.writer.started)
					shapesAt, use := s.shapesAt, maps.Clone(s.urgentUse)
					log, metrics := s.log, s.metrics
					core, lines := observer.New(zap.DebugLevel)
					scope := tally.NewTestScope("", nil)
					s.log, s.metrics = zap.New(core), NewCounters(scope)
					before := scope.Snapshot()
					w.asked(newJob(8, oneAccelerator, 3))
					s.log, s.metrics = log, metrics
					assert.Equal(t, lines.Len(), 0)
					assertSameMetrics(t, before, scope.Snapshot())
					assert.Equal(t, s.jobs.Len(), known)
					assert.Equal(t, len(s.actions), actions)
					assert.Equal(t, len(s.writer.started), dirty)
					assert.Equal(t, s.shapesAt, shapesAt)
					assert.Assert(t, maps.Equal(s.urgentUse, use))
				}
			}
		}
		w.run(4 * time.Second)
		var orders []string
		for _, o := range w.startOrders {
			orders = append(orders, o.at.String()+" "+o.Task+" "+string(o.Server))
		}
		return w, orders
	}
	_, without := play(false)
	_, with := play(true)
	assert.Assert(t, len(without) > 0)
	assert.DeepEqual(t, with, without)
}

func assertSameMetrics(t *testing.T, before, after tally.Snapshot) {
	t.Helper()
	assert.Equal(t, len(after.Counters()), len(before.Counters()))
	for name, c := range after.Counters() {
		assert.Equal(t, c.Value(), before.Counters()[name].Value(), name)
	}
	assert.Equal(t, len(after.Gauges()), len(before.Gauges()))
	for name, g := range after.Gauges() {
		assert.Equal(t, g.Value(), before.Gauges()[name].Value(), name)
	}
}

// A gang that finds too little room is told for how many tasks there is room, and when it should start.
func TestWhereTellsWhatAGangWaitsFor(t *testing.T) {
	w := newWorldWithHolder(t, 2, 2)
	w.submit(newJob(12, oneAccelerator, 20))
	w.run(time.Second)
	j := newJob(6, oneAccelerator, 10)
	j.Steps[0].Gang = true
	step := w.asked(j).Steps[0]
	assert.Equal(t, step.Waits, 6)
	assert.Equal(t, step.Room, 4)
	assert.Equal(t, step.Reason, w.whyUnplaced(t, j))
	assert.Assert(t, step.EarmarkMS != nil && *step.EarmarkMS > 10_000 && *step.EarmarkMS < 30_000, "%+v", step)
	assert.Equal(t, len(step.Preempts), 0)

	j.Steps[0].Label = "no such label"
	step = w.asked(j).Steps[0]
	assert.Equal(t, step.Excluded["label"], 2)
	assert.Equal(t, string(step.Reason), "no_server")
	assert.Assert(t, step.Weighed == 0 && step.Servers == 2)
}

// An urgent job is told how many tasks of which priority would be stopped for it.
func TestWhereCountsWhatIsPreempted(t *testing.T) {
	w := newWorldWithHolder(t, 2, 2)
	id := w.submit(newJob(2, wholeServer, 60)).ID
	w.run(time.Second)
	j := newJob(1, wholeServer, 1)
	j.Priority = 0
	step := w.asked(j).Steps[0]
	assert.DeepEqual(t, step.Preempts, map[int]int{1: 1})
	j.Queue = "quotes"
	w.submit(j)
	w.run(2700 * time.Millisecond)
	stops := 0
	for _, task := range w.holder().state.jobs.Job(id).Group(0, 0).Tasks {
		stops += task.Stops
	}
	assert.Equal(t, stops, 1)
}

// whyUnplaced submits a job and returns why a round says that it waits.
func (w *world) whyUnplaced(t *testing.T, j job.Job) (why sched.Reason) {
	t.Helper()
	id := w.submit(j).ID
	w.run(100 * time.Millisecond)
	snap := w.holder().state.snapshot()
	snap.Explain = true
	for _, u := range sched.Decide(snap).Unplaced {
		if u.Key.Job == id {
			why = u.Reason
		}
	}
	return why
}
