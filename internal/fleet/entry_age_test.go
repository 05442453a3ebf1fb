package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The entries were not read for a while. The next list showed that of a silent backend server changed, since it had been
// written after the list before, and the holder took it for proof that the server had not started again after a start
// without an answer. The start began its run in the next incarnation, beside the task elsewhere.
func TestEntryThatWasWrittenBeforeAStartProvesNothingOfIt(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	at, other := idle(t, w)
	v := w.holder().state.servers[at.id]
	runUntil(w, "a list with a new entry", func() bool { return v.heartbeatAt.Equal(w.holder().state.now) })
	w.listsUnread = true
	listed := v.entry.Sequence
	runUntil(w, "the next entry", func() bool { return at.entry(w).Sequence > listed })
	written := at.entry(w)
	late := lostStart(t, w, at)
	runUntil(w, "the start is not answered", func() bool { return !v.grantedAt.IsZero() })
	at.crash(w) // and does not reach the store
	runUntil(w, "the newest call is long over", func() bool { return w.now.Sub(v.grantedAt) > aliveAfter+time.Second })
	other.unlisted = false
	for range 2 {
		w.deliver(w.holder(), ServersListed{Servers: []ServerEntry{written, other.entry(w)}, AsOf: w.now})
		w.run(2 * time.Second)
	}
	_, err := at.start(w, late, "a late order")
	assert.NilError(t, err)
	w.listsUnread = false
	assertRunsOnceMore(t, w, late)
}
