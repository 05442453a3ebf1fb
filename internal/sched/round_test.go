package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

var (
	testNow  = time.Unix(1000, 0)
	whole    = job.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}
	capacity = job.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8}
)

// cluster builds snapshots: n backend servers, four on each rack.
type cluster struct{ Snapshot }

func newCluster(n int) *cluster {
	c := &cluster{Snapshot{Now: testNow}}
	for i := range n {
		c.Servers = append(c.Servers, Server{
			ID: serverID(i), Service: "desk", Rack: model.RackID(fmt.Sprintf("r%d", i/4)), Capacity: capacity, Free: capacity,
		})
	}
	return c
}

func serverID(i int) model.BackendServerID { return model.BackendServerID(fmt.Sprintf("s%d", i)) }

// hold runs a task of another job on a backend server.
func (c *cluster) hold(name string, server int, need job.Resources, unsaved float64) *cluster {
	c.Servers[server].Free = c.Servers[server].Free.Sub(need)
	c.Preemptible = append(c.Preemptible, PreemptibleTask{Key: key(name), Index: len(c.Preemptible), Server: serverID(server), Need: need, UnsavedWork: unsaved})
	return c
}

func key(name string) job.GroupKey { return job.GroupKey{Job: model.JobID(name)} }

// want adds a waiting step that is due now and has an objective of ten seconds.
func (c *cluster) want(name string, step job.Step, change func(*PendingStep)) *cluster {
	w := PendingStep{
		Key: key(name), Service: "desk", Step: &step, Due: testNow, Objective: testNow.Add(10 * time.Second),
		Remaining: 2 * time.Second, TasksPerServer: make(map[model.BackendServerID]int),
	}
	for i := range step.Count {
		w.Tasks = append(w.Tasks, i)
	}
	if change != nil {
		change(&w)
	}
	c.Pending = append(c.Pending, w)
	return c
}

func placedOn(p Plan, name string) map[model.BackendServerID]int {
	on := make(map[model.BackendServerID]int)
	for _, x := range p.Placements {
		if x.Key == key(name) {
			on[x.Server]++
		}
	}
	return on
}

func guaranteed(w *PendingStep) { w.Guaranteed = true }

func urgent(w *PendingStep) { w.Urgent = true }

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	c := newCluster(4).hold("other", 0, whole, 1)
	p := Decide(c.want("gang", job.Step{Count: 4, Need: whole, Gang: true}, nil).Snapshot)
	assert.Equal(t, len(p.Placements), 0)
	p = Decide(newCluster(4).want("gang", job.Step{Count: 4, Need: whole, Gang: true}, nil).Snapshot)
	assert.Equal(t, len(p.Placements), 4)
}

func TestTasksWithoutGangTakeWhatIsFree(t *testing.T) {
	c := newCluster(4).hold("other", 0, whole, 1)
	p := Decide(c.want("tasks", job.Step{Count: 4, Need: whole}, nil).Snapshot)
	assert.Equal(t, len(p.Placements), 3)
}

func TestSmallTasksLeaveWholeServersFree(t *testing.T) {
	small := job.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}
	c := newCluster(4).hold("other", 2, small, 1)
	p := Decide(c.want("small", job.Step{Count: 3, Need: small}, nil).Snapshot)
	assert.DeepEqual(t, placedOn(p, "small"), map[model.BackendServerID]int{"s2": 3})
}

func TestGangStaysOnOneRack(t *testing.T) {
	c := newCluster(8).hold("other", 0, whole, 1)
	p := Decide(c.want("gang", job.Step{Count: 4, Need: whole, Gang: true, SameRack: true}, nil).Snapshot)
	for id := range placedOn(p, "gang") {
		assert.Assert(t, id >= "s4", "placed on %s, outside of the rack that is free", id)
	}
	assert.Equal(t, len(p.Placements), 4)
}

func TestGangWaitsForItsRackWhileThereIsTime(t *testing.T) {
	c := newCluster(8).hold("a", 0, whole, 1).hold("b", 4, whole, 1)
	step := job.Step{Count: 4, Need: whole, Gang: true, SameRack: true}
	assert.Equal(t, len(Decide(c.want("gang", step, nil).Snapshot).Placements), 0)
	late := newCluster(8).hold("a", 0, whole, 1).hold("b", 4, whole, 1).want("gang", step, func(w *PendingStep) {
		w.Due, w.Objective = testNow.Add(-9*time.Second), testNow.Add(time.Second)
	})
	p := Decide(late.Snapshot)
	assert.Equal(t, len(p.Placements), 4)
	assert.Assert(t, p.Placements[0].Far)
}

func TestBoundPerServerCountsBothParts(t *testing.T) {
	small := job.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}
	step := job.Step{Count: 3, Need: small, MaxPerServer: 1, DataRack: "r0"}
	c := newCluster(8)
	for i := 1; i < 4; i++ {
		c.hold("other", i, whole, 1)
	}
	p := Decide(c.want("spread", step, func(w *PendingStep) {
		w.TasksPerServer[serverID(5)] = 1
		w.Objective = testNow
	}).Snapshot)
	for id, n := range placedOn(p, "spread") {
		assert.Assert(t, n == 1 && id != serverID(5), "%d tasks on %s", n, id)
	}
	assert.Equal(t, len(p.Placements), 3)
}

