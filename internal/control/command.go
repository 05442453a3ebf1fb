package control

import (
	"errors"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/platform"
)

// queue adds a command to the next batch for a backend server. Batches for one
// server are sent one after the other, so that commands keep their order.
func (s *State) queue(id model.BackendServerID, c platform.TaskCommand) {
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
	for _, id := range sortedKeys(s.servers) {
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
			Batch:    platform.CommandBatch{Token: s.term.token, Commands: v.outbox},
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
	if !s.acting() || e.Batch.Token != s.term.token {
		return
	}
	if e.Err != nil {
		s.commandLost(e)
		return
	}
	if fencedBatch(e) {
		s.fencedBy(e.Server)
		return
	}
	if v != nil {
		v.lastSeen = s.now
		s.confirmFence(v, e.Batch.Token)
	}
	for i, c := range e.Batch.Commands {
		if i < len(e.Results) {
			s.taskAnswered(e.Server, c, e.Results[i])
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
	for _, r := range e.Results {
		if r.Refused == platform.RefusedFenced {
			return true
		}
	}
	return false
}

// commandLost follows up a batch without an answer.
func (s *State) commandLost(e CommandAnswered) {
	inDoubt := !errors.Is(e.Err, platform.ErrUnavailable)
	if v := s.servers[e.Server]; v != nil {
		v.pollNow = true
	}
	for _, c := range e.Batch.Commands {
		s.taskUnanswered(e.Server, c, inDoubt)
	}
}

// taskAnswered passes a result to the gang of the task.
func (s *State) taskAnswered(id model.BackendServerID, c platform.TaskCommand, r platform.TaskResult) {
	g, m := s.findMember(id, c.Task)
	if g == nil {
		return
	}
	if m.pending == c.Verb {
		m.pending = ""
	}
	s.memberAnswered(g, m, c.Verb, r)
}

func (s *State) taskUnanswered(id model.BackendServerID, c platform.TaskCommand, inDoubt bool) {
	g, m := s.findMember(id, c.Task)
	if g == nil {
		return
	}
	if m.pending == c.Verb {
		m.pending = ""
	}
	s.memberUnanswered(g, m, c.Verb, inDoubt)
}
