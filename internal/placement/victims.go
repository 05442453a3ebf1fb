package placement

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// evictable tells whether a placed gang may be evicted for the gang at hand.
type evictable func(gang *PlacedGang) bool

func anyBorrowed(*PlacedGang) bool { return true }

// victims returns the gangs whose eviction frees the cell, few and recently started
// ones; ok is false when evictions cannot free it. Gangs inside a guarantee are never
// among them.
func (d *decision) victims(c cell, perTask int, may evictable) (chosen []int, ok bool) {
	for _, p := range c {
		need := p.tasks*perTask - d.free[p.server] - d.incoming[p.server] - d.freedBy(chosen, p.server)
		for need > 0 {
			next := d.nextVictim(p.server, need, chosen, may)
			if next < 0 {
				return nil, false
			}
			chosen = append(chosen, next)
			need -= d.usageOf(next, p.server)
		}
	}
	return d.prune(c, perTask, chosen), true
}

// nextVictim returns the most recently started gang that frees enough on the server,
// otherwise the one that frees most, or -1.
func (d *decision) nextVictim(server, need int, chosen []int, may evictable) int {
	best, bestFreed := -1, 0
	for _, o := range d.onServer[server] {
		gang := &d.zone.Placed[o.gang]
		if d.evicting[o.gang] || slices.Contains(chosen, o.gang) || !may(gang) {
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

// prune drops victims that turn out not to be needed, the longest running first.
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
		room := d.free[p.server] + d.incoming[p.server] + d.freedBy(chosen, p.server)
		if room < p.tasks*perTask {
			return false
		}
	}
	return true
}

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

// preemptible returns the room per server when all gangs that may be evicted are gone.
func (d *decision) preemptible(may evictable) []int {
	room := make([]int, len(d.free))
	for s := range room {
		room[s] = d.free[s] + d.incoming[s]
		for _, o := range d.onServer[s] {
			if !d.evicting[o.gang] && may(&d.zone.Placed[o.gang]) {
				room[s] += o.accelerators
			}
		}
	}
	return room
}

// candidateCells bounds how many cells are compared by their victims.
const candidateCells = 16

// cheapest returns the cell inside the given room that the fewest evictions free.
func (d *decision) cheapest(g Gang, room []int, may evictable) (best cell, victims []int, ok bool) {
	for _, c := range d.cheapCandidates(g, room) {
		chosen, frees := d.victims(c, g.Shape.Accelerators, may)
		if !frees {
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

// cheapCandidates returns cells inside the room, those that lack the fewest
// accelerators first.
func (d *decision) cheapCandidates(g Gang, room []int) []cell {
	avoid := avoided(d.topology, g)
	var groups [][]int
	switch {
	case g.Shape.Adjacency == model.AdjacentServer || g.Shape.Tasks == 1:
		groups = singly(d.topology.all())
	case g.Shape.Adjacency == model.AdjacentRack:
		groups = d.topology.racks
	default:
		groups = [][]int{d.topology.all()}
	}
	type candidate struct {
		cell    cell
		lacking int
	}
	var candidates []candidate
	for _, servers := range groups {
		c, lacking, ok := d.cheapCell(servers, g.Shape, room, avoid)
		if ok {
			candidates = append(candidates, candidate{cell: c, lacking: lacking})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return a.lacking - b.lacking })
	var cells []cell
	for _, c := range candidates[:min(len(candidates), candidateCells)] {
		cells = append(cells, c.cell)
	}
	return cells
}

// cheapCell takes the tasks that need no eviction first and then the rest. It returns
// how many accelerators lack.
func (d *decision) cheapCell(servers []int, shape model.GangShape, room []int, avoid map[int]bool) (c cell, lacking int, ok bool) {
	left := shape.Tasks
	place := make(map[int]int)
	take := func(s, limit int) {
		tasks := min(left, max(limit, 0)/shape.Accelerators-place[s])
		if tasks > 0 {
			place[s] += tasks
			left -= tasks
		}
	}
	for _, s := range servers {
		if !avoid[s] {
			take(s, min(room[s], d.free[s]+d.incoming[s]))
		}
	}
	for _, s := range servers {
		if !avoid[s] {
			take(s, room[s])
		}
	}
	if left > 0 {
		return nil, 0, false
	}
	for _, s := range servers {
		if place[s] == 0 {
			continue
		}
		c = append(c, piece{server: s, tasks: place[s]})
		lacking += max(0, place[s]*shape.Accelerators-max(0, d.free[s]+d.incoming[s]))
	}
	return c, lacking, true
}

func singly(servers []int) [][]int {
	groups := make([][]int, len(servers))
	for i := range servers {
		groups[i] = servers[i : i+1]
	}
	return groups
}
