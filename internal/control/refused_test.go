package control

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// A start without an answer was repeated, and its backend server refused the repeat since it was leaving. The task, which
// it still held, counted as ended, and the job was started elsewhere. When the server stayed after all, the first
// start arrived and ran the job a second time beside that.
func TestTaskOfARefusedStartIsStopped(t *testing.T) {
	c := newRunningCluster(t, 2, 2)
	const late = 1200 * time.Millisecond
	var at *fakeServer
	c.onAction = func(n *testVM, a Action) {
		command, ok := a.(Command)
		if !ok || at != nil || len(command.Batch.Commands) == 0 || command.Batch.Commands[0].Verb != ports.VerbStart {
			return
		}
		at = c.servers[command.Server]
		on := link(n.name, command.Address)
		c.lateCalls[on] = lateness(late)
		c.after(linkDelay, func() {
			delete(c.lateCalls, on)
			at.leaving = true
		})
	}
	id := c.submit(c.nonHolder(), oneTask, false, time.Minute)
	c.runUntil(2*time.Second, func() bool { return at != nil })
	c.run(late / 2)
	at.leaving = false
	c.run(5 * time.Second)
	c.assertNoViolations()
	assert.Equal(t, c.running(id), 1)
	for _, task := range at.tasks {
		assert.Equal(t, task.State, ports.TaskStopped)
	}
}

// A backend server refused a hold as leaving after it was taken out of the configuration, and the holder ended with a panic.
func TestServerThatIsNoLongerConfiguredMayRefuseAHold(t *testing.T) {
	c := newRunningCluster(t, 2, 2)
	c.onAction = func(_ *testVM, a Action) {
		command, ok := a.(Command)
		if !ok || len(command.Batch.Commands) == 0 || command.Batch.Commands[0].Verb != ports.VerbHold {
			return
		}
		c.onAction = nil
		c.servers[command.Server].leaving = true
		c.after(0, func() {
			next := *c.config
			next.BackendServers = maps.Clone(c.config.BackendServers)
			delete(next.BackendServers, command.Server)
			*c.config = next
			for _, n := range c.vms {
				n.state.syncedConfig = nil
				c.deliver(n, Ticked{})
			}
		})
	}
	id := c.submit(c.nonHolder(), oneTask, false, time.Second)
	c.run(20 * time.Second)
	assert.Assert(t, c.onAction == nil)
	assert.Equal(t, c.stateOf(c.holder(), id), JobDone)
	c.assertNoViolations()
}
