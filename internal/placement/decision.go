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
	options    Options
	zone       Zone
	topology   *topology
	demands    map[model.OrganisationID][]*demand
	cells      *assignment
	guaranteed []bool // per placed gang: runs under a guarantee
	evicting   []bool // per placed gang
	onServer   [][]occupancy

	// Accelerators per server. The cell of a gang that waits for evictions is
	// subtracted from free, which may become negative where releasing is positive.
	free      []int // neither used nor allocated
	releasing []int // still used by gangs that are being stopped
	residual  []int // neither used by guaranteed gangs nor allocated to them
	reserved  []int // kept for the draining reservation
	unused    []int // not used after the starts of this decision

	used   map[model.OrganisationID]int
	bounds map[model.OrganisationID]int
	// Shapes that need not be tried again in this decision.
	impossible        map[model.GangShape]bool // do not fit on the usable servers even if these are empty
	noFreeCell        map[model.GangShape]bool // have no free cell left
	noPreemptibleCell map[model.GangShape]bool // have no cell left that urgent gangs may preempt
	// reservationDue is when the gang that holds the draining reservation may evict
	// others; zero without a reservation.
	reservationDue time.Time
	plan           Plan
}

func newDecision(zone Zone, options Options) *decision {
	zone.Placed = withStartTimes(zone.Now, zone.Placed)
	t := newTopology(zone.Servers)
	d := &decision{
		options:           options,
		zone:              zone,
		topology:          t,
		demands:           make(map[model.OrganisationID][]*demand),
		evicting:          make([]bool, len(zone.Placed)),
		releasing:         make([]int, len(t.servers)),
		reserved:          make([]int, len(t.servers)),
		used:              usedByOrganisation(zone.Placed),
		bounds:            boundsOf(zone.Organisations),
		impossible:        make(map[model.GangShape]bool),
		noFreeCell:        make(map[model.GangShape]bool),
		noPreemptibleCell: make(map[model.GangShape]bool),
	}
	all := demandsIn(zone.AZ, zone.Organisations)
	for _, demand := range all {
		d.demands[demand.organisation] = append(d.demands[demand.organisation], demand)
	}
	d.guaranteed = matchRunning(zone, t, d.demands)
	d.countAccelerators()
	d.cells = assign(t, d.residual, all)
	return d
}

// withStartTimes returns the gangs with those that are still starting counted as
// started now.
func withStartTimes(now time.Time, placed []PlacedGang) []PlacedGang {
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

// countAccelerators computes the amounts per server from the placed gangs.
func (d *decision) countAccelerators() {
	d.free = slices.Clone(d.topology.capacity)
	d.residual = slices.Clone(d.topology.capacity)
	d.onServer = make([][]occupancy, len(d.topology.servers))
	for i := range d.zone.Placed {
		gang := &d.zone.Placed[i]
		d.evicting[i] = gang.Evicting
		for _, member := range gang.Members {
			d.countMember(i, member)
		}
	}
	d.unused = slices.Clone(d.free)
}

func (d *decision) countMember(gang int, member Member) {
	s, known := d.topology.position[member.Server]
	if !known || !d.topology.servers[s].Usable {
		return
	}
	d.free[s] -= member.Accelerators
	if d.evicting[gang] {
		d.releasing[s] += member.Accelerators
	}
	if d.guaranteed[gang] {
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

// allocate subtracts the accelerators of the cell from the free ones.
func (d *decision) allocate(c cell, perTask int) { c.addTo(d.free, perTask, -1) }

// addStart allocates the cell to g and adds the start to the plan.
func (d *decision) addStart(g Gang, c cell, borrowed bool) {
	d.allocate(c, g.Shape.Accelerators)
	c.addTo(d.unused, g.Shape.Accelerators, -1)
	d.used[g.Organisation] += g.Shape.Total()
	d.plan.Starts = append(d.plan.Starts, Start{
		Job:      g.Job,
		Members:  d.topology.members(g.Shape, c),
		Borrowed: borrowed,
	})
}

func (d *decision) addWaiting(g Gang, reason WaitReason) {
	d.plan.Waiting = append(d.plan.Waiting, Waiting{Job: g.Job, Reason: reason})
}

// addEvictions adds the evictions of the victims on behalf of g to the plan.
func (d *decision) addEvictions(victims []int, g Gang) {
	for _, i := range victims {
		d.evicting[i] = true
		gang := &d.zone.Placed[i]
		d.plan.Evictions = append(d.plan.Evictions, Eviction{Job: gang.Job, For: g.Job})
		for _, member := range gang.Members {
			s, known := d.topology.position[member.Server]
			if known && d.topology.servers[s].Usable {
				d.releasing[s] += member.Accelerators
			}
		}
	}
}

// addBacking adds the cell of a guaranteed gang that is not running to the plan.
func (d *decision) addBacking(demand *demand, c cell) {
	d.plan.Backing = append(d.plan.Backing, Backing{
		Organisation: demand.organisation,
		Shape:        demand.shape(),
		Members:      d.topology.members(demand.shape(), c),
	})
}

// canRun reports whether the usable servers could hold the shape if they were empty.
func (d *decision) canRun(shape model.GangShape) bool {
	impossible, known := d.impossible[shape]
	if !known {
		empty := finder{topology: d.topology, room: d.topology.capacity, prefer: preferFirstFit}
		_, ok := empty.find(shape)
		impossible = !ok
		d.impossible[shape] = impossible
	}
	return !impossible
}

// finish adds the parts of the plan that depend on the final state.
func (d *decision) finish() Plan {
	for _, demand := range d.cells.demands {
		for _, c := range demand.cells {
			d.addBacking(demand, c)
		}
		if shortfall := demand.wanted() - len(demand.cells); shortfall > 0 {
			d.plan.Risks = append(d.plan.Risks, Risk{
				Organisation: demand.organisation,
				Guarantee:    demand.guarantee,
				Honoured:     demand.guarantee.Count - shortfall,
			})
		}
	}
	d.plan.Fragmentation = fragmentation(d.topology, d.unused, referenceShapes(d.zone))
	return d.plan
}
