package placement

import "slices"

// startGuaranteed places a gang that the demand covers, or returns false when the
// demand has no cell left. The gang uses the guarantee whether it starts now or waits
// for evictions.
func (d *decision) startGuaranteed(g Gang, covering *demand) bool {
	if len(covering.cells) == 0 {
		return false
	}
	waitsForBound := d.evictForOwnBound(g)
	c, victims := d.guaranteedCell(g, covering)
	covering.idle--
	c.addTo(d.residual, g.Shape.Accelerators, -1)
	startable := !waitsForBound && len(victims) == 0 && c.fitsIn(d.free, g.Shape.Accelerators)
	if startable {
		d.addStart(g, c, false)
		return true
	}
	d.addEvictions(victims, g)
	d.allocate(c, g.Shape.Accelerators)
	d.addBacking(covering, c)
	d.addWaiting(g, WaitReclaim)
	return true
}

// guaranteedCell chooses a cell for g and removes one cell of the demand from the
// assignment. In order of preference it chooses an assigned cell of the same shape that
// is free, free room that is not assigned, the assigned cell of the same shape that
// needs the fewest evictions, and any other cell that evictions can free.
func (d *decision) guaranteedCell(g Gang, covering *demand) (cell, []int) {
	avoid := avoided(d.topology, g)
	pool := d.cellsOfShape(covering)
	for _, p := range pool {
		c := p.cell()
		if !usesAny(c, avoid) && c.fitsIn(d.free, g.Shape.Accelerators) {
			d.removeCell(covering, p)
			return c, nil
		}
	}
	unassigned := finder{topology: d.topology, room: d.freeUnassignedRoom(), prefer: preferBestFit, avoid: avoid}
	if c, ok := unassigned.find(g.Shape); ok {
		d.removeCell(covering, assignedCell{demand: covering, index: len(covering.cells) - 1})
		return c, nil
	}
	if p, victims, ok := d.assignedCellWithFewestEvictions(pool, g, avoid); ok {
		c := p.cell()
		d.removeCell(covering, p)
		return c, victims
	}
	if c, victims, ok := d.cellWithFewestEvictions(g, d.unassignedRoom(), anyBorrowed); ok {
		d.removeCell(covering, assignedCell{demand: covering, index: len(covering.cells) - 1})
		return c, victims
	}
	// Only cells on avoided servers are left.
	p, victims, _ := d.assignedCellWithFewestEvictions(pool, g, nil)
	c := p.cell()
	d.removeCell(covering, p)
	return c, victims
}

// assignedCell identifies one cell of the assignment.
type assignedCell struct {
	demand *demand
	index  int
}

func (p assignedCell) cell() cell { return p.demand.cells[p.index] }

// cellsOfShape returns the cells of all demands with the same shape as the covering
// one. These cells are interchangeable.
func (d *decision) cellsOfShape(covering *demand) []assignedCell {
	var pool []assignedCell
	for _, other := range d.cells.demands {
		if other.shape() != covering.shape() {
			continue
		}
		for i := range other.cells {
			pool = append(pool, assignedCell{demand: other, index: i})
		}
	}
	return pool
}

// removeCell removes a cell from the assignment for a gang of the covering demand. If
// the cell belongs to another demand, that demand gets one of the covering demand's
// cells in exchange.
func (d *decision) removeCell(covering *demand, p assignedCell) {
	p.cell().addTo(d.cells.assigned, covering.shape().Accelerators, -1)
	if p.demand == covering {
		covering.cells = slices.Delete(slices.Clone(covering.cells), p.index, p.index+1)
		return
	}
	last := len(covering.cells) - 1
	p.demand.cells = slices.Clone(p.demand.cells)
	p.demand.cells[p.index] = covering.cells[last]
	covering.cells = covering.cells[:last]
}

// assignedCellWithFewestEvictions returns the cell of the pool that needs the fewest evictions.
func (d *decision) assignedCellWithFewestEvictions(pool []assignedCell, g Gang, avoid map[int]bool) (best assignedCell, victims []int, ok bool) {
	for _, p := range pool {
		if usesAny(p.cell(), avoid) {
			continue
		}
		chosen, freed := d.victims(p.cell(), g.Shape.Accelerators, anyBorrowed)
		if !freed {
			continue
		}
		if !ok || len(chosen) < len(victims) {
			best, victims, ok = p, chosen, true
		}
	}
	return best, victims, ok
}

func usesAny(c cell, servers map[int]bool) bool {
	if len(servers) == 0 {
		return false
	}
	for _, p := range c {
		if servers[p.server] {
			return true
		}
	}
	return false
}

// freeUnassignedRoom returns the free room per server that backs no guarantee.
func (d *decision) freeUnassignedRoom() []int {
	room := d.unassignedRoom()
	for s := range room {
		room[s] = min(room[s], d.free[s])
	}
	return room
}

// unassignedRoom returns the room per server that neither guaranteed gangs nor the cells of
// the assignment take.
func (d *decision) unassignedRoom() []int {
	room := make([]int, len(d.residual))
	for s := range room {
		room[s] = d.residual[s] - d.cells.assigned[s]
	}
	return room
}

// evictForOwnBound evicts borrowed gangs of g's own organisation, the most recently
// started first, when the guaranteed gang g would exceed the organisation's accelerator
// bound. It reports whether g has to wait for these evictions. A guarantee takes
// precedence over the bound: when the organisation has no gang left to evict, g does
// not wait.
func (d *decision) evictForOwnBound(g Gang) bool {
	if !overBound(d.bounds[g.Organisation], d.used[g.Organisation], g.Shape) {
		return false
	}
	excess := d.used[g.Organisation] + g.Shape.Total() - d.bounds[g.Organisation]
	stopping := false
	var borrowed []int
	for i := range d.zone.Placed {
		gang := &d.zone.Placed[i]
		if gang.Organisation != g.Organisation {
			continue
		}
		if d.evicting[i] {
			stopping = true
			excess -= gang.Shape.Total()
		} else if !d.guaranteed[i] {
			borrowed = append(borrowed, i)
		}
	}
	slices.SortStableFunc(borrowed, func(a, b int) int {
		return d.zone.Placed[b].Started.Compare(d.zone.Placed[a].Started)
	})
	for _, i := range borrowed {
		if excess <= 0 {
			break
		}
		d.addEvictions([]int{i}, g)
		stopping = true
		excess -= d.zone.Placed[i].Shape.Total()
	}
	return stopping
}
