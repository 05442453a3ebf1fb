package vm

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

const (
	// shareInterval is the time between two looks at the number of live VMs.
	shareInterval = time.Second
	// unknownVMs is the number of other VMs that is assumed before any was heard.
	unknownVMs = 7
)

// shareAppends divides the budget of appends among the live VMs until ctx ends. VMs
// that cannot hear each other each count fewer, so that the sum may pass the budget
// while availability zones are cut off from each other.
func (n *node) shareAppends(ctx context.Context, total int) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.publisher.SetRate(appendShare(total, n.control.View().Peers))
		}
	}
}

// appendShare returns this VM's part of a budget of appends per second, at least 1.
func appendShare(total int, peers []control.PeerState) int {
	others := 0
	for _, p := range peers {
		if p.Alive {
			others++
		}
	}
	if len(peers) == 0 {
		others = unknownVMs
	}
	return max(1, total/(others+1))
}
