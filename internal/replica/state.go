// Package replica holds the state that every VM computes by replaying the log: jobs,
// attempts, terms, the configuration, and the verdict on each entry. Verdicts depend
// only on offsets and revisions, so that all VMs and releases agree on them.
package replica

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Config is the replicated configuration.
type Config interface {
	// Apply decides on a configuration entry and applies it if it is accepted.
	Apply(l journal.LocatedEntry) journal.Decision
	// Current returns the configuration in force. It is never nil.
	Current() *config.Current
	// Stalled returns why newer records cannot be read; empty when they can.
	Stalled() string
	// History returns the newest decisions on changes, newest first.
	History(limit int) []journal.Decision
	// Encode returns the state in a deterministic form that Restore reads.
	Encode() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
}

// State is the replicated state. It is owned by one goroutine.
type State struct {
	applied  int64
	snapshot snapshotMark
	config   Config
	terms    map[model.AZ]Term
	jobs     map[model.JobID]*Job
	open     map[model.JobID]*Job // those that have not ended
	verdicts *journal.RecentDecisions
	ended    endedQueue
}

// New returns the state before the first record.
func New(cfg Config) *State {
	return &State{
		config:   cfg,
		terms:    make(map[model.AZ]Term),
		jobs:     make(map[model.JobID]*Job),
		open:     make(map[model.JobID]*Job),
		verdicts: journal.NewRecentDecisions(),
	}
}

// Applied returns the offset of the last record that was applied.
func (s *State) Applied() int64 { return s.applied }

// SnapshotOffset returns the offset of the newest snapshot record seen; 0 for none.
func (s *State) SnapshotOffset() int64 { return s.snapshot.Offset }

// SnapshotTime returns when the log stored that snapshot or, when there is none, the
// first record seen; zero before any record.
func (s *State) SnapshotTime() time.Time { return s.snapshot.Time }

// snapshotMark is the position of the newest snapshot record.
type snapshotMark struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
}

// Config returns the replicated configuration.
func (s *State) Config() Config { return s.config }

// Advance records that all entries before offset next were applied, and removes ended
// jobs and verdicts that are older than the retention window.
func (s *State) Advance(next int64) {
	if next-1 <= s.applied {
		return
	}
	s.applied = next - 1
	s.prune()
}

// Apply decides on one entry and applies it if it is accepted. It first removes what is
// older than the retention window at the entry's offset, so that the verdict does not
// depend on how records were batched.
func (s *State) Apply(l journal.LocatedEntry) journal.Decision {
	s.Advance(l.Offset)
	if s.snapshot.Time.IsZero() {
		s.snapshot.Time = l.Time
	}
	if d, rejected := s.verdicts.Reject(l); rejected {
		return d
	}
	d := s.decide(l)
	d.EntryID = l.Entry.ID
	d.Offset = l.Offset
	s.verdicts.Record(d)
	return d
}

// Decision returns the verdict on an entry within the retention window.
func (s *State) Decision(entryID string) (journal.Decision, bool) {
	return s.verdicts.Lookup(entryID)
}

func (s *State) decide(l journal.LocatedEntry) journal.Decision {
	switch l.Entry.Kind {
	case journal.KindConfig:
		return s.config.Apply(l)
	case journal.KindJobAccepted:
		return decodeAndApply(l, s.applyAccepted)
	case journal.KindJobCancelled:
		return decodeAndApply(l, s.applyCancelled)
	case journal.KindJobMoved:
		return decodeAndApply(l, s.applyMoved)
	case journal.KindAttempt:
		return decodeAndApply(l, s.applyAttempt)
	case journal.KindJobEnded:
		return decodeAndApply(l, s.applyEnded)
	case journal.KindTerm:
		return decodeAndApply(l, s.applyTerm)
	case journal.KindSnapshot:
		s.snapshot = snapshotMark{Offset: l.Offset, Time: l.Time}
		return accepted()
	default:
		return malformed("unknown kind " + string(l.Entry.Kind))
	}
}

func (s *State) prune() {
	horizon := s.applied - RetentionOffsets
	s.verdicts.Advance(s.applied)
	for _, id := range s.ended.removeBefore(horizon) {
		delete(s.jobs, id)
	}
}
