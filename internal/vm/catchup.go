package vm

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

// catchUpInterval is the time between looks at the offsets in the peers' heartbeats.
const catchUpInterval = 250 * time.Millisecond

// catchUp makes the follower fetch from a peer while one is ahead, so that a VM
// whose link to the platform is silent does not wait for its long poll to end. It
// also tells control how far the log was trimmed.
func (n *node) catchUp(ctx context.Context) {
	ticker := time.NewTicker(catchUpInterval)
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
		if now := n.follower.First(); now != first {
			first = now
			n.control.Trimmed(first)
		}
	}
}

// peerAhead reports whether a live peer applied the record at offset next.
func peerAhead(peers []control.PeerState, next int64) bool {
	for _, p := range peers {
		if p.Alive && p.Applied >= next && p.Applied > 0 {
			return true
		}
	}
	return false
}

// caughtUp reports whether the VM has applied all that the platform, or the peer
// that answered in its place, had when asked.
func (n *node) caughtUp() bool {
	select {
	case <-n.follower.CaughtUp():
		return true
	default:
		return false
	}
}
