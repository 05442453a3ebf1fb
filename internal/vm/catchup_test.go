package vm

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

func TestPeerAhead(t *testing.T) {
	alive := func(applied int64) control.PeerState { return control.PeerState{Alive: true, Applied: applied} }
	for name, tc := range map[string]struct {
		peers []control.PeerState
		next  int64
		want  bool
	}{
		"no peers":           {nil, 5, false},
		"equal":              {[]control.PeerState{alive(4)}, 5, false},
		"one ahead":          {[]control.PeerState{alive(4), alive(5)}, 5, true},
		"ahead but dead":     {[]control.PeerState{{Applied: 9}}, 5, false},
		"nothing read yet":   {[]control.PeerState{alive(1)}, 0, true},
		"nothing anywhere":   {[]control.PeerState{alive(0)}, 0, false},
		"this VM is further": {[]control.PeerState{alive(4)}, 9, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, peerAhead(tc.peers, tc.next), tc.want) })
	}
}
