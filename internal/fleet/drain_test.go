package fleet

import (
	"testing"
	"time"
)

// A VM without the term reads the entries of the backend servers every few seconds. When it takes
// the term, it must not start tasks on one that has announced meanwhile that it leaves. The
// moments cover the whole time between two reads.
func TestNewHolderStartsNothingOnALeavingServer(t *testing.T) {
	for before := time.Duration(0); before < 4*time.Second; before += 100 * time.Millisecond {
		w := newWorldWithHolder(t, 2, 4)
		w.run(5*time.Second - before%time.Second)
		w.servers["s00"].draining = true
		w.run(before)
		w.holder().dead = true
		for range 50 {
			w.submit(newJob(4, oneAccelerator, 1))
			w.run(100 * time.Millisecond)
		}
	}
}
