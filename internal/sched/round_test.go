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

// cluster builds a snapshot with n backend servers, four on each rack.
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

// addPreemptible adds a running task of another job to a backend server.
func (c *cluster) addPreemptible(name string, server int, need job.Resources, unsaved float64) *cluster {
	c.Servers[server].Free = c.Servers[server].Free.Sub(need)
	c.Preemptible = append(c.Preemptible, PreemptibleTask{Key: groupKey(name), Index: len(c.Preemptible), Server: serverID(server), Need: need, UnsavedWork: unsaved})
	return c
}

func groupKey(name string) job.GroupKey { return job.GroupKey{Job: model.JobID(name)} }

// addPending adds a pending step that is due now and should end within ten seconds.
func (c *cluster) addPending(name string, step job.Step, change func(*PendingStep)) *cluster {
	p := PendingStep{
		Key: groupKey(name), Service: "desk", Step: &step, Due: testNow, Objective: testNow.Add(10 * time.Second),
		Remaining: 2 * time.Second, TasksPerServer: make(map[model.BackendServerID]int),
	}
	for i := range step.Count {
		p.Tasks = append(p.Tasks, i)
	}
	if change != nil {
		change(&p)
	}
	c.Pending = append(c.Pending, p)
	return c
}

func placedOn(plan Plan, name string) map[model.BackendServerID]int {
	counts := make(map[model.BackendServerID]int)
	for _, x := range plan.Placements {
		if x.Key == groupKey(name) {
			counts[x.Server]++
		}
	}
	return counts
}

func guaranteed(p *PendingStep) { p.Guaranteed = true }

func urgent(p *PendingStep) { p.Urgent = true }

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	c := newCluster(4).addPreemptible("other", 0, whole, 1)
	plan := Decide(c.addPending("gang", job.Step{Count: 4, Need: whole, Gang: true}, nil).Snapshot)
	assert.Equal(t, len(plan.Placements), 0)
	plan = Decide(newCluster(4).addPending("gang", job.Step{Count: 4, Need: whole, Gang: true}, nil).Snapshot)
	assert.Equal(t, len(plan.Placements), 4)
}

func TestTasksWithoutGangTakeWhatIsFree(t *testing.T) {
	c := newCluster(4).addPreemptible("other", 0, whole, 1)
	plan := Decide(c.addPending("tasks", job.Step{Count: 4, Need: whole}, nil).Snapshot)
	assert.Equal(t, len(plan.Placements), 3)
}

// An availability zone is taken back while its backend servers are cold: of servers that are otherwise equal, warm ones
// are used first, and cold ones rather than none.
func TestColdServersAreUsedLast(t *testing.T) {
	c := newCluster(4)
	c.Servers[0].Cold, c.Servers[2].Cold = true, true
	first := Decide(c.addPending("two", job.Step{Count: 2, Need: whole}, nil).Snapshot)
	assert.DeepEqual(t, placedOn(first, "two"), map[model.BackendServerID]int{"s1": 1, "s3": 1})
	all := Decide(c.addPending("more", job.Step{Count: 2, Need: whole}, nil).Snapshot)
	assert.Equal(t, len(all.Placements), 4)
}

func TestSmallTasksLeaveWholeServersFree(t *testing.T) {
	small := job.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}
	c := newCluster(4).addPreemptible("other", 2, small, 1)
	plan := Decide(c.addPending("small", job.Step{Count: 3, Need: small}, nil).Snapshot)
	assert.DeepEqual(t, placedOn(plan, "small"), map[model.BackendServerID]int{"s2": 3})
}

func TestGangStaysOnOneRack(t *testing.T) {
	c := newCluster(8).addPreemptible("other", 0, whole, 1)
	plan := Decide(c.addPending("gang", job.Step{Count: 4, Need: whole, Gang: true, SameRack: true}, nil).Snapshot)
	for id := range placedOn(plan, "gang") {
		assert.Assert(t, id >= "s4", "placed on %s, outside of the rack that is free", id)
	}
	assert.Equal(t, len(plan.Placements), 4)
}

