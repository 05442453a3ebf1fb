package fleet

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/standby"
)

const (
	// relayInterval is the time between the heartbeats of a replica to the VMs of its zone.
	relayInterval = 1 * time.Second
	// lonelyTimeout is how long a VM hears no replica before it makes itself one; it may miss two
	// heartbeats. firstLonelyTimeout is the same after its start, when it asks for replicas each
	// askInterval, so that two answers may get lost.
	lonelyTimeout      = 3 * time.Second
	firstLonelyTimeout = 700 * time.Millisecond
	askInterval        = 250 * time.Millisecond
	// askedInZone is how many VMs of its zone a VM asks, besides the likely standbys.
	askedInZone = 3
	// lonelyStagger is between the VMs of a zone, so that one makes itself a replica first;
	// maxLonelyStaggers bounds the sum.
	lonelyStagger     = 100 * time.Millisecond
	maxLonelyStaggers = 20
	// namedFor is how long a VM counts as named by the holder after a heartbeat that names it.
	namedFor = 2 * time.Second
	// replicaLinger is how long a VM stays a replica that the holder no longer names, longer than
	// a hand-over or a restart of the VM that replaces it.
	replicaLinger = 10 * time.Second
	// silentFor is how long a VM that did not answer is passed over as a standby.
	silentFor = 5 * time.Second
	// bootstrapSettling is how long a VM waits for the others' announcements at the first start of
	// the whole system, when the store knows none of them yet.
	bootstrapSettling = 1 * time.Second
	// largestInterval is the time between summaries of the backend servers' capacities.
	largestInterval = 1 * time.Second
	// maxLargest bounds the summary of one service, which is part of each heartbeat.
	maxLargest = 8
	// announcementRounds is how many rounds of announcements by all VMs a VM may miss before it counts
	// as gone, announcementSlack the announcements of VMs that start in between.
	announcementRounds = 5
	announcementSlack  = 50
)

// Replica is the address of a VM that follows all records and so answers for any job.
type Replica struct {
	Node    string `json:"node"`
	AZ      string `json:"az"`
	Forward string `json:"forward"`
}

// roleState is this VM's part in following the records.
type roleState struct {
	// active is set while this VM follows all records.
	active  bool
	since   time.Time // of the present role
	namedAt time.Time // when the holder last named this VM
	heardAt time.Time // when this VM last heard a replica
	heard   bool      // whether it has ever heard one
	// holderHeardAt is when it last heard a holder, directly or through a standby.
	holderHeardAt time.Time
	relayedAt     time.Time
	askedAt       time.Time // when this VM last asked for replicas
	holderForward string    // where it receives forwarded calls, as last heard from a standby
	replicas      []Replica // that can be asked, as last heard
	largest       map[string][]job.Resources
	largestAt     time.Time
	// namedSince and silentUntil are the holder's view of the standbys that it names.
	namedSince, silentUntil map[string]time.Time
	answersAsReplica        map[string]bool
}

// IsReplica reports whether this VM follows all records, so that it can answer for any job.
func (s *State) IsReplica() bool { return s.role.active }

// LargeFleet reports whether only some of the VMs follow all records.
func (s *State) LargeFleet() bool { return len(s.peers) > standby.SmallFleet }

// partitions lists the partitions that this VM follows in its role.
func (s *State) partitions() []Partition {
	if s.role.active {
		return append(Partitions(), vmsPartition)
	}
	return []Partition{vmsPartition}
}

// superviseRole makes this VM a replica, or ends that.
func (s *State) superviseRole() {
	if s.holdsTerm() || !s.synced() || s.leaving {
		return
	}
	r := &s.role
	small := !s.LargeFleet()
	s.askForReplicas()
	switch {
	case r.active:
		if !small && !s.term.claiming && !r.namedAt.IsZero() && s.lingered(r.namedAt) || !small && r.namedAt.IsZero() && s.lingered(r.since) {
			s.resign()
		}
	case s.self.Bootstrap && s.now.Sub(r.since) < bootstrapSettling:
	case small:
		s.becomeReplica("the fleet is small")
	case !r.namedAt.IsZero() && s.now.Sub(r.namedAt) < namedFor:
		s.becomeReplica("named by the holder")
	case s.lonely() && !s.storeLost():
		s.becomeReplica("no replica is heard")
		// The holder is not heard either. If the store names one, it has time to answer this VM's
		// introduction.
		s.term.holderHeardAt = s.now.Add(-holderTimeout / 2)
	}
}

