package control

import (
	"time"
)

// drainState is the progress of a planned stop.
type drainState struct {
	requested  bool
	since      time.Time
	replies    []ReplyID
	offering   bool // a term offer has no answer yet
	askedCount int  // successors asked so far
}

func (s *State) drainRequested(e DrainRequested) {
	if !s.drain.requested {
		s.drain.requested = true
		s.drain.since = s.now
		s.lastHeartbeat = time.Time{}
	}
	s.drain.replies = append(s.drain.replies, e.Reply)
}

// superviseDrain hands the term over and answers the drain requests when nothing depends on
// this VM any more, or after DrainTimeout.
func (s *State) superviseDrain() {
	if !s.drain.requested {
		return
	}
	if s.acting() {
		s.handOver()
	}
	late := s.now.Sub(s.drain.since) >= s.settings.DrainTimeout
	if (!s.acting() && s.unresolvedEntries() == 0) || late {
		for _, r := range s.drain.replies {
			s.emit(DrainReply{Reply: r})
		}
		s.drain.replies = nil
	}
}

// unresolvedEntries counts the entries that may still reach the log.
func (s *State) unresolvedEntries() int {
	if !s.log.reachable {
		return 0
	}
	return len(s.entries)
}

// handOver offers the term to the successors, one after the other. This VM keeps scheduling
// until one has accepted or none is left to ask; the successor's newer token then fences it.
func (s *State) handOver() {
	if s.drain.offering {
		return
	}
	candidates := s.successors()
	if s.drain.askedCount >= len(candidates) {
		s.stepDown()
		return
	}
	s.drain.offering = true
	s.emit(SendTermOffer{
		Address: candidates[s.drain.askedCount].Address,
		Offer:   TermOffer{AZ: s.self.AZ, Token: s.term.token, From: s.self.Incarnation},
	})
	s.drain.askedCount++
}

func (s *State) termOfferAnswered(e TermOfferAnswered) {
	s.drain.offering = false
	if e.Err == nil && e.Accepted && s.acting() {
		s.stepDown()
	}
}

// termOffered answers the holder's offer of the term and, if it accepts, lets this VM claim
// the term without waiting for HolderTimeout.
func (s *State) termOffered(e TermOffered) {
	ok := e.Offer.AZ == s.self.AZ && s.ready() && !s.drain.requested && !s.acting()
	if ok {
		s.observeToken(e.Offer.Token)
		ok = s.term.newest == e.Offer.Token
	}
	if ok {
		s.term.handedOver = true
		s.term.backoffUntil = time.Time{}
	}
	s.emit(TermOfferReply{Reply: e.Reply, Accepted: ok})
}
