package standin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/platform"
)

const second = time.Second

var begin = time.Now()

// at returns a time after the start of a test.
func at(d time.Duration) time.Time { return begin.Add(d) }

func hold(id model.TaskID, accelerators int, payload string) platform.TaskCommand {
	return platform.TaskCommand{
		Verb: platform.VerbHold, Task: id, Accelerators: accelerators, Members: 2, Lease: 2 * second, Payload: payload,
	}
}

func verb(v platform.Verb, id model.TaskID) platform.TaskCommand {
	return platform.TaskCommand{Verb: v, Task: id, Lease: 2 * second}
}

// one carries out a command and returns its result.
func one(b *Backend, c platform.TaskCommand, now time.Time) platform.TaskResult {
	return b.command(platform.CommandBatch{Commands: []platform.TaskCommand{c}}, now)[0]
}

// TestLeaseEndsTask has a task outlive its lease although its run time is longer.
func TestLeaseEndsTask(t *testing.T) {
	b := NewBackend("b1", 8, 8)
	one(b, hold("t1", 8, `{"runMS":60000}`), at(0))
	assert.Equal(t, one(b, verb(platform.VerbStart, "t1"), at(1*second)).State, platform.TaskRunning)
	assert.Equal(t, one(b, verb(platform.VerbRenew, "t1"), at(2*second)).State, platform.TaskRunning)
	assert.Equal(t, one(b, hold("t2", 1, ""), at(3*second)).Refused, platform.RefusedFull)
	assert.Equal(t, one(b, hold("t2", 8, ""), at(5*second)).Refused, platform.Refusal(""))
	late := one(b, verb(platform.VerbRenew, "t1"), at(5*second))
	assert.Equal(t, late.Refused, platform.RefusedNotActive)
	assert.Equal(t, late.State, platform.TaskLapsed)
	assert.Equal(t, b.tasks["t1"].ended, at(4*second))
}

// TestTaskEnds covers the ends that a payload asks for.
func TestTaskEnds(t *testing.T) {
	tests := []struct {
		payload string
		fault   Fault
		want    platform.TaskState
	}{
		{"", Fault{}, platform.TaskDone},
		{"not JSON", Fault{}, platform.TaskDone},
		{`{"runMS":100,"fail":true}`, Fault{}, platform.TaskFailed},
		{`{"runMS":60000}`, Fault{}, platform.TaskRunning},
		{`{"runMS":60000}`, Fault{FailAll: true}, platform.TaskFailed},
	}
	for _, tc := range tests {
		t.Run(tc.payload, func(t *testing.T) {
			b := NewBackend("b1", 8, 8)
			b.faults.set(tc.fault)
			one(b, hold("t1", 8, tc.payload), at(0))
			one(b, verb(platform.VerbStart, "t1"), at(0))
			assert.Equal(t, b.status(at(second)).Tasks[0].State, tc.want)
		})
	}
}

// TestCheckpointResumes has a task go on from a checkpoint on another backend server.
func TestCheckpointResumes(t *testing.T) {
	first, next := NewBackend("b1", 8, 8), NewBackend("b2", 8, 8)
	one(first, hold("t1", 8, `{"runMS":1500}`), at(0))
	one(first, verb(platform.VerbStart, "t1"), at(0))
	saved := one(first, verb(platform.VerbCheckpoint, "t1"), at(second)).Checkpoint
	assert.Equal(t, one(first, verb(platform.VerbStop, "t1"), at(second)).State, platform.TaskStopped)

	resumed := hold("t2", 8, `{"runMS":1500}`)
	resumed.Checkpoint = saved
	one(next, resumed, at(second))
	one(next, verb(platform.VerbStart, "t2"), at(second))
	assert.Equal(t, next.status(at(1600 * time.Millisecond)).Tasks[0].State, platform.TaskDone)
}

func TestLeavingRefusesNewWork(t *testing.T) {
	b := NewBackend("b1", 8, 8)
	one(b, hold("t1", 1, `{"runMS":60000}`), at(0))
	one(b, hold("t2", 1, ""), at(0))
	one(b, verb(platform.VerbStart, "t1"), at(0))
	b.faults.set(Fault{Leaving: true})
	assert.Equal(t, one(b, hold("t3", 1, ""), at(0)).Refused, platform.RefusedLeaving)
	assert.Equal(t, one(b, verb(platform.VerbStart, "t2"), at(0)).Refused, platform.RefusedLeaving)
	assert.Equal(t, one(b, verb(platform.VerbRenew, "t1"), at(0)).Refused, platform.Refusal(""))
	_, _, refused := b.begin(platform.Execution{Request: "r1"}, at(0))
	assert.Equal(t, refused, platform.RefusedLeaving)
	assert.Equal(t, len(b.Record().Offers), 6)
}

// TestRepeatedExecution has a request arrive again while it runs and after it ended.
func TestRepeatedExecution(t *testing.T) {
	b := NewBackend("b1", 1, 8)
	x, run, _ := b.begin(platform.Execution{Request: "r1", Body: []byte("in")}, at(0))
	assert.Assert(t, run)
	_, run, _ = b.begin(platform.Execution{Request: "r1", Body: []byte("in")}, at(0))
	assert.Assert(t, !run)
	_, _, refused := b.begin(platform.Execution{Request: "r2"}, at(0))
	assert.Equal(t, refused, platform.RefusedFull)
	b.finish(x, Payload{}, at(second))
	again, run, _ := b.begin(platform.Execution{Request: "r1", Body: []byte("in")}, at(second))
	assert.Assert(t, !run)
	assert.Equal(t, b.describe(again).State, platform.ExecutionDone)
	assert.Equal(t, b.Record().Executions[0].Times, 1)
	assert.Equal(t, b.Record().Executions[0].Received, 3)
}

func TestVMListLags(t *testing.T) {
	l := newVMList()
	l.put(platform.VMEntry{Address: "a", State: platform.VMLive}, at(0))
	assert.Equal(t, len(l.list(at(second), 2*second)), 0)
	assert.Equal(t, len(l.list(at(2*second), 2*second)), 1)
	l.remove("a", at(3*second))
	assert.Equal(t, len(l.list(at(4*second), 2*second)), 1)
	assert.Equal(t, len(l.list(at(5*second), 2*second)), 0)
}
