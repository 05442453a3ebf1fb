// Package placement decides where gangs run in one availability zone. It is pure:
// a decision depends on its arguments alone.
package placement

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Server is a backend server of the availability zone.
type Server struct {
	model.BackendServer
	// Usable is false for a server that is lost, leaving or quarantined. Running
	// tasks on it keep their accelerators, but it takes no new work.
	Usable bool
}

// Gang is a job to place.
type Gang struct {
	Job          model.JobID
	Organisation model.OrganisationID
	Shape        model.GangShape
	Class        model.Class
	Submitted    time.Time
	// Queued is when a gang that was stopped went back to the queue; zero for a gang
	// that never ran.
	Queued time.Time
	// DeclaredRuntime is a hint and may be far off.
	DeclaredRuntime time.Duration
	// Avoid lists servers on which earlier attempts failed.
	Avoid []model.BackendServerID
}

// waitingSince returns since when the gang waits.
func (g *Gang) waitingSince() time.Time {
	if g.Queued.After(g.Submitted) {
		return g.Queued
	}
	return g.Submitted
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
	// Evicting is set when a stop is under way; the accelerators are not free yet.
	Evicting bool
	// Started is when the gang started; zero for one that is just starting.
	Started time.Time
}

// Zone is the state that a decision is made on. It is not changed.
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

// Start is a decision to hold and start a gang now.
type Start struct {
	Job      model.JobID
	Members  []Member
	Borrowed bool
}

// Eviction is a decision to checkpoint and stop a borrowed gang.
type Eviction struct {
	Job model.JobID
	For model.JobID // the job that reclaims
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

// Backing is the cell of a guaranteed gang that does not run: accelerators that are
// free or that evicting borrowed gangs frees.
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
	// Backing proves that every guarantee can be reclaimed: the cells are disjoint and
	// hold no gang inside a guarantee once the plan is applied.
	Backing []Backing
	// Promotions are running borrowed gangs that from now on run inside a guarantee,
	// and Demotions the opposite. The caller changes Placed.Borrowed accordingly; when
	// it does not, later plans name them again.
	Promotions []model.JobID
	Demotions  []model.JobID
	// Fragmentation is the share, 0 to 1, of free accelerators that no reference
	// shape can use.
	Fragmentation float64
}

// Policy decides on the pending gangs, which are ordered by submission.
type Policy interface {
	Decide(zone Zone, pending []Gang) Plan
}
