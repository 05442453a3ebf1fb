package placement

import (
	"cmp"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Covers reports whether a gang of the shape may run under a guarantee of the shape
// guaranteed: the same tasks, and an adjacency that is no tighter.
func Covers(guaranteed, shape model.GangShape) bool {
	if guaranteed.Tasks != shape.Tasks || guaranteed.Accelerators != shape.Accelerators {
		return false
	}
	return shape.Tasks == 1 || looseness(guaranteed.Adjacency) <= looseness(shape.Adjacency)
}

func looseness(adjacency model.Adjacency) int {
	switch adjacency {
	case model.AdjacentServer:
		return 0
	case model.AdjacentRack:
		return 1
	default:
		return 2
	}
}

// covering returns the loosest of the demands that covers the shape and still has an
// idle gang, or nil.
func covering(demands []*demand, shape model.GangShape) *demand {
	var best *demand
	for _, d := range demands {
		if d.idle < 1 || !Covers(d.shape(), shape) {
			continue
		}
		if best == nil || looseness(d.shape().Adjacency) > looseness(best.shape().Adjacency) {
			best = d
		}
	}
	return best
}

// claimRunning lets the running guaranteed gangs take up their guarantees. It returns
// for each placed gang whether it runs inside one.
func claimRunning(zone Zone, t *topology, byOrganisation map[model.OrganisationID][]*demand) []bool {
	inside := make([]bool, len(zone.Placed))
	for _, i := range tightestRunningFirst(zone.Placed) {
		gang := &zone.Placed[i]
		d := covering(byOrganisation[gang.Organisation], gang.Shape)
		if d == nil {
			continue
		}
		inside[i] = true
		d.idle--
		if touchesUnusable(t, gang.Members) {
			d.moving++
		}
	}
	return inside
}

// tightestRunningFirst orders the guaranteed gangs so that those that few guarantees
// cover come first, and otherwise the earliest started.
func tightestRunningFirst(placed []PlacedGang) []int {
	var order []int
	for i := range placed {
		if !placed[i].Borrowed {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(looseness(placed[a].Shape.Adjacency), looseness(placed[b].Shape.Adjacency)),
			placed[a].Started.Compare(placed[b].Started),
		)
	})
	return order
}

func touchesUnusable(t *topology, members []Member) bool {
	for _, member := range members {
		s, known := t.position[member.Server]
		if !known || !t.servers[s].Usable {
			return true
		}
	}
	return false
}
