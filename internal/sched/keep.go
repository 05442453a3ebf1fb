package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// rackState is what a round knows of the servers of one rack that belong to one service.
type rackState struct {
	servers                []*serverState
	capacity, urgent, used job.Resources
}

// maxKeptShare bounds the part of a service's capacity that is kept, and keptFactor how much is kept as a multiple of
// what urgent work uses now: when no more of it comes, nothing is kept.
const (
	maxKeptShare = 0.25
	keptFactor   = 1.5
)

// keepRoom keeps whole racks for urgent work, as much as it has used lately: first those where most of it runs, then
// those with the most room. Later steps of the round start nothing there; what runs there goes on.
//
// It answers urgent work that comes all the time to a full cluster: what starts in the room that it has just left is
// stopped for the next that comes, which loses more than the room would be idle.
func (d *round) keepRoom(lately map[string]job.Resources) {
	for service, used := range lately {
		racks := d.racksOf(service)
		var capacity, now job.Resources
		for _, r := range racks {
			capacity, now = capacity.Add(r.capacity), now.Add(r.urgent)
		}
		most := min(share(used, capacity), keptFactor*share(now, capacity), maxKeptShare)
		kept := 0.0
		for _, r := range racks {
			part := share(r.capacity, capacity)
			if kept+part/2 > most {
				break
			}
			kept += part
			for _, srv := range r.servers {
				srv.earmarked = srv.earmarked.Add(srv.Capacity)
				srv.marks = append(srv.marks, mark{need: srv.Capacity})
			}
		}
	}
}

// racksOf returns the racks of a service in the order in which they are kept.
func (d *round) racksOf(service string) []*rackState {
	states := make([]rackState, d.racks)
	var list []*rackState
	for _, srv := range d.servers {
		if srv.Service != service {
			continue
		}
		r := &states[srv.rack]
		if r.servers == nil {
			list = append(list, r)
		}
		r.servers = append(r.servers, srv)
		r.capacity, r.urgent = r.capacity.Add(srv.Capacity), r.urgent.Add(srv.UrgentUse)
		r.used = r.used.Add(srv.Capacity.Sub(srv.free))
	}
	slices.SortStableFunc(list, func(a, b *rackState) int {
		return cmp.Or(cmp.Compare(share(b.urgent, b.capacity), share(a.urgent, a.capacity)), cmp.Compare(share(a.used, a.capacity), share(b.used, b.capacity)))
	})
	return list
}

// share returns the largest share that a part takes of any resource of a whole.
func share(part, whole job.Resources) float64 {
	most := 0.0
	for _, c := range [][2]int{{part.MilliCPU, whole.MilliCPU}, {part.MemoryMB, whole.MemoryMB}, {part.Accelerators, whole.Accelerators}} {
		if c[1] > 0 {
			most = max(most, float64(c[0])/float64(c[1]))
		}
	}
	return most
}

// lately is the time over which the use of room is averaged: several times as long as urgent work runs, and as bursts
// of it last.
const lately = 10 * time.Second

// UsedLately is the room that is used on average over about the last ten seconds. The zero value has observed nothing.
type UsedLately struct {
	at                        time.Time
	milliCPU, memoryMB, units float64
}

// Observe adds what is used now.
func (u *UsedLately) Observe(now time.Time, used job.Resources) {
	weight := 1.0
	if !u.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(u.at).Seconds()/lately.Seconds())
	}
	u.at = now
	u.milliCPU += weight * (float64(used.MilliCPU) - u.milliCPU)
	u.memoryMB += weight * (float64(used.MemoryMB) - u.memoryMB)
	u.units += weight * (float64(used.Accelerators) - u.units)
}

// Mean returns the average.
func (u *UsedLately) Mean() job.Resources {
	return job.Resources{MilliCPU: int(u.milliCPU), MemoryMB: int(u.memoryMB), Accelerators: int(math.Round(u.units))}
}
