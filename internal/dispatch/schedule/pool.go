package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Tier is the distance of a backend server.
type Tier int

// The values of Tier, nearest first.
const (
	TierZone   Tier = iota // own availability zone
	TierRegion             // own region
	TierRemote             // other regions; traffic to them is charged by volume
	tierCount
)

// FleetServer is the state of a backend server that the view holds.
type FleetServer struct {
	model.BackendServer
	Tier      Tier
	Usable    bool // live, not leaving and not quarantined
	FreeSlots int  // as last reported; 0 when unknown
}

// Fleet is the input of Scheduler.Update: the backend servers and limits of a view.
type Fleet struct {
	Servers []FleetServer // in a fixed order
	VMs     int           // live VMs of the availability zone, this one included; at least 1
	Limits  model.Limits
}

const (
	defaultSlots       = 8
	defaultConnections = 64
	// reservedConnections is the number of connections to each server that a VM keeps
	// free for pings and look-ups.
	reservedConnections = 2
	// staleReportAge is the age from which on a server's report of its free slots is no
	// longer relied on: a server that reported none may be probed.
	staleReportAge = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the back-off after a server had no free slot or could
	// not be reached. The pause is drawn from 0.5 to 1.5 times the back-off.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
	// selfReportedLeavingTime is how long a server gets no requests after it refused one
	// because it is leaving. The view may show it as leaving only later.
	selfReportedLeavingTime = 30 * time.Second
)

// maxSpareDivisor bounds the slots of a server that are left free for other VMs or
// classes: at most slots/maxSpareDivisor.
const maxSpareDivisor = 4

// Server is the scheduler's state of one backend server.
type Server struct {
	address      string // immutable
	server       model.BackendServer
	tier         Tier
	usable       bool // live, not leaving and not quarantined, according to the view
	inflight     int  // requests of this VM
	free         int  // estimate of the free slots
	reportedAt   time.Time
	backoffs     int // consecutive
	backoffUntil time.Time
	leavingUntil time.Time
	health       health
}

func (b *Server) slots() int {
	if b.server.Slots <= 0 {
		return defaultSlots
	}
	return b.server.Slots
}

func (b *Server) connections() int {
	if b.server.Connections <= 0 {
		return defaultConnections
	}
	return b.server.Connections
}

// pool chooses backend servers. It has no clock and no lock; its only source of
// randomness is rand.
type pool struct {
	servers  map[string]*Server // by address
	tiers    [tierCount][]*Server
	vms      int // live VMs of the availability zone, this one included
	inflight int // requests of this VM on servers of its availability zone
	rand     *rand.Rand
}

func newPool(r *rand.Rand) *pool {
	return &pool{servers: map[string]*Server{}, vms: 1, rand: r}
}

// update applies a new view. Servers that the view no longer has are kept while they
// have requests in flight.
func (p *pool) update(f Fleet, now time.Time) {
	p.vms = max(f.VMs, 1)
	p.tiers = [tierCount][]*Server{}
	p.inflight = 0
	seen := map[string]bool{}
	for _, fs := range f.Servers {
		seen[fs.Address] = true
		b := p.updateServer(fs, now)
		p.tiers[b.tier] = append(p.tiers[b.tier], b)
		if b.tier == TierZone {
			p.inflight += b.inflight
		}
	}
	for address, b := range p.servers {
		if seen[address] {
			continue
		}
		b.usable = false
		if b.inflight == 0 {
			delete(p.servers, address)
		}
	}
}

func (p *pool) updateServer(fs FleetServer, now time.Time) *Server {
	b := p.servers[fs.Address]
	if b == nil {
		b = &Server{address: fs.Address, free: max(fs.FreeSlots, 1)}
		p.servers[fs.Address] = b
	}
	b.server = fs.BackendServer
	b.usable = fs.Usable
	b.tier = fs.Tier
	if now.Sub(b.reportedAt) > staleReportAge && fs.FreeSlots > 0 && !now.Before(b.backoffUntil) {
		b.free = fs.FreeSlots
	}
	return b
}

// hasAcceptingServer reports whether the tier has a server that takes new work, even
// if all its slots are in use.
func (p *pool) hasAcceptingServer(t Tier, now time.Time) bool {
	for _, b := range p.tiers[t] {
		if b.accepts(now) {
			return true
		}
	}
	return false
}

