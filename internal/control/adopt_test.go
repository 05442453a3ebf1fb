package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Stopped tasks of an earlier placement under the same attempt do not make a complete gang
// count as partial.
func TestUnstartedMembersAreDropped(t *testing.T) {
	s := &State{taskIndex: map[model.BackendServerID]map[model.TaskID]taskRef{"s0": {"t0": {}}, "s1": {"t1": {}, "t2": {}}}}
	g := &gang{size: 2, members: []*member{
		{task: "t0", server: "s0", state: ports.TaskStopped},
		{task: "t1", server: "s1", state: ports.TaskDone},
		{task: "t2", server: "s1", state: ports.TaskRunning},
	}}
	s.dropUnstarted(g)
	assert.Equal(t, len(g.members), 2)
	assert.Equal(t, len(s.taskIndex["s0"]), 0)

	partial := &gang{size: 3, members: g.members}
	s.dropUnstarted(partial)
	assert.Equal(t, len(partial.members), 2)
}
