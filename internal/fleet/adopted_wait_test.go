package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A backend server restarted as the holder failed. A task that had been at work there for half a minute waited for
// 18 s, as if its start order could still be under way.
func TestTaskThatWasAtWorkDoesNotWaitForItsStartAfterATakeOver(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	name, at := runningTask(t, w, 60, 30*time.Second)
	w.holder().dead = true
	at.crash(w)
	w.run(5 * time.Second)
	assert.Equal(t, w.oracle.startsOf[name], 2, "the task was not started again")
}
