package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/boottime"
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

// A holder that does not read the entries of the backend servers, though the store serves others,
// does not know which of them leave. It starts tasks again once it does.
func TestHolderWithAnOldListStartsNothing(t *testing.T) {
	w := newWorldWithHolder(t, 2, 4)
	listed := w.holder().listedAt
	w.listsLimited = true
	for range 50 {
		w.submit(newJob(1, oneAccelerator, 1))
		w.run(100 * time.Millisecond)
	}
	for _, o := range w.startOrders {
		assert.Assert(t, o.at.Before(listed.Add(drainBound)), "a start was sent on a list that was %v old", o.at.Sub(listed))
	}
	w.listsLimited = false
	id := w.submit(newJob(1, oneAccelerator, 1)).ID
	w.run(3 * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
}

// While the store does not serve the entries of the backend servers, these cannot announce that they
// leave. Tasks are started on the last list, but not for longer than servers stay.
func TestHolderStartsTasksWhileTheListsPartitionIsAway(t *testing.T) {
	w := newWorldWithHolder(t, 2, 4)
	listed := w.holder().listedAt
	w.listsUnread = true
	w.run(5 * time.Second)
	id := w.submit(newJob(1, oneAccelerator, 1)).ID
	w.run(2 * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
	for range 80 {
		w.submit(newJob(1, oneAccelerator, 1))
		w.run(100 * time.Millisecond)
	}
	for _, o := range w.startOrders {
		assert.Assert(t, o.at.Before(listed.Add(maxListAge+drainBound)), "a start was sent on a list that was %v old", o.at.Sub(listed))
	}
}

// The list may get too old while a start waits for its placement to be stored.
func TestStartThatWaitedForItsRecordIsNotSentOnAnOldList(t *testing.T) {
	w := newWorldWithHolder(t, 2, 3)
	_, stored := submitWhileUnstored(w, func(*fakeServer) { w.listsLimited = true }, false)
	listed := w.holder().listedAt
	w.run(2 * time.Second)
	for _, o := range w.startOrders {
		assert.Assert(t, o.at.Before(stored) || o.at.Before(listed.Add(drainBound)), "a start was sent on a list that was %v old", o.at.Sub(listed))
	}
	w.listsLimited = false
	w.run(4 * time.Second)
	for _, o := range w.startOrders {
		assert.Assert(t, o.at.Before(o.SendBefore))
	}
	assert.Equal(t, len(w.startOrders), 3)
}

// startCounter counts the start orders that reach it.
type startCounter struct {
	BackendServers
	starts int
}

func (c *startCounter) Start(context.Context, Start) (int64, error) {
	c.starts++
	return 0, nil
}

// A start order may wait for a processor, or the VM may be suspended, after the order was given.
func TestExpiredStartIsNotSent(t *testing.T) {
	servers := &startCounter{}
	l := New(Options{Servers: servers, Log: zap.NewNop(), Counters: NewCounters(tally.NoopScope)})
	answer := l.start(t.Context(), Start{SendBefore: boottime.Now().Add(-time.Millisecond)})
	assert.ErrorIs(t, answer.(StartAnswered).Err, ErrExpired)
	assert.Equal(t, servers.starts, 0)
	answer = l.start(t.Context(), Start{SendBefore: boottime.Now().Add(time.Minute)})
	assert.NilError(t, answer.(StartAnswered).Err)
	assert.Equal(t, servers.starts, 1)
}

// A start order that was not sent leaves its task to the next round.
func TestTaskOfAnExpiredStartIsPlacedAgain(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	w.expireStarts = 2
	id := w.submit(newJob(1, oneAccelerator, 1)).ID
	w.run(3 * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
	assert.Equal(t, w.oracle.starts, 1)
}
