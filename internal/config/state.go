package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

// HistoryLimit is the number of decisions on changes that the state keeps.
const HistoryLimit = 256

// State is the replicated configuration. It depends only on the log, except for
// Current, which is the newest configuration of which this release can read every
// record. It is not safe for concurrent use.
type State struct {
	revision   int64
	records    map[Key]storedRecord
	unreadable map[Key]string // why this release cannot read the record
	current    *Current
	outdated   bool // current must be rebuilt
	history    []journal.Decision
	read       recordReader
}

// recordReader decodes a record. It differs between releases.
type recordReader func(raw json.RawMessage) (record, Findings)

// storedRecord is an accepted record.
type storedRecord struct {
	raw  json.RawMessage // as published
	read record          // decoded by this release; valid unless in State.unreadable
}

// NewState returns the state before the first change.
func NewState() *State { return newState(readRecord) }

// newState returns an empty state that decodes records with read.
func newState(read recordReader) *State {
	return &State{
		read:       read,
		records:    make(map[Key]storedRecord),
		unreadable: make(map[Key]string),
		current:    newCurrent(),
	}
}

// Apply decides on a configuration entry and applies it if it is accepted. The
// verdict depends on the expected revision and on the envelopes of the records,
// which all releases read in the same way. It must not depend on checks of the
// content, which differ between releases.
func (s *State) Apply(l journal.LocatedEntry) journal.Decision {
	decision := s.decide(l)
	decision.EntryID = l.Entry.ID
	decision.Offset = l.Offset
	s.history = append(s.history, decision)
	if excess := len(s.history) - HistoryLimit; excess > 0 {
		s.history = slices.Delete(s.history, 0, excess)
	}
	return decision
}

// decide returns the verdict on an entry and applies its change if it is accepted.
func (s *State) decide(l journal.LocatedEntry) journal.Decision {
	var change journal.ConfigChange
	if err := json.Unmarshal(l.Entry.Body, &change); err != nil {
		return journal.Decision{Verdict: journal.VerdictMalformed, Detail: "the change cannot be read"}
	}
	envelopes := make([]envelope, 0, len(change.Records))
	for i, raw := range change.Records {
		e, err := readEnvelope(raw)
		if err != nil {
			detail := fmt.Sprintf("the envelope of record %d cannot be read", i+1)
			return journal.Decision{Verdict: journal.VerdictMalformed, Detail: detail}
		}
		envelopes = append(envelopes, e)
	}
	if change.ExpectedRevision != s.revision || l.Offset == s.revision {
		detail := fmt.Sprintf("expected revision %d, but %d is in force", change.ExpectedRevision, s.revision)
		return journal.Decision{Verdict: journal.VerdictConflict, Winner: s.revision, Detail: detail}
	}
	for i, e := range envelopes {
		s.store(e, change.Records[i])
	}
	s.revision = l.Offset
	s.outdated = true
	return journal.Decision{Verdict: journal.VerdictAccepted}
}

// store stores or deletes one record of an accepted change.
func (s *State) store(e envelope, raw json.RawMessage) {
	delete(s.unreadable, e.Key)
	if e.Deleted {
		delete(s.records, e.Key)
		return
	}
	read, findings := s.read(raw)
	if len(findings) > 0 {
		s.unreadable[e.Key] = findings[0].String()
	}
	s.records[e.Key] = storedRecord{raw: compact(raw), read: read}
}

// Current returns the configuration in force, never nil: the newest one of which
// this release can read every record.
func (s *State) Current() *Current {
	if s.outdated && len(s.unreadable) == 0 {
		s.current = s.build()
	}
	s.outdated = s.outdated && len(s.unreadable) > 0
	return s.current
}

// Revision returns the offset of the newest accepted change, readable or not.
func (s *State) Revision() int64 { return s.revision }

// Stalled returns why the newest accepted changes are not in force on this VM; it is
// empty when they are.
func (s *State) Stalled() string {
	if len(s.unreadable) == 0 {
		return ""
	}
	keys := make([]Key, 0, len(s.unreadable))
	for key := range s.unreadable {
		keys = append(keys, key)
	}
	first := slices.MinFunc(keys, Key.compare)
	return fmt.Sprintf("revision %d has %d records that this release cannot read, first %s: %s",
		s.revision, len(keys), first, s.unreadable[first])
}

// History returns up to limit decisions on changes, newest first. A limit of 0
// returns all that are kept.
func (s *State) History(limit int) []journal.Decision {
	newest := slices.Clone(s.history)
	slices.Reverse(newest)
	if limit > 0 && limit < len(newest) {
		newest = newest[:limit]
	}
	return newest
}
