package control

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// maxSuccessors limits the successors that a claim names.
const maxSuccessors = 4

// termState is what this VM knows of the term of its availability zone, and its role in it.
type termState struct {
	// token is the token under which this VM schedules its zone; zero if it does not.
	token model.Token
	// previousToken is the token that this VM acted under directly before token, without stepping
	// down in between. Backend servers surveyed under it need no new survey.
	previousToken model.Token
	// newest is the newest token known to be in use; holderHeardAt is when its holder, if
	// another VM, was last heard from.
	newest        model.Token
	holderHeardAt time.Time
	// claimID is the entry ID of a claim of this VM that has not been read back.
	claimID   string
	claimSent time.Time
	// backoffUntil is the time before which a VM that was fenced does not claim the term.
	backoffUntil time.Time
	actingSince  time.Time // when this VM last began to schedule its zone
	// handedOver is set after this VM accepted the term in a planned stop of its holder.
	handedOver bool
}

// acting reports whether this VM schedules its availability zone.
func (s *State) acting() bool { return s.term.token != model.Token{} }

// superviseTerm takes over the term if its holder is gone. If this VM holds the term, it
// keeps the claim in the log up to date.
func (s *State) superviseTerm() {
	if !s.ready() {
		return
	}
	if s.acting() {
		s.refreshClaim()
		return
	}
	if s.drain.requested || !s.mayTakeOver() {
		return
	}
	current := s.replica.Term(s.self.AZ)
	if rank, ok := s.nextRank(current); ok {
		s.startActing(model.Token{Offset: current.Offset, Rank: rank})
		return
	}
	s.claimTerm(current)
}

// mayTakeOver reports whether this VM may take over the term: the holder handed it over, or
// has not been heard from for HolderTimeout and the VMs before this one in the order have
// had their turns.
func (s *State) mayTakeOver() bool {
	if s.now.Before(s.term.backoffUntil) {
		return false
	}
	if s.term.handedOver {
		return true
	}
	wait := s.settings.HolderTimeout + time.Duration(s.claimPosition())*s.settings.ClaimStagger
	return s.now.Sub(s.term.holderHeardAt) > wait
}

// nextRank returns the lowest rank of this VM above every token in use. The ranks of the n
// VMs that a term names repeat with period n: a VM that takes the term over again gets a
// token that no other VM can use and that is newer than all before.
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

// claimPosition returns the number of live VMs that may claim the term before this one.
func (s *State) claimPosition() int {
	current := s.replica.Term(s.self.AZ)
	own := s.claimOrderOf(current, s.self.Incarnation, s.self.Address)
	n := 0
	for _, p := range s.peers.ZonePeers() {
		if !s.peers.Alive(p, s.now) || p.IsLeaving() {
			continue
		}
		if s.claimOrderOf(current, p.Incarnation, p.Address).before(own) {
			n++
		}
	}
	return n
}

// claimOrder orders the VMs that may claim the term: those that the term names come first.
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

func (s *State) claimOrderOf(t replicaTerm, i model.Incarnation, address string) claimOrder {
	rank, ok := t.Rank(i)
	if !ok {
		rank = maxSuccessors + 1
	}
	return claimOrder{rank: rank, address: address}
}

// startActing makes this VM schedule the availability zone under a token.
func (s *State) startActing(token model.Token) {
	s.term.token = token
	s.term.previousToken = model.Token{}
	s.term.newest = token
	s.term.actingSince = s.now
	s.term.handedOver = false
	s.dropGangs()
	for _, v := range s.servers {
		v.pollNow = true
	}
	s.placement.dirty = true
}

// stepDown stops scheduling. Tasks keep running for the next holder to take over.
func (s *State) stepDown() {
	s.term.token = model.Token{}
	s.term.previousToken = model.Token{}
	s.term.holderHeardAt = s.now
	s.dropGangs()
}