func TestGangWaitsForItsRackWhileThereIsTime(t *testing.T) {
	c := newCluster(8).addPreemptible("a", 0, whole, 1).addPreemptible("b", 4, whole, 1)
	step := job.Step{Count: 4, Need: whole, Gang: true, SameRack: true}
	assert.Equal(t, len(Decide(c.addPending("gang", step, nil).Snapshot).Placements), 0)
	late := newCluster(8).addPreemptible("a", 0, whole, 1).addPreemptible("b", 4, whole, 1).addPending("gang", step, func(p *PendingStep) {
		p.Due, p.Objective = testNow.Add(-9*time.Second), testNow.Add(time.Second)
	})
	plan := Decide(late.Snapshot)
	assert.Equal(t, len(plan.Placements), 4)
	assert.Assert(t, plan.Placements[0].Far)
}

func TestBoundPerServerCountsBothParts(t *testing.T) {
	small := job.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}
	step := job.Step{Count: 3, Need: small, MaxPerServer: 1, DataRack: "r0"}
	c := newCluster(8)
	for i := 1; i < 4; i++ {
		c.addPreemptible("other", i, whole, 1)
	}
	plan := Decide(c.addPending("spread", step, func(p *PendingStep) {
		p.TasksPerServer[serverID(5)] = 1
		p.Objective = testNow
	}).Snapshot)
	for id, n := range placedOn(plan, "spread") {
		assert.Assert(t, n == 1 && id != serverID(5), "%d tasks on %s", n, id)
	}
	assert.Equal(t, len(plan.Placements), 3)
}

func TestGuaranteeReclaimsTheLeastUnsavedWork(t *testing.T) {
	c := newCluster(3).addPreemptible("expensive", 0, whole, 90).addPreemptible("cheap", 1, whole, 1).addPreemptible("middle", 2, whole, 30)
	plan := Decide(c.addPending("quote", job.Step{Count: 1, Need: whole}, guaranteed).Snapshot)
	assert.Equal(t, len(plan.Placements), 0)
	assert.Equal(t, len(plan.Evictions), 1)
	assert.Equal(t, plan.Evictions[0].Key, groupKey("cheap"))
}

func TestTaskIsStoppedOnlyIfThatMakesRoom(t *testing.T) {
	c := newCluster(2).addPreemptible("a", 0, whole, 1)
	c.Servers[1].Service = "other"
	plan := Decide(c.addPending("gang", job.Step{Count: 2, Need: whole, Gang: true}, guaranteed).Snapshot)
	assert.Equal(t, len(plan.Evictions), 0)
}

// Room that is being released is reserved for the step that had tasks stopped for it: the
// next round must not choose more victims and must not give the room to a later step.
func TestReleasedRoomIsKept(t *testing.T) {
	c := newCluster(2).addPreemptible("other", 1, whole, 1)
	c.Servers[0].Free, c.Servers[0].Releasing = job.Resources{}, whole
	c.addPending("quote", job.Step{Count: 1, Need: whole}, guaranteed)
	c.addPending("later", job.Step{Count: 1, Need: whole}, func(p *PendingStep) { p.Priority = 1 })
	plan := Decide(c.Snapshot)
	assert.Equal(t, len(plan.Evictions)+len(plan.Placements), 0)
}

// An urgent step must not stop a gang that would lose many times the work of the step.
// Only a guaranteed step may.
func TestUrgentWorkDoesNotThrowAwayMuchMore(t *testing.T) {
	step := job.Step{Count: 1, Need: whole, EstimatedRuntime: 2 * time.Second}
	own := whole.CoreWeight() * 2
	for name, c := range map[string]struct {
		change  func(*PendingStep)
		unsaved float64
		evicted int
	}{
		"cheap":      {urgent, own, 1},
		"expensive":  {urgent, 3 * own, 0},
		"guaranteed": {guaranteed, 3 * own, 1},
	} {
		plan := Decide(newCluster(1).addPreemptible("gang", 0, whole, c.unsaved).addPending("quote", step, c.change).Snapshot)
		assert.Equal(t, len(plan.Evictions), c.evicted, name)
	}
}

