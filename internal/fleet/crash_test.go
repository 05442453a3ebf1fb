package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// submitDeadly submits a job whose first task crashes each backend server that starts it.
func (w *world) submitDeadly(j job.Job) (id model.JobID, task string) {
	id = w.submit(j).ID
	task = job.GroupKey{Job: id}.TaskName(0)
	w.deadly[task] = true
	return id, task
}

// A task that crashes each backend server that starts it is given up, and its job fails. The tasks
// that run beside it end.
func TestTaskThatCrashesItsServersIsGivenUp(t *testing.T) {
	w := newWorldWithHolder(t, 2, 8)
	var others []model.JobID
	for range 8 {
		others = append(others, w.submit(newJob(2, oneAccelerator, 12)).ID)
	}
	w.run(3 * time.Second)
	id, task := w.submitDeadly(newJob(1, oneAccelerator, 5))
	w.run(60 * time.Second)
	assert.Equal(t, w.status(id), job.StatusFailed)
	assert.Equal(t, w.oracle.crashes[task], 2)
	w.run(30 * time.Second)
	for _, other := range others {
		assert.Equal(t, w.status(other), job.StatusDone)
	}
}