// dropGangs discards all gangs and surveys without sending a command to any task.
func (s *State) dropGangs() {
	for _, g := range s.gangs {
		s.returnPermit(g)
	}
	s.gangs = make(map[model.JobID]*gang)
	s.taskIndex = make(map[model.BackendServerID]map[model.TaskID]taskRef)
	for _, v := range s.servers {
		v.outbox = nil
		v.surveyed, v.restarted = false, false
	}
}

// resumeAfterPause steps down after a pause longer than HolderTimeout: another VM may have taken
// the term over.
func (s *State) resumeAfterPause(now time.Time) {
	s.now = now
	s.stepDown()
}

// observeHolder handles the heartbeat of a VM of the same availability zone. A holder that is
// leaving does not count as heard from, so that it is replaced.
func (s *State) observeHolder(h membership.Heartbeat) {
	if h.Token == (model.Token{}) {
		return
	}
	s.observeToken(h.Token)
	if h.Token == s.term.newest && !s.peers.IsLeaving(h.Address) {
		s.term.holderHeardAt = s.now
	}
}

// observeToken records a newer token of another VM, and steps down if this VM is acting.
func (s *State) observeToken(token model.Token) {
	if !s.term.newest.Less(token) {
		return
	}
	s.term.newest = token
	s.term.holderHeardAt = s.now
	if s.acting() {
		s.stepDown()
	}
}

// stepDownFenced steps down after a backend server refused a batch because of a token that this
// VM has not seen.
func (s *State) stepDownFenced(id model.BackendServerID) {
	s.term.backoffUntil = s.now.Add(s.settings.FenceBackoff)
	s.stepDown()
	if v := s.servers[id]; v != nil {
		v.pollNow = true
	}
}

// refreshClaim appends a claim if the newest one in the log does not name this VM as the holder
// or does not name the current successors.
func (s *State) refreshClaim() {
	current := s.replica.Term(s.self.AZ)
	if s.term.claimID != "" || !s.log.reachable || s.drain.requested {
		return
	}
	if s.now.Sub(s.term.claimSent) < s.settings.HolderTimeout {
		return
	}
	stale := current.Holder != s.self.Incarnation || !sameSuccessors(current.Successors, s.successors())
	if stale && (current.Holder != s.self.Incarnation || s.now.Sub(s.term.claimSent) > successorRefreshInterval) {
		s.claimTerm(current)
	}
}

// successorRefreshInterval limits how often a holder claims again to name other successors.
const successorRefreshInterval = 10 * time.Second

func (s *State) claimTerm(current replicaTerm) {
	if s.term.claimID != "" || !s.log.reachable {
		return
	}
	s.term.claimID = "term-" + s.newID()
	s.term.claimSent = s.now
	s.submitEntry(s.term.claimID, journal.KindTerm, journal.TermClaimed{
		AZ:         s.self.AZ,
		Holder:     s.self.Incarnation,
		Address:    s.self.Address,
		Previous:   current.Offset,
		Successors: s.successors(),
	}, false)
}

// successors returns up to maxSuccessors live VMs of the zone that are not leaving, ordered
// by address.
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

// claimReplayed handles a claim that was read back.
func (s *State) claimReplayed(c journal.TermClaimed) {
	if c.AZ == s.self.AZ {
		s.termReplayed()
	}
}

// termReplayed updates this VM's role in the term from the replica.
func (s *State) termReplayed() {
	if _, open := s.entries[s.term.claimID]; !open {
		s.term.claimID = ""
	}
	current := s.replica.Term(s.self.AZ)
	token := current.Token()
	if !s.term.newest.Less(token) {
		return
	}
	mine := current.Holder == s.self.Incarnation && !s.drain.requested
	switch {
	case mine && s.acting():
		s.term.previousToken = s.term.token
		s.term.token = token
		s.term.newest = token
	case mine:
		s.startActing(token)
	default:
		s.observeToken(token)
	}
}
