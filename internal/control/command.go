package control

import (
	"errors"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// queueCommand adds a command to the next batch for a backend server. Each server gets one
// batch at a time, so that commands keep their order.
func (s *State) queueCommand(id model.BackendServerID, c ports.TaskCommand) {
	if v := s.servers[id]; v != nil {
		v.outbox = append(v.outbox, c)
	}
}

// flushCommands sends one batch to each backend server that has commands waiting
// or has not confirmed the current token.
func (s *State) flushCommands() {
	if !s.acting() {
		return
	}
	for _, id := range s.serverIDs {
		v := s.servers[id]
		if v.inflight || (len(v.outbox) == 0 && v.confirmedToken == s.term.token) {
			continue
		}
		if len(v.outbox) == 0 && s.now.Sub(v.pollSent) > 0 && !s.live(v) && !v.lastSeen.IsZero() {
			// A server that does not answer gets the token once a poll reaches it again.
			continue
		}
		v.inflight = true
		s.emit(Command{
			Server:   id,
			Address:  v.info.Address,
			Batch:    ports.CommandBatch{Token: s.term.token, Commands: v.outbox},
			NotAfter: s.now.Add(s.settings.CommandTimeout),
			Timeout:  s.settings.CommandTimeout,
		})
		v.outbox = nil
	}
}

func (s *State) commandAnswered(e CommandAnswered) {
	v := s.servers[e.Server]
	if v != nil {
		v.inflight = false
	}
	if !s.acting() {
		return
	}
	if e.Err != nil {
		s.handleLostBatch(e, !errors.Is(e.Err, ports.ErrUnavailable))
		return
	}
	if refusedAsFenced(e) {
		s.handleFencedBatch(e)
		return
	}
	if v != nil {
		v.lastSeen = s.now
		s.confirmToken(v, e.Batch.Token)
	}
	for i, c := range e.Batch.Commands {
		g, m := s.answeredMember(e.Server, c)
		if g != nil && i < len(e.Results) {
			s.memberAnswered(g, m, c.Verb, e.Results[i])
		}
	}
}

// confirmToken records that the server has seen the token and refuses older ones from now on.
func (s *State) confirmToken(v *server, token model.Token) {
	if v.confirmedToken == token {
		return
	}
	kept := v.surveyed && s.term.previousToken == v.confirmedToken
	v.confirmedToken = token
	v.confirmedAt = s.now
	v.surveyed = kept
	v.pollNow = true
	s.placement.dirty = true
}

// refusedAsFenced reports whether the server refused the batch because it has seen a newer token.
func refusedAsFenced(e CommandAnswered) bool {
	return slices.ContainsFunc(e.Results, func(r ports.TaskResult) bool {
		return r.Refused == ports.RefusedFenced
	})
}

// handleFencedBatch handles a batch that was refused as a whole. If another VM has a newer
// token, this VM steps down. If this VM itself got one in the meantime, the commands count as
// not sent.
func (s *State) handleFencedBatch(e CommandAnswered) {
	if e.Batch.Token == s.term.token {
		s.stepDownFenced(e.Server)
		return
	}
	s.handleLostBatch(e, false)
}

// handleLostBatch handles a batch that was not sent, was refused as a whole or got no answer.
func (s *State) handleLostBatch(e CommandAnswered, inDoubt bool) {
	if v := s.servers[e.Server]; v != nil {
		v.pollNow = true
	}
	for _, c := range e.Batch.Commands {
		if g, m := s.answeredMember(e.Server, c); g != nil {
			s.memberUnanswered(g, m, c.Verb, inDoubt)
		}
	}
}

// answeredMember returns the gang and member of an answered command, or nil if the task is
// no longer known.
func (s *State) answeredMember(id model.BackendServerID, c ports.TaskCommand) (*gang, *member) {
	g, m := s.findMember(id, c.Task)
	if g == nil {
		return nil, nil
	}
	s.changedGangs[g.job.ID] = true
	m.answered = s.now
	if m.pending == c.Verb {
		m.pending = ""
	}
	if extendsLease(c.Verb) {
		m.unansweredLeases = max(0, m.unansweredLeases-1)
	}
	return g, m
}

// extendsLease reports whether a command grants or extends a lease.
func extendsLease(v ports.Verb) bool {
	return v == ports.VerbHold || v == ports.VerbStart || v == ports.VerbRenew
}
