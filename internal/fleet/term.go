package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/standby"
	"github.com/eelgrassreach/eelgrassreach/internal/straggler"
)

// holderProducer is the producer name of the holder. Its epoch is the term's token, so that
// the store refuses records of a previous holder.
const holderProducer = "holder"

// claim is the record by which a VM takes the term. Its offset plus one is the fencing
// token, so that 0 means no token.
type claim struct {
	Offset      int64             `json:"-"`
	Node        string            `json:"node"`
	Incarnation model.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
	Forward     string            `json:"forward"`
}

func (c claim) token() int64 { return c.Offset + 1 }

// Peer is another VM.
type Peer struct {
	Node        string            `json:"node"`
	Incarnation model.Incarnation `json:"incarnation"`
	AZ          string            `json:"az,omitempty"`
	Address     string            `json:"address"`
	Forward     string            `json:"forward"`
	MilliCPU    int               `json:"cpu"`
	offset      int64             // of its newest announcement
}

// Heartbeat is the message that VMs exchange. The holder sends it to the standbys, and each answers
// with its own. The standbys pass on to the other VMs of their zone what they need of it.
type Heartbeat struct {
	Node        string            `json:"node"`
	Incarnation model.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
	Forward     string            `json:"forward"`
	// Token is the newest token that the sender knows; Holder is set if the sender holds the
	// term under it.
	Token  int64 `json:"token"`
	Holder bool  `json:"holder,omitempty"`
	// SentAt is when the sender sent it, on its own clock, and AnswersSentAt is the SentAt of the holder's
	// heartbeat that it answers; both in nanoseconds.
	SentAt        int64 `json:"sentAt,omitempty"`
	AnswersSentAt int64 `json:"answersSentAt,omitempty"`
	// Leaving is set during the sender's planned stop.
	Leaving bool `json:"leaving,omitempty"`
	// StoreLost is set if the store has not served the sender for a while.
	StoreLost bool `json:"storeLost,omitempty"`
	// Yielding is set if the holder asks a VM that can carry the load better to take the term.
	Yielding bool `json:"yielding,omitempty"`
	// Claiming is set if the sender is claiming the term.
	Claiming bool `json:"claiming,omitempty"`
	// Replica is set if the sender follows all records and has read them.
	Replica bool `json:"replica,omitempty"`
	// Named are the nodes that the holder wants as standbys, and Replicas the VMs that answer for any job.
	Named    []string  `json:"named,omitempty"`
	Replicas []Replica `json:"replicas,omitempty"`
	// Largest holds the largest capacities of each service's backend servers.
	Largest map[string][]job.Resources `json:"largest,omitempty"`
	// Load is the holder's newest digest of the load, and LoadAgeMs how old its figures were when this was sent.
	Load      json.RawMessage `json:"load,omitempty"`
	LoadAgeMs int64           `json:"loadAgeMs,omitempty"`
	// Doubts are the submissions without an answer that the sender knows of; nil if there are none.
	Doubts *Doubts `json:"doubts,omitempty"`
	// Relay is set in what a replica tells the VMs of its zone. HolderHeard then tells whether it has
	// heard the holder lately, and HolderForward where that receives forwarded calls.
	Relay         bool   `json:"relay,omitempty"`
	HolderHeard   bool   `json:"holderHeard,omitempty"`
	HolderForward string `json:"holderForward,omitempty"`
	// Asks is set if the sender has just started and wants to be told of replicas.
	Asks bool `json:"asks,omitempty"`
}

