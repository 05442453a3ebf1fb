package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

// HistoryLimit is the number of decisions on changes that the state keeps.
const HistoryLimit = 256

// State is the replicated configuration. It depends on the log alone, except for
// Current, which is the newest configuration that this release can read in whole.
// It is not safe for concurrent use.
type State struct {
	revision int64
	records  map[Key]stored
	unread   map[Key]string // why this release cannot read a record
	current  *Current
	stale    bool // current must be built anew
	history  []journal.Decision
	read     recordReader
}

// recordReader reads a record; another release has another one.
type recordReader func(raw json.RawMessage) (record, Findings)

// stored is an accepted record: as published, and as read.
type stored struct {
	raw  json.RawMessage
	read record
}

// NewState returns the state before the first change.
func NewState() *State { return newState(readRecord) }

// newState returns a state that reads records with the given reader.
func newState(read recordReader) *State {
	return &State{
		read:    read,
		records: make(map[Key]stored),
		unread:  make(map[Key]string),
		current: newCurrent(),
	}
}

// Apply decides on a configuration entry and applies it when it wins. The verdict
// rests on the expected revision and on the envelopes of the records, which all
// releases read alike; it never rests on checks of the content.
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

// decide applies the change of an entry when it wins.
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
	s.stale = true
	return journal.Decision{Verdict: journal.VerdictAccepted}
}

// store keeps or deletes one record of an accepted change.
func (s *State) store(e envelope, raw json.RawMessage) {
	delete(s.unread, e.Key)
	if e.Deleted {
		delete(s.records, e.Key)
		return
	}
	read, findings := s.read(raw)
	if len(findings) > 0 {
		s.unread[e.Key] = findings[0].String()
	}
	s.records[e.Key] = stored{raw: compact(raw), read: read}
}

// Current returns the configuration in force, never nil: the newest one of which
// this release can read every record.
func (s *State) Current() *Current {
	if s.stale && len(s.unread) == 0 {
		s.current = s.build()
	}
	s.stale = s.stale && len(s.unread) > 0
	return s.current
}

// Revision returns the offset of the newest accepted change, readable or not.
func (s *State) Revision() int64 { return s.revision }

// Stalled says why the newest accepted changes are not in force here; it is empty
// when they are.
func (s *State) Stalled() string {
	if len(s.unread) == 0 {
		return ""
	}
	keys := make([]Key, 0, len(s.unread))
	for key := range s.unread {
		keys = append(keys, key)
	}
	first := slices.MinFunc(keys, Key.compare)
	return fmt.Sprintf("revision %d has %d records that this release cannot read, first %s: %s",
		s.revision, len(keys), first, s.unread[first])
}

// History returns the newest decisions on changes, newest first; all that are kept
// for a limit of 0.
func (s *State) History(limit int) []journal.Decision {
	newest := slices.Clone(s.history)
	slices.Reverse(newest)
	if limit > 0 && limit < len(newest) {
		newest = newest[:limit]
	}
	return newest
}
