package placement

import (
	"cmp"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// UnplacedGuarantee is a guarantee that does not fit on the servers together with the
// others.
type UnplacedGuarantee struct {
	Organisation model.OrganisationID
	Index        int // position in the organisation's guarantees, from 0
	Guarantee    model.Guarantee
	Fits         int // how many of Guarantee.Count gangs fit
}

// UnplacedGuarantees returns, per availability zone, the guarantees that do not fit on
// the servers together with the others when all servers are usable. It returns nil when
// all fit. The search is a heuristic: it may report guarantees that would fit in another
// assignment, but never accepts guarantees that do not fit.
func UnplacedGuarantees(servers []model.BackendServer, organisations []model.Organisation) []UnplacedGuarantee {
	var unplaced []UnplacedGuarantee
	for _, az := range guaranteedAZs(organisations) {
		t := newTopology(usableServers(az, servers))
		demands := demandsIn(az, organisations)
		for _, d := range assign(t, t.capacity, demands).unplaced() {
			unplaced = append(unplaced, UnplacedGuarantee{
				Organisation: d.organisation,
				Index:        d.index,
				Guarantee:    d.guarantee,
				Fits:         len(d.cells),
			})
		}
	}
	return unplaced
}

func guaranteedAZs(organisations []model.Organisation) []model.AZ {
	var azs []model.AZ
	for _, organisation := range organisations {
		for _, guarantee := range organisation.Guarantees {
			azs = append(azs, guarantee.AZ)
		}
	}
	slices.Sort(azs)
	return slices.Compact(azs)
}

func sortServers(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// demand is a guarantee with the number of its gangs that need a cell and the cells
// found for them.
type demand struct {
	organisation model.OrganisationID
	index        int
	guarantee    model.Guarantee
	// idle counts the guaranteed gangs that are neither running nor being placed.
	idle int
	// onUnusable counts the running gangs with members on unusable servers. They need
	// cells elsewhere too, which no other gang can use before these gangs have ended.
	onUnusable int
	cells      []cell
}

// wanted returns the number of cells that the demand needs.
func (d *demand) wanted() int { return d.idle + d.onUnusable }

func (d *demand) shape() model.GangShape { return d.guarantee.Shape }

// demandsIn lists the guarantees of an availability zone, ordered by organisation and
// index. It does not look at running gangs: all guaranteed gangs count as idle.
func demandsIn(az model.AZ, organisations []model.Organisation) []*demand {
	var demands []*demand
	for _, organisation := range organisations {
		for i, guarantee := range organisation.Guarantees {
			if guarantee.AZ != az || guarantee.Count < 1 {
				continue
			}
			demands = append(demands, &demand{
				organisation: organisation.ID,
				index:        i,
				guarantee:    guarantee,
				idle:         guarantee.Count,
			})
		}
	}
	return demands
}

// assignment holds cells for demands. The cells are disjoint and within the room that
// they were chosen from.
type assignment struct {
	demands  []*demand
	assigned []int // accelerators per server that the cells take
}

// unplaced returns the demands that have fewer cells than they need, in their order.
func (a *assignment) unplaced() []*demand {
	var unplaced []*demand
	for _, d := range a.demands {
		if len(d.cells) < d.wanted() {
			unplaced = append(unplaced, d)
		}
	}
	return unplaced
}

func (a *assignment) shortfall() int {
	count := 0
	for _, d := range a.unplaced() {
		count += d.wanted() - len(d.cells)
	}
	return count
}

// assign looks for cells for all demands in the room. This package relies on a property
// of first fit in a fixed order: when a gang starts in a cell of the assignment, the
// next assignment gives all the others the same cells as before. Other orders are tried
// only when the first one leaves demands without a cell.
func assign(t *topology, room []int, demands []*demand) *assignment {
	var best [][]cell
	bestShortfall := -1
	for _, order := range packingOrders {
		a := pack(t, room, demands, order)
		shortfall := a.shortfall()
		if shortfall == 0 {
			return a
		}
		if bestShortfall < 0 || shortfall < bestShortfall {
			bestShortfall = shortfall
			best = a.cellsPerDemand()
		}
	}
	return assignmentOf(t, demands, best)
}

func (a *assignment) cellsPerDemand() [][]cell {
	cells := make([][]cell, len(a.demands))
	for i, d := range a.demands {
		cells[i] = d.cells
	}
	return cells
}

// assignmentOf makes an assignment from cells found earlier.
func assignmentOf(t *topology, demands []*demand, cells [][]cell) *assignment {
	a := &assignment{demands: demands, assigned: make([]int, len(t.servers))}
	for i, d := range demands {
		if cells == nil {
			continue
		}
		d.cells = cells[i]
		for _, c := range d.cells {
			c.addTo(a.assigned, d.shape().Accelerators, 1)
		}
	}
	return a
}

// packingOrder compares two demands; the lesser is packed first.
type packingOrder func(a, b *demand) int

// packingOrders are tried in this order.
var packingOrders = []packingOrder{byAdjacencyThenSize, largestTaskFirst, largestGangFirst}

func byAdjacencyThenSize(a, b *demand) int {
	return cmp.Or(
		cmp.Compare(adjacencyRank(a.shape()), adjacencyRank(b.shape())),
		-cmp.Compare(a.shape().Total(), b.shape().Total()),
		-cmp.Compare(a.shape().Accelerators, b.shape().Accelerators),
	)
}

func largestTaskFirst(a, b *demand) int {
	return cmp.Or(
		-cmp.Compare(a.shape().Accelerators, b.shape().Accelerators),
		byAdjacencyThenSize(a, b),
	)
}

func largestGangFirst(a, b *demand) int {
	return cmp.Or(
		-cmp.Compare(a.shape().Total(), b.shape().Total()),
		byAdjacencyThenSize(a, b),
	)
}

// adjacencyRank orders shapes by adjacency: first those bound to one rack, then those
// on one server, then those that may be spread over what is left.
func adjacencyRank(shape model.GangShape) int {
	switch {
	case shape.Adjacency == model.AdjacentServer || shape.Tasks == 1:
		return 1
	case shape.Adjacency == model.AdjacentRack:
		return 0
	default:
		return 2
	}
}

// pack chooses cells for the demands by first fit in the given order.
func pack(t *topology, room []int, demands []*demand, order packingOrder) *assignment {
	a := &assignment{demands: demands, assigned: make([]int, len(t.servers))}
	f := finder{topology: t, room: slices.Clone(room), prefer: preferFirstFit}
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, order)
	skips := make(map[model.GangShape]int) // room only shrinks, so a skipped server or rack stays too full
	for _, d := range sorted {
		d.cells = nil
		f.skip = skips[d.shape()]
		for len(d.cells) < d.wanted() {
			c, ok := f.find(d.shape())
			if !ok {
				break
			}
			c.addTo(f.room, d.shape().Accelerators, -1)
			c.addTo(a.assigned, d.shape().Accelerators, 1)
			d.cells = append(d.cells, c)
		}
		skips[d.shape()] = f.skip
	}
	return a
}
