package placement

import (
	"cmp"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Covers reports whether a gang of the shape may run under a guarantee for the
// guaranteed shape. Both must have the same tasks, and the gang's adjacency must not be
// tighter than the guaranteed one.
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

// coveringDemand returns the demand with the loosest adjacency that covers the shape and
// still has an idle gang, or nil.
func coveringDemand(demands []*demand, shape model.GangShape) *demand {
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

// matchRunning matches the running guaranteed gangs to their guarantees. It returns for
// each placed gang whether it runs under one.
func matchRunning(zone Zone, t *topology, byOrganisation map[model.OrganisationID][]*demand) []bool {
	guaranteed := make([]bool, len(zone.Placed))
	for _, i := range tightestRunningFirst(zone.Placed) {
		gang := &zone.Placed[i]
		d := coveringDemand(byOrganisation[gang.Organisation], gang.Shape)
		if d == nil {
			continue
		}
		guaranteed[i] = true
		d.idle--
		if anyOnUnusable(t, gang.Members) {
			d.onUnusable++
		}
	}
	return guaranteed
}

// tightestRunningFirst orders the guaranteed gangs by adjacency, the tightest first,
// since fewer guarantees cover them, and then by start time.
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

func anyOnUnusable(t *topology, members []Member) bool {
	for _, member := range members {
		s, known := t.position[member.Server]
		if !known || !t.servers[s].Usable {
			return true
		}
	}
	return false
}
