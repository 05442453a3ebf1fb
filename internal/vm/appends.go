package vm

import (
	"context"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

const (
	// rateUpdateInterval is the interval at which the number of live VMs is checked.
	rateUpdateInterval = time.Second
	// assumedOtherVMs is the assumed number of other VMs while no peer is known.
	assumedOtherVMs = 7
)

// updateAppendRate keeps this VM's append rate at its share of the total until ctx ends.
// VMs that cannot reach each other count fewer live VMs, so during a partition between
// availability zones the sum of the shares may exceed the total.
func (n *node) updateAppendRate(ctx context.Context, total int) {
	ticker := time.NewTicker(rateUpdateInterval)
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

// appendShare returns this VM's share of the total appends per second, at least 1.
func appendShare(total int, peers []control.PeerState) int {
	others := 0
	for _, p := range peers {
		if p.Alive {
			others++
		}
	}
	if len(peers) == 0 {
		others = assumedOtherVMs
	}
	return max(1, total/(others+1))
}