// askForReplicas makes a VM that has just started ask the likely standbys and some VMs of its zone which
// replicas there are. When all VMs have lost power, it need not wait for heartbeats.
func (s *State) askForReplicas() {
	r := &s.role
	if r.active || r.heard || !s.LargeFleet() || s.now.Sub(r.askedAt) < askInterval {
		return
	}
	r.askedAt = s.now
	vms := s.vms()
	nodes := standby.Choose(vms, s.self.Node)
	for _, node := range standby.InZone(vms, s.self.AZ, askedInZone) {
		if node != s.self.Node && !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	h := s.heartbeat()
	h.Asks = true
	s.emit(SendHeartbeat{Heartbeat: h, To: s.addresses(nodes)})
}

// answerAsker tells a VM that has just started what this VM knows of replicas, if it is one or has heard
// one lately.
func (s *State) answerAsker(h Heartbeat) {
	if h.Address == "" || !s.synced() || !s.role.active && s.now.Sub(s.role.heardAt) > relayInterval+relayInterval/2 || !s.role.active && !s.role.heard {
		return
	}
	s.emit(SendHeartbeat{Heartbeat: s.relay(), To: []string{h.Address}})
}

// addresses returns where the VMs receive heartbeats, sorted.
func (s *State) addresses(nodes []string) []string {
	var to []string
	for _, node := range nodes {
		to = append(to, s.peers[node].Address)
	}
	slices.Sort(to)
	return to
}

// lingered reports whether this VM has not been named since t for replicaLinger although it hears of
// a holder.
func (s *State) lingered(t time.Time) bool {
	return s.now.Sub(t) > replicaLinger && s.now.Sub(s.role.holderHeardAt) < namedFor
}

// lonely reports whether this VM has heard no replica for so long that it makes itself one.
func (s *State) lonely() bool {
	timeout := lonelyTimeout
	if !s.role.heard {
		timeout = firstLonelyTimeout
	}
	timeout += time.Duration(min(standby.Rank(s.vms(), s.self.Node), maxLonelyStaggers)) * lonelyStagger
	return s.now.Sub(s.role.heardAt) > timeout
}

func (s *State) becomeReplica(reason string) {
	s.log.Info("follows all records", zap.String("reason", reason), zap.Int("vms", len(s.peers)))
	s.metrics.Replica.Update(1)
	s.role.active, s.role.since = true, s.now
	s.term.holderHeardAt = s.now
	s.emit(FollowServers{On: true})
	s.resync()
}

// resign ends this VM's role as a replica and forgets what it has followed.
func (s *State) resign() {
	s.log.Info("no longer follows all records: other VMs do", zap.Int("vms", len(s.peers)))
	s.metrics.Replica.Update(0)
	s.role.active, s.role.since, s.role.namedAt = false, s.now, time.Time{}
	s.role.heardAt = s.now
	s.emit(FollowServers{On: false})
	s.servers = make(map[model.BackendServerID]*server)
	s.replicated = &replicated{jobs: job.NewTable(), recordedEnds: make(map[model.BackendServerID]endPosition), peers: s.peers, claim: s.claim}
	s.resync()
}

// vms lists the known VMs for the choice of standbys.
func (s *State) vms() []standby.VM {
	list := make([]standby.VM, 0, len(s.peers)+1)
	for node, p := range s.peers {
		list = append(list, standby.VM{Node: node, AZ: p.AZ, MilliCPU: p.MilliCPU, Silent: s.now.Before(s.role.silentUntil[node])})
	}
	if _, known := s.peers[s.self.Node]; !known {
		list = append(list, standby.VM{Node: s.self.Node, AZ: s.self.AZ, MilliCPU: s.self.MilliCPU})
	}
	return list
}

// nameStandbys returns the VMs that the holder names. One that does not answer is passed over for
// silentFor, unless this VM itself is behind with its events.
func (s *State) nameStandbys() []string {
	r := &s.role
	for node, since := range r.namedSince {
		if s.laggingSince.IsZero() && s.now.Sub(since) > peerAlive && s.now.Sub(s.term.peerAnswers[node]) > peerAlive {
			s.passOver(node)
		}
	}
	names := standby.Choose(s.vms(), s.self.Node)
	for _, node := range names {
		if _, named := r.namedSince[node]; !named {
			r.namedSince[node] = s.now
		}
	}
	for node := range r.namedSince {
		if !slices.Contains(names, node) {
			delete(r.namedSince, node)
		}
	}
	return names
}

// passOver makes the holder name another VM instead of this one for silentFor.
func (s *State) passOver(node string) {
	s.role.silentUntil[node] = s.now.Add(silentFor)
	delete(s.role.namedSince, node)
}

// answeringReplicas lists this VM and those that have answered lately as replicas that can serve.
func (s *State) answeringReplicas() []Replica {
	list := []Replica{{Node: s.self.Node, AZ: s.self.AZ, Forward: s.self.Forward}}
	for node, at := range s.term.eligiblePeers {
		if p, known := s.peers[node]; known && s.role.answersAsReplica[node] && s.now.Sub(at) <= peerAlive {
			list = append(list, Replica{Node: node, AZ: p.AZ, Forward: p.Forward})
		}
	}
	slices.SortFunc(list, func(a, b Replica) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// heartbeatToStandbys returns the holder's heartbeat and the addresses that it goes to: the standbys
// that it names, and other VMs that still answer as replicas.
func (s *State) heartbeatToStandbys() (Heartbeat, []string) {
	h := s.heartbeat()
	h.Named = s.nameStandbys()
	h.Replicas = s.answeringReplicas()
	h.Largest = s.largestCapacities()
	s.role.replicas = h.Replicas
	nodes := slices.Clone(h.Named)
	for _, r := range h.Replicas {
		if r.Node != s.self.Node && !slices.Contains(nodes, r.Node) {
			nodes = append(nodes, r.Node)
		}
	}
	for _, node := range s.askedPeers() {
		if !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	for _, node := range nodes {
		if _, asked := s.term.askedSince[node]; !asked {
			s.term.askedSince[node] = s.now
		}
	}
	h.SentAt = s.now.UnixNano()
	s.attachNewLoad(&h)
	return h, s.addresses(nodes)
}

// relayHeartbeat tells the other VMs of this replica's zone which VMs can be asked.
func (s *State) relayHeartbeat() {
	r := &s.role
	if !r.active || !s.synced() || s.leaving || s.holdsTerm() || !s.LargeFleet() || s.now.Sub(r.relayedAt) < relayInterval {
		return
	}
	r.relayedAt = s.now
	var nodes []string
	for node, p := range s.peers {
		if node != s.self.Node && p.AZ == s.self.AZ {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) > 0 {
		s.emit(SendHeartbeat{Heartbeat: s.relay(), To: s.addresses(nodes)})
	}
}

// relay returns the heartbeat that passes on what this VM knows of replicas. One that is a replica, and
// reaches the store, counts itself.
func (s *State) relay() Heartbeat {
	r := &s.role
	h := s.heartbeat()
	h.Relay = true
	h.Largest = r.largest
	s.attachLoad(&h)
	h.HolderHeard = s.holdsTerm() || s.now.Sub(r.holderHeardAt) < namedFor
	if s.holdsTerm() {
		h.HolderForward = s.self.Forward
	}
	if h.HolderHeard {
		h.Replicas = r.replicas
	}
	if h.Replica && !h.StoreLost && !slices.ContainsFunc(h.Replicas, func(other Replica) bool { return other.Node == s.self.Node }) {
		h.Replicas = append(slices.Clone(h.Replicas), Replica{Node: s.self.Node, AZ: s.self.AZ, Forward: s.self.Forward})
	}
	return h
}

// relayHeard applies a heartbeat from a standby of this VM's zone.
func (s *State) relayHeard(h Heartbeat) {
	r := &s.role
	r.heardAt, r.heard = s.now, true
	if h.HolderHeard {
		r.holderHeardAt, r.holderForward = s.now, h.HolderForward
	}
	if !r.active {
		s.rolesHeard(h)
	}
	s.loadHeard(h)
}

// rolesHeard stores which VMs can be asked and what fits on the backend servers.
func (s *State) rolesHeard(h Heartbeat) {
	if len(h.Replicas) > 0 {
		s.role.replicas = h.Replicas
	}
	if h.Largest != nil {
		s.role.largest = h.Largest
	}
}

// largestCapacities sums up, for each service, which capacities its backend servers have had. A
// service with too many different ones is left out: then nothing is known of it.
func (s *State) largestCapacities() map[string][]job.Resources {
	r := &s.role
	if r.largest != nil && s.now.Sub(r.largestAt) < largestInterval {
		return r.largest
	}
	r.largestAt = s.now
	r.largest = make(map[string][]job.Resources)
	tooMany := make(map[string]bool)
	for _, v := range s.servers {
		service := v.entry.Service
		if !v.listed || tooMany[service] || covered(r.largest[service], v.largest) {
			continue
		}
		list := slices.DeleteFunc(r.largest[service], func(c job.Resources) bool { return c.FitsIn(v.largest) })
		r.largest[service] = append(list, v.largest)
		tooMany[service] = len(r.largest[service]) > maxLargest
	}
	for service := range tooMany {
		if tooMany[service] {
			delete(r.largest, service)
		}
	}
	return r.largest
}

// covered reports whether need fits in one of the capacities.
func covered(capacities []job.Resources, need job.Resources) bool {
	return slices.ContainsFunc(capacities, func(c job.Resources) bool { return need.FitsIn(c) })
}

// ReadTargets lists where calls about jobs can be answered that this VM does not follow, the likeliest
// first: replicas of this VM's zone, other replicas, and the VMs that would be named first.
func (s *State) ReadTargets() []string {
	var near, far []string
	for _, r := range s.role.replicas {
		switch {
		case r.Node == s.self.Node:
		case r.AZ == s.self.AZ:
			near = append(near, r.Forward)
		default:
			far = append(far, r.Forward)
		}
	}
	rotate(far, int(s.now.UnixMilli()))
	list := append(near, far...)
	for _, node := range standby.Choose(s.vms(), s.self.Node) {
		if forward := s.peers[node].Forward; !slices.Contains(list, forward) {
			list = append(list, forward)
		}
	}
	return list
}

// rotate spreads calls over equally good targets.
func rotate(list []string, n int) {
	if len(list) > 1 {
		n %= len(list)
		copy(list, append(slices.Clone(list[n:]), list[:n]...))
	}
}
