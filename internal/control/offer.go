package control

import (
	"errors"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// offer gives a local job and its permit to the term holder of its home. Once
// offered, the same permit goes to the same VM only, until that VM refuses it.
func (s *State) offer(l *localJob) {
	if l.offering || s.now.Sub(l.offered) < s.settings.RetryDelay {
		return
	}
	address := l.offeredTo
	if l.permit == permitHere {
		holder := s.holderOf(l.job.HomeAZ)
		if holder == nil {
			return
		}
		address = holder.Address
	}
	if address == "" {
		return
	}
	l.permit = permitOffered
	l.offeredTo = address
	l.offering = true
	l.offered = s.now
	s.emit(SendOffer{Address: address, Offer: JobOffer{Job: l.job, Acceptor: l.acceptor, Attempt: l.attempt}})
}

// holderOf returns the live peer with the newest token of an availability zone.
func (s *State) holderOf(az model.AZ) *membership.Peer {
	var best *membership.Peer
	for _, p := range s.peers.Peers() {
		if p.AZ != az || p.Token == (model.Token{}) || !s.peers.Alive(p, s.now) {
			continue
		}
		if best == nil || best.Token.Less(p.Token) {
			best = p
		}
	}
	return best
}

func (s *State) offerAnswered(e OfferAnswered) {
	l := s.local[e.Job]
	if l == nil {
		return
	}
	l.offering = false
	if l.permit != permitOffered {
		return
	}
	switch {
	case e.Err == nil && (e.Answer.Accepted || e.Answer.Reason == ReasonRecorded):
		// The holder or the log has the job from now on; repeats are not needed.
		l.offeredTo = ""
	case e.Err != nil && !errors.Is(e.Err, ports.ErrUnavailable):
		l.offerDoubted = true
	case !l.offerDoubted:
		l.permit = permitHere
		l.offeredTo = ""
		l.returnedAt = s.now
		s.placement.dirty = true
	}
}

// jobOffered takes a job with its permit from the VM that accepted it.
func (s *State) jobOffered(e JobOffered) {
	answer := s.answerOffer(e.Offer)
	s.emit(OfferReply{Reply: e.Reply, Answer: answer})
}

func (s *State) answerOffer(o JobOffer) OfferAnswer {
	if l := s.local[o.Job.ID]; l != nil {
		same := l.attempt == o.Attempt && l.acceptor == o.Acceptor && l.acceptor != s.self.Incarnation
		return OfferAnswer{Accepted: same, Reason: ReasonPermitElsewhere}
	}
	if s.replica.Job(o.Job.ID) != nil {
		return OfferAnswer{Reason: ReasonRecorded}
	}
	if !s.schedules(o.Job.HomeAZ) || s.drain.requested {
		return OfferAnswer{Reason: ReasonNoHolder}
	}
	l := s.addLocal(o.Job, o.Acceptor)
	l.attempt = o.Attempt
	l.permit = permitHere
	if g := s.gangs[o.Job.ID]; g != nil {
		l.permit = permitUsed
		g.job = o.Job
	}
	s.submitEntry(acceptEntryID(o.Job.ID), journal.KindJobAccepted, l.accepted(), true)
	s.placement.dirty = true
	return OfferAnswer{Accepted: true}
}
