package requests

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// simulation runs one scenario in virtual time.
type simulation struct {
	deployment deployment
	scenario   loadScenario
	now        time.Time
	end        time.Time
	events     eventHeap
	sequence   int
	rand       *rand.Rand // draws the arrivals, the same ones for every policy
	zones      [][]*simServer
	servers    []*simServer
	vms        [][]simVM // by zone
	result     scenarioResult
	// slotTime is the sum of the times that slots were in use between the warm-up and the end.
	slotTime time.Duration
}

// simVM is a VM under one policy.
type simVM interface {
	arrive(a *arrival)
}

// arrival is one request.
type arrival struct {
	workload    workload
	org         int
	caller      int // 0 is the large caller of a scenario that has one
	zone        int
	at          time.Time
	serviceTime time.Duration
	answered    bool
}

func (a *arrival) deadline() time.Time { return a.at.Add(a.workload.deadline) }

// simServer is a backend server.
type simServer struct {
	id    int
	zone  int
	used  int
	queue []func() // used only by fifoVM
}

func newSimulation(d deployment, scenario loadScenario, seed uint64, newVM func(*simulation) simVM) *simulation {
	start := time.Unix(0, 0)
	s := &simulation{
		deployment: d,
		scenario:   scenario,
		now:        start,
		end:        start.Add(scenario.duration),
		rand:       rand.New(rand.NewPCG(seed, 1)),
	}
	for zone, size := range d.zones {
		var servers []*simServer
		for range size.servers {
			servers = append(servers, &simServer{id: len(s.servers) + len(servers), zone: zone})
		}
		s.zones = append(s.zones, servers)
		s.servers = append(s.servers, servers...)
	}
	for zone, size := range d.zones {
		s.vms = append(s.vms, nil)
		for range size.vms {
			s.vms[zone] = append(s.vms[zone], s.buildVM(newVM, zone))
		}
	}
	return s
}

// zoneVM is implemented by VMs that need to know their zone and index.
type zoneVM interface{ setZone(zone, index int) }

func (s *simulation) buildVM(newVM func(*simulation) simVM, zone int) simVM {
	vm := newVM(s)
	if z, ok := vm.(zoneVM); ok {
		z.setZone(zone, len(s.vms[zone]))
	}
	return vm
}

// run processes the events until drainTimeout after the end of the scenario.
func (s *simulation) run() *scenarioResult {
	for i := range workloads {
		s.scheduleArrival(i)
	}
	limit := s.end.Add(drainTimeout)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.After(limit) {
			break
		}
		s.now = e.at
		e.run()
	}
	s.result.finish(s)
	return &s.result
}

// drainTimeout is longer than the deadlines of urgent and normal requests, so that those
// that arrive at the end are still answered or expire.
const drainTimeout = 25 * time.Second

// rate returns the arrivals per second of a workload.
func (s *simulation) rate(i int) float64 {
	work := workloads[i]
	mean := work.serviceTime.Seconds() * math.Exp(serviceSigma*serviceSigma/2)
	capacity := float64(s.deployment.slots()) / mean
	if s.scenario.largeCaller {
		if i != workPlan {
			return 0
		}
		return largeCallerLoad * capacity
	}
	if s.scenario.flood == i && s.now.Sub(time.Unix(0, 0)) >= warmUp {
		return floodLoad * capacity
	}
	return work.loadShare * capacity
}

// scheduleArrival schedules the next arrival of a workload.
func (s *simulation) scheduleArrival(i int) {
	rate := s.rate(i)
	if rate == 0 {
		return
	}
	gap := time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		if s.now.After(s.end) {
			return
		}
		s.arrive(i)
		s.scheduleArrival(i)
	})
}

func (s *simulation) arrive(i int) {
	a := &arrival{workload: workloads[i], at: s.now}
	s.chooseCaller(a)
	a.serviceTime = time.Duration(float64(a.workload.serviceTime) * math.Exp(serviceSigma*s.rand.NormFloat64()))
	a.zone = (a.org + a.caller) % len(s.deployment.zones)
	vms := s.vms[a.zone]
	vm := vms[s.rand.IntN(len(vms))]
	s.result.recordArrival(a)
	vm.arrive(a)
}

func (s *simulation) chooseCaller(a *arrival) {
	n := organisations * callersPerOrg
	if !s.scenario.largeCaller {
		k := s.rand.IntN(n)
		a.org, a.caller = k%organisations, 1+k/organisations
		return
	}
	if s.rand.IntN(largeFactor+n) < largeFactor {
		return
	}
	k := s.rand.IntN(n)
	a.org, a.caller = k%organisations, 1+k/organisations
}

// latency returns the one-way latency from a zone to a server.
func (s *simulation) latency(zone int, b *simServer) time.Duration {
	if b.zone == zone {
		return s.deployment.zoneLatency
	}
	return s.deployment.regionLatency
}

// answer records that the VM has received the answer to a request.
func (s *simulation) answer(a *arrival) {
	if a.answered {
		return
	}
	a.answered = true
	s.result.recordAnswer(a, s.now, s.end)
}

// refuse records that a request was answered as not run.
func (s *simulation) refuse(a *arrival) {
	if a.answered {
		return
	}
	a.answered = true
	s.result.recordRefusal(a)
}

// countSlotTime adds the slot time of an execution that starts now and takes d.
func (s *simulation) countSlotTime(d time.Duration) {
	from, to := s.now, s.now.Add(d)
	if start := time.Unix(0, 0).Add(warmUp); from.Before(start) {
		from = start
	}
	if to.After(s.end) {
		to = s.end
	}
	s.slotTime += max(to.Sub(from), 0)
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now.Add(d), s.sequence, do})
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// fifoVM sends each request at once, to the servers of its zone in turn. The servers queue
// the requests without a limit, first come, first served.
type fifoVM struct {
	s    *simulation
	zone int
	next int
}

func newFIFOVM(s *simulation) simVM { return &fifoVM{s: s} }

func (f *fifoVM) setZone(zone, index int) {
	f.zone = zone
	f.next = index
}

func (f *fifoVM) arrive(a *arrival) {
	servers := f.s.zones[f.zone]
	b := servers[f.next%len(servers)]
	f.next++
	f.s.after(f.s.latency(f.zone, b), func() { f.execute(b, a) })
}

func (f *fifoVM) execute(b *simServer, a *arrival) {
	if b.used == slotsPerServer {
		b.queue = append(b.queue, func() { f.execute(b, a) })
		return
	}
	b.used++
	f.s.countSlotTime(a.serviceTime)
	f.s.after(a.serviceTime, func() {
		b.used--
		f.s.after(f.s.latency(f.zone, b), func() { f.s.answer(a) })
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			next()
		}
	})
}
