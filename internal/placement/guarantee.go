package placement

import (
	"cmp"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// UnplacedGuarantee is a guarantee that does not fit together with the others.
type UnplacedGuarantee struct {
	Organisation model.OrganisationID
	Index        int // position in the organisation's guarantees, from 0
	Guarantee    model.Guarantee
	Fits         int // of Guarantee.Count
}

// UnplacedGuarantees returns the guarantees that do not fit together on the servers when
// all are usable, per availability zone. It returns nil when every guarantee has its
// cells. The search is a heuristic: it may miss an assignment, and never makes one up.
func UnplacedGuarantees(servers []model.BackendServer, organisations []model.Organisation) []UnplacedGuarantee {
	var unfit []UnplacedGuarantee
	for _, az := range guaranteedAZs(organisations) {
		t := newTopology(usableServers(az, servers))
		demands := demandsIn(az, organisations)
		for _, d := range assign(t, t.capacity, demands).unplaced() {
			unfit = append(unfit, UnplacedGuarantee{
				Organisation: d.organisation,
				Index:        d.index,
				Guarantee:    d.guarantee,
				Fits:         len(d.cells),
			})
		}
	}
	return unfit
}

func guaranteedAZs(organisations []model.Organisation) []model.AZ {
	var zones []model.AZ
	for _, organisation := range organisations {
		for _, guarantee := range organisation.Guarantees {
			zones = append(zones, guarantee.AZ)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func sortServers(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// demand is a guarantee with the number of gangs that still need a cell and the
// cells found for them.
type demand struct {
	organisation model.OrganisationID
	index        int
	guarantee    model.Guarantee
	// idle counts the guaranteed gangs that no running gang takes up.
	idle int
	// moving counts running gangs on unusable servers: their cells have to be kept
	// elsewhere, but nobody can claim them before the gang has ended.
	moving int
	cells  []cell
}

func (d *demand) wanted() int { return d.idle + d.moving }

func (d *demand) shape() model.GangShape { return d.guarantee.Shape }

// demandsIn lists the guarantees of an availability zone, all idle, ordered by
// organisation and index.
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

// assignment holds cells for demands, disjoint and inside the room it was made from.
type assignment struct {
	demands []*demand
	guarded []int // accelerators per server that the cells take
}

// unplaced returns the demands that lack cells, in their order.
func (a *assignment) unplaced() []*demand {
	var lacking []*demand
	for _, d := range a.demands {
		if len(d.cells) < d.wanted() {
			lacking = append(lacking, d)
		}
	}
	return lacking
}

func (a *assignment) lacking() int {
	count := 0
	for _, d := range a.unplaced() {
		count += d.wanted() - len(d.cells)
	}
	return count
}

// assign looks for cells for all demands in the room. First fit in a fixed order has
// a property that this package rests on: a gang that starts in a cell of the
// assignment leaves the cells of all the others as they were when the assignment is
// made anew. Other orders are tried only when the first leaves demands without a cell.
func assign(t *topology, room []int, demands []*demand) *assignment {
	var best [][]cell
	bestLacking := -1
	for _, order := range packingOrders {
		a := pack(t, room, demands, order)
		lacking := a.lacking()
		if lacking == 0 {
			return a
		}
		if bestLacking < 0 || lacking < bestLacking {
			bestLacking = lacking
			best = a.take()
		}
	}
	return restore(t, demands, best)
}

// take returns the cells per demand.
func (a *assignment) take() [][]cell {
	cells := make([][]cell, len(a.demands))
	for i, d := range a.demands {
		cells[i] = d.cells
	}
	return cells
}

// restore makes an assignment of cells found earlier.
func restore(t *topology, demands []*demand, cells [][]cell) *assignment {
	a := &assignment{demands: demands, guarded: make([]int, len(t.servers))}
	for i, d := range demands {
		if cells == nil {
			continue
		}
		d.cells = cells[i]
		for _, c := range d.cells {
			c.addTo(a.guarded, d.shape().Accelerators, 1)
		}
	}
	return a
}

// packingOrder compares two demands by which is to be packed first.
type packingOrder func(a, b *demand) int

// packingOrders are tried in turn.
var packingOrders = []packingOrder{largestFirst, widestTaskFirst, tightestAdjacencyFirst}

func largestFirst(a, b *demand) int {
	return cmp.Or(
		cmp.Compare(adjacencyRank(a.shape()), adjacencyRank(b.shape())),
		-cmp.Compare(a.shape().Total(), b.shape().Total()),
		-cmp.Compare(a.shape().Accelerators, b.shape().Accelerators),
	)
}

func widestTaskFirst(a, b *demand) int {
	return cmp.Or(
		-cmp.Compare(a.shape().Accelerators, b.shape().Accelerators),
		largestFirst(a, b),
	)
}

func tightestAdjacencyFirst(a, b *demand) int {
	return cmp.Or(
		-cmp.Compare(a.shape().Total(), b.shape().Total()),
		largestFirst(a, b),
	)
}

// adjacencyRank puts the shapes that need whole racks first, then those on one
// server, then those that fit into what is left.
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

// pack packs the demands by first fit in the given order.
func pack(t *topology, room []int, demands []*demand, order packingOrder) *assignment {
	a := &assignment{demands: demands, guarded: make([]int, len(t.servers))}
	f := finder{topology: t, room: slices.Clone(room), prefer: preferFirst}
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, order)
	skips := make(map[model.GangShape]int) // room only shrinks, so what is skipped stays full
	for _, d := range sorted {
		d.cells = nil
		f.skip = skips[d.shape()]
		for len(d.cells) < d.wanted() {
			c, ok := f.find(d.shape())
			if !ok {
				break
			}
			c.addTo(f.room, d.shape().Accelerators, -1)
			c.addTo(a.guarded, d.shape().Accelerators, 1)
			d.cells = append(d.cells, c)
		}
		skips[d.shape()] = f.skip
	}
	return a
}
