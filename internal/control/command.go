package control

import (
	"errors"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// queue adds a command to the next batch for a backend server. Batches for one
// server are sent one after the other, so that commands keep their order.
func (s *State) queue(id model.BackendServerID, c ports.TaskCommand) {
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
		if v.inflight || (len(v.outbox) == 0 && v.fenced == s.term.token) {
			continue
		}
		if len(v.outbox) == 0 && s.now.Sub(v.pollSent) > 0 && !s.live(v) && !v.lastSeen.IsZero() {
			// A silent server is fenced once a poll gets through again.
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
		s.commandLost(e, !errors.Is(e.Err, ports.ErrUnavailable))
		return
	}
	if fencedBatch(e) {
		s.batchFenced(e)
		return
	}
	if v != nil {
		v.lastSeen = s.now
		s.confirmFence(v, e.Batch.Token)
	}
	for i, c := range e.Batch.Commands {
		g, m := s.answeredMember(e.Server, c)
		if g != nil && i < len(e.Results) {
			s.memberAnswered(g, m, c.Verb, e.Results[i])
		}
	}
}

// confirmFence records that the server refuses older tokens from now on.
func (s *State) confirmFence(v *server, token model.Token) {
	if v.fenced == token {
		return
	}
	kept := v.surveyed && s.term.continued == v.fenced
	v.fenced = token
	v.fencedAt = s.now
	v.surveyed = kept
	v.pollNow = true
	s.placement.dirty = true
}

// fencedBatch reports whether the server refused the batch for a newer token.
func fencedBatch(e CommandAnswered) bool {
	return slices.ContainsFunc(e.Results, func(r ports.TaskResult) bool {
		return r.Refused == ports.RefusedFenced
	})
}

// batchFenced follows up a batch that was refused whole: another VM has a newer
// token, or this VM itself got one meanwhile and sends the commands again.
func (s *State) batchFenced(e CommandAnswered) {
	if e.Batch.Token == s.term.token {
		s.fencedBy(e.Server)
		return
	}
	s.commandLost(e, false)
}

// commandLost follows up a batch without an answer.
func (s *State) commandLost(e CommandAnswered, inDoubt bool) {
	if v := s.servers[e.Server]; v != nil {
		v.pollNow = true
	}
	for _, c := range e.Batch.Commands {
		if g, m := s.answeredMember(e.Server, c); g != nil {
			s.memberUnanswered(g, m, c.Verb, inDoubt)
		}
	}
}

// answeredMember returns the gang and member of an answered command; nil when the
// task is not known any more.
func (s *State) answeredMember(id model.BackendServerID, c ports.TaskCommand) (*gang, *member) {
	g, m := s.findMember(id, c.Task)
	if g == nil {
		return nil, nil
	}
	s.touched[g.job.ID] = true
	if m.pending == c.Verb {
		m.pending = ""
	}
	if extendsLease(c.Verb) {
		m.leasing = max(0, m.leasing-1)
	}
	return g, m
}

// extendsLease reports whether a command starts or extends a lease.
func extendsLease(v ports.Verb) bool {
	return v == ports.VerbHold || v == ports.VerbStart || v == ports.VerbRenew
}
