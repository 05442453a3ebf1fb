package vm

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

// offsetCheckInterval is the interval of checks of the offsets in the peers' heartbeats.
const offsetCheckInterval = 250 * time.Millisecond

// watchOffsets makes the follower fetch from a peer while a peer is ahead, so that a VM
// that gets no data from the platform need not wait for its long poll to end. It also
// tells the control loop how far the log has been trimmed.
func (n *node) watchOffsets(ctx context.Context) {
	ticker := time.NewTicker(offsetCheckInterval)
	defer ticker.Stop()
	var first int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if peerAhead(n.control.View().Peers, n.follower.Next()) {
			n.follower.TriggerFetch()
		}
		if offset := n.follower.First(); offset != first {
			first = offset
			n.control.Trimmed(first)
		}
	}
}

// peerAhead reports whether a live peer has applied the record at offset next.
func peerAhead(peers []control.PeerState, next int64) bool {
	for _, p := range peers {
		if p.Alive && p.Applied >= next && p.Applied > 0 {
			return true
		}
	}
	return false
}

// caughtUp reports whether the follower has delivered all records that the platform, or
// the peer that answered in its place, had when it was asked.
func (n *node) caughtUp() bool {
	select {
	case <-n.follower.CaughtUp():
		return true
	default:
		return false
	}
}
