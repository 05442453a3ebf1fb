// Package sched decides one scheduling round: which waiting tasks start on which
// backend servers, and which running tasks make room. It is pure: a round is a
// function of a snapshot, and its order of work, its fit and its victims are separate files.
package sched

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Server is a backend server that may take tasks.
type Server struct {
	ID      model.BackendServerID
	Service string
	Rack    model.RackID
	Labels  []string
	// Capacity is what it has when nothing runs.
	Capacity job.Resources
	// Free is what no task holds.
	Free job.Resources
	// Releasing is held by tasks that have been told to stop.
	Releasing job.Resources
	// Slow backend servers are taken only when no other fits.
	Slow bool
}

// PendingStep is a step whose dependencies are done and of which tasks wait.
type PendingStep struct {
	Key     job.GroupKey
	Service string
	Step    *job.Step
	// Tasks are the indices that wait; for a gang all of its tasks.
	Tasks []int
	// Priority is 0 for the most urgent.
	Priority int
	// Guaranteed tells that the organisation's guarantee covers the job, so that all
	// others make room for it. Urgent steps have only those of lower priority make room.
	Guaranteed, Urgent bool
	// Due is when the occurrence became due, and Objective when it should end.
	Due, Objective time.Time
	// Remaining is the estimated time to the end of the occurrence once the tasks run.
	Remaining time.Duration
	// TasksPerServer counts the step's tasks on each backend server.
	TasksPerServer map[model.BackendServerID]int
	// Rack is where the step's other tasks run, for a step that must stay on one rack.
	Rack model.RackID
	// Avoid names backend servers where tasks of the step failed.
	Avoid map[model.BackendServerID]bool
	// Advised names the only backend servers that may run the step; nil means all.
	Advised map[model.BackendServerID]bool
}

// PreemptibleTask is a running task that no guarantee covers; it may be stopped to make room.
type PreemptibleTask struct {
	Key    job.GroupKey
	Index  int
	Server model.BackendServerID
	Need   job.Resources
	Gang   bool
	// Urgent tasks make room for a guarantee only.
	Urgent bool
	// UnsavedWork is the work that a stop throws away, in core-seconds.
	UnsavedWork float64
}

// Snapshot is the input of a round.
type Snapshot struct {
	Now         time.Time
	Servers     []Server
	Pending     []PendingStep
	Preemptible []PreemptibleTask
}

// Placement starts a task on a backend server.
type Placement struct {
	Key    job.GroupKey
	Index  int
	Server model.BackendServerID
	// Far tells that the task runs away from its data or its gang over several racks.
	Far bool
}

// Eviction stops a task to make room for another step.
type Eviction struct {
	Key   job.GroupKey
	Index int
	For   job.GroupKey
}

// Plan is the outcome of a round.
type Plan struct {
	Placements []Placement
	Evictions  []Eviction
}
