// Package placement decides where gangs run in one availability zone. A decision
// depends only on its arguments.
package placement

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Server is a backend server of the availability zone.
type Server struct {
	model.BackendServer
	// Usable is false for a server that is lost, leaving or quarantined. Its running
	// tasks keep their accelerators, but it takes no new work.
	Usable bool
}

// Gang is a job to place.
type Gang struct {
	Job          model.JobID
	Organisation model.OrganisationID
	Shape        model.GangShape
	Class        model.Class
	Submitted    time.Time
	// Queued is when a stopped gang went back to the queue; zero for a gang that has
	// never run.
	Queued time.Time
	// Waited is how long the gang waited before each start so far, in all. Neither evictions nor failures reset it.
	Waited time.Duration
	// DeclaredRuntime is a hint and may be far off.
	DeclaredRuntime time.Duration
	// Avoid lists servers on which earlier attempts failed.
	Avoid []model.BackendServerID
}

// waitingSince returns when the gang last entered the queue.
func (g *Gang) waitingSince() time.Time {
	if g.Queued.After(g.Submitted) {
		return g.Queued
	}
	return g.Submitted
}

// waitReaches returns when a waiting gang will have waited for the time, counting all of its waits.
func (g *Gang) waitReaches(wait time.Duration) time.Time {
	return g.waitingSince().Add(wait - g.Waited)
}

// Member is one task of a placed gang. Members on one server are separate entries.
type Member struct {
	Server       model.BackendServerID
	Accelerators int
}

// PlacedGang is a gang that holds accelerators.
type PlacedGang struct {
	Gang
	Members []Member // Shape.Tasks entries
	// Borrowed is set when the gang runs beyond its organisation's guarantee and
	// may be preempted.
	Borrowed bool
	// Evicting is set while the gang is being stopped; its accelerators are not free yet.
	Evicting bool
	// Started is when the gang started; zero while it is starting.
	Started time.Time
}

// Zone is the input of a decision, which does not modify it.
type Zone struct {
	AZ            model.AZ
	Servers       []Server             // ordered by ID
	Organisations []model.Organisation // ordered by ID
	Placed        []PlacedGang         // ordered by job ID
	Now           time.Time
}

// WaitReason says why a gang was not placed.
type WaitReason string

// The reasons for waiting.
const (
	WaitNoHealthyCell  WaitReason = "no healthy cell can hold the shape"
	WaitQuota          WaitReason = "organisation is at its accelerator bound"
	WaitCapacity       WaitReason = "accelerators are in use"
	WaitReclaim        WaitReason = "reclaiming borrowed accelerators"
	WaitReserved       WaitReason = "a cell is draining for this job"
	WaitBacksGuarantee WaitReason = "free accelerators back a guarantee"
)

// Start is a decision to reserve a cell for a gang and to start the gang now.
type Start struct {
	Job      model.JobID
	Members  []Member
	Borrowed bool
}

// Eviction is a decision to checkpoint and stop a borrowed gang.
type Eviction struct {
	Job model.JobID
	For model.JobID // the job that needs the accelerators
}

// Waiting is a gang that stays in the queue.
type Waiting struct {
	Job    model.JobID
	Reason WaitReason
}

// Risk is a guarantee that cannot be honoured in full on the usable servers.
type Risk struct {
	Organisation model.OrganisationID
	Guarantee    model.Guarantee
	Honoured     int
}

// Backing is the cell set aside for a guaranteed gang that is not running. Its
// accelerators are free or become free when borrowed gangs are evicted.
type Backing struct {
	Organisation model.OrganisationID
	Shape        model.GangShape
	Members      []Member
}

// Plan is the result of a decision.
type Plan struct {
	Starts    []Start
	Evictions []Eviction
	Waiting   []Waiting
	Risks     []Risk
	// Backing shows that every guarantee can be reclaimed: once the plan is applied,
	// the cells are disjoint and no gang under a guarantee runs in them.
	Backing []Backing
	// Promotions are running borrowed gangs that run under a guarantee from now on;
	// Demotions are the opposite. The caller updates PlacedGang.Borrowed; until it
	// does, later plans list the same gangs again.
	Promotions []model.JobID
	Demotions  []model.JobID
	// Fragmentation is the share, 0 to 1, of free accelerators that no reference
	// shape can use.
	Fragmentation float64
}

// Policy makes a plan for the pending gangs, which are ordered by submission.
type Policy interface {
	Decide(zone Zone, pending []Gang) Plan
}
