package control

import (
	"encoding/json"

	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

func (s *State) entriesRead(e EntriesRead) {
	s.log.everRead = true
	before := s.replica.Config().Current().Revision
	for _, l := range e.Entries {
		d := s.replica.Apply(l)
		s.entryDecided(l, d)
	}
	s.replica.Advance(e.Next)
	if s.replica.Config().Current().Revision < before {
		s.reportViolation(invariant.Violation{Invariant: invariant.ConfigNeverReverts, Detail: "revision fell in replay"})
	}
	s.placement.dirty = true
}

func (s *State) snapshotRead(e SnapshotRead) {
	if e.Snapshot.Offset <= s.replica.Applied() {
		return
	}
	if err := s.replica.Restore(e.Snapshot.State); err != nil {
		s.reportViolation(invariant.Violation{Invariant: invariant.ConfigNeverReverts, Detail: err.Error()})
		return
	}
	s.log.everRead = true
	s.emit(SnapshotRestored{Offset: e.Snapshot.Offset})
	s.afterRestore()
}

// afterRestore resolves entries and local jobs that the snapshot covers.
func (s *State) afterRestore() {
	for id := range s.entries {
		if d, ok := s.replica.Decision(id); ok {
			s.resolveEntry(id, d)
		}
	}
	for id := range s.localJobs {
		if s.replica.Job(id) != nil {
			delete(s.localJobs, id)
		}
	}
	s.termReplayed()
	s.stopEndedGangs()
	s.placement.dirty = true
}

// entryDecided handles the verdict on one entry.
func (s *State) entryDecided(l journal.LocatedEntry, d journal.Decision) {
	if d.Verdict == journal.VerdictDuplicate {
		return
	}
	s.resolveEntry(l.Entry.ID, d)
	switch l.Entry.Kind {
	case journal.KindJobAccepted:
		withBody(l, func(b journal.JobAccepted) { s.acceptedReplayed(b, d) })
	case journal.KindAttempt:
		withBody(l, func(b journal.AttemptClaimed) { s.attemptReplayed(b, d) })
	case journal.KindJobCancelled:
		withBody(l, func(b journal.JobCancelled) { s.cancelReplayed(b) })
	case journal.KindJobEnded:
		withBody(l, func(b journal.JobEnded) { s.endReplayed(b) })
	case journal.KindTerm:
		withBody(l, func(b journal.TermClaimed) { s.claimReplayed(b) })
	}
}

// withBody calls f with the decoded body of an entry. A body that cannot be decoded is skipped.
func withBody[T any](l journal.LocatedEntry, f func(T)) {
	var body T
	if json.Unmarshal(l.Entry.Body, &body) == nil {
		f(body)
	}
}

func (s *State) logReachable(ok bool) {
	if s.log.reachabilityKnown && s.log.reachable == ok {
		return
	}
	s.log.reachabilityKnown = true
	s.log.reachable = ok
	s.log.reachableSince = s.now
	s.placement.dirty = true
}

// ready reports whether the log has been read, so that the replica can be acted on.
func (s *State) ready() bool { return s.log.everRead }
