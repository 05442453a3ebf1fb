package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Phase is the progress of a task.
type Phase int

// The phases of a task.
const (
	Waiting Phase = iota // not assigned to a backend server
	Placed               // assigned to a backend server; it may run there
	Done                 // a run has ended successfully
)

// Task is the durable state of one task.
type Task struct {
	Phase Phase `json:"p,omitempty"`
	// Run is the number of the newest run, 0 before the first.
	Run int64 `json:"r,omitempty"`
	// Server is where the newest run was placed.
	Server model.BackendServerID `json:"s,omitempty"`
	// Failures is the number of failed runs.
	Failures   int    `json:"f,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Crashes are the losses of backend servers with a run of the task.
	Crashes []Crash `json:"x,omitempty"`
	// Stops is how often a run of the task, or of its gang, was stopped to make room.
	Stops int `json:"e,omitempty"`
}

// GroupKey identifies a step of one occurrence of a job.
type GroupKey struct {
	Job        model.JobID
	Occurrence int
	Step       int
}

// String returns ID.OCCURRENCE.STEP, the prefix of the names of the group's tasks.
func (k GroupKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// TaskName returns ID.OCCURRENCE.STEP.INDEX.
func (k GroupKey) TaskName(index int) string { return k.String() + "." + strconv.Itoa(index) }

// ParseGroupKey parses the result of GroupKey.String.
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

// ParseTaskName parses the result of GroupKey.TaskName.
func ParseTaskName(s string) (k GroupKey, index int, err error) {
	lastDot := strings.LastIndexByte(s, '.')
	if lastDot < 0 {
		return GroupKey{}, 0, fmt.Errorf("task %q: want ID.OCCURRENCE.STEP.INDEX", s)
	}
	if k, err = ParseGroupKey(s[:lastDot]); err != nil {
		return GroupKey{}, 0, err
	}
	if index, err = strconv.Atoi(s[lastDot+1:]); err != nil {
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
	// changed holds the chunks with tasks that are to be stored, by the number of their first task.
	changed map[int]bool
	// runReadAt holds when the record of the newest run of each task was read; empty if none was.
	runReadAt []time.Time
	// wholeGroup is set if a record of the whole group is stored, from an earlier release.
	wholeGroup bool
	// retired is set if the group is done and its job no longer keeps it.
	retired bool
}

// Step returns the step that the group runs.
func (g *Group) Step() *Step { return &g.State.Job.Steps[g.Index] }

func (g *Group) Key() GroupKey {
	return GroupKey{Job: g.State.Job.ID, Occurrence: g.Occurrence, Step: g.Index}
}

// CountStop notes that the newest run of a task, or of its gang, is stopped to make room. The caller has the tasks
// stored when the run has ended.
func (g *Group) CountStop(index int) {
	if !g.Step().Gang {
		g.Tasks[index].Stops++
		return
	}
	for i := range g.Tasks {
		g.Tasks[i].Stops++
	}
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

// RunReadAt is when the record of the newest run of a task was read; zero if the run may be older than that.
func (g *Group) RunReadAt(index int) time.Time {
	if g.runReadAt == nil {
		return time.Time{}
	}
	return g.runReadAt[index]
}

// ForgetReadTimes forgets when the records of runs were read.
func (g *Group) ForgetReadTimes() { g.runReadAt = nil }

// NextRun returns a number above those of all runs of the task; for a gang, above those
// of all runs of its tasks.
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

// Failed reports whether any task has used up its attempts or is given up for the backend
// servers that it has crashed. The attempts of long-running tasks are not limited.
func (g *Group) Failed() bool {
	for i := range g.Tasks {
		t := &g.Tasks[i]
		if t.GivenUp() || t.Failures >= g.State.Job.Attempts && !g.Step().LongRunning {
			return true
		}
	}
	return false
}
