package requests

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/dispatch/schedule"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	updateInterval = time.Second            // between two updates of the state of the servers
	updateDelay    = 500 * time.Millisecond // age of the state in an update
	retryInterval  = 10 * time.Millisecond  // between attempts to send queued requests
)

// schedulerVM is a VM that runs the product's scheduler.
type schedulerVM struct {
	s              *simulation
	zone           int
	scheduler      *schedule.Scheduler
	arrivals       map[*schedule.Request]*arrival
	servers        map[string]*simServer
	retryScheduled bool
}

func newSchedulerVM(s *simulation) simVM {
	v := &schedulerVM{s: s, arrivals: map[*schedule.Request]*arrival{}, servers: map[string]*simServer{}}
	for _, b := range s.servers {
		v.servers[address(b)] = b
	}
	return v
}

func address(b *simServer) string { return fmt.Sprint("backend-", b.id) }

func (v *schedulerVM) setZone(zone, index int) {
	v.zone = zone
	v.scheduler = schedule.New(rand.New(rand.NewPCG(uint64(zone), uint64(index))))
	v.updateServers()
}

// updateServers gives the scheduler the state of the servers as it was updateDelay ago.
func (v *schedulerVM) updateServers() {
	fleet := schedule.Fleet{VMs: v.s.deployment.zones[v.zone].vms}
	for _, b := range v.s.servers {
		fleet.Servers = append(fleet.Servers, schedule.FleetServer{
			BackendServer: model.BackendServer{Address: address(b), Slots: slotsPerServer, Connections: 64},
			Tier:          v.tier(b),
			Usable:        true,
			FreeSlots:     slotsPerServer - b.used,
		})
	}
	v.s.after(updateDelay, func() {
		v.scheduler.Update(fleet, v.s.now)
		v.sendQueued()
	})
	v.s.after(updateInterval, v.updateServers)
}

func (v *schedulerVM) tier(b *simServer) schedule.Tier {
	if b.zone == v.zone {
		return schedule.TierZone
	}
	return schedule.TierRemote
}

func (v *schedulerVM) arrive(a *arrival) {
	request := &schedule.Request{
		Class:     a.workload.class,
		Kind:      a.workload.kind,
		Flow:      schedule.Flow{Organisation: model.OrganisationID(fmt.Sprint(a.org)), Caller: model.CallerID(fmt.Sprint(a.caller))},
		Weight:    1,
		Size:      a.workload.bytes,
		ArrivedAt: v.s.now,
		Deadline:  a.deadline(),
	}
	v.arrivals[request] = a
	v.reject(v.scheduler.Enqueue(request, v.s.now))
	if v.arrivals[request] != nil {
		v.s.after(a.workload.deadline, func() { v.expire(request) })
	}
	v.sendQueued()
}

func (v *schedulerVM) reject(list []schedule.Rejected) {
	for _, r := range list {
		v.s.refuse(v.arrivals[r.Request])
		delete(v.arrivals, r.Request)
	}
}

func (v *schedulerVM) expire(request *schedule.Request) {
	if v.arrivals[request] != nil && v.scheduler.Withdraw(request) {
		v.s.refuse(v.arrivals[request])
		delete(v.arrivals, request)
	}
}

func (v *schedulerVM) sendQueued() {
	for {
		request, b, late := v.scheduler.Next(v.s.now)
		v.reject(late)
		if request == nil {
			break
		}
		v.send(request, b)
	}
	if v.retryScheduled || v.scheduler.TotalQueued() == 0 {
		return
	}
	v.retryScheduled = true
	v.s.after(retryInterval, func() {
		v.retryScheduled = false
		v.sendQueued()
	})
}

func (v *schedulerVM) send(request *schedule.Request, b *schedule.Server) {
	server := v.servers[b.Address()]
	latency := v.s.latency(v.zone, server)
	started := v.s.now
	v.s.after(latency, func() {
		if server.used == slotsPerServer {
			v.s.result.noSlotRefusals++
			v.s.after(latency, func() { v.handleNoSlot(request, b) })
			return
		}
		server.used++
		v.s.countSlotTime(v.arrivals[request].serviceTime)
		v.s.after(v.arrivals[request].serviceTime, func() {
			server.used--
			free := slotsPerServer - server.used
			v.s.after(latency, func() { v.handleAnswer(request, b, free, v.s.now.Sub(started)) })
		})
	})
}

func (v *schedulerVM) handleNoSlot(request *schedule.Request, b *schedule.Server) {
	v.scheduler.RecordSend(request, b, schedule.Report{End: schedule.EndNoSlot}, v.s.now)
	v.scheduler.Requeue(request, v.s.now)
	if !v.s.now.Before(request.Deadline) {
		v.expire(request)
	}
	v.sendQueued()
}

func (v *schedulerVM) handleAnswer(request *schedule.Request, b *schedule.Server, free int, took time.Duration) {
	a := v.arrivals[request]
	report := schedule.Report{End: schedule.EndDone, FreeSlots: free, Bytes: a.workload.bytes, ServiceTime: took}
	v.scheduler.RecordSend(request, b, report, v.s.now)
	v.scheduler.MarkStopped(request)
	delete(v.arrivals, request)
	v.s.answer(a)
	v.sendQueued()
}
