package control

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// maxSuccessors bounds the successors that a claim names.
const maxSuccessors = 4

// termState is this VM's part in the term of its availability zone.
type termState struct {
	// token is the token under which this VM acts; zero when it does not.
	token model.Token
	// continued is the token that this VM held without a break before token. What
	// was surveyed under it needs no new survey.
	continued model.Token
	// newest is the newest token known to be in use; heard is when its holder, if
	// another VM, was last heard from.
	newest model.Token
	heard  time.Time
	// claim is the entry ID of an own claim that is not read back.
	claim     string
	claimSent time.Time
	// backoff is the time before which a fenced VM does not act.
	backoff time.Time
	actedAt time.Time
	// invited is set by a planned hand-over.
	invited bool
}

// acting reports whether this VM schedules its availability zone.
func (s *State) acting() bool { return s.term.token != model.Token{} }

// superviseTerm lets this VM take the term when it has to, and keeps the log's
// claim in step with who acts.
func (s *State) superviseTerm() {
	if !s.ready() {
		return
	}
	if s.acting() {
		s.keepClaim()
		return
	}
	if s.drain.requested || !s.mayChallenge() {
		return
	}
	current := s.replica.Term(s.self.AZ)
	if rank, ok := s.nextRank(current); ok {
		s.act(model.Token{Offset: current.Offset, Rank: rank})
		return
	}
	s.claimTerm(current)
}

// mayChallenge reports whether the holder is certainly or presumably gone and no
// VM before this one in the order would act.
func (s *State) mayChallenge() bool {
	if s.now.Before(s.term.backoff) {
		return false
	}
	if s.term.invited {
		return true
	}
	wait := s.settings.HolderTimeout + time.Duration(s.position())*s.settings.ClaimStagger
	return s.now.Sub(s.term.heard) > wait
}

// nextRank returns the lowest own rank above every token in use. The ranks of a
// term's n named VMs repeat with period n, so that a VM that acts again does so
// under a token of its own that is newer than all before.
func (s *State) nextRank(t replicaTerm) (rank int, ok bool) {
	own, ok := t.Rank(s.self.Incarnation)
	if !ok || t.Offset == 0 || s.term.newest.Offset > t.Offset {
		return 0, false
	}
	period := len(t.Successors) + 1
	for rank = own; !s.term.newest.Less(model.Token{Offset: t.Offset, Rank: rank}); {
		rank += period
	}
	return rank, true
}

// position is the number of VMs that are alive and act before this one.
func (s *State) position() int {
	current := s.replica.Term(s.self.AZ)
	own := s.order(current, s.self.Incarnation, s.self.Address)
	n := 0
	for _, p := range s.peers.ZonePeers() {
		if !s.peers.Alive(p, s.now) || p.IsLeaving() {
			continue
		}
		if s.order(current, p.Incarnation, p.Address).before(own) {
			n++
		}
	}
	return n
}

// claimOrder sorts challengers: those that the term names first.
type claimOrder struct {
	rank    int
	address string
}

func (a claimOrder) before(b claimOrder) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.address < b.address
}

func (s *State) order(t replicaTerm, i model.Incarnation, address string) claimOrder {
	rank, ok := t.Rank(i)
	if !ok {
		rank = maxSuccessors + 1
	}
	return claimOrder{rank: rank, address: address}
}

// act starts to schedule the availability zone under a token.
func (s *State) act(token model.Token) {
	s.term.token = token
	s.term.continued = model.Token{}
	s.term.newest = token
	s.term.actedAt = s.now
	s.term.invited = false
	s.dropGangs()
	for _, v := range s.servers {
		v.pollNow = true
	}
	s.placement.dirty = true
}

// stepDown stops scheduling. Tasks are left to the next holder.
func (s *State) stepDown() {
	s.term.token = model.Token{}
	s.term.continued = model.Token{}
	s.term.heard = s.now
	s.dropGangs()
}

