package placement

import "slices"

// startGuaranteed places a gang that the demand covers and returns true, or returns
// false when the demand has no cell left. The gang takes up the guarantee either way
// that it is placed: started, or waiting for evictions.
func (d *decision) startGuaranteed(g Gang, own *demand) bool {
	if len(own.cells) == 0 {
		return false
	}
	bounded := d.reclaimOwnBound(g)
	c, victims := d.guaranteedCell(g, own)
	own.idle--
	c.addTo(d.residual, g.Shape.Accelerators, -1)
	startable := !bounded && len(victims) == 0 && c.fitsIn(d.free, g.Shape.Accelerators)
	if startable {
		d.start(g, c, false)
		return true
	}
	d.evict(victims, g)
	d.give(c, g.Shape.Accelerators)
	d.back(own, c)
	d.wait(g, WaitReclaim)
	return true
}

// guaranteedCell chooses a cell for g and takes one cell of the demand out of the
// assignment: a cell of the same shape that is free, slack that is free, a cell of
// the same shape that the fewest evictions free.
func (d *decision) guaranteedCell(g Gang, own *demand) (cell, []int) {
	avoid := avoided(d.topology, g)
	pool := d.poolOf(own)
	for _, p := range pool {
		c := p.cell()
		if !touches(c, avoid) && c.fitsIn(d.free, g.Shape.Accelerators) {
			d.takeCell(own, p)
			return c, nil
		}
	}
	slack := finder{topology: d.topology, room: d.slack(), prefer: preferTightest, avoid: avoid}
	if c, ok := slack.find(g.Shape); ok {
		d.takeCell(own, poolEntry{demand: own, index: len(own.cells) - 1})
		return c, nil
	}
	if p, victims, ok := d.cheapestOf(pool, g, avoid); ok {
		c := p.cell()
		d.takeCell(own, p)
		return c, victims
	}
	if c, victims, ok := d.cheapest(g, d.unguarded(), anyBorrowed); ok {
		d.takeCell(own, poolEntry{demand: own, index: len(own.cells) - 1})
		return c, victims
	}
	// Only cells with avoided servers are left.
	p, victims, _ := d.cheapestOf(pool, g, nil)
	c := p.cell()
	d.takeCell(own, p)
	return c, victims
}

// poolEntry names one cell of the assignment.
type poolEntry struct {
	demand *demand
	index  int
}

func (p poolEntry) cell() cell { return p.demand.cells[p.index] }

// poolOf returns the cells of all demands with the same shape. They are
// interchangeable.
func (d *decision) poolOf(own *demand) []poolEntry {
	var pool []poolEntry
	for _, other := range d.cells.demands {
		if other.shape() != own.shape() {
			continue
		}
		for i := range other.cells {
			pool = append(pool, poolEntry{demand: other, index: i})
		}
	}
	return pool
}

// takeCell removes the entry from the assignment on behalf of own. The demand that
// loses a cell gets one of own in return.
func (d *decision) takeCell(own *demand, p poolEntry) {
	p.cell().addTo(d.cells.guarded, own.shape().Accelerators, -1)
	if p.demand == own {
		own.cells = slices.Delete(slices.Clone(own.cells), p.index, p.index+1)
		return
	}
	last := len(own.cells) - 1
	p.demand.cells = slices.Clone(p.demand.cells)
	p.demand.cells[p.index] = own.cells[last]
	own.cells = own.cells[:last]
}

func (d *decision) cheapestOf(pool []poolEntry, g Gang, avoid map[int]bool) (best poolEntry, victims []int, ok bool) {
	for _, p := range pool {
		if touches(p.cell(), avoid) {
			continue
		}
		chosen, frees := d.victims(p.cell(), g.Shape.Accelerators, anyBorrowed)
		if !frees {
			continue
		}
		if !ok || len(chosen) < len(victims) {
			best, victims, ok = p, chosen, true
		}
	}
	return best, victims, ok
}

func touches(c cell, servers map[int]bool) bool {
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

// slack returns the free room that backs no guarantee.
func (d *decision) slack() []int {
	room := d.unguarded()
	for s := range room {
		room[s] = min(room[s], d.free[s])
	}
	return room
}

// unguarded returns the room that neither guaranteed gangs nor the assignment take.
func (d *decision) unguarded() []int {
	room := make([]int, len(d.residual))
	for s := range room {
		room[s] = d.residual[s] - d.cells.guarded[s]
	}
	return room
}

// reclaimOwnBound evicts borrowed gangs of g's own organisation, the most recently
// started first, when its accelerator bound leaves no room for a guaranteed gang. It
// reports whether g has to wait for that. A guarantee stands above the bound: when
// nothing of the organisation is left to evict, g does not wait.
func (d *decision) reclaimOwnBound(g Gang) bool {
	if !overBound(d.bounds[g.Organisation], d.used[g.Organisation], g.Shape) {
		return false
	}
	excess := d.used[g.Organisation] + g.Shape.Total() - d.bounds[g.Organisation]
	stopping := false
	var own []int
	for i := range d.zone.Placed {
		gang := &d.zone.Placed[i]
		if gang.Organisation != g.Organisation {
			continue
		}
		if d.evicting[i] {
			stopping = true
			excess -= gang.Shape.Total()
		} else if !d.inside[i] {
			own = append(own, i)
		}
	}
	slices.SortStableFunc(own, func(a, b int) int {
		return d.zone.Placed[b].Started.Compare(d.zone.Placed[a].Started)
	})
	for _, i := range own {
		if excess <= 0 {
			break
		}
		d.evict([]int{i}, g)
		stopping = true
		excess -= d.zone.Placed[i].Shape.Total()
	}
	return stopping
}
