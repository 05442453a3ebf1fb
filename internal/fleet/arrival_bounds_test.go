package fleet

import (
	"testing"
)

// A successor was to repeat a start of the previous holder, gave it up, and placed the task elsewhere at once,
// although the start of the previous holder could still arrive.
func TestGivenUpRepeatOfAStartDoesNotHideTheFirstOrder(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	at, other := restartedServers(t, w)
	late := lostStart(t, w, at)
	w.holder().dead = true
	at.draining, at.drainingSince = true, w.now
	other.unlisted = false
	assertNotElsewhere(t, w, late, at)
}
