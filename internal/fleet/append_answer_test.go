package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The numbers of batches start anew with each term. The answer to a batch of an earlier term of this VM confirmed
// placements that were not stored, and had their starts ordered.
func TestAnswerToAnAppendOfAnEarlierTermConfirmsNothing(t *testing.T) {
	w := newWorldWithHolder(t, 2, 2)
	w.run(2 * time.Second)
	n := w.holder()
	other := w.nodes[0]
	if other == n {
		other = w.nodes[1]
	}
	earlier := AppendAnswered{Epoch: n.state.term.token, Offset: 1}
	n.frozen = true
	runUntil(w, "the other VM holds the term", func() bool { return w.holder() == other })
	w.unfreeze(n)
	w.run(time.Second)
	w.deliver(other, DrainStarted{})
	runUntil(w, "the first VM holds the term again", func() bool { return w.holder() == n })
	w.run(time.Second)
	w.progressUnstored = true
	w.submit(newJob(1, oneAccelerator, 5))
	sent := len(w.startOrders)
	for range 40 { // the number of the batch with the placement is one of these
		w.run(10 * time.Millisecond)
		earlier.Number = n.state.writer.sequence
		w.deliver(n, earlier)
	}
	assert.Equal(t, len(w.startOrders), sent, "a start was ordered before its placement was stored")
	earlier.Err = ErrFenced
	w.deliver(n, earlier)
	assert.Assert(t, n.state.HoldsTerm(), "the term was given up for an answer to an earlier one")
}