// termState is what this VM knows of the term and of its own part in it.
type termState struct {
	token   int64     // the token of the term that this VM holds; 0 if it holds none
	takenAt time.Time // when this VM took the term
	// holderHeardAt is when a holder that is able to continue last sent a heartbeat.
	holderHeardAt time.Time
	holder        Heartbeat
	// heardDirectlyAt is when the holder's newest heartbeat arrived here.
	heardDirectlyAt time.Time
	// handingOver is set if the holder's newest heartbeat asks others to take the term.
	handingOver     bool
	claiming        bool
	claimedAt       time.Time
	claimedEpoch    int64
	epochClaimedAt  time.Time // when the term of claimedEpoch was first claimed
	heartbeatSentAt time.Time
	// unopposedAt is the newest moment up to which the store is known to hold no newer claim, and
	// confirmedBy holds when each peer was last sent a heartbeat that it has answered, by node.
	unopposedAt time.Time
	confirmedBy map[string]time.Time
	askedSince  map[string]time.Time // when each peer was first sent a heartbeat in this term, by node
	// authority is until when this holder may act, as of authorityAsOf; acting is whether it could then.
	authority, authorityAsOf time.Time
	acting                   bool
	recordsSentAt            time.Time            // when the newest records of this term were first sent
	peerAnswers              map[string]time.Time // when each peer last answered a heartbeat, by node
	eligiblePeers            map[string]time.Time // the same for peers that could take the term
	yielding                 bool
	// deferUntil is when the precedence of another VM's announced claim ends.
	deferUntil time.Time
}

// holdsTerm reports whether this VM holds the term.
func (s *State) holdsTerm() bool { return s.term.token != 0 }

// superviseTerm claims the term if its holder has failed or cannot continue.
func (s *State) superviseTerm() {
	if s.holdsTerm() || !s.role.active || s.leaving || !s.synced() || s.term.claiming && s.now.Sub(s.term.claimedAt) < claimRetry {
		return
	}
	if s.storeLost() {
		return
	}
	if s.now.Before(s.term.deferUntil) || s.now.Sub(s.term.holderHeardAt) < holderTimeout+s.claimDelay() {
		return
	}
	s.claimTerm()
}

// claimDelay lets the strongest VMs claim first, and staggers those of equal strength in a
// pseudorandom order that differs from term to term.
func (s *State) claimDelay() time.Duration {
	weight := func(node string) uint32 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(node + strconv.FormatInt(s.claim.Offset, 10))) // a hash's Write never fails
		return h.Sum32()
	}
	own, before := weight(s.self.Node), 0
	stronger := make(map[int]bool)
	mayClaim := s.likelyClaimants()
	for node, p := range s.peers {
		switch {
		case node == s.self.Node || mayClaim != nil && !mayClaim[node]:
		case p.MilliCPU > s.self.MilliCPU:
			stronger[p.MilliCPU] = true
		case p.MilliCPU == s.self.MilliCPU && weight(node) < own:
			before++
		}
	}
	return time.Duration(min(before, maxClaimStaggers))*claimStagger + time.Duration(len(stronger))*weakerClaimDelay
}

// likelyClaimants returns the replicas, which alone claim the term: those that are known or, if none
// is, the first VM of each zone, which make themselves replicas. It returns nil if this VM is none of
// them, so that it does not know who else claims.
func (s *State) likelyClaimants() map[string]bool {
	nodes := make(map[string]bool)
	for _, r := range s.role.replicas {
		nodes[r.Node] = true
	}
	if !s.role.heard {
		for _, node := range standby.Choose(s.vms(), "") {
			nodes[node] = true
		}
	}
	if !nodes[s.self.Node] {
		return nil
	}
	delete(nodes, s.term.holder.Node)
	return nodes
}

// claimTerm appends a claim under the producer epoch that follows the current term. If several
// VMs claim at once, the store accepts the first claim and takes the others, which have the
// same epoch and sequence number, for retries of it. The claim does not name an end offset, so
// it succeeds even while the current holder still appends records.
func (s *State) claimTerm() {
	value, err := json.Marshal(claim{Node: s.self.Node, Incarnation: s.self.Incarnation, Address: s.self.Address, Forward: s.self.Forward})
	if err != nil {
		s.log.Error("claim not encoded", zap.Error(err))
		return
	}
	s.term.claiming, s.term.claimedAt = true, s.now
	if epoch := s.claim.token() + 1; epoch != s.term.claimedEpoch {
		s.term.claimedEpoch, s.term.epochClaimedAt = epoch, s.now
	}
	s.log.Info("term claimed", zap.Int64("after", s.claim.token()), zap.String("last_holder", s.claim.Node),
		zap.Duration("holder_silent", s.now.Sub(s.term.holderHeardAt)))
	s.emit(Claim{AppendRequest{
		Partition: progressPartition,
		Records:   []job.Record{{Key: claimKey, Value: value}},
		At:        -1,
		Producer:  holderProducer,
		Epoch:     s.claim.token() + 1,
		Sequence:  0,
	}})
	s.emit(ReadServers{})
	h := s.heartbeat()
	h.Claiming = true
	s.sendToPeers(h)
}