// dropGangs forgets every gang and survey without a command to any task.
func (s *State) dropGangs() {
	for _, g := range s.gangs {
		s.returnPermit(g)
	}
	s.gangs = make(map[model.JobID]*gang)
	s.tasks = make(map[model.BackendServerID]map[model.TaskID]taskRef)
	for _, v := range s.servers {
		v.outbox = nil
		v.surveyed = false
	}
}

// pauseEnded handles that this VM did not run for longer than its authority lasts.
func (s *State) pauseEnded(now time.Time) {
	s.now = now
	s.stepDown()
}

// observeHolder follows the heartbeat of a VM of the same availability zone.
func (s *State) observeHolder(h membership.Heartbeat) {
	if h.Token == (model.Token{}) {
		return
	}
	s.observeToken(h.Token)
	if h.Token == s.term.newest && !s.peers.IsLeaving(h.Address) {
		s.term.heard = s.now
	}
}

// observeToken steps down when another VM acts under a newer token.
func (s *State) observeToken(token model.Token) {
	if !s.term.newest.Less(token) {
		return
	}
	s.term.newest = token
	s.term.heard = s.now
	if s.acting() {
		s.stepDown()
	}
}

// fencedBy handles a refusal for a newer token that this VM has not seen.
func (s *State) fencedBy(id model.BackendServerID) {
	s.term.backoff = s.now.Add(s.settings.FenceBackoff)
	s.stepDown()
	if v := s.servers[id]; v != nil {
		v.pollNow = true
	}
}

// keepClaim appends a claim when the log's newest one does not name this VM as the
// holder or names VMs that are gone.
func (s *State) keepClaim() {
	current := s.replica.Term(s.self.AZ)
	if s.term.claim != "" || !s.log.reachable || s.drain.requested {
		return
	}
	if s.now.Sub(s.term.claimSent) < s.settings.HolderTimeout {
		return
	}
	stale := current.Holder != s.self.Incarnation || !sameSuccessors(current.Successors, s.successors())
	if stale && (current.Holder != s.self.Incarnation || s.now.Sub(s.term.claimSent) > successorRefresh) {
		s.claimTerm(current)
	}
}

// successorRefresh bounds how often a holder claims again to name other successors.
const successorRefresh = 10 * time.Second

func (s *State) claimTerm(current replicaTerm) {
	if s.term.claim != "" || !s.log.reachable {
		return
	}
	s.term.claim = "term-" + s.newID()
	s.term.claimSent = s.now
	s.submitEntry(s.term.claim, journal.KindTerm, journal.TermClaimed{
		AZ:         s.self.AZ,
		Holder:     s.self.Incarnation,
		Address:    s.self.Address,
		Previous:   current.Offset,
		Successors: s.successors(),
	}, false)
}

// successors names the zone's VMs that are alive, ordered by address.
func (s *State) successors() []journal.Successor {
	var list []journal.Successor
	for _, p := range s.peers.ZonePeers() {
		if len(list) == maxSuccessors {
			break
		}
		if s.peers.Alive(p, s.now) && !p.IsLeaving() {
			list = append(list, journal.Successor{Incarnation: p.Incarnation, Address: p.Address})
		}
	}
	return list
}

func sameSuccessors(a, b []journal.Successor) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// claimReplayed follows a claim that was read back.
func (s *State) claimReplayed(c journal.TermClaimed) {
	if c.AZ == s.self.AZ {
		s.termReplayed()
	}
}

// termReplayed brings this VM's part in the term in line with the log.
func (s *State) termReplayed() {
	if _, open := s.entries[s.term.claim]; !open {
		s.term.claim = ""
	}
	current := s.replica.Term(s.self.AZ)
	token := current.Token()
	if !s.term.newest.Less(token) {
		return
	}
	mine := current.Holder == s.self.Incarnation && !s.drain.requested
	switch {
	case mine && s.acting():
		s.term.continued = s.term.token
		s.term.token = token
		s.term.newest = token
	case mine:
		s.act(token)
	default:
		s.observeToken(token)
	}
}