func TestUrgentStepPreemptsOnlyLessUrgentTasks(t *testing.T) {
	c := newCluster(1).addPreemptible("urgent", 0, whole, 1)
	c.Preemptible[0].Urgent = true
	step := job.Step{Count: 1, Need: whole}
	assert.Equal(t, len(Decide(c.addPending("quote", step, urgent).Snapshot).Evictions), 0)
	c = newCluster(1).addPreemptible("urgent", 0, whole, 1)
	c.Preemptible[0].Urgent = true
	assert.Equal(t, len(Decide(c.addPending("quote", step, guaranteed).Snapshot).Evictions), 1)
}

// An expired urgent step goes after the steps whose tasks it would stop. If it preempted
// them, both would take the room from each other in turn.
func TestExpiredUrgentStepPreemptsNothing(t *testing.T) {
	c := newCluster(1).addPreemptible("scan", 0, whole, 1)
	plan := Decide(c.addPending("quote", job.Step{Count: 1, Need: whole}, func(p *PendingStep) {
		p.Urgent = true
		p.Due, p.Objective = testNow.Add(-40*time.Second), testNow.Add(-30*time.Second)
	}).Snapshot)
	assert.Equal(t, len(plan.Evictions), 0)
}

func TestGangIsStoppedAsAWhole(t *testing.T) {
	c := newCluster(2).addPreemptible("gang", 0, whole, 1).addPreemptible("gang", 1, whole, 1)
	c.Preemptible[0].Gang, c.Preemptible[1].Gang = true, true
	c.addPending("quote", job.Step{Count: 2, Need: whole}, guaranteed)
	assert.Equal(t, len(Decide(c.Snapshot).Evictions), 1, "one eviction stops all members of a gang")
}

// For a guaranteed step, tasks near its data are stopped before it is placed on another
// rack, where it takes longer.
func TestGuaranteeReclaimsNearBeforeItGoesFar(t *testing.T) {
	c := newCluster(8)
	for i := range 4 {
		c.addPreemptible("scan", i, whole, 5)
	}
	plan := Decide(c.addPending("quote", job.Step{Count: 1, Need: whole, DataRack: "r0"}, guaranteed).Snapshot)
	assert.Equal(t, len(plan.Placements), 0)
	assert.Equal(t, len(plan.Evictions), 1)
}

func TestOrder(t *testing.T) {
	step := job.Step{Count: 1, Need: whole}
	c := newCluster(0).
		addPending("expired", step, func(p *PendingStep) { p.Due, p.Objective = testNow.Add(-time.Minute), testNow.Add(-50*time.Second) }).
		addPending("scan", step, func(p *PendingStep) { p.Priority = 2 }).
		addPending("match", step, func(p *PendingStep) { p.Priority = 1 }).
		addPending("older", step, func(p *PendingStep) { p.Priority = 1; p.Due = testNow.Add(-time.Second) }).
		addPending("quote", step, urgent).
		addPending("guaranteed", step, guaranteed)
	Order(c.Pending, testNow)
	var order []string
	for _, p := range c.Pending {
		order = append(order, string(p.Key.Job))
	}
	assert.DeepEqual(t, order, []string{"guaranteed", "quote", "older", "match", "scan", "expired"})
}

// A suspected task is placed where nothing else has just started, where a crash would cost the
// least, and alone for the rest of the round.
func TestSuspectedTaskIsIsolated(t *testing.T) {
	step := job.Step{Count: 2, Need: job.Resources{MilliCPU: 1000, Accelerators: 1}, EstimatedRuntime: time.Second}
	c := newCluster(4)
	c.Servers[0].Unproven = true
	c.Servers[1].UnsavedWork = 50
	c.Servers[2].UnsavedWork = 10
	c.Servers[3].UnsavedWork = 90
	c.addPending("suspected", step, func(p *PendingStep) { p.Isolate, p.Priority = true, 0 })
	c.addPending("other", job.Step{Count: 40, Need: step.Need, EstimatedRuntime: time.Second}, func(p *PendingStep) { p.Priority = 1 })
	plan := Decide(c.Snapshot)
	assert.DeepEqual(t, placedOn(plan, "suspected"), map[model.BackendServerID]int{"s1": 1, "s2": 1})
	assert.DeepEqual(t, placedOn(plan, "other"), map[model.BackendServerID]int{"s0": 8, "s3": 8})
}

