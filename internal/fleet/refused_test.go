package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// A backend server had crashed, and another incarnation answered at its address. It refused all orders, and
// the tasks that had run there were never started again (issue 34, LOST; random day 21 of
// swanbank-ribs-grown).
func TestTasksLeaveAServerWhoseAddressAnswersAsAnother(t *testing.T) {
	w := newWorldWithHolder(t, 2, 3)
	w.servers["s02"].draining = true
	id := w.submit(newJob(16, oneAccelerator, 4)).ID
	w.run(2 * time.Second)
	w.servers["s02"].draining = false
	s := w.servers["s00"]
	startedAt := s.startedAt
	s.crash(w)
	s.startedAt, s.refuses = startedAt, RefusedOtherIncarnation // its entry is still the old one
	w.run(leaseDuration + 8*time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
}

// A backend server that refuses all orders lets its leases end: its tasks run elsewhere, once.
func TestTasksLeaveAServerThatRefusesAllOrders(t *testing.T) {
	w := newWorldWithHolder(t, 2, 3)
	w.servers["s02"].draining = true
	id := w.submit(newJob(16, oneAccelerator, 12)).ID
	w.run(2 * time.Second)
	w.servers["s02"].draining = false
	w.servers["s00"].refuses = RefusedUnhealthy
	w.run(leaseDuration + 16*time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
}
