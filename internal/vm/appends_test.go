package vm

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

func TestAppendShare(t *testing.T) {
	peers := func(alive, silent int) []control.PeerState {
		list := make([]control.PeerState, alive+silent)
		for i := range alive {
			list[i].Alive = true
		}
		return list
	}
	assert.Equal(t, appendShare(240, nil), 30, "before any peer is known")
	assert.Equal(t, appendShare(240, peers(7, 0)), 30)
	assert.Equal(t, appendShare(240, peers(47, 9)), 5, "VMs that are not alive get no share")
	assert.Equal(t, appendShare(240, peers(0, 7)), 240)
	assert.Equal(t, appendShare(240, peers(500, 0)), 1)
}
