package control

import (
	"testing"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// BenchmarkZone runs one virtual second of an availability zone of the target size: 153
// backend servers (2,900 in 19 zones) with 112 gangs of 20 tasks (42,000 tasks in all zones).
// The measured time includes the fakes.
func BenchmarkZone(b *testing.B) {
	c := newCluster(b, 1, 153)
	for _, info := range c.config.BackendServers {
		info.Accelerators = 16
		c.config.BackendServers[info.ID] = info
		c.servers[info.ID].info = info
	}
	c.run(5 * time.Second)
	for range 112 {
		c.submit(c.vms[0], model.GangShape{Tasks: 20, Accelerators: 1, Adjacency: model.AdjacentAny}, false, 24*time.Hour)
		c.run(100 * time.Millisecond)
	}
	c.run(10 * time.Second)
	if got := c.vms[0].state.View().JobsByState[JobRunning]; got != 112 {
		b.Fatalf("%d gangs are running, want 112", got)
	}
	steps := c.steps
	for b.Loop() {
		c.run(time.Second)
	}
	b.ReportMetric(float64(c.steps-steps)/float64(b.N), "steps/op")
}
