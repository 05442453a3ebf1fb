package control

import (
	"errors"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// offerJob passes a local job and its permit to the term holder of its home. Once a VM has been
// offered the permit, no other VM is, unless the first one certainly does not have it.
func (s *State) offerJob(l *localJob) {
	if l.offering || s.now.Sub(l.offeredAt) < s.settings.RetryDelay {
		return
	}
	address := l.offeredTo
	if l.permit == permitAvailable {
		holder := s.holderOf(l.job.HomeAZ)
		if holder == nil {
			return
		}
		address = holder.Address
		s.setGivenTo(l, holder.Incarnation)
	}
	if address == "" {
		return
	}
	l.permit = permitOffered
	l.offeredTo = address
	l.offering = true
	l.offeredAt = s.now
	s.emit(SendOffer{Address: address, Offer: JobOffer{Job: l.job, Acceptor: l.acceptor, Attempt: l.attempt}})
}

// setGivenTo records which VM may have a local job's permit, also in the accept entry while that is
// not sent. If it is, the entry names the VM that had the permit last.
func (s *State) setGivenTo(l *localJob, to model.Incarnation) {
	l.givenTo = to
	if e := s.entries[acceptEntryID(l.job.ID)]; e != nil && s.certainlyUnrecorded(l) {
		s.updateAcceptEntry(e, l)
	}
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
	l := s.localJobs[e.Job]
	if l == nil {
		return
	}
	l.offering = false
	if l.permit != permitOffered {
		return
	}
	switch {
	case e.Err == nil && (e.Answer.Accepted || e.Answer.Reason == ReasonRecorded):
		// The holder or the log has the job; the offer need not be repeated.
		l.offeredTo = ""
	case e.Err != nil && !errors.Is(e.Err, ports.ErrUnavailable):
		l.offerInDoubt = true
	case !l.offerInDoubt:
		l.permit = permitAvailable
		l.offeredTo = ""
		s.setGivenTo(l, "")
		l.returnedAt = s.now
		s.placement.dirty = true
	}
}

// jobOffered handles the offer of a job and its permit by the VM that accepted the job.
func (s *State) jobOffered(e JobOffered) {
	answer := s.answerOffer(e.Offer)
	s.emit(OfferReply{Reply: e.Reply, Answer: answer})
}

func (s *State) answerOffer(o JobOffer) OfferAnswer {
	if l := s.localJobs[o.Job.ID]; l != nil {
		same := l.attempt == o.Attempt && l.acceptor == o.Acceptor && l.acceptor != s.self.Incarnation
		return OfferAnswer{Accepted: same, Reason: ReasonPermitElsewhere}
	}
	if s.replica.Job(o.Job.ID) != nil {
		return OfferAnswer{Reason: ReasonRecorded}
	}
	if !s.schedulesZone(o.Job.HomeAZ) || s.drain.requested {
		return OfferAnswer{Reason: ReasonNoHolder}
	}
	l := s.addLocal(o.Job, o.Acceptor)
	l.attempt = o.Attempt
	l.givenTo = s.self.Incarnation
	l.incarnations = s.incarnationsOf(s.serverIDs)
	l.permit = permitAvailable
	if g := s.gangs[o.Job.ID]; g != nil {
		l.permit = permitUsed
		g.job = o.Job
	}
	s.submitEntry(acceptEntryID(o.Job.ID), journal.KindJobAccepted, l.acceptedBody(), true)
	s.placement.dirty = true
	return OfferAnswer{Accepted: true}
}
