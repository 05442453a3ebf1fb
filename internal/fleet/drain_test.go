package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// A VM without the term reads the entries of the backend servers every few seconds. When it takes
// the term, it must not start tasks on one that has announced meanwhile that it leaves. The
// moments cover the whole time between two reads.
func TestNewHolderStartsNothingOnALeavingServer(t *testing.T) {
	for before := time.Duration(0); before < 4*time.Second; before += 100 * time.Millisecond {
		w := newWorldWithHolder(t, 2, 4)
		w.run(5*time.Second - before%time.Second)
		w.servers["s00"].draining = true
		w.run(before)
		w.holder().dead = true
		for range 50 {
			w.submit(newJob(4, oneAccelerator, 1))
			w.run(100 * time.Millisecond)
		}
	}
}

// ordersTo returns the start orders that were sent to a backend server after since.
func (w *world) ordersTo(id model.BackendServerID, since time.Time) []startOrder {
	var found []startOrder
	for _, o := range w.startOrders {
		if o.Server == id && o.at.After(since) {
			found = append(found, o)
		}
	}
	return found
}

// submitWhileUnstored submits a job with one task per backend server while the holder's decisions
// are not stored, has the first backend server leave, and lets them be stored again.
func submitWhileUnstored(w *world, change func(*fakeServer), gang bool) (id model.JobID, stored time.Time) {
	w.progressUnstored = true
	waiting := newJob(len(w.servers), wholeServer, 1)
	waiting.Steps[0].Gang = gang
	id = w.submit(waiting).ID
	w.run(200 * time.Millisecond) // the placement is decided
	change(w.servers["s00"])
	w.run(2 * time.Second)
	stored = w.now
	w.progressUnstored = false
	return id, stored
}

// A start order waits until its placement is stored. The backend server may have announced
// meanwhile that it leaves, or may be gone.
func TestStartThatWaitedForItsRecordIsNotSentToALeavingServer(t *testing.T) {
	for _, change := range []func(*fakeServer){
		func(s *fakeServer) { s.draining = true },
		func(s *fakeServer) { s.unlisted = true },
	} {
		w := newWorldWithHolder(t, 2, 3)
		id, stored := submitWhileUnstored(w, change, false)
		w.run(6 * time.Second)
		assert.Equal(t, len(w.ordersTo("s00", stored)), 0, "a start was sent after the holder knew that the server leaves")
		assert.Equal(t, w.status(id), job.StatusDone)
	}
}

// No member of a gang is started if another one can no longer be.
func TestGangThatWaitedForItsRecordIsStartedWholeOrNotAtAll(t *testing.T) {
	w := newWorldWithHolder(t, 2, 3)
	_, stored := submitWhileUnstored(w, func(s *fakeServer) { s.draining = true }, true)
	w.run(6 * time.Second)
	for _, o := range w.startOrders {
		assert.Assert(t, o.at.Before(stored), "a member was started on %s though the gang does not fit", o.Server)
	}
}

// A start order without an answer is repeated, but not to a backend server that has announced
// meanwhile that it leaves.
func TestUnansweredStartIsNotRepeatedToALeavingServer(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	w.cutLinks[link(w.holder().name, "s00")] = true
	id := w.submit(newJob(2, wholeServer, 1)).ID
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.ordersTo("s00", time.Time{})), 1)
	first := w.now
	w.servers["s00"].draining = true
	w.run(600 * time.Millisecond)
	clear(w.cutLinks)
	w.run(8 * time.Second)
	assert.Equal(t, len(w.ordersTo("s00", first)), 0, "the start was repeated")
	assert.Equal(t, w.status(id), job.StatusDone)
}