func TestGuaranteeReclaimsTheLeastUnsavedWork(t *testing.T) {
	c := newCluster(3).hold("dear", 0, whole, 90).hold("cheap", 1, whole, 1).hold("middle", 2, whole, 30)
	p := Decide(c.want("quote", job.Step{Count: 1, Need: whole}, guaranteed).Snapshot)
	assert.Equal(t, len(p.Placements), 0)
	assert.Equal(t, len(p.Evictions), 1)
	assert.Equal(t, p.Evictions[0].Key, key("cheap"))
}

func TestNothingIsStoppedThatDoesNotMakeRoom(t *testing.T) {
	c := newCluster(2).hold("a", 0, whole, 1)
	c.Servers[1].Service = "other"
	p := Decide(c.want("gang", job.Step{Count: 2, Need: whole, Gang: true}, guaranteed).Snapshot)
	assert.Equal(t, len(p.Evictions), 0)
}

// The room that is being released is kept for the step that had it released: another
// round must not choose more victims, nor give the room to a later step.
func TestReleasedRoomIsKept(t *testing.T) {
	c := newCluster(2).hold("other", 1, whole, 1)
	c.Servers[0].Free, c.Servers[0].Releasing = job.Resources{}, whole
	c.want("quote", job.Step{Count: 1, Need: whole}, guaranteed)
	c.want("later", job.Step{Count: 1, Need: whole}, func(w *PendingStep) { w.Priority = 1 })
	p := Decide(c.Snapshot)
	assert.Equal(t, len(p.Evictions)+len(p.Placements), 0)
}

// A burst of small urgent steps meets a wide gang that has worked for a while: stopping it
// would throw away many times the work of the step, unless a guarantee asks for it.
func TestUrgentWorkDoesNotThrowAwayMuchMore(t *testing.T) {
	step := job.Step{Count: 1, Need: whole, EstimatedRuntime: 2 * time.Second}
	own := whole.CoreWeight() * 2
	for name, c := range map[string]struct {
		change  func(*PendingStep)
		unsaved float64
		evicted int
	}{
		"cheap":      {urgent, own, 1},
		"dear":       {urgent, 3 * own, 0},
		"guaranteed": {guaranteed, 3 * own, 1},
	} {
		p := Decide(newCluster(1).hold("gang", 0, whole, c.unsaved).want("quote", step, c.change).Snapshot)
		assert.Equal(t, len(p.Evictions), c.evicted, name)
	}
}

func TestUrgentWorkDisplacesOnlyWhatIsLessUrgent(t *testing.T) {
	c := newCluster(1).hold("urgent", 0, whole, 1)
	c.Preemptible[0].Urgent = true
	step := job.Step{Count: 1, Need: whole}
	assert.Equal(t, len(Decide(c.want("quote", step, urgent).Snapshot).Evictions), 0)
	c = newCluster(1).hold("urgent", 0, whole, 1)
	c.Preemptible[0].Urgent = true
	assert.Equal(t, len(Decide(c.want("quote", step, guaranteed).Snapshot).Evictions), 1)
}

// An urgent step past use is served after the tasks that it would stop; if it displaced
// them, both would take the room from each other in turn.
func TestExpiredUrgentWorkDisplacesNothing(t *testing.T) {
	c := newCluster(1).hold("scan", 0, whole, 1)
	p := Decide(c.want("quote", job.Step{Count: 1, Need: whole}, func(w *PendingStep) {
		w.Urgent = true
		w.Due, w.Objective = testNow.Add(-40*time.Second), testNow.Add(-30*time.Second)
	}).Snapshot)
	assert.Equal(t, len(p.Evictions), 0)
}

func TestGangIsStoppedAsAWhole(t *testing.T) {
	c := newCluster(2).hold("gang", 0, whole, 1).hold("gang", 1, whole, 1)
	c.Preemptible[0].Gang, c.Preemptible[1].Gang = true, true
	c.want("quote", job.Step{Count: 2, Need: whole}, guaranteed)
	assert.Equal(t, len(Decide(c.Snapshot).Evictions), 1, "one stop releases the room of all members")
}

// A guaranteed step has room made near its data before it goes where it takes longer.
func TestGuaranteeReclaimsNearBeforeItGoesFar(t *testing.T) {
	c := newCluster(8)
	for i := range 4 {
		c.hold("scan", i, whole, 5)
	}
	p := Decide(c.want("quote", job.Step{Count: 1, Need: whole, DataRack: "r0"}, guaranteed).Snapshot)
	assert.Equal(t, len(p.Placements), 0)
	assert.Equal(t, len(p.Evictions), 1)
}

func TestOrder(t *testing.T) {
	step := job.Step{Count: 1, Need: whole}
	c := newCluster(0).
		want("expired", step, func(w *PendingStep) { w.Due, w.Objective = testNow.Add(-time.Minute), testNow.Add(-50*time.Second) }).
		want("scan", step, func(w *PendingStep) { w.Priority = 2 }).
		want("match", step, func(w *PendingStep) { w.Priority = 1 }).
		want("older", step, func(w *PendingStep) { w.Priority = 1; w.Due = testNow.Add(-time.Second) }).
		want("quote", step, urgent).
		want("sure", step, guaranteed)
	Order(c.Pending, testNow)
	var order []string
	for _, w := range c.Pending {
		order = append(order, string(w.Key.Job))
	}
	assert.DeepEqual(t, order, []string{"sure", "quote", "older", "match", "scan", "expired"})
}