// Nothing is placed beside a suspected task that has just started.
func TestNothingIsPlacedBesideAnIsolatedTask(t *testing.T) {
	c := newCluster(2)
	c.Servers[0].Unproven, c.Servers[0].Isolated = true, true
	c.addPending("other", job.Step{Count: 16, Need: job.Resources{MilliCPU: 1000, Accelerators: 1}, EstimatedRuntime: time.Second}, nil)
	assert.DeepEqual(t, placedOn(Decide(c.Snapshot), "other"), map[model.BackendServerID]int{"s1": 8})
}

// The members of a suspected gang may share servers with each other only.
func TestSuspectedGangIsIsolatedAsAWhole(t *testing.T) {
	c := newCluster(2)
	c.Servers[0].Unproven = true
	gang := job.Step{Count: 4, Need: job.Resources{MilliCPU: 1000, Accelerators: 2}, Gang: true, EstimatedRuntime: time.Second}
	c.addPending("suspected", gang, func(p *PendingStep) { p.Isolate = true })
	assert.DeepEqual(t, placedOn(Decide(c.Snapshot), "suspected"), map[model.BackendServerID]int{"s1": 4})
}

// A backend server whose capacity has shrunk below what runs there takes nothing, not even a step that
// may preempt, unless enough is stopped, and a gang that waits for it does not keep others from
// a server with room.
func TestShrunkCapacityIsNotUsed(t *testing.T) {
	one := job.Resources{MilliCPU: 1000, Accelerators: 1}
	shrink := func(c *cluster) {
		c.Servers[0].Capacity = job.Resources{MilliCPU: 16000, MemoryMB: 32000, Accelerators: 4}
		c.Servers[0].Free = job.Resources{MilliCPU: 8000, MemoryMB: 32000, Accelerators: -4}
		c.Servers[0].Ends = []ExpectedEnd{{Need: whole, After: 5 * time.Second}}
	}
	c := newCluster(1)
	shrink(c)
	c.addPending("small", job.Step{Count: 4, Need: one, EstimatedRuntime: time.Second}, nil)
	c.addPending("cpu", job.Step{Count: 4, Need: job.Resources{MilliCPU: 1000}, EstimatedRuntime: time.Second}, nil)
	assert.Equal(t, len(Decide(c.Snapshot).Placements), 0)

	c = newCluster(2)
	shrink(c)
	c.Servers[1].Free = one
	c.addPending("gang", job.Step{Count: 2, Need: one.Times(2), Gang: true, EstimatedRuntime: time.Second}, nil)
	c.addPending("small", job.Step{Count: 1, Need: one, EstimatedRuntime: time.Second}, func(p *PendingStep) { p.Priority = 1 })
	assert.DeepEqual(t, placedOn(Decide(c.Snapshot), "small"), map[model.BackendServerID]int{"s1": 1})

	c = newCluster(1)
	c.addPreemptible("old", 0, whole, 10)
	c.addPreemptible("older", 0, job.Resources{Accelerators: 0, MilliCPU: 1000}, 1)
	c.Servers[0].Capacity.Accelerators = 4
	c.Servers[0].Free.Accelerators = -4
	c.addPending("urgent", job.Step{Count: 1, Need: one, EstimatedRuntime: time.Second}, func(p *PendingStep) { p.Guaranteed = true })
	plan := Decide(c.Snapshot)
	assert.Equal(t, len(plan.Placements), 0)
	assert.Equal(t, len(plan.Evictions), 1)
	assert.Equal(t, plan.Evictions[0].Key, groupKey("old"))
}
