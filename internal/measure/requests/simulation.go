package requests

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// simulation runs one scene in virtual time.
type simulation struct {
	site    deployment
	scene   situation
	now     time.Time
	end     time.Time
	events  eventHeap
	serial  int
	rand    *rand.Rand // of the arrivals: the same for every policy
	zones   [][]*simServer
	servers []*simServer
	entries [][]entry // by zone
	result  sceneResult
	// slotTime is the slot time used between the warm-up and the end.
	slotTime time.Duration
}

// entry is a VM under one policy.
type entry interface {
	arrive(a *arrival)
}

// arrival is one request.
type arrival struct {
	work     workload
	org      int
	caller   int // 0 is the large one, where there is one
	zone     int
	at       time.Time
	service  time.Duration
	answered bool
}

func (a *arrival) deadline() time.Time { return a.at.Add(a.work.deadline) }

// simServer is a backend server.
type simServer struct {
	id    int
	zone  int
	used  int
	queue []func() // of the policy that queues at the server
}

func newSimulation(site deployment, scene situation, seed uint64, newEntry func(*simulation) entry) *simulation {
	start := time.Unix(0, 0)
	s := &simulation{
		site:  site,
		scene: scene,
		now:   start,
		end:   start.Add(scene.length),
		rand:  rand.New(rand.NewPCG(seed, 1)),
	}
	for zone, size := range site.zones {
		var servers []*simServer
		for range size.servers {
			servers = append(servers, &simServer{id: len(s.servers) + len(servers), zone: zone})
		}
		s.zones = append(s.zones, servers)
		s.servers = append(s.servers, servers...)
	}
	for zone, size := range site.zones {
		s.entries = append(s.entries, nil)
		for range size.vms {
			s.entries[zone] = append(s.entries[zone], s.build(newEntry, zone))
		}
	}
	return s
}

// zoneSetter is an entry that has to know its zone.
type zoneSetter interface{ setZone(zone, index int) }

func (s *simulation) build(newEntry func(*simulation) entry, zone int) entry {
	e := newEntry(s)
	if z, ok := e.(zoneSetter); ok {
		z.setZone(zone, len(s.entries[zone]))
	}
	return e
}

// run plays the arrivals and what follows from them until all deadlines of the
// measured ones that matter have passed.
func (s *simulation) run() *sceneResult {
	for i := range workloads {
		s.schedule(i)
	}
	limit := s.end.Add(drainTime)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.After(limit) {
			break
		}
		s.now = e.at
		e.do()
	}
	s.result.finish(s)
	return &s.result
}

// drainTime lets urgent and normal requests that arrived at the end run out.
const drainTime = 25 * time.Second

// rate returns the arrivals per second of a workload.
func (s *simulation) rate(i int) float64 {
	work := workloads[i]
	mean := work.service.Seconds() * math.Exp(serviceSigma*serviceSigma/2)
	capacity := float64(s.site.slots()) / mean
	if s.scene.large {
		if i != workPlan {
			return 0
		}
		return largeOverload * capacity
	}
	if s.scene.flood == i && s.now.Sub(time.Unix(0, 0)) >= sceneWarmUp {
		return floodFactor * capacity
	}
	return work.share * capacity
}

// schedule plans the next arrival of a workload.
func (s *simulation) schedule(i int) {
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
		s.schedule(i)
	})
}

func (s *simulation) arrive(i int) {
	a := &arrival{work: workloads[i], at: s.now}
	s.chooseCaller(a)
	a.service = time.Duration(float64(a.work.service) * math.Exp(serviceSigma*s.rand.NormFloat64()))
	a.zone = (a.org + a.caller) % len(s.site.zones)
	vms := s.entries[a.zone]
	vm := vms[s.rand.IntN(len(vms))]
	s.result.offered(a)
	vm.arrive(a)
}

func (s *simulation) chooseCaller(a *arrival) {
	n := organisations * callersPerOrg
	if !s.scene.large {
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

// latency is the one-way time from a zone to a server.
func (s *simulation) latency(zone int, b *simServer) time.Duration {
	if b.zone == zone {
		return s.site.local
	}
	return s.site.far
}

// done notes a whole answer at the VM.
func (s *simulation) done(a *arrival) {
	if a.answered {
		return
	}
	a.answered = true
	s.result.answer(a, s.now, s.end)
}

// refused notes a request that was told `not run`.
func (s *simulation) refused(a *arrival) {
	if a.answered {
		return
	}
	a.answered = true
	s.result.refuse(a)
}

// occupy counts the slot time of an execution that starts now.
func (s *simulation) occupy(d time.Duration) {
	from, to := s.now, s.now.Add(d)
	if start := time.Unix(0, 0).Add(sceneWarmUp); from.Before(start) {
		from = start
	}
	if to.After(s.end) {
		to = s.end
	}
	s.slotTime += max(to.Sub(from), 0)
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

func (s *simulation) after(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.events, event{s.now.Add(d), s.serial, do})
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
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

// fifo sends each request at once to the servers of its zone in turn; they queue
// without bound, first come, first served.
type fifo struct {
	s    *simulation
	zone int
	next int
}

func newFIFO(s *simulation) entry { return &fifo{s: s} }

func (f *fifo) setZone(zone, index int) {
	f.zone = zone
	f.next = index
}

func (f *fifo) arrive(a *arrival) {
	servers := f.s.zones[f.zone]
	b := servers[f.next%len(servers)]
	f.next++
	f.s.after(f.s.latency(f.zone, b), func() { f.execute(b, a) })
}

func (f *fifo) execute(b *simServer, a *arrival) {
	if b.used == slotsPerServer {
		b.queue = append(b.queue, func() { f.execute(b, a) })
		return
	}
	b.used++
	f.s.occupy(a.service)
	f.s.after(a.service, func() {
		b.used--
		f.s.after(f.s.latency(f.zone, b), func() { f.s.done(a) })
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			next()
		}
	})
}
