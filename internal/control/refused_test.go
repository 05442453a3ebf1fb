package control

import (
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
