package standin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

const second = time.Second

var begin = time.Now()

// at returns a time after the start of a test.
func at(d time.Duration) time.Time { return begin.Add(d) }

func hold(id model.TaskID, accelerators int, payload string) ports.TaskCommand {
	return ports.TaskCommand{
		Verb: ports.VerbHold, Task: id, Accelerators: accelerators, Members: 2, Lease: 2 * second, Payload: payload,
	}
}

func verb(v ports.Verb, id model.TaskID) ports.TaskCommand {
	return ports.TaskCommand{Verb: v, Task: id, Lease: 2 * second}
}

// one carries out a command and returns its result.
func one(b *Backend, c ports.TaskCommand, now time.Time) ports.TaskResult {
	return b.command(ports.CommandBatch{Commands: []ports.TaskCommand{c}}, now)[0]
}

// TestLeaseEndsTask has a task outlive its lease although its run time is longer.
func TestLeaseEndsTask(t *testing.T) {
	b := NewBackend("b1", 8, 8)
	one(b, hold("t1", 8, `{"runMS":60000}`), at(0))
	assert.Equal(t, one(b, verb(ports.VerbStart, "t1"), at(1*second)).State, ports.TaskRunning)
	assert.Equal(t, one(b, verb(ports.VerbRenew, "t1"), at(2*second)).State, ports.TaskRunning)
	assert.Equal(t, one(b, hold("t2", 1, ""), at(3*second)).Refused, ports.RefusedFull)
	assert.Equal(t, one(b, hold("t2", 8, ""), at(5*second)).Refused, ports.Refusal(""))
	late := one(b, verb(ports.VerbRenew, "t1"), at(5*second))
	assert.Equal(t, late.Refused, ports.RefusedNotActive)
	assert.Equal(t, late.State, ports.TaskLeaseExpired)
	assert.Equal(t, b.tasks["t1"].ended, at(4*second))
}

// TestTaskEnds covers the ends that a payload asks for.
func TestTaskEnds(t *testing.T) {
	tests := []struct {
		payload string
		fault   Fault
		want    ports.TaskState
	}{
		{"", Fault{}, ports.TaskDone},
		{"not JSON", Fault{}, ports.TaskDone},
		{`{"runMS":100,"fail":true}`, Fault{}, ports.TaskFailed},
		{`{"runMS":60000}`, Fault{}, ports.TaskRunning},
		{`{"runMS":60000}`, Fault{FailAll: true}, ports.TaskFailed},
	}
	for _, tc := range tests {
		t.Run(tc.payload, func(t *testing.T) {
			b := NewBackend("b1", 8, 8)
			b.faults.set(tc.fault)
			one(b, hold("t1", 8, tc.payload), at(0))
			one(b, verb(ports.VerbStart, "t1"), at(0))
			assert.Equal(t, b.status(at(second)).Tasks[0].State, tc.want)
		})
	}
}

// TestCheckpointResumes has a task go on from a checkpoint on another backend server.
func TestCheckpointResumes(t *testing.T) {
	first, next := NewBackend("b1", 8, 8), NewBackend("b2", 8, 8)
	one(first, hold("t1", 8, `{"runMS":1500}`), at(0))
	one(first, verb(ports.VerbStart, "t1"), at(0))
	saved := one(first, verb(ports.VerbCheckpoint, "t1"), at(second)).Checkpoint
	assert.Equal(t, one(first, verb(ports.VerbStop, "t1"), at(second)).State, ports.TaskStopped)

	resumed := hold("t2", 8, `{"runMS":1500}`)
	resumed.Checkpoint = saved
	one(next, resumed, at(second))
	one(next, verb(ports.VerbStart, "t2"), at(second))
	assert.Equal(t, next.status(at(1600 * time.Millisecond)).Tasks[0].State, ports.TaskDone)
}

func TestLeavingRefusesNewWork(t *testing.T) {
	b := NewBackend("b1", 8, 8)
	one(b, hold("t1", 1, `{"runMS":60000}`), at(0))
	one(b, hold("t2", 1, ""), at(0))
	one(b, verb(ports.VerbStart, "t1"), at(0))
	b.faults.set(Fault{Leaving: true})
	assert.Equal(t, one(b, hold("t3", 1, ""), at(0)).Refused, ports.RefusedLeaving)
	assert.Equal(t, one(b, verb(ports.VerbStart, "t2"), at(0)).Refused, ports.RefusedLeaving)
	assert.Equal(t, one(b, verb(ports.VerbRenew, "t1"), at(0)).Refused, ports.Refusal(""))
	_, _, refused := b.begin(ports.Execution{Request: "r1"}, at(0))
	assert.Equal(t, refused, ports.RefusedLeaving)
	assert.Equal(t, len(b.Record().Offers), 6)
}

// TestRepeatedExecution has a request arrive again while it runs and after it ended.
func TestRepeatedExecution(t *testing.T) {
	b := NewBackend("b1", 1, 8)
	x, run, _ := b.begin(ports.Execution{Request: "r1", Body: []byte("in")}, at(0))
	assert.Assert(t, run)
	_, run, _ = b.begin(ports.Execution{Request: "r1", Body: []byte("in")}, at(0))
	assert.Assert(t, !run)
	_, _, refused := b.begin(ports.Execution{Request: "r2"}, at(0))
	assert.Equal(t, refused, ports.RefusedFull)
	b.finish(x, Payload{}, at(second))
	again, run, _ := b.begin(ports.Execution{Request: "r1", Body: []byte("in")}, at(second))
	assert.Assert(t, !run)
	assert.Equal(t, b.describe(again).State, ports.ExecutionDone)
	assert.Equal(t, b.Record().Executions[0].Times, 1)
	assert.Equal(t, b.Record().Executions[0].Received, 3)
}

func TestVMListLags(t *testing.T) {
	l := newVMList()
	l.put(ports.VMEntry{Address: "a", State: ports.VMLive}, at(0))
	assert.Equal(t, len(l.list(at(second), 2*second)), 0)
	assert.Equal(t, len(l.list(at(2*second), 2*second)), 1)
	l.remove("a", at(3*second))
	assert.Equal(t, len(l.list(at(4*second), 2*second)), 1)
	assert.Equal(t, len(l.list(at(5*second), 2*second)), 0)
}
