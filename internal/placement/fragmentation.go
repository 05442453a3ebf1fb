package placement

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// referenceShapes returns the shapes that fragmentation is measured by: the zone's
// guaranteed shapes that are at least as large as its largest server, or one task of
// that size when there are none.
func referenceShapes(zone Zone) []model.GangShape {
	largestServer := 0
	for i := range zone.Servers {
		largestServer = max(largestServer, zone.Servers[i].Accelerators)
	}
	var shapes []model.GangShape
	for _, organisation := range zone.Organisations {
		for _, guarantee := range organisation.Guarantees {
			shape := guarantee.Shape
			large := guarantee.AZ == zone.AZ && shape.Total() >= largestServer
			if large && validShape(shape) && !slices.Contains(shapes, shape) {
				shapes = append(shapes, shape)
			}
		}
	}
	if len(shapes) == 0 && largestServer > 0 {
		shape := model.GangShape{Tasks: 1, Accelerators: largestServer, Adjacency: model.AdjacentServer}
		shapes = append(shapes, shape)
	}
	return shapes
}

// fragmentation returns the share of the free accelerators that no reference shape can
// use. It is 0 when none are free.
func fragmentation(t *topology, free []int, shapes []model.GangShape) float64 {
	total := 0
	for _, room := range free {
		total += max(room, 0)
	}
	if total == 0 || len(shapes) == 0 {
		return 0
	}
	usable := 0
	for _, shape := range shapes {
		usable = max(usable, usableBy(t, free, shape))
	}
	return 1 - float64(usable)/float64(total)
}

// usableBy returns how many free accelerators gangs of the shape could use.
func usableBy(t *topology, free []int, shape model.GangShape) int {
	if shape.Adjacency == model.AdjacentServer || shape.Tasks == 1 {
		gangs := 0
		for _, room := range free {
			gangs += max(room, 0) / shape.Total()
		}
		return gangs * shape.Total()
	}
	f := finder{topology: t, room: free}
	gangs := 0
	groups := t.racks
	if shape.Adjacency == model.AdjacentAny {
		groups = [][]int{t.all()}
	}
	for _, servers := range groups {
		tasks, _ := f.countRoom(servers, shape.Accelerators)
		gangs += tasks / shape.Tasks
	}
	return gangs * shape.Total()
}
