package sched

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// The reasons why a step finds no place, in the order in which they are looked for.
const (
	// NoServer: no backend server of the service that can be used has the step's label, or, for an
	// advised step, is among those advised.
	NoServer Reason = "no_server"
	// Avoided: the step has failed lately on all of them, or a gang would be placed on servers that fail.
	Avoided Reason = "avoided"
	// Isolated: they are kept for a task that is suspected of crashing its server, or the step is such a
	// one and something has just started everywhere.
	Isolated Reason = "isolated"
	// TooLarge: the step wouldn't fit if nothing else ran.
	TooLarge Reason = "too_large"
	// Spread: the step's bound on tasks per server keeps them apart.
	Spread Reason = "max_per_server"
	// Earmarked: there is room, but it is kept for a gang that waits.
	Earmarked Reason = "earmarked"
	// AwayFromData: there is room, but not on the rack of the step's data.
	AwayFromData Reason = "away_from_data"
	// NoRack: there is room for all tasks, but not on one rack.
	NoRack Reason = "no_rack"
	// Releasing: enough is being released.
	Releasing Reason = "releasing"
	// FragmentedCores and its like: what is free would do in sum, but not by server, mostly for want of
	// this resource.
	FragmentedCores        Reason = "fragmented_cores"
	FragmentedMemory       Reason = "fragmented_memory"
	FragmentedAccelerators Reason = "fragmented_accelerators"
	// Expired: stopping others would make room, but the step would end too late to be worth that.
	Expired Reason = "expired"
	// NoCores and its like: even in sum there is too little of this resource.
	NoCores        Reason = "no_cores"
	NoMemory       Reason = "no_memory"
	NoAccelerators Reason = "no_accelerators"
)

// reason tells why tasks of a step find no place. Steps with equal needs share it for the round.
func (d *round) reason(p *PendingStep) Reason {
	key, comparable := d.fitKeyOf(p, freeNow, false)
	if !comparable {
		return d.findReason(p)
	}
	r, known := d.reasons[key]
	if !known {
		r = d.findReason(p)
		d.reasons[key] = r
	}
	return r
}

func (d *round) findReason(p *PendingStep) Reason {
	eligible, near := d.candidates(p)
	if len(eligible) == 0 {
		return d.whyNoneEligible(p)
	}
	n := 1 // one more task of a step that isn't a gang would be placed
	if p.Step.Gang {
		n = len(p.Tasks)
	}
	free := func(srv *serverState) job.Resources { return srv.free }
	unmarked := func(srv *serverState) job.Resources { return srv.available(p, freeNow) }
	switch {
	case fitting(p, eligible, func(srv *serverState) job.Resources { return srv.Capacity }) < n:
		return TooLarge
	case fitting(p, eligible, unmarked) >= n && fitting(p, near, unmarked) < n:
		return AwayFromData
	case fitting(p, eligible, unmarked) >= n && p.Step.SameRack && d.mostOnARack(p, near, unmarked) < n:
		return NoRack
	case fitting(p, eligible, unmarked) >= n:
		return Spread
	case fitting(p, eligible, free) >= n:
		return Earmarked
	case fitting(p, eligible, func(srv *serverState) job.Resources { return srv.available(p, freeSoon) }) >= n:
		return Releasing
	}
	need := p.Step.Reserved()
	sum, byResource := job.Resources{}, job.Resources{}
	for _, srv := range eligible {
		sum = sum.Add(job.Resources{}.Max(srv.free))
		byResource = byResource.Add(tasksByResource(need, srv.free, len(p.Tasks)))
	}
	if need.Times(n).FitsIn(sum) {
		return least(byResource, FragmentedCores, FragmentedMemory, FragmentedAccelerators)
	}
	if p.Urgent && !d.mayPreempt(p) && fitting(p, eligible, func(srv *serverState) job.Resources { return srv.available(p, reclaimable) }) >= n {
		return Expired
	}
	return least(tasksByResource(need, sum, p.Step.Count), NoCores, NoMemory, NoAccelerators)
}

// whyNoneEligible tells what rules out the last backend server that a step might use.
func (d *round) whyNoneEligible(p *PendingStep) Reason {
	why := NoServer
	for _, srv := range d.servers {
		if srv.Service != p.Service || p.Step.Label != "" && !slices.Contains(srv.Labels, p.Step.Label) || p.Advised != nil && !p.Advised[srv.ID] {
			continue
		}
		if p.Avoid[srv.ID] || srv.Failing && p.Step.Gang && len(p.Tasks) > 1 {
			return Avoided
		}
		why = Isolated
	}
	return why
}

// fitting returns how many tasks of a step fit in the room of the servers, each by itself.
func fitting(p *PendingStep, servers []*serverState, room func(*serverState) job.Resources) int {
	n := 0
	for _, srv := range servers {
		n += tasksThatFit(p.Step, room(srv))
	}
	return n
}

// mostOnARack returns how many tasks of a step fit on the rack with the most room for them.
func (d *round) mostOnARack(p *PendingStep, servers []*serverState, room func(*serverState) job.Resources) int {
	most := 0
	for _, rack := range d.byRack(servers) {
		most = max(most, fitting(p, rack, room))
	}
	return most
}

// tasksByResource returns for each resource how many tasks it alone would allow, at most the given number.
func tasksByResource(need, amount job.Resources, most int) job.Resources {
	count := func(need, amount int) int {
		if need <= 0 {
			return most
		}
		return min(max(amount, 0)/need, most)
	}
	return job.Resources{
		MilliCPU: count(need.MilliCPU, amount.MilliCPU), MemoryMB: count(need.MemoryMB, amount.MemoryMB),
		Accelerators: count(need.Accelerators, amount.Accelerators),
	}
}

// least returns the reason of the resource with the smallest value.
func least(r job.Resources, cores, memory, accelerators Reason) Reason {
	switch min(r.MilliCPU, r.MemoryMB, r.Accelerators) {
	case r.Accelerators:
		return accelerators
	case r.MilliCPU:
		return cores
	default:
		return memory
	}
}
