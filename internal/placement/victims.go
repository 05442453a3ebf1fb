package placement

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// evictable reports whether a placed gang may be evicted for the gang that is being
// placed.
type evictable func(gang *PlacedGang) bool

// anyBorrowed allows any borrowed gang to be evicted.
func anyBorrowed(*PlacedGang) bool { return true }

// victims returns the gangs whose eviction frees the cell; ok is false when evictions
// cannot free it. It prefers few and recently started gangs, and never chooses a gang
// under a guarantee.
func (d *decision) victims(c cell, perTask int, mayEvict evictable) (chosen []int, ok bool) {
	for _, p := range c {
		need := p.tasks*perTask - d.free[p.server] - d.releasing[p.server] - d.freedBy(chosen, p.server)
		for need > 0 {
			next := d.nextVictim(p.server, need, chosen, mayEvict)
			if next < 0 {
				return nil, false
			}
			chosen = append(chosen, next)
			need -= d.usageOf(next, p.server)
		}
	}
	return d.prune(c, perTask, chosen), true
}

// nextVictim returns the most recently started gang that frees enough on the server. If
// none does, it returns the one that frees the most; -1 if none may be evicted.
func (d *decision) nextVictim(server, need int, chosen []int, mayEvict evictable) int {
	best, bestFreed := -1, 0
	for _, o := range d.onServer[server] {
		gang := &d.zone.Placed[o.gang]
		if d.evicting[o.gang] || slices.Contains(chosen, o.gang) || !mayEvict(gang) {
			continue
		}
		freed := min(o.accelerators, need)
		recent := best >= 0 && gang.Started.After(d.zone.Placed[best].Started)
		if freed > bestFreed || freed == bestFreed && recent {
			best, bestFreed = o.gang, freed
		}
	}
	return best
}

// prune removes victims that are not needed, the longest running first.
func (d *decision) prune(c cell, perTask int, chosen []int) []int {
	if len(chosen) < 2 {
		return chosen
	}
	oldestFirst := slices.Clone(chosen)
	slices.SortStableFunc(oldestFirst, func(a, b int) int {
		return d.zone.Placed[a].Started.Compare(d.zone.Placed[b].Started)
	})
	for _, candidate := range oldestFirst {
		rest := slices.DeleteFunc(slices.Clone(chosen), func(i int) bool { return i == candidate })
		if d.freesCell(c, perTask, rest) {
			chosen = rest
		}
	}
	return chosen
}

func (d *decision) freesCell(c cell, perTask int, chosen []int) bool {
	for _, p := range c {
		room := d.free[p.server] + d.releasing[p.server] + d.freedBy(chosen, p.server)
		if room < p.tasks*perTask {
			return false
		}
	}
	return true
}

// freedBy returns the accelerators on the server that the chosen gangs use.
func (d *decision) freedBy(chosen []int, server int) int {
	if len(chosen) == 0 {
		return 0
	}
	freed := 0
	for _, o := range d.onServer[server] {
		if slices.Contains(chosen, o.gang) {
			freed += o.accelerators
		}
	}
	return freed
}

func (d *decision) usageOf(gang, server int) int {
	for _, o := range d.onServer[server] {
		if o.gang == gang {
			return o.accelerators
		}
	}
	return 0
}

// roomAfterEvictions returns the room per server once all gangs that may be evicted are
// gone.
func (d *decision) roomAfterEvictions(mayEvict evictable) []int {
	room := make([]int, len(d.free))
	for s := range room {
		room[s] = d.free[s] + d.releasing[s]
		for _, o := range d.onServer[s] {
			if !d.evicting[o.gang] && mayEvict(&d.zone.Placed[o.gang]) {
				room[s] += o.accelerators
			}
		}
	}
	return room
}

// maxCandidates bounds the number of cells whose victims are determined and compared.
const maxCandidates = 16

// cellWithFewestEvictions returns the cell in the given room that needs the fewest evictions,
// and their victims.
func (d *decision) cellWithFewestEvictions(g Gang, room []int, mayEvict evictable) (best cell, victims []int, ok bool) {
	for _, c := range d.candidatesByShortfall(g, room) {
		chosen, freed := d.victims(c, g.Shape.Accelerators, mayEvict)
		if !freed {
			continue
		}
		if !ok || len(chosen) < len(victims) {
			best, victims, ok = c, chosen, true
		}
		if len(chosen) == 0 {
			break
		}
	}
	return best, victims, ok
}

// candidatesByShortfall returns cells in the given room, those first that need the
// fewest accelerators of running gangs.
func (d *decision) candidatesByShortfall(g Gang, room []int) []cell {
	avoid := avoided(d.topology, g)
	var groups [][]int
	switch {
	case g.Shape.Adjacency == model.AdjacentServer || g.Shape.Tasks == 1:
		groups = singletons(d.topology.all())
	case g.Shape.Adjacency == model.AdjacentRack:
		groups = d.topology.racks
	default:
		groups = [][]int{d.topology.all()}
	}
	type candidate struct {
		cell      cell
		shortfall int
	}
	var candidates []candidate
	for _, servers := range groups {
		c, shortfall, ok := d.cellWithShortfall(servers, g.Shape, room, avoid)
		if ok {
			candidates = append(candidates, candidate{cell: c, shortfall: shortfall})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return a.shortfall - b.shortfall })
	var cells []cell
	for _, c := range candidates[:min(len(candidates), maxCandidates)] {
		cells = append(cells, c.cell)
	}
	return cells
}

// cellWithShortfall places tasks where they need no eviction first, then the rest. The
// shortfall is how many accelerators are still used by gangs that are not being stopped.
func (d *decision) cellWithShortfall(servers []int, shape model.GangShape, room []int, avoid map[int]bool) (c cell, shortfall int, ok bool) {
	left := shape.Tasks
	tasksOn := make(map[int]int)
	placeOn := func(s, limit int) {
		tasks := min(left, max(limit, 0)/shape.Accelerators-tasksOn[s])
		if tasks > 0 {
			tasksOn[s] += tasks
			left -= tasks
		}
	}
	for _, s := range servers {
		if !avoid[s] {
			placeOn(s, min(room[s], d.free[s]+d.releasing[s]))
		}
	}
	for _, s := range servers {
		if !avoid[s] {
			placeOn(s, room[s])
		}
	}
	if left > 0 {
		return nil, 0, false
	}
	for _, s := range servers {
		if tasksOn[s] == 0 {
			continue
		}
		c = append(c, cellPart{server: s, tasks: tasksOn[s]})
		shortfall += max(0, tasksOn[s]*shape.Accelerators-max(0, d.free[s]+d.releasing[s]))
	}
	return c, shortfall, true
}

func singletons(servers []int) [][]int {
	groups := make([][]int, len(servers))
	for i := range servers {
		groups[i] = servers[i : i+1]
	}
	return groups
}
