package requests

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch/schedule"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	viewEvery = time.Second            // a new view of the backend servers
	viewLag   = 500 * time.Millisecond // age of the free slots in it
	wakeEvery = 10 * time.Millisecond
)

// scheduled is a VM that runs the product's scheduler.
type scheduled struct {
	s         *simulation
	zone      int
	scheduler *schedule.Scheduler
	open      map[*schedule.Request]*arrival
	servers   map[string]*simServer
	waking    bool
}

func newScheduled(s *simulation) entry {
	v := &scheduled{s: s, open: map[*schedule.Request]*arrival{}, servers: map[string]*simServer{}}
	for _, b := range s.servers {
		v.servers[address(b)] = b
	}
	return v
}

func address(b *simServer) string { return fmt.Sprint("backend-", b.id) }

func (v *scheduled) setZone(zone, index int) {
	v.zone = zone
	v.scheduler = schedule.New(rand.New(rand.NewPCG(uint64(zone), uint64(index))))
	v.view()
}

// view gives the scheduler the state of the servers as it was a while ago.
func (v *scheduled) view() {
	f := schedule.Fleet{VMs: v.s.site.zones[v.zone].vms}
	for _, b := range v.s.servers {
		f.Servers = append(f.Servers, schedule.FleetServer{
			BackendServer: model.BackendServer{Address: address(b), Slots: slotsPerServer, Connections: 64},
			Tier:          v.tier(b),
			Usable:        true,
			FreeSlots:     slotsPerServer - b.used,
		})
	}
	v.s.after(viewLag, func() {
		v.scheduler.Update(f, v.s.now)
		v.pump()
	})
	v.s.after(viewEvery, v.view)
}

func (v *scheduled) tier(b *simServer) schedule.Tier {
	if b.zone == v.zone {
		return schedule.TierZone
	}
	return schedule.TierRemote
}

func (v *scheduled) arrive(a *arrival) {
	x := &schedule.Request{
		Class:     a.work.class,
		Kind:      a.work.kind,
		Flow:      schedule.Flow{Organisation: model.OrganisationID(fmt.Sprint(a.org)), Caller: model.CallerID(fmt.Sprint(a.caller))},
		Weight:    1,
		Size:      a.work.bytes,
		ArrivedAt: v.s.now,
		Deadline:  a.deadline(),
	}
	v.open[x] = a
	v.reject(v.scheduler.Enqueue(x, v.s.now))
	if v.open[x] != nil {
		v.s.after(a.work.deadline, func() { v.expire(x) })
	}
	v.pump()
}

func (v *scheduled) reject(list []schedule.Rejected) {
	for _, r := range list {
		v.s.refused(v.open[r.Request])
		delete(v.open, r.Request)
	}
}

func (v *scheduled) expire(x *schedule.Request) {
	if v.open[x] != nil && v.scheduler.Withdraw(x) {
		v.s.refused(v.open[x])
		delete(v.open, x)
	}
}

func (v *scheduled) pump() {
	for {
		x, b, late := v.scheduler.Next(v.s.now)
		v.reject(late)
		if x == nil {
			break
		}
		v.send(x, b)
	}
	if v.waking || v.scheduler.TotalQueued() == 0 {
		return
	}
	v.waking = true
	v.s.after(wakeEvery, func() {
		v.waking = false
		v.pump()
	})
}

func (v *scheduled) send(x *schedule.Request, b *schedule.Server) {
	server := v.servers[b.Address()]
	latency := v.s.latency(v.zone, server)
	started := v.s.now
	v.s.after(latency, func() {
		if server.used == slotsPerServer {
			v.s.result.full++
			v.s.after(latency, func() { v.full(x, b) })
			return
		}
		server.used++
		v.s.occupy(v.open[x].service)
		v.s.after(v.open[x].service, func() {
			server.used--
			free := slotsPerServer - server.used
			v.s.after(latency, func() { v.answered(x, b, free, v.s.now.Sub(started)) })
		})
	})
}

func (v *scheduled) full(x *schedule.Request, b *schedule.Server) {
	v.scheduler.RecordSend(x, b, schedule.Report{End: schedule.EndNoSlot}, v.s.now)
	v.scheduler.Requeue(x, v.s.now)
	if !v.s.now.Before(x.Deadline) {
		v.expire(x)
	}
	v.pump()
}

func (v *scheduled) answered(x *schedule.Request, b *schedule.Server, free int, took time.Duration) {
	a := v.open[x]
	report := schedule.Report{End: schedule.EndDone, FreeSlots: free, Bytes: a.work.bytes, ServiceTime: took}
	v.scheduler.RecordSend(x, b, report, v.s.now)
	v.scheduler.MarkStopped(x)
	delete(v.open, x)
	v.s.done(a)
	v.pump()
}
