package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Tier is the distance of a backend server.
type Tier int

// The tiers.
const (
	TierZone   Tier = iota // own availability zone
	TierRegion             // own region
	TierRemote             // other regions; traffic there is paid by volume
	tierCount
)

// FleetServer is a backend server as the view shows it.
type FleetServer struct {
	model.BackendServer
	Tier      Tier
	Usable    bool // live, not leaving and not quarantined
	FreeSlots int  // as last reported; 0 when that is not known
}

// Fleet is what the scheduler follows: the backend servers in a fixed order.
type Fleet struct {
	Servers []FleetServer
	VMs     int // live VMs of the availability zone, this one included; at least 1
	Limits  model.Limits
}

const (
	defaultSlots       = 8
	defaultConnections = 64
	// reservedConnections per VM are kept for pings and look-ups.
	reservedConnections = 2
	// reportStale is the age at which a report of no free slot is tried again.
	reportStale = 250 * time.Millisecond
	// closedMin and closedMax bound the pause after a server had no free slot or no connection.
	closedMin = 10 * time.Millisecond
	closedMax = 160 * time.Millisecond
	// leavingSticky is how long a server's own word that it leaves outlasts a view
	// that does not know it yet.
	leavingSticky = 30 * time.Second
)

// sparedShare bounds the slots that may be spared, as a divisor of the server's slots.
const sparedShare = 4

// Server is what the scheduler knows of one backend server.
type Server struct {
	address     string // never changes
	server      model.BackendServer
	tier        Tier
	usable      bool // live, not leaving and not quarantined by the view
	inflight    int
	free        int // estimate of the free slots
	reported    time.Time
	closings    int
	closedUntil time.Time
	leavingTill time.Time
	health      health
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

// pool chooses backend servers. It is pure but for its source of randomness.
type pool struct {
	servers  map[string]*Server // by address
	tiers    [tierCount][]*Server
	vms      int // live VMs of the availability zone, this one included
	inflight int // in the own availability zone
	rand     *rand.Rand
}

func newPool(r *rand.Rand) *pool {
	return &pool{servers: map[string]*Server{}, vms: 1, rand: r}
}

// update applies a new view. Servers that are gone from it are kept while they
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
	if now.Sub(b.reported) > reportStale && fs.FreeSlots > 0 && !now.Before(b.closedUntil) {
		b.free = fs.FreeSlots
	}
	return b
}

// serving reports whether the tier has a server that takes work, full or not.
func (p *pool) serving(t Tier, now time.Time) bool {
	for _, b := range p.tiers[t] {
		if b.accepts(now) {
			return true
		}
	}
	return false
}

// accepts reports whether the server takes new work when it has a free slot.
func (b *Server) accepts(now time.Time) bool {
	return b.usable && !now.Before(b.leavingTill) && b.health.admits(now, b.inflight)
}

// room reports how many requests may be sent to b now.
func (p *pool) room(b *Server, now time.Time) int {
	if !b.accepts(now) || now.Before(b.closedUntil) {
		return 0
	}
	free := b.free
	if b.closings > 0 {
		free = min(free, 1)
	}
	return min(p.limit(b), free)
}

// limit returns how many more requests of this VM fit on b at all.
func (p *pool) limit(b *Server) int {
	connections := max(b.connections()/p.vms-reservedConnections, 1)
	return min(b.slots(), connections) - b.inflight
}

// pick chooses a server of a tier by the power of two choices and counts the
// request in flight there; nil when none has room. spare free slots are left on each
// server; except is not chosen.
func (p *pool) pick(t Tier, spare int, except *Server, now time.Time) *Server {
	spare = max(spare, p.headroom(t))
	var open []*Server
	for _, b := range p.tiers[t] {
		if b != except && p.room(b, now) > min(spare, b.slots()/sparedShare) {
			open = append(open, b)
		}
	}
	if len(open) == 0 {
		return nil
	}
	b := open[p.rand.IntN(len(open))]
	if other := open[p.rand.IntN(len(open))]; p.room(other, now) > p.room(b, now) {
		b = other
	}
	p.start(b)
	return b
}

// stale returns a near server whose report of no free slot is old; nil when there
// is none.
func (p *pool) stale(except *Server, now time.Time) *Server {
	var old []*Server
	for _, b := range slices.Concat(p.tiers[TierZone], p.tiers[TierRegion]) {
		unknown := b.free <= 0 && now.Sub(b.reported) > reportStale
		if unknown && b != except && b.accepts(now) && p.limit(b) > 0 && !now.Before(b.closedUntil) {
			old = append(old, b)
		}
	}
	if len(old) == 0 {
		return nil
	}
	return old[p.rand.IntN(len(old))]
}

// headroom is the number of free slots that are left to the other VMs of the
// availability zone. A VM that runs more than its share of the zone leaves the last
// one of each server, so that the others find a slot without asking for it.
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

// capacity estimates how many requests this VM can run at a time.
func (p *pool) capacity() int { return max(p.fairShare(), p.inflight) }

func (p *pool) start(b *Server) {
	b.inflight++
	b.free--
	if b.tier == TierZone {
		p.inflight++
	}
}

// noReport stands for an exchange that ended without a report of free slots.
const noReport = -1

// end counts a request out. free is the server's report of its free slots or
// noReport, which leaves the estimate as it is: the slot may be in use still.
func (p *pool) end(b *Server, free int, now time.Time) {
	b.inflight--
	if b.tier == TierZone {
		p.inflight--
	}
	if free == noReport {
		return
	}
	b.free = free
	b.reported = now
	if free > 0 {
		b.closings = 0
	}
}

// close keeps requests from a server that has no free slot or cannot be reached,
// for a time that grows until it takes one again.
func (p *pool) close(b *Server, now time.Time) {
	b.free = 0
	b.reported = now
	backoff := min(closedMin<<min(b.closings, 8), closedMax)
	b.closings++
	b.closedUntil = now.Add(backoff/2 + time.Duration(p.rand.Int64N(int64(backoff))))
}

// leaving notes a server's own word that it takes no new work.
func (p *pool) leaving(b *Server, now time.Time) {
	b.leavingTill = now.Add(leavingSticky)
}
