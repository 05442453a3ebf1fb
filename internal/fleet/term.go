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
	"github.com/eelgrassreach/eelgrassreach/internal/straggler"
)

// holderProducer is the producer whose epoch is the token of the term, so that the
// store refuses the records of an older holder.
const holderProducer = "holder"

// claim is the record that gives a VM the term. Its offset, plus one, is the fencing
// token: 0 stands for none.
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
	Address     string            `json:"address"`
	Forward     string            `json:"forward"`
	MilliCPU    int               `json:"cpu"`
}

// Heartbeat is what VMs tell each other. The holder sends it to all; they answer with theirs.
type Heartbeat struct {
	Node        string            `json:"node"`
	Incarnation model.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
	Forward     string            `json:"forward"`
	// Token is the newest that the sender knows; Holder tells that it acts under it.
	Token  int64 `json:"token"`
	Holder bool  `json:"holder,omitempty"`
	// Leaving tells that the sender is in a planned stop.
	Leaving bool `json:"leaving,omitempty"`
	// StoreLost tells that the store has not answered the sender for a while.
	StoreLost bool `json:"storeLost,omitempty"`
	// Yielding tells that the holder wants a VM that carries the load better to follow.
	Yielding bool `json:"yielding,omitempty"`
	// Claiming tells that the sender claims the term at this moment.
	Claiming bool `json:"claiming,omitempty"`
}

// termState is this VM's part in the term.
type termState struct {
	token   int64     // under which this VM acts; 0 when it does not
	actedAt time.Time // when it began to
	// heard is when a holder that can go on was last heard from.
	heard     time.Time
	holder    Heartbeat
	claiming  bool
	claimedAt time.Time
	beatAt    time.Time
	answered  map[string]time.Time // peers by node, when they last answered
	able      map[string]time.Time // the same for those that could take the term
	yielding  bool
	// deferUntil is up to when a claim that was heard of has precedence.
	deferUntil time.Time
}

// acting reports whether this VM holds the term.
func (s *State) acting() bool { return s.term.token != 0 }

// superviseTerm claims the term when its holder is gone or cannot go on.
func (s *State) superviseTerm() {
	if s.acting() || s.leaving || !s.synced() || s.term.claiming && s.now.Sub(s.term.claimedAt) < claimRetry {
		return
	}
	if s.storeLost() {
		return
	}
	if s.now.Before(s.term.deferUntil) || s.now.Sub(s.term.heard) < holderTimeout+s.claimDelay() {
		return
	}
	s.claimTerm()
}

// claimDelay lets the strongest VMs claim first, and those of equal strength one after
// the other, in an order that each term draws anew.
func (s *State) claimDelay() time.Duration {
	weight := func(node string) uint32 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(node + strconv.FormatInt(s.claim.Offset, 10))) // a hash's Write never fails
		return h.Sum32()
	}
	own, before := weight(s.self.Node), 0
	stronger := make(map[int]bool)
	for node, p := range s.peers {
		switch {
		case node == s.self.Node:
		case p.MilliCPU > s.self.MilliCPU:
			stronger[p.MilliCPU] = true
		case p.MilliCPU == s.self.MilliCPU && weight(node) < own:
			before++
		}
	}
	return time.Duration(min(before, maxStaggered))*claimStagger + time.Duration(len(stronger))*weakerDelay
}

// claimTerm appends a claim under an epoch that only the successor of the present term
// has: the store takes one such claim and answers the others as repeats of it, however
// many records the present holder still writes.
func (s *State) claimTerm() {
	value, err := json.Marshal(claim{Node: s.self.Node, Incarnation: s.self.Incarnation, Address: s.self.Address, Forward: s.self.Forward})
	if err != nil {
		s.log.Error("claim not encoded", zap.Error(err))
		return
	}
	s.term.claiming, s.term.claimedAt = true, s.now
	s.log.Info("term claimed", zap.Int64("after", s.claim.token()), zap.String("last_holder", s.claim.Node),
		zap.Duration("holder_silent", s.now.Sub(s.term.heard)))
	s.emit(Claim{AppendRequest{
		Partition: progress,
		Records:   []job.Record{{Key: claimKey, Value: value}},
		At:        -1,
		Producer:  holderProducer,
		Epoch:     s.claim.token() + 1,
		Sequence:  0,
	}})
	h := s.heartbeat()
	h.Claiming = true
	s.tellPeers(h)
}

// claimAnswered only logs: the claim counts when it is read back, with all that was
// recorded before it, so that an answer that is lost makes no difference.
func (s *State) claimAnswered(e ClaimAnswered) {
	if e.Err == nil {
		return
	}
	s.log.Info("claim not confirmed", zap.Error(e.Err))
	if errors.Is(e.Err, ErrConflict) || errors.Is(e.Err, ErrFenced) {
		s.term.heard = s.now // another VM records; give it time to be heard from
		s.term.claiming = false
	}
}

