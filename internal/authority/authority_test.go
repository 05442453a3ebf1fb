package authority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func peer(node string, confirmed float64) Peer {
	return Peer{Node: node, Asked: at(0), Confirmed: at(confirmed)}
}

func TestUntil(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence Evidence
		want     float64 // seconds after which Limit begins
	}{
		{"the log alone", Evidence{Log: at(50)}, 50},
		{"store away, all peers answer", Evidence{Log: at(50), Peers: []Peer{peer("a", 57), peer("b", 56)}}, 56},
		{"cut off with one peer", Evidence{Log: at(50), Peers: []Peer{peer("a", 57), peer("b", 49.8)}}, 50},
		{"a peer that has never answered since it was asked", Evidence{Log: at(5), Peers: []Peer{peer("a", 9), {Node: "b", Asked: at(1)}}}, 5},
		{"a peer that was gone long before the store went away", Evidence{Log: at(50), Peers: []Peer{peer("a", 57), peer("b", 39)}}, 57},
		{"a peer that is silent for a short time", Evidence{Log: at(50), Peers: []Peer{peer("a", 57), peer("b", 41)}}, 50},
		{"all peers gone", Evidence{Log: at(50), Peers: []Peer{peer("a", 30)}}, 50},
	} {
		assert.Equal(t, c.evidence.Until(), at(c.want).Add(Limit), c.name)
	}
}
