package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The answer to an earlier claim of a VM ended its present one, so that it did not take the term that it had claimed,
// and nobody acted until the next claim.
func TestAnswerToAnEarlierClaimDoesNotEndThePresentOne(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	w.run(2 * time.Second)
	w.holder().dead = true
	var claimant *node
	runUntil(w, "a claim", func() bool {
		for _, n := range w.nodes {
			if !n.dead && n.state.term.claiming {
				claimant = n
			}
		}
		return claimant != nil
	})
	w.deliver(claimant, ClaimAnswered{Epoch: claimant.state.term.claimedEpoch - 1, Err: ErrFenced})
	w.run(100 * time.Millisecond)
	assert.Assert(t, claimant.state.HoldsTerm(), "the term was not taken")
}