// claimRead follows the newest claim.
func (s *State) claimRead(target *replicated, c claim) {
	if c.Offset <= target.claim.Offset {
		return
	}
	target.claim = c
	mine := c.Node == s.self.Node && c.Incarnation == s.self.Incarnation
	switch {
	case mine && s.acting() && s.term.token == c.token():
	case mine && s.synced() && !s.leaving && s.term.claiming:
		s.takeTerm(c)
	case s.acting() && c.token() > s.term.token:
		s.stepDown("another VM has claimed the term", c.Node)
	}
	if !mine {
		s.term.heard = s.now
		s.term.claiming = false
	}
}

// takeTerm begins to act: every backend server is asked what it runs before
// anything is placed.
func (s *State) takeTerm(c claim) {
	s.term.claiming = false
	s.term.token = c.token()
	s.term.actedAt = s.now
	s.term.answered, s.term.able = make(map[string]time.Time), make(map[string]time.Time)
	s.term.yielding = false
	s.writer = newWriter()
	s.log.Info("term taken", zap.Int64("token", s.term.token), zap.Int("jobs", s.jobs.Len()))
	s.count.TermsTaken.Inc(1)
	s.adoptPlaced()
	s.replan = true
}

// stepDown stops acting. What runs is left to the next holder.
func (s *State) stepDown(why, newer string) {
	s.log.Warn("term lost", zap.Int64("token", s.term.token), zap.String("reason", why), zap.String("holder", newer))
	s.count.TermsLost.Inc(1)
	s.term.token = 0
	s.term.heard = s.now
	s.writer = newWriter()
	for id, v := range s.servers {
		if !v.listed {
			delete(s.servers, id)
			continue
		}
		s.servers[id] = &server{entry: v.entry, listed: true, listedAt: v.listedAt, runs: make(map[string]*run)}
	}
	s.advice = make(map[string]*advice)
	s.strays = make(map[string]int)
	s.avoid = make(map[job.GroupKey]map[model.BackendServerID]bool)
	s.steps = make(map[job.GroupKey]*straggler.StepRates)
	s.resync()
}

func (s *State) heartbeat() Heartbeat {
	return Heartbeat{
		Node:        s.self.Node,
		Incarnation: s.self.Incarnation,
		Address:     s.self.Address,
		Forward:     s.self.Forward,
		Token:       max(s.term.token, s.claim.token()),
		Holder:      s.acting(),
		Leaving:     s.leaving,
		StoreLost:   s.storeLost(),
		Yielding:    s.term.yielding,
	}
}

// sendHeartbeats tells all peers that the holder is alive.
func (s *State) sendHeartbeats() {
	if !s.acting() || s.now.Sub(s.term.beatAt) < heartbeatInterval {
		return
	}
	s.term.beatAt = s.now
	s.considerYielding()
	s.tellPeers(s.heartbeat())
}

func (s *State) tellPeers(h Heartbeat) {
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

// considerYielding has a VM take over that carries the load better: a stronger one, or
// any as strong as this one when events wait too long here.
func (s *State) considerYielding() {
	strength, acted := s.self.MilliCPU, s.now.Sub(s.term.actedAt)
	best := -1
	for node, at := range s.term.able {
		if p, known := s.peers[node]; known && s.now.Sub(at) <= peerAlive {
			best = max(best, p.MilliCPU)
		}
	}
	yield := best > strength && acted >= yieldToStronger || best == strength && s.overloaded() && acted >= yieldOverloaded
	if yield && !s.term.yielding {
		s.log.Warn("term is offered to other VMs", zap.Int64("token", s.term.token), zap.Bool("overloaded", s.overloaded()),
			zap.Int("milli_cpu", strength), zap.Int("milli_cpu_of_strongest", best))
	}
	s.term.yielding = yield
}

// observeLag follows whether events wait too long for the loop.
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

// claimHeard gives way to a claim of a VM that is at least as strong.
func (s *State) claimHeard(h Heartbeat) {
	if p, known := s.peers[h.Node]; known && p.MilliCPU >= s.self.MilliCPU && !s.term.claiming {
		s.term.deferUntil = s.now.Add(claimRetry)
	}
}

func (s *State) heartbeatHeard(h Heartbeat) {
	if h.Node == s.self.Node {
		return
	}
	if h.Claiming {
		s.claimHeard(h)
		return
	}
	if s.acting() {
		s.term.answered[h.Node] = s.now
		if !h.Leaving && !h.StoreLost {
			s.term.able[h.Node] = s.now
		}
		if h.Holder && h.Token > s.term.token {
			s.stepDown("a newer holder was heard", h.Node)
		}
		return
	}
	if !h.Holder || h.Token < s.claim.token() {
		return
	}
	s.term.holder = h
	if h.Leaving || h.StoreLost || h.Yielding {
		s.term.heard = earlier(s.term.heard, s.now.Add(-holderTimeout))
	} else {
		s.term.heard = s.now
	}
	s.emit(SendHeartbeat{Heartbeat: s.heartbeat(), To: []string{h.Address}})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// isolated reports whether neither the store nor any peer has answered for a while.
// Another VM may then have the term, so that leases are extended no more.
func (s *State) isolated() bool {
	if s.now.Sub(s.storeSeen) <= storeTimeout || s.now.Sub(s.term.actedAt) <= storeTimeout {
		return false
	}
	for _, at := range s.term.answered {
		if s.now.Sub(at) <= storeTimeout {
			return false
		}
	}
	return true
}
