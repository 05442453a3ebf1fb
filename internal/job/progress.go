package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Phase is how far a task has come.
type Phase int

// The phases of a task.
const (
	Waiting Phase = iota // not meant for any backend server
	Placed               // meant for a backend server; it may run there
	Done                 // a run has ended successfully
)

// Task is the durable state of one task.
type Task struct {
	Phase Phase `json:"p,omitempty"`
	// Run is the number of the newest run, 0 before the first.
	Run int64 `json:"r,omitempty"`
	// Server is where the newest run was placed.
	Server model.BackendServerID `json:"s,omitempty"`
	// Failures is the number of runs that ended failed.
	Failures   int    `json:"f,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

// GroupKey names a step of one occurrence of a job.
type GroupKey struct {
	Job        model.JobID
	Occurrence int
	Step       int
}

// String is ID.OCCURRENCE.STEP, the prefix of its tasks' names.
func (k GroupKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// TaskName is ID.OCCURRENCE.STEP.INDEX.
func (k GroupKey) TaskName(index int) string { return k.String() + "." + strconv.Itoa(index) }

// ParseGroupKey reads what String writes.
func ParseGroupKey(s string) (GroupKey, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return GroupKey{}, fmt.Errorf("group %q: want ID.OCCURRENCE.STEP", s)
	}
	occurrence, err := strconv.Atoi(parts[1])
	if err != nil {
		return GroupKey{}, fmt.Errorf("group %q: occurrence: %w", s, err)
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return GroupKey{}, fmt.Errorf("group %q: step: %w", s, err)
	}
	return GroupKey{Job: model.JobID(parts[0]), Occurrence: occurrence, Step: step}, nil
}

// ParseTaskName reads what TaskName writes.
func ParseTaskName(s string) (k GroupKey, index int, err error) {
	cut := strings.LastIndexByte(s, '.')
	if cut < 0 {
		return GroupKey{}, 0, fmt.Errorf("task %q: want ID.OCCURRENCE.STEP.INDEX", s)
	}
	if k, err = ParseGroupKey(s[:cut]); err != nil {
		return GroupKey{}, 0, err
	}
	if index, err = strconv.Atoi(s[cut+1:]); err != nil {
		return GroupKey{}, 0, fmt.Errorf("task %q: index: %w", s, err)
	}
	return k, index, nil
}

// Group is a step of one occurrence with its tasks.
type Group struct {
	State      *State
	Occurrence int
	Index      int // of the step
	Tasks      []Task
}

// Step returns the step that the group runs.
func (g *Group) Step() *Step { return &g.State.Job.Steps[g.Index] }

// Key names the group.
func (g *Group) Key() GroupKey {
	return GroupKey{Job: g.State.Job.ID, Occurrence: g.Occurrence, Step: g.Index}
}

// Done reports whether every task has ended successfully.
func (g *Group) Done() bool {
	for i := range g.Tasks {
		if g.Tasks[i].Phase != Done {
			return false
		}
	}
	return true
}

// NextRun is above the numbers of all runs of the task, and for a gang of all its tasks.
func (g *Group) NextRun(index int) int64 {
	if !g.Step().Gang {
		return g.Tasks[index].Run + 1
	}
	var newest int64
	for i := range g.Tasks {
		newest = max(newest, g.Tasks[i].Run)
	}
	return newest + 1
}

// Failed reports whether the tasks have used up their attempts.
func (g *Group) Failed() bool {
	if g.Step().LongRunning {
		return false
	}
	for i := range g.Tasks {
		if g.Tasks[i].Failures >= g.State.Job.Attempts {
			return true
		}
	}
	return false
}
