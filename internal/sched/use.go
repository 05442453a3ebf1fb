package sched

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Use tells how much of the backend servers is at work, and of what use the rest is to steps that wait.
type Use struct {
	// Cores, Memory and Accelerators are the shares that tasks use, 0 to 1.
	Cores, Memory, Accelerators float64
	// Fullest and Emptiest are the racks with the largest and smallest share of their accelerators at work,
	// or of their cores if they have no accelerators.
	Fullest, Emptiest RackUse
	// WholeFree counts the backend servers on which nothing runs.
	WholeFree int
	// Fragmented are the shares of all cores, memory and accelerators that are free on backend servers where
	// no task of the steps that wait fits.
	FragmentedCores, FragmentedMemory, FragmentedAccelerators float64
}

// RackUse is the share of a rack that is at work.
type RackUse struct {
	Rack  model.RackID
	Share float64
}

// MeasureUse returns the use of backend servers after a plan, with the steps of the snapshot that the plan
// leaves waiting.
func MeasureUse(s Snapshot, plan Plan) Use {
	need := make(map[job.GroupKey]job.Resources, len(s.Pending))
	for i := range s.Pending {
		need[s.Pending[i].Key] = s.Pending[i].Step.Reserved()
	}
	placed := make(map[model.BackendServerID]job.Resources)
	for _, p := range plan.Placements {
		placed[p.Server] = placed[p.Server].Add(need[p.Key])
	}
	var shapes []job.Resources
	for _, u := range plan.Unplaced {
		if shape := need[u.Key]; !slices.Contains(shapes, shape) {
			shapes = append(shapes, shape)
		}
	}
	var use Use
	var capacity, free, fragmented job.Resources
	racks := make(map[model.RackID]*rackSum)
	for i := range s.Servers {
		v := &s.Servers[i]
		left := job.Resources{}.Max(v.Free.Sub(placed[v.ID]))
		capacity, free = capacity.Add(v.Capacity), free.Add(left)
		if left == v.Capacity {
			use.WholeFree++
		}
		if !slices.ContainsFunc(shapes, func(shape job.Resources) bool { return shape.FitsIn(left) }) {
			fragmented = fragmented.Add(left)
		}
		r := racks[v.Rack]
		if r == nil {
			r = &rackSum{}
			racks[v.Rack] = r
		}
		r.capacity, r.free = r.capacity.Add(v.Capacity), r.free.Add(left)
	}
	use.Cores, use.Memory, use.Accelerators = shares(capacity.Sub(free), capacity)
	use.FragmentedCores, use.FragmentedMemory, use.FragmentedAccelerators = shares(fragmented, capacity)
	for rack, sum := range racks {
		use.addRack(RackUse{Rack: rack, Share: sum.share()})
	}
	return use
}

type rackSum struct{ capacity, free job.Resources }

func (r *rackSum) share() float64 {
	cores, _, accelerators := shares(r.capacity.Sub(r.free), r.capacity)
	if r.capacity.Accelerators == 0 {
		return cores
	}
	return accelerators
}

// addRack keeps the fullest and the emptiest rack, the first by name of equal ones.
func (u *Use) addRack(r RackUse) {
	first := u.Fullest.Rack == ""
	if first || r.Share > u.Fullest.Share || r.Share == u.Fullest.Share && r.Rack < u.Fullest.Rack {
		u.Fullest = r
	}
	if first || r.Share < u.Emptiest.Share || r.Share == u.Emptiest.Share && r.Rack < u.Emptiest.Rack {
		u.Emptiest = r
	}
}

// shares returns a part of each resource as a share of the whole, 0 where there is none.
func shares(part, whole job.Resources) (cores, memory, accelerators float64) {
	share := func(part, whole int) float64 {
		if whole <= 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	return share(part.MilliCPU, whole.MilliCPU), share(part.MemoryMB, whole.MemoryMB), share(part.Accelerators, whole.Accelerators)
}
