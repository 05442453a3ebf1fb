// Package authority decides how long the holder of the term may act on it: extend leases and start tasks.
//
// It answers partitions. A holder that is cut off, together with other VMs and backend servers, cannot
// learn that another VM has taken the term, and the backend servers on its side have not seen the newer
// token. If it goes on extending their leases, its successor starts the same tasks elsewhere. While the
// store is away for all VMs, nobody can take the term, and the holder must go on.
//
// What tells the two apart is evidence that nobody had taken the term at some moment: the store's log
// without a newer claim, or the word of every VM that could have claimed it. The holder acts for Limit
// after that moment. A successor may count on it: what a holder grants ends within Limit, plus the
// duration of the grant, after the term was taken from it.
package authority

import "time"

const (
	// Limit is how long a holder acts on evidence. It covers the pauses between reads of the log, and
	// a few lost heartbeats.
	Limit = 1500 * time.Millisecond
	// Margin is what a successor adds to Limit, for clocks of VMs that do not run at quite the same rate
	// and for readings that are some milliseconds old.
	Margin = 500 * time.Millisecond
	// goneAfter is how long a VM has to have been silent while the log was read without a newer claim
	// until it counts as gone. It would have claimed the term by then, or has no part in it.
	goneAfter = 10 * time.Second
)

// Peer is another VM that may take the term.
type Peer struct {
	Node string
	// Asked is since when it has been asked, and Confirmed when it was last sent a question that it has
	// answered without knowing of a newer term; zero if it has not answered.
	Asked, Confirmed time.Time
}

// Evidence is what a holder knows of the term.
type Evidence struct {
	// Log is the newest moment up to which the log is known to hold no newer claim.
	Log time.Time
	// Peers are the VMs that may take the term.
	Peers []Peer
}

// Needed reports whether a VM may have taken the term although the log did not show it: it is not gone.
func (e *Evidence) Needed(p Peer) bool {
	known := p.Confirmed
	if p.Asked.After(known) {
		known = p.Asked
	}
	return e.Log.Sub(known) < goneAfter
}

// Until returns the time until which the holder may act.
func (e *Evidence) Until() time.Time { return e.newest().Add(Limit) }

// newest returns the newest moment at which nobody can have taken the term.
func (e *Evidence) newest() time.Time {
	var oldest time.Time
	found := false
	for _, p := range e.Peers {
		if e.Needed(p) && (!found || p.Confirmed.Before(oldest)) {
			oldest, found = p.Confirmed, true
		}
	}
	if !found || oldest.Before(e.Log) {
		return e.Log
	}
	return oldest
}
