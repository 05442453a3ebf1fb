package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// One task of a step ends much sooner than the others, on equal backend servers. The others
// are not stragglers for that, and must end too.
func TestShortTaskDoesNotMakeTheOthersStragglers(t *testing.T) {
	w := newWorldWithHolder(t, 1, 6)
	id := w.submit(newJob(3, oneAccelerator, 8)).ID
	w.run(500 * time.Millisecond)
	for _, s := range w.servers {
		for _, r := range s.runs {
			if r.index == 0 {
				r.duration = 1500 * time.Millisecond
			}
		}
	}
	w.run(24 * time.Second) // the job's objective is three times its runtime
	assert.Equal(t, w.status(id), job.StatusDone)
	assert.Equal(t, w.oracle.starts, 3, "tasks were started again")
}
