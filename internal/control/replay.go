package control

import (
	"encoding/json"

	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

func (s *State) entriesRead(e EntriesRead) {
	s.log.read = true
	before := s.replica.Config().Current().Revision
	for _, l := range e.Entries {
		d := s.replica.Apply(l)
		s.decided(l, d)
	}
	s.replica.Advance(e.Next)
	if s.replica.Config().Current().Revision < before {
		s.violated(invariant.Violation{Promise: invariant.ConfigNeverReverts, Detail: "revision fell in replay"})
	}
	s.placement.dirty = true
}

func (s *State) snapshotRead(e SnapshotRead) {
	if e.Snapshot.Offset <= s.replica.Applied() {
		return
	}
	if err := s.replica.Restore(e.Snapshot.State); err != nil {
		s.violated(invariant.Violation{Promise: invariant.ConfigNeverReverts, Detail: err.Error()})
		return
	}
	s.log.read = true
	s.emit(Restored{Offset: e.Snapshot.Offset})
	s.restored()
}

// restored settles what waited for entries that the snapshot may cover.
func (s *State) restored() {
	for id := range s.entries {
		if d, ok := s.replica.Decision(id); ok {
			s.resolve(id, d)
		}
	}
	for id := range s.local {
		if s.replica.Job(id) != nil {
			delete(s.local, id)
		}
	}
	s.termReplayed()
	s.dropDisownedGangs()
	s.placement.dirty = true
}

// decided follows up the verdict on one entry.
func (s *State) decided(l journal.LocatedEntry, d journal.Decision) {
	if d.Verdict == journal.VerdictDuplicate {
		return
	}
	s.resolve(l.Entry.ID, d)
	switch l.Entry.Kind {
	case journal.KindJobAccepted:
		follow(l, func(b journal.JobAccepted) { s.acceptedReplayed(b, d) })
	case journal.KindAttempt:
		follow(l, func(b journal.AttemptClaimed) { s.attemptReplayed(b, d) })
	case journal.KindJobCancelled:
		follow(l, func(b journal.JobCancelled) { s.cancelReplayed(b) })
	case journal.KindJobEnded:
		follow(l, func(b journal.JobEnded) { s.endReplayed(b) })
	case journal.KindTerm:
		follow(l, func(b journal.TermClaimed) { s.claimReplayed(b) })
	}
}

// follow decodes the body of an entry that replay has decided on and passes it on.
func follow[T any](l journal.LocatedEntry, f func(T)) {
	var body T
	if json.Unmarshal(l.Entry.Body, &body) == nil {
		f(body)
	}
}

func (s *State) logReachable(ok bool) {
	if s.log.known && s.log.reachable == ok {
		return
	}
	s.log.known = true
	s.log.reachable = ok
	s.log.since = s.now
	s.placement.dirty = true
}

// ready reports whether the replicated state can be acted on.
func (s *State) ready() bool { return s.log.read }
