package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// How often a task was stopped to make room is known to the VM that takes over.
func TestStopsOutlastATakeOver(t *testing.T) {
	w := newWorldWithHolder(t, 2, 2)
	id := w.submit(newJob(2, wholeServer, 60)).ID
	w.run(time.Second)
	quote := newJob(1, wholeServer, 1)
	quote.Queue, quote.Priority = "quotes", 0
	w.submit(quote)
	w.run(2700 * time.Millisecond)
	for _, n := range w.nodes {
		stops := 0
		for _, task := range n.state.jobs.Job(id).Group(0, 0).Tasks {
			stops += task.Stops
		}
		assert.Equal(t, stops, 1, "on %s, the holder is %s", n.name, w.holder().name)
	}
}