// accepts reports whether the server takes new work once it has a free slot.
func (b *Server) accepts(now time.Time) bool {
	return b.usable && !now.Before(b.leavingUntil) && b.health.allowsRequest(now, b.inflight)
}

// room returns how many requests may be sent to b now. After a back-off it is at most
// one until the server reports a free slot.
func (p *pool) room(b *Server, now time.Time) int {
	if !b.accepts(now) || now.Before(b.backoffUntil) {
		return 0
	}
	free := b.free
	if b.backoffs > 0 {
		free = min(free, 1)
	}
	return min(p.remainingCapacity(b), free)
}

// remainingCapacity returns how many more requests this VM may have on b, by the slots
// of b and the VM's share of its connections.
func (p *pool) remainingCapacity(b *Server) int {
	connections := max(b.connections()/p.vms-reservedConnections, 1)
	return min(b.slots(), connections) - b.inflight
}

// pick chooses a server of a tier by the power of two choices and counts the request as
// in flight there; nil when none has room. spare is the number of free slots to leave
// on each server. except, which may be nil, is not chosen.
func (p *pool) pick(t Tier, spare int, except *Server, now time.Time) *Server {
	spare = max(spare, p.headroom(t))
	var candidates []*Server
	for _, b := range p.tiers[t] {
		if b != except && p.room(b, now) > min(spare, b.slots()/maxSpareDivisor) {
			candidates = append(candidates, b)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	b := candidates[p.rand.IntN(len(candidates))]
	if other := candidates[p.rand.IntN(len(candidates))]; p.room(other, now) > p.room(b, now) {
		b = other
	}
	p.start(b)
	return b
}

// pickStale returns a random server of the own zone or region whose report of no free
// slot is stale; nil when there is none.
func (p *pool) pickStale(except *Server, now time.Time) *Server {
	var stale []*Server
	for _, b := range slices.Concat(p.tiers[TierZone], p.tiers[TierRegion]) {
		isStale := b.free <= 0 && now.Sub(b.reportedAt) > staleReportAge
		if isStale && b != except && b.accepts(now) && p.remainingCapacity(b) > 0 && !now.Before(b.backoffUntil) {
			stale = append(stale, b)
		}
	}
	if len(stale) == 0 {
		return nil
	}
	return stale[p.rand.IntN(len(stale))]
}

// headroom returns the number of free slots to leave on each server for the other VMs
// of the availability zone. A VM that runs its share of the zone's slots or more leaves
// the last free slot of each server, so that a VM below its share can send there at once.
func (p *pool) headroom(t Tier) int {
	if t != TierZone || p.vms < 2 {
		return 0
	}
	if p.inflight < p.fairShare() {
		return 0
	}
	return 1
}

func (p *pool) fairShare() int {
	slots := 0
	for _, b := range p.tiers[TierZone] {
		if b.usable {
			slots += b.slots()
		}
	}
	return max(slots/p.vms, 1)
}

// capacity estimates how many requests this VM can run at a time: its share of the
// zone's slots, or more if it already runs more.
func (p *pool) capacity() int { return max(p.fairShare(), p.inflight) }

func (p *pool) start(b *Server) {
	b.inflight++
	b.free--
	if b.tier == TierZone {
		p.inflight++
	}
}

// noReport marks a send that ended without a report of free slots.
const noReport = -1

// end counts a request as no longer in flight. free is the number of free slots that
// the server reported, or noReport, which leaves the estimate unchanged because the
// slot may still be in use.
func (p *pool) end(b *Server, free int, now time.Time) {
	b.inflight--
	if b.tier == TierZone {
		p.inflight--
	}
	if free == noReport {
		return
	}
	b.free = free
	b.reportedAt = now
	if free > 0 {
		b.backoffs = 0
	}
}

// close starts a back-off: a server that has no free slot or cannot be reached gets no
// requests for a random time. Its mean doubles each time, up to maxBackoff, until the
// server reports a free slot.
func (p *pool) close(b *Server, now time.Time) {
	b.free = 0
	b.reportedAt = now
	backoff := min(minBackoff<<min(b.backoffs, 8), maxBackoff)
	b.backoffs++
	b.backoffUntil = now.Add(backoff/2 + time.Duration(p.rand.Int64N(int64(backoff))))
}

// markLeaving notes that the server refused a request because it is leaving.
func (p *pool) markLeaving(b *Server, now time.Time) {
	b.leavingUntil = now.Add(selfReportedLeavingTime)
}
