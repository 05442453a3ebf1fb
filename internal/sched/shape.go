package sched

import (
	"cmp"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// Shape is a kind of room that tasks ask for.
type Shape struct {
	Service string
	Need    job.Resources
	// Members is the number of tasks that need it on one rack, or 1.
	Members int
	// Weight is how much of the demand asks for this shape, 0 to 1; those of a service add up to 1 at most.
	Weight float64
}

// shapeParts is the number of parts of a backend server's capacity to which shapes are rounded up, so that
// needs which are nearly alike count as one.
const shapeParts = 16

// maxShapes bounds the shapes of one service; those with the least weight are left out.
const maxShapes = 6

// Demand adds up the shapes that steps ask for.
type Demand struct {
	weights map[Shape]float64
	totals  map[string]float64
	largest map[string]job.Resources
}

// NewDemand returns an empty demand on backend servers with the given largest capacity by service.
func NewDemand(largest map[string]job.Resources) *Demand {
	return &Demand{weights: make(map[Shape]float64), totals: make(map[string]float64), largest: largest}
}

// Add counts a step with the given number of tasks.
func (d *Demand) Add(service string, step *job.Step, tasks int) {
	capacity, known := d.largest[service]
	if !known || tasks == 0 {
		return
	}
	shape := Shape{Service: service, Need: roundUp(step.Reserved(), capacity), Members: 1}
	if step.Gang && step.SameRack {
		shape.Members = step.Count
	}
	weight := step.Reserved().CoreWeight() * float64(tasks)
	d.weights[shape] += weight
	d.totals[service] += weight
}

// Shapes returns the shapes with the largest weights, maxShapes of each service at most, in a fixed order.
func (d *Demand) Shapes() []Shape {
	var all, kept []Shape
	for shape, weight := range d.weights {
		if total := d.totals[shape.Service]; total > 0 {
			shape.Weight = weight / total
			all = append(all, shape)
		}
	}
	slices.SortFunc(all, func(a, b Shape) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service), cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Need.Accelerators, b.Need.Accelerators),
			cmp.Compare(a.Need.MilliCPU, b.Need.MilliCPU), cmp.Compare(a.Need.MemoryMB, b.Need.MemoryMB), cmp.Compare(a.Members, b.Members),
		)
	})
	count := 0
	for i, shape := range all {
		if i == 0 || shape.Service != all[i-1].Service {
			count = 0
		}
		if count++; count <= maxShapes {
			kept = append(kept, shape)
		}
	}
	return kept
}

// roundUp rounds a need up to whole parts of a capacity, but not above it.
func roundUp(need, capacity job.Resources) job.Resources {
	round := func(need, capacity int) int {
		part := max(capacity/shapeParts, 1)
		return min((need+part-1)/part*part, max(capacity, need))
	}
	return job.Resources{
		MilliCPU: round(need.MilliCPU, capacity.MilliCPU), MemoryMB: round(need.MemoryMB, capacity.MemoryMB),
		Accelerators: need.Accelerators,
	}
}

// shapeState is a shape during a round.
type shapeState struct {
	Shape
	size float64 // of one task, in cores, times the weight
	// rackShare is for each rack how much of what the gang needs there is free, 0 to 1; negative where it is
	// not known.
	rackShare []float64
}

// addShapes takes over the shapes of the services that are asked for more than one, maxShapes of each at most.
func (d *round) addShapes(shapes []Shape) {
	count := make(map[string]int)
	for i := range shapes {
		count[shapes[i].Service]++
	}
	for _, shape := range shapes {
		if count[shape.Service] > 1 && len(d.shapes[shape.Service]) < maxShapes {
			state := &shapeState{Shape: shape, size: shape.Weight * shape.Need.CoreWeight(), rackShare: make([]float64, d.racks)}
			for i := range state.rackShare {
				state.rackShare[i] = -1
			}
			d.shapes[shape.Service] = append(d.shapes[shape.Service], state)
		}
	}
}

// spoilt returns how much less room of use to the shapes a server has if need of its free resources is used,
// in cores.
func (d *round) spoilt(shapes []*shapeState, srv *serverState, free, need job.Resources) float64 {
	sum := 0.0
	for i, lost := range d.lostTasks(shapes, free, need) {
		if lost > 0 {
			sum += float64(lost) * shapes[i].size * d.worthOnRack(shapes[i], srv.rack)
		}
	}
	return sum
}

// lostTasks returns for each shape how many fewer tasks of it fit if need of what is free is used. Many servers
// have equal room free, so that results are kept for the round.
func (d *round) lostTasks(shapes []*shapeState, free, need job.Resources) []int {
	if d.lost == nil {
		d.lost = make([]lostEntry, lostEntries)
	}
	hash := uint(free.MilliCPU*31+free.MemoryMB*7+free.Accelerators*127) + uint(need.MilliCPU*17+need.MemoryMB*13+need.Accelerators*101)
	e := &d.lost[hash%lostEntries]
	if e.first != shapes[0] || e.free != free || e.need != need {
		e.first, e.free, e.need = shapes[0], free, need
		left := free.Sub(need)
		for i, shape := range shapes {
			e.tasks[i] = shape.fits(free) - shape.fits(left)
		}
	}
	return e.tasks[:len(shapes)]
}

// lostEntries is a prime.
const lostEntries = 1021

// lostEntry is a result of lostTasks for the shapes of which first is the first.
type lostEntry struct {
	first      *shapeState
	free, need job.Resources
	tasks      [maxShapes]int
}

// fits returns how many tasks of the shape fit in the amount of resources.
func (s *shapeState) fits(amount job.Resources) int {
	n := amount.Accelerators + amount.MilliCPU // above any other bound
	for _, c := range [3][2]int{{s.Need.MilliCPU, amount.MilliCPU}, {s.Need.MemoryMB, amount.MemoryMB}, {s.Need.Accelerators, amount.Accelerators}} {
		if c[0] > 0 {
			n = min(n, c[1]/c[0])
		}
	}
	return max(n, 0)
}

// worthOnRack is what room for one task of a shape counts on a rack: for gangs that want one rack it is less
// where less than a whole gang's room is free, so that single tasks go to such racks first.
func (d *round) worthOnRack(s *shapeState, rack int) float64 {
	if s.Members <= 1 {
		return 1
	}
	share := s.rackShare[rack]
	if share < 0 {
		slots := 0
		for _, srv := range d.rackServers(rack) {
			if srv.Service == s.Service {
				slots += s.fits(srv.free)
			}
		}
		share = min(float64(slots)/float64(s.Members), 1)
		s.rackShare[rack] = share
	}
	return share * share
}

// rackServers returns the servers of a rack.
func (d *round) rackServers(rack int) []*serverState {
	if d.byRackNumber == nil {
		d.byRackNumber = make([][]*serverState, d.racks)
		for _, srv := range d.servers {
			d.byRackNumber[srv.rack] = append(d.byRackNumber[srv.rack], srv)
		}
	}
	return d.byRackNumber[rack]
}

// forgetRackShares has the shares of a rack counted anew, after its room has changed.
func (d *round) forgetRackShares(srv *serverState) {
	for _, shape := range d.shapes[srv.Service] {
		shape.rackShare[srv.rack] = -1
	}
}