// claimAnswered handles failed claims only. A claim takes effect when it is read back from
// the store, after all records before it, so a lost answer makes no difference.
func (s *State) claimAnswered(e ClaimAnswered) {
	if e.Err == nil {
		return
	}
	s.log.Info("claim not confirmed", zap.Error(e.Err))
	if e.Epoch == s.term.claimedEpoch && (errors.Is(e.Err, ErrConflict) || errors.Is(e.Err, ErrFenced)) {
		s.term.holderHeardAt = s.now // another VM writes records; wait for its heartbeat
		s.term.claiming = false
	}
}

// claimRead applies a claim that was read from the store, if it is the newest. One from the first read
// may be old: its holder gets half of holderTimeout to answer this VM's introduction.
func (s *State) claimRead(target *replicated, c claim, initial bool) {
	if c.Offset <= target.claim.Offset {
		return
	}
	target.claim = c
	mine := c.Node == s.self.Node && c.Incarnation == s.self.Incarnation
	switch {
	case mine && s.holdsTerm() && s.term.token == c.token():
	case mine && s.synced() && !s.leaving && s.term.claiming:
		s.takeTerm(c)
	case s.holdsTerm() && c.token() > s.term.token:
		s.stepDown("another VM has claimed the term", c.Node)
	}
	if !mine {
		heardAt := s.now
		if initial {
			heardAt = heardAt.Add(-holderTimeout / 2)
		}
		if heardAt.After(s.term.holderHeardAt) {
			s.term.holderHeardAt = heardAt
		}
		s.term.claiming, s.term.handingOver = false, false
	}
}

// takeTerm makes this VM the holder. It asks every backend server for a report before it
// places tasks.
func (s *State) takeTerm(c claim) {
	s.term.claiming = false
	s.term.token = c.token()
	s.term.takenAt = s.now
	s.term.peerAnswers, s.term.eligiblePeers = make(map[string]time.Time), make(map[string]time.Time)
	s.term.unopposedAt, s.term.authorityAsOf, s.term.acting = s.term.epochClaimedAt, time.Time{}, true
	s.term.confirmedBy, s.term.askedSince = make(map[string]time.Time), make(map[string]time.Time)
	s.term.yielding, s.term.recordsSentAt = false, s.now
	s.role.namedSince, s.role.silentUntil, s.role.answersAsReplica = make(map[string]time.Time), make(map[string]time.Time), make(map[string]bool)
	s.writer = newWriter()
	s.load = loadState{storeFailedAt: s.load.storeFailedAt}
	s.startsUnderWay = 0
	s.tokens = make(map[model.BackendServerID]int64)
	s.log.Info("term taken", zap.Int64("token", s.term.token), zap.Int("jobs", s.jobs.Len()),
		zap.Duration("list_age", s.now.Sub(s.serversAsOf)))
	s.metrics.TermsTaken.Inc(1)
	s.emit(ReadServers{})
	s.adoptPaces()
	s.adoptPlaced()
	s.replan = true
}

