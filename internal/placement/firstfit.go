package placement

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// FirstFit starts each gang in the first free cell, in submission order. It ignores
// guarantees, evicts nothing and lets any gang start before a larger one that waits.
// It is a baseline for measurements.
type FirstFit struct{}

// Decide implements Policy.
func (FirstFit) Decide(zone Zone, pending []Gang) Plan {
	return decideWithoutGuarantees(zone, pending, preferFirstFit)
}

// BestFit is like FirstFit but chooses the free cell that leaves the least room. It is
// a baseline for measurements.
type BestFit struct{}

// Decide implements Policy.
func (BestFit) Decide(zone Zone, pending []Gang) Plan {
	return decideWithoutGuarantees(zone, pending, preferBestFit)
}

func decideWithoutGuarantees(zone Zone, pending []Gang, prefer preference) Plan {
	t := newTopology(zone.Servers)
	free := freeRoom(t, zone.Placed)
	used := usedByOrganisation(zone.Placed)
	bounds := boundsOf(zone.Organisations)
	f := finder{topology: t, room: free, prefer: prefer}
	var plan Plan
	for _, g := range pending {
		if overBound(bounds[g.Organisation], used[g.Organisation], g.Shape) {
			plan.Waiting = append(plan.Waiting, Waiting{Job: g.Job, Reason: WaitQuota})
			continue
		}
		f.avoid = avoided(t, g)
		f.skip = 0
		c, ok := f.find(g.Shape)
		if !ok {
			plan.Waiting = append(plan.Waiting, Waiting{Job: g.Job, Reason: WaitCapacity})
			continue
		}
		c.addTo(free, g.Shape.Accelerators, -1)
		used[g.Organisation] += g.Shape.Total()
		plan.Starts = append(plan.Starts, Start{Job: g.Job, Members: t.members(g.Shape, c)})
	}
	plan.Fragmentation = fragmentation(t, free, referenceShapes(zone))
	return plan
}

// freeRoom returns the free accelerators of each usable server.
func freeRoom(t *topology, placed []PlacedGang) []int {
	free := slices.Clone(t.capacity)
	for i := range placed {
		for _, member := range placed[i].Members {
			s, known := t.position[member.Server]
			if known && t.servers[s].Usable {
				free[s] -= member.Accelerators
			}
		}
	}
	return free
}

func usedByOrganisation(placed []PlacedGang) map[model.OrganisationID]int {
	used := make(map[model.OrganisationID]int)
	for i := range placed {
		used[placed[i].Organisation] += placed[i].Shape.Total()
	}
	return used
}

func boundsOf(organisations []model.Organisation) map[model.OrganisationID]int {
	bounds := make(map[model.OrganisationID]int, len(organisations))
	for _, organisation := range organisations {
		bounds[organisation.ID] = organisation.MaxAccelerators
	}
	return bounds
}

// overBound reports whether one more gang of the shape would exceed the bound; a bound
// of 0 means none.
func overBound(bound, used int, shape model.GangShape) bool {
	return bound > 0 && used+shape.Total() > bound
}

// avoided returns the positions of the servers that the gang avoids, or nil.
func avoided(t *topology, g Gang) map[int]bool {
	if len(g.Avoid) == 0 {
		return nil
	}
	avoid := make(map[int]bool, len(g.Avoid))
	for _, id := range g.Avoid {
		if s, known := t.position[id]; known {
			avoid[s] = true
		}
	}
	return avoid
}
