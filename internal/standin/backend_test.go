package standin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

const second = time.Second

var testStart = time.Now()

// at returns the time d after testStart.
func at(d time.Duration) time.Time { return testStart.Add(d) }

func hold(id model.TaskID, accelerators int, payload string) ports.TaskCommand {
	return ports.TaskCommand{
		Verb: ports.VerbHold, Task: id, Accelerators: accelerators, Members: 2, Lease: 2 * second, Payload: payload,
	}
}

func taskCommand(v ports.Verb, id model.TaskID) ports.TaskCommand {
	return ports.TaskCommand{Verb: v, Task: id, Lease: 2 * second}
}

// runCommand executes one command and returns its result.
func runCommand(b *Backend, c ports.TaskCommand, now time.Time) ports.TaskResult {
	return b.command(ports.CommandBatch{Commands: []ports.TaskCommand{c}}, now)[0]
}

// TestLeaseEndsTask checks that a task ends when its lease expires, before its run time is over.
func TestLeaseEndsTask(t *testing.T) {
	b := NewBackend("b1", 8, 8)
	runCommand(b, hold("t1", 8, `{"runMS":60000}`), at(0))
	assert.Equal(t, runCommand(b, taskCommand(ports.VerbStart, "t1"), at(1*second)).State, ports.TaskRunning)
	assert.Equal(t, runCommand(b, taskCommand(ports.VerbRenew, "t1"), at(2*second)).State, ports.TaskRunning)
	assert.Equal(t, runCommand(b, hold("t2", 1, ""), at(3*second)).Refused, ports.RefusedFull)
	assert.Equal(t, runCommand(b, hold("t2", 8, ""), at(5*second)).Refused, ports.Refusal(""))
	late := runCommand(b, taskCommand(ports.VerbRenew, "t1"), at(5*second))
	assert.Equal(t, late.Refused, ports.RefusedNotActive)
	assert.Equal(t, late.State, ports.TaskLeaseExpired)
	assert.Equal(t, b.tasks["t1"].ended, at(4*second))
}

// TestTaskEnds covers the outcomes that the payload and the fault determine.
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
			b.injector.set(tc.fault)
			runCommand(b, hold("t1", 8, tc.payload), at(0))
			runCommand(b, taskCommand(ports.VerbStart, "t1"), at(0))
			assert.Equal(t, b.status(at(second)).Tasks[0].State, tc.want)
		})
	}
}

// TestCheckpointResumes checks that a task resumes from a checkpoint on another backend server.
func TestCheckpointResumes(t *testing.T) {
	first, next := NewBackend("b1", 8, 8), NewBackend("b2", 8, 8)
	runCommand(first, hold("t1", 8, `{"runMS":1500}`), at(0))
	runCommand(first, taskCommand(ports.VerbStart, "t1"), at(0))
	saved := runCommand(first, taskCommand(ports.VerbCheckpoint, "t1"), at(second)).Checkpoint
	assert.Equal(t, runCommand(first, taskCommand(ports.VerbStop, "t1"), at(second)).State, ports.TaskStopped)

	resumed := hold("t2", 8, `{"runMS":1500}`)
	resumed.Checkpoint = saved
	runCommand(next, resumed, at(second))
	runCommand(next, taskCommand(ports.VerbStart, "t2"), at(second))
	assert.Equal(t, next.status(at(1600 * time.Millisecond)).Tasks[0].State, ports.TaskDone)
}

func TestLeavingRefusesNewWork(t *testing.T) {
	b := NewBackend("b1", 8, 8)
	runCommand(b, hold("t1", 1, `{"runMS":60000}`), at(0))
	runCommand(b, hold("t2", 1, ""), at(0))
	runCommand(b, taskCommand(ports.VerbStart, "t1"), at(0))
	b.injector.set(Fault{Leaving: true})
	assert.Equal(t, runCommand(b, hold("t3", 1, ""), at(0)).Refused, ports.RefusedLeaving)
	assert.Equal(t, runCommand(b, taskCommand(ports.VerbStart, "t2"), at(0)).Refused, ports.RefusedLeaving)
	assert.Equal(t, runCommand(b, taskCommand(ports.VerbRenew, "t1"), at(0)).Refused, ports.Refusal(""))
	_, _, refused := b.beginExecution(ports.Execution{Request: "r1"}, at(0))
	assert.Equal(t, refused, ports.RefusedLeaving)
	assert.Equal(t, len(b.Record().Offers), 6)
}

// TestRepeatedExecution checks that a request that arrives again, while it runs or after
// it ended, is not executed a second time.
func TestRepeatedExecution(t *testing.T) {
	b := NewBackend("b1", 1, 8)
	x, mustRun, _ := b.beginExecution(ports.Execution{Request: "r1", Body: []byte("in")}, at(0))
	assert.Assert(t, mustRun)
	_, mustRun, _ = b.beginExecution(ports.Execution{Request: "r1", Body: []byte("in")}, at(0))
	assert.Assert(t, !mustRun)
	_, _, refused := b.beginExecution(ports.Execution{Request: "r2"}, at(0))
	assert.Equal(t, refused, ports.RefusedFull)
	b.finishExecution(x, Payload{}, at(second))
	again, mustRun, _ := b.beginExecution(ports.Execution{Request: "r1", Body: []byte("in")}, at(second))
	assert.Assert(t, !mustRun)
	assert.Equal(t, b.currentAnswer(again).State, ports.ExecutionDone)
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