// stepDown gives up the term. Running tasks are left to the next holder.
func (s *State) stepDown(reason, newHolder string) {
	s.log.Warn("term lost", zap.Int64("token", s.term.token), zap.String("reason", reason), zap.String("holder", newHolder))
	s.metrics.TermsLost.Inc(1)
	s.term.token = 0
	s.term.holderHeardAt = s.now
	s.writer = newWriter()
	for id, v := range s.servers {
		if !v.listed {
			delete(s.servers, id)
			continue
		}
		s.servers[id] = &server{entry: v.entry, largest: v.largest, listed: true, listedAt: v.listedAt, entryBefore: v.entryBefore, sameStart: v.sameStart, entrySequence: v.entrySequence, runs: make(map[string]*run)}
	}
	s.advice = make(map[string]*advice)
	s.losses, s.crashed = nil, make(map[model.BackendServerID]bool)
	s.orphans = make(map[string]int)
	s.avoid = make(map[job.GroupKey]map[model.BackendServerID]time.Time)
	s.stepRates = make(map[job.GroupKey]*straggler.StepRates)
	s.turns = make(map[model.JobID]turn)
	s.paces = newPaceState()
	s.resync()
}

func (s *State) heartbeat() Heartbeat {
	return Heartbeat{
		Node:        s.self.Node,
		Incarnation: s.self.Incarnation,
		Address:     s.self.Address,
		Forward:     s.self.Forward,
		Token:       max(s.term.token, s.claim.token()),
		Holder:      s.holdsTerm(),
		Leaving:     s.leaving,
		StoreLost:   s.storeLost(),
		Yielding:    s.term.yielding,
		Replica:     s.role.active && s.synced(),

		HolderForward: s.HolderForwardAddress(),
		Doubts:        s.doubts(),
	}
}

// sendHeartbeats sends the holder's heartbeat to the standbys when it is due. A replica that the
// holder does not know of introduces itself, so that it is not left to claim the term in its turn.
func (s *State) sendHeartbeats() {
	if s.now.Sub(s.term.heartbeatSentAt) < heartbeatInterval {
		return
	}
	if !s.holdsTerm() {
		if s.unknownToHolder() {
			s.term.heartbeatSentAt = s.now
			s.emit(SendHeartbeat{Heartbeat: s.heartbeat(), To: []string{s.claim.Address}})
		}
		return
	}
	s.term.heartbeatSentAt = s.now
	s.updateYielding()
	if h, to := s.heartbeatToStandbys(); len(to) > 0 {
		s.emit(SendHeartbeat{Heartbeat: h, To: to})
	}
}

// presenceDue reports whether the holder has to show by a record that it is at work: it has stored nothing
// lately, and a VM that may claim the term has not answered, so that it may not hear the heartbeats. A holder
// that does not reach many backend servers leaves the term to such a VM, which may reach them.
func (s *State) presenceDue() bool {
	if s.leaving || s.term.yielding || s.storeLost() || s.now.Sub(s.term.recordsSentAt) < presenceInterval {
		return false
	}
	return s.isUnheard() && s.reachesMostServers()
}

// isUnheard reports whether a VM that may claim the term has not answered this holder's heartbeats lately.
func (s *State) isUnheard() bool {
	for node, since := range s.term.askedSince {
		if _, known := s.peers[node]; known && s.now.Sub(maxTime(since, s.term.confirmedBy[node])) > unheardAfter {
			return true
		}
	}
	return false
}

// reachesMostServers reports whether at most the share mostUnreached of the listed backend servers does not
// answer this holder.
func (s *State) reachesMostServers() bool {
	listed, unreached := 0, 0
	for _, v := range s.servers {
		if !v.listed {
			continue
		}
		listed++
		if !v.hasReported || v.failedCalls > 0 {
			unreached++
		}
	}
	return float64(unreached) <= mostUnreached*float64(listed)
}

// unknownToHolder reports whether this VM is a replica that gets no heartbeats from the VM with the
// newest claim.
func (s *State) unknownToHolder() bool {
	if !s.role.active || !s.synced() || s.leaving || s.claim.Offset < 0 || s.claim.Node == s.self.Node {
		return false
	}
	return s.term.holder.Node != s.claim.Node || s.now.Sub(s.term.heardDirectlyAt) > heartbeatInterval+heartbeatInterval/2
}

