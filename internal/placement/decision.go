package placement

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// occupancy is the part of a placed gang on one server.
type occupancy struct {
	gang         int // position in Zone.Placed
	accelerators int
}

// decision is the working state of one call of Reclaiming.Decide.
type decision struct {
	options  Options
	zone     Zone
	topology *topology
	demands  map[model.OrganisationID][]*demand
	cells    *assignment
	inside   []bool // per placed gang: runs inside a guarantee
	evicting []bool // per placed gang
	onServer [][]occupancy

	// Accelerators per server. Room that was given to a waiting gang is taken off
	// free, which may make it negative while incoming is positive.
	free     []int // unused and not given away
	incoming []int // still used by gangs that are being stopped
	residual []int // not used or claimed by guaranteed gangs
	held     []int // kept by the draining reservation
	physical []int // unused after the starts of this decision

	used         map[model.OrganisationID]int
	bounds       map[model.OrganisationID]int
	impossible   map[model.GangShape]bool // no cell on the usable servers
	full         map[model.GangShape]bool // no free cell any more
	unpreempting map[model.GangShape]bool // no cell by class preemption any more
	// reservationDue is when the draining cell is cleared; zero without a reservation.
	reservationDue time.Time
	plan           Plan
}

func newDecision(zone Zone, options Options) *decision {
	zone.Placed = startedBy(zone.Now, zone.Placed)
	t := newTopology(zone.Servers)
	d := &decision{
		options:      options,
		zone:         zone,
		topology:     t,
		demands:      make(map[model.OrganisationID][]*demand),
		evicting:     make([]bool, len(zone.Placed)),
		incoming:     make([]int, len(t.servers)),
		held:         make([]int, len(t.servers)),
		used:         usedByOrganisation(zone.Placed),
		bounds:       boundsOf(zone.Organisations),
		impossible:   make(map[model.GangShape]bool),
		full:         make(map[model.GangShape]bool),
		unpreempting: make(map[model.GangShape]bool),
	}
	all := demandsIn(zone.AZ, zone.Organisations)
	for _, demand := range all {
		d.demands[demand.organisation] = append(d.demands[demand.organisation], demand)
	}
	d.inside = claimRunning(zone, t, d.demands)
	d.tally()
	d.cells = assign(t, d.residual, all)
	return d
}

// startedBy lets gangs that are just starting count as started now.
func startedBy(now time.Time, placed []PlacedGang) []PlacedGang {
	starting := func(gang PlacedGang) bool { return gang.Started.IsZero() }
	if !slices.ContainsFunc(placed, starting) {
		return placed
	}
	placed = slices.Clone(placed)
	for i := range placed {
		if starting(placed[i]) {
			placed[i].Started = now
		}
	}
	return placed
}

// tally fills the amounts per server from the placed gangs.
func (d *decision) tally() {
	d.free = slices.Clone(d.topology.capacity)
	d.residual = slices.Clone(d.topology.capacity)
	d.onServer = make([][]occupancy, len(d.topology.servers))
	for i := range d.zone.Placed {
		gang := &d.zone.Placed[i]
		d.evicting[i] = gang.Evicting
		for _, member := range gang.Members {
			d.tallyMember(i, member)
		}
	}
	d.physical = slices.Clone(d.free)
}

func (d *decision) tallyMember(gang int, member Member) {
	s, known := d.topology.position[member.Server]
	if !known || !d.topology.servers[s].Usable {
		return
	}
	d.free[s] -= member.Accelerators
	if d.evicting[gang] {
		d.incoming[s] += member.Accelerators
	}
	if d.inside[gang] {
		d.residual[s] -= member.Accelerators
		return
	}
	if d.evicting[gang] {
		return
	}
	list := d.onServer[s]
	if last := len(list) - 1; last >= 0 && list[last].gang == gang {
		list[last].accelerators += member.Accelerators
		return
	}
	d.onServer[s] = append(list, occupancy{gang: gang, accelerators: member.Accelerators})
}

// give takes the accelerators of the cell off the free room.
func (d *decision) give(c cell, perTask int) { c.addTo(d.free, perTask, -1) }

// start adds a start to the plan.
func (d *decision) start(g Gang, c cell, borrowed bool) {
	d.give(c, g.Shape.Accelerators)
	c.addTo(d.physical, g.Shape.Accelerators, -1)
	d.used[g.Organisation] += g.Shape.Total()
	d.plan.Starts = append(d.plan.Starts, Start{
		Job:      g.Job,
		Members:  d.topology.members(g.Shape, c),
		Borrowed: borrowed,
	})
}

// wait adds a waiting gang to the plan.
func (d *decision) wait(g Gang, reason WaitReason) {
	d.plan.Waiting = append(d.plan.Waiting, Waiting{Job: g.Job, Reason: reason})
}

// evict adds evictions in favour of g to the plan.
func (d *decision) evict(victims []int, g Gang) {
	for _, i := range victims {
		d.evicting[i] = true
		gang := &d.zone.Placed[i]
		d.plan.Evictions = append(d.plan.Evictions, Eviction{Job: gang.Job, For: g.Job})
		for _, member := range gang.Members {
			s, known := d.topology.position[member.Server]
			if known && d.topology.servers[s].Usable {
				d.incoming[s] += member.Accelerators
			}
		}
	}
}

// back adds the cell of a guaranteed gang that does not run to the plan.
func (d *decision) back(demand *demand, c cell) {
	d.plan.Backing = append(d.plan.Backing, Backing{
		Organisation: demand.organisation,
		Shape:        demand.shape(),
		Members:      d.topology.members(demand.shape(), c),
	})
}

// canRun reports whether the usable servers could hold the shape when empty.
func (d *decision) canRun(shape model.GangShape) bool {
	impossible, known := d.impossible[shape]
	if !known {
		empty := finder{topology: d.topology, room: d.topology.capacity, prefer: preferFirst}
		_, ok := empty.find(shape)
		impossible = !ok
		d.impossible[shape] = impossible
	}
	return !impossible
}

// finish fills the parts of the plan that rest on the final state.
func (d *decision) finish() Plan {
	for _, demand := range d.cells.demands {
		for _, c := range demand.cells {
			d.back(demand, c)
		}
		if lacking := demand.wanted() - len(demand.cells); lacking > 0 {
			d.plan.Risks = append(d.plan.Risks, Risk{
				Organisation: demand.organisation,
				Guarantee:    demand.guarantee,
				Honoured:     demand.guarantee.Count - lacking,
			})
		}
	}
	d.plan.Fragmentation = fragmentation(d.topology, d.physical, referenceShapes(d.zone))
	return d.plan
}
