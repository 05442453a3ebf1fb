package fleet

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/authority"
)

// holderAuthority bounds how long a replaced holder may act after the term was taken from it.
const holderAuthority = authority.Limit + authority.Margin

// confirmTerm notes that a peer knew of no newer term when it answered a heartbeat of this VM. An answer may
// have waited while this process was paused, so that the time at which the heartbeat was sent counts.
func (s *State) confirmTerm(h Heartbeat) {
	sent := time.Unix(0, h.AnswersSentAt)
	if h.AnswersSentAt == 0 || sent.After(s.now) || sent.Before(s.term.takenAt) {
		return
	}
	if sent.After(s.term.confirmedBy[h.Node]) {
		s.term.confirmedBy[h.Node] = sent
	}
}

// observeUnopposed notes that the store held no newer claim at the given time.
func (s *State) observeUnopposed(at time.Time) {
	if !at.After(s.term.unopposedAt) {
		return
	}
	s.term.unopposedAt = at
	if until := at.Add(authority.Limit); until.After(s.term.authority) {
		s.term.authority = until
	}
}

// evidence is what the holder knows of claims by others. The peers are the VMs that it has asked in this
// term, as far as they are still announced.
func (s *State) evidence() authority.Evidence {
	e := authority.Evidence{Log: s.term.unopposedAt}
	for node, since := range s.term.askedSince {
		if _, known := s.peers[node]; known {
			e.Peers = append(e.Peers, authority.Peer{Node: node, Asked: since, Confirmed: s.term.confirmedBy[node]})
		}
	}
	return e
}

// mayAct reports whether this holder may extend leases and start tasks: nobody else can have held the
// term for longer than a successor allows for.
func (s *State) mayAct() bool {
	if !s.term.authorityAsOf.Equal(s.now) {
		e := s.evidence()
		s.term.authority, s.term.authorityAsOf = e.Until(), s.now
		if may := s.now.Before(s.term.authority); may != s.term.acting {
			s.term.acting = may
			s.logAuthority(may, e)
		}
	}
	return s.now.Before(s.term.authority)
}

// logAuthority reports that leases are no longer extended, or are again.
func (s *State) logAuthority(may bool, e authority.Evidence) {
	var silent []string
	for _, p := range e.Peers {
		if e.Needed(p) && s.now.Sub(p.Confirmed) > authority.Limit {
			silent = append(silent, p.Node)
		}
	}
	slices.SortFunc(silent, strings.Compare)
	fields := []zap.Field{
		zap.Int64("token", s.term.token), zap.Duration("log_read_before", s.now.Sub(e.Log)), zap.Strings("silent_vms", silent), zap.Int("vms", len(e.Peers)),
	}
	if may {
		s.log.Info("leases are extended again", fields...)
		return
	}
	s.log.Warn("leases are no longer extended: another VM may hold the term", fields...)
}

// askedPeers returns the VMs whose word is needed while the log cannot be read.
func (s *State) askedPeers() []string {
	var nodes []string
	e := s.evidence()
	for _, p := range e.Peers {
		if e.Needed(p) {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}