// sendToPeers sends a heartbeat to all other VMs.
func (s *State) sendToPeers(h Heartbeat) {
	var to []string
	for node, p := range s.peers {
		if node != s.self.Node {
			to = append(to, p.Address)
		}
	}
	slices.SortFunc(to, cmp.Compare)
	if len(to) > 0 {
		s.emit(SendHeartbeat{Heartbeat: h, To: to})
	}
}

// updateYielding decides whether to offer the term to a VM that can carry the load better: to a
// stronger one, or, while this VM is overloaded, to one of equal strength.
func (s *State) updateYielding() {
	strength, heldFor := s.self.MilliCPU, s.now.Sub(s.term.takenAt)
	best := -1
	for node, at := range s.term.eligiblePeers {
		if p, known := s.peers[node]; known && s.now.Sub(at) <= peerAlive {
			best = max(best, p.MilliCPU)
		}
	}
	yield := best > strength && heldFor >= yieldToStrongerAfter || best == strength && s.overloaded() && heldFor >= yieldOverloadedAfter
	if yield && !s.term.yielding {
		s.log.Warn("term is offered to other VMs", zap.Int64("token", s.term.token), zap.Bool("overloaded", s.overloaded()),
			zap.Int("milli_cpu", strength), zap.Int("milli_cpu_of_strongest", best))
	}
	s.term.yielding = yield
}

// observeLag keeps track of whether events wait too long in the queue.
func (s *State) observeLag(lag time.Duration) {
	switch {
	case lag < overloadLag:
		s.laggingSince = time.Time{}
	case s.laggingSince.IsZero():
		s.laggingSince = s.now
	}
}

func (s *State) overloaded() bool {
	return !s.laggingSince.IsZero() && s.now.Sub(s.laggingSince) >= overloadAfter
}

// handlePeerClaim defers this VM's own claim if the claiming VM is at least as strong.
func (s *State) handlePeerClaim(h Heartbeat) {
	if p, known := s.peers[h.Node]; known && p.MilliCPU >= s.self.MilliCPU && !s.term.claiming {
		s.term.deferUntil = s.now.Add(claimRetry)
	}
}

func (s *State) handleHeartbeat(h Heartbeat) {
	if h.Node == s.self.Node {
		return
	}
	s.doubtsHeard(h)
	if h.Claiming {
		s.handlePeerClaim(h)
		return
	}
	if h.Relay {
		s.relayHeard(h)
		return
	}
	if h.Asks {
		s.answerAsker(h)
		return
	}
	if s.holdsTerm() {
		if h.Token > s.term.token {
			s.stepDown("a newer term was heard of", h.Node)
			return
		}
		if h.Holder {
			s.emit(SendHeartbeat{Heartbeat: s.heartbeat(), To: []string{h.Address}}) // it learns of the newer term
			return
		}
		s.term.peerAnswers[h.Node] = s.now
		s.confirmTerm(h)
		s.role.answersAsReplica[h.Node] = h.Replica
		switch {
		case h.Leaving || h.StoreLost && !s.storeLost():
			s.passOver(h.Node)
		case h.Replica && !h.StoreLost:
			s.term.eligiblePeers[h.Node] = s.now
		}
		return
	}
	if !h.Holder {
		return
	}
	answer := s.heartbeat()
	answer.AnswersSentAt = h.SentAt
	if h.Token < s.claim.token() {
		s.emit(SendHeartbeat{Heartbeat: answer, To: []string{h.Address}}) // it learns of the newer term
		return
	}
	s.term.holder, s.term.heardDirectlyAt = h, s.now
	s.term.handingOver = h.Leaving || h.StoreLost || h.Yielding
	s.role.heardAt, s.role.heard, s.role.holderHeardAt = s.now, true, s.now
	s.rolesHeard(h)
	s.loadHeard(h)
	if slices.Contains(h.Named, s.self.Node) {
		s.role.namedAt = s.now
	}
	if s.term.handingOver {
		s.term.holderHeardAt = minTime(s.term.holderHeardAt, s.now.Add(-holderTimeout))
	} else {
		s.term.holderHeardAt = s.now
	}
	s.emit(SendHeartbeat{Heartbeat: answer, To: []string{h.Address}})
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
