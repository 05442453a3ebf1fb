// Package sched decides one scheduling round: which waiting tasks start on which
// backend servers, and which running tasks are stopped to make room for them. A round
// depends only on its snapshot: order.go sorts the pending steps, fit.go chooses backend
// servers, and preempt.go chooses the tasks to stop.
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
	// Capacity is what the backend server has when nothing runs.
	Capacity job.Resources
	// Free is what no task uses.
	Free job.Resources
	// Releasing is what tasks that have been told to stop still use.
	Releasing job.Resources
	// Ends lists the running tasks that end by themselves.
	Ends []ExpectedEnd
	// Suspect is set while a task has failed on the backend server and none has succeeded
	// since. It is then used only when no other one fits.
	Suspect bool
	// Failing is set if that failure is recent: gangs of several tasks are not placed there, since
	// each failure breaks a whole gang, while a single task shows as well whether the backend
	// server works again.
	Failing bool
	// Cold is set while it works slowly after its start. Among servers of equal cost the others go first.
	Cold bool
	// Unproven is set while a task on the backend server has not been seen running for a while.
	Unproven bool
	// Isolated is set while such a task is suspected of crashing its backend servers. Nothing
	// else is placed there.
	Isolated bool
	// UnsavedWork is the work that is lost if the backend server crashes, in core-seconds.
	UnsavedWork float64
	// Pace is how fast tasks run here: 1 on an ordinary backend server, 0 if it is not known.
	Pace float64
	// UrgentUse is what urgent tasks use here.
	UrgentUse job.Resources
	// Kinds counts the tasks here by kind of work. It is set only if Snapshot.Slowdowns is.
	Kinds map[job.Kind]int
}

// ExpectedEnd is a task that is expected to end and release its resources after a time.
type ExpectedEnd struct {
	Need  job.Resources
	After time.Duration
}

// PendingStep is a step whose dependencies are done and that has waiting tasks.
type PendingStep struct {
	Key     job.GroupKey
	Service string
	Step    *job.Step
	// Tasks are the indices of the waiting tasks; for a gang all of its tasks.
	Tasks []int
	// Priority is 0 for the most urgent.
	Priority int
	// Guaranteed is set when the organisation's guarantee covers the job. Such a step may
	// preempt any preemptible task; an urgent step only those that are not urgent.
	Guaranteed, Urgent bool
	// Due is when the occurrence became due, and Objective is when it should end.
	Due, Objective time.Time
	// Since is when the step began to wait for its turn, later than Due if other occurrences of its job went before.
	Since time.Time
	// Remaining is the estimated time to the end of the occurrence once the tasks run.
	Remaining time.Duration
	// Kind is the kind of work, and Runtime what one task takes on an ordinary backend server.
	Kind    job.Kind
	Runtime time.Duration
	// TasksPerServer counts the step's tasks on each backend server.
	TasksPerServer map[model.BackendServerID]int
	// Rack is where the step's other tasks run, for a step that should stay on one rack.
	Rack model.RackID
	// Avoid holds the backend servers on which tasks of the step failed lately.
	Avoid map[model.BackendServerID]bool
	// Isolate is set if the tasks are suspected of crashing their backend servers. Each one, or the
	// gang, is placed where nothing else has just started, so that another crash tells who
	// caused it, and where that would cost the least.
	Isolate bool
	// Advised holds the only backend servers that may run the step; nil means all.
	Advised map[model.BackendServerID]bool
	// StartBy is until when all tasks must have begun by the bound of the guarantee; zero if it is not known.
	StartBy time.Time
	// Organisation is that of the job. OrganisationLoad is the room that its running tasks take, in cores divided by
	// OrganisationShare, which is its share of the room as a multiple of an equal one; 0 counts as 1.
	Organisation      model.OrganisationID
	OrganisationLoad  float64
	OrganisationShare float64
}

// PreemptibleTask is a running task that no guarantee covers; it may be stopped to make room.
type PreemptibleTask struct {
	Key    job.GroupKey
	Index  int
	Server model.BackendServerID
	Need   job.Resources
	Gang   bool
	// Urgent tasks are stopped only for a guaranteed step.
	Urgent bool
	// UnsavedWork is the work that is lost when the task is stopped, in core-seconds.
	UnsavedWork float64
	// Stops is how often the task, or its gang, was stopped before to make room.
	Stops int
	// EndsAfter is when the task is expected to end by itself; 0 if that is not known.
	EndsAfter time.Duration
}

// Snapshot is the input of a round.
type Snapshot struct {
	Now         time.Time
	Servers     []Server
	Pending     []PendingStep
	Preemptible []PreemptibleTask
	// StopTime is how long it takes until another task has begun in the room of a task that is stopped. If it is 0,
	// no step waits for room that becomes free by itself.
	StopTime time.Duration
	// FarFactor is how many times as long tasks take on other racks than the one that they run best on; 0 if it is not
	// known.
	FarFactor float64
	// UrgentRoom is the room that urgent work of each service used lately, on average. It holds only services where
	// tasks have been stopped lately to make room.
	UrgentRoom map[string]job.Resources
	// Shapes are what the demand asks for. A service with fewer than two is packed by the room that is left.
	Shapes []Shape
	// Explain asks for the reasons in Plan.Unplaced.
	Explain bool
	// Slowdowns holds the kinds of work that are known to slow each other down on one backend server: the share
	// of its pace that the first one of a pair loses by each task of the second one.
	Slowdowns map[KindPair]float64
}

// KindPair is a kind of work and a neighbour of it.
type KindPair struct{ Slowed, By job.Kind }

// Placement starts a task on a backend server.
type Placement struct {
	Key    job.GroupKey
	Index  int
	Server model.BackendServerID
	// Far is set when tasks of the step are placed on other racks than the one that it runs
	// best on: away from its data, or on several racks.
	Far bool
	// Beside is how much of its pace the task, and those that are on the backend server already, lose by each other as
	// far as that is known: the sum of shares.
	Beside float64
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
	// Unplaced are the steps of which some tasks found no place, in the order of the round.
	Unplaced []Unplaced
	// Earmarks tell for which gangs that wait room is kept.
	Earmarks []Earmark
}

// Earmark is room that is kept for a gang that waits.
type Earmark struct {
	Key job.GroupKey
	// After is the time after which the gang is expected to start there.
	After time.Duration
	// Share is the room as a share of the capacity of the service.
	Share float64
}

// Unplaced is a step that waits on, and why.
type Unplaced struct {
	Key    job.GroupKey
	Tasks  int    // that found no place
	Reason Reason // empty unless the snapshot asks for reasons
}

// Reason is why a step finds no place.
type Reason string
