package control

import (
	"time"
)

// drainState is the progress of a planned stop.
type drainState struct {
	requested bool
	since     time.Time
	replies   []ReplyID
	offering  bool // a successor was asked and has not answered
	asked     int
}

func (s *State) drainRequested(e DrainRequested) {
	if !s.drain.requested {
		s.drain.requested = true
		s.drain.since = s.now
		s.lastHeartbeat = time.Time{}
	}
	s.drain.replies = append(s.drain.replies, e.Reply)
}

// superviseDrain hands the term over and lets the VM go when nothing depends on it.
func (s *State) superviseDrain() {
	if !s.drain.requested {
		return
	}
	if s.acting() {
		s.handOver()
	}
	late := s.now.Sub(s.drain.since) >= s.settings.DrainTimeout
	if (!s.acting() && s.unrecorded() == 0) || late {
		for _, r := range s.drain.replies {
			s.emit(DrainReply{Reply: r})
		}
		s.drain.replies = nil
	}
}

// unrecorded counts the entries that the log may still take.
func (s *State) unrecorded() int {
	if !s.log.reachable {
		return 0
	}
	return len(s.entries)
}

// handOver asks the successors, one after the other, to take the term. Until one
// has, this VM goes on; the successor's newer token fences it.
func (s *State) handOver() {
	if s.drain.offering {
		return
	}
	next := s.successors()
	if s.drain.asked >= len(next) {
		s.stepDown()
		return
	}
	s.drain.offering = true
	s.emit(SendTermOffer{
		Address: next[s.drain.asked].Address,
		Offer:   TermOffer{AZ: s.self.AZ, Token: s.term.token, From: s.self.Incarnation},
	})
	s.drain.asked++
}

func (s *State) termOfferAnswered(e TermOfferAnswered) {
	s.drain.offering = false
	if e.Err == nil && e.Accepted && s.acting() {
		s.stepDown()
	}
}

// termOffered takes a term over in a planned stop of its holder.
func (s *State) termOffered(e TermOffered) {
	ok := e.Offer.AZ == s.self.AZ && s.ready() && !s.drain.requested && !s.acting()
	if ok {
		s.observeToken(e.Offer.Token)
		ok = s.term.newest == e.Offer.Token
	}
	if ok {
		s.term.invited = true
		s.term.backoff = time.Time{}
	}
	s.emit(TermOfferReply{Reply: e.Reply, Accepted: ok})
}
