package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

// appendState is the state of an append as this VM knows it.
type appendState int

const (
	appendSent           appendState = iota // passed to the publisher
	appendOutcomeInDoubt                    // may be in the log; treated as stored until replay shows whether it is
	appendNotSent                           // certainly not in the log
)

// pendingEntry is an entry of this VM that has not been read back from the log.
type pendingEntry struct {
	entry journal.Entry
	state appendState
	// retry is set if the entry is submitted again once the log answers; otherwise a failed
	// append is dropped.
	retry bool
	sent  time.Time
}

// resubmitSeparator separates the key of an entry from the offset of an earlier copy that
// expired. Every entry that is submitted again is idempotent by its content.
const resubmitSeparator = "~"

func entryKey(id string) string {
	key, _, _ := strings.Cut(id, resubmitSeparator)
	return key
}

// submitEntry submits an entry to the log under the given ID and tracks it until it is read
// back. It panics if the body cannot be encoded, which is a programming error.
func (s *State) submitEntry(id string, kind journal.Kind, body any, retry bool) {
	if s.entries[id] != nil {
		return
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode %s entry: %v", kind, err))
	}
	e := &pendingEntry{
		entry: journal.Entry{ID: id, Kind: kind, Author: s.self.Incarnation, Body: data},
		retry: retry,
	}
	s.entries[id] = e
	if !s.log.reachable && retry {
		e.state = appendNotSent
		return
	}
	s.sendEntry(e)
}

func (s *State) sendEntry(e *pendingEntry) {
	e.state = appendSent
	e.sent = s.now
	s.emit(Append{Entry: e.entry})
}

func (s *State) entryAppended(a EntryAppended) {
	e := s.entries[entryKey(a.Result.EntryID)]
	if e == nil || e.entry.ID != a.Result.EntryID {
		return
	}
	switch a.Result.State {
	case journal.AppendStored:
		return
	case journal.AppendInDoubt:
		e.state = appendOutcomeInDoubt
		s.appendInDoubt(e.entry)
	case journal.AppendNotSent:
		e.state = appendNotSent
		if !e.retry {
			delete(s.entries, entryKey(e.entry.ID))
		}
		s.appendFailed(e.entry)
	}
}

// retryEntries submits entries again that are certainly not in the log.
func (s *State) retryEntries() {
	if !s.log.reachable {
		return
	}
	for _, id := range eventloop.SortedKeys(s.entries) {
		e := s.entries[id]
		if e.state == appendNotSent && e.retry && s.now.Sub(e.sent) >= s.settings.RetryDelay {
			s.sendEntry(e)
		}
	}
}

// resolveEntry ends the wait for an entry, or submits it again if it expired and is to be retried.
func (s *State) resolveEntry(id string, d journal.Decision) {
	id = entryKey(id)
	if e := s.entries[id]; e != nil && e.retry && d.Verdict == journal.VerdictExpired {
		e.entry.ID = fmt.Sprintf("%s%s%d", id, resubmitSeparator, d.Offset)
		e.state = appendNotSent
		return
	}
	delete(s.entries, id)
	for _, w := range s.takeWaiters(id) {
		w.decided(s, d)
	}
}

func (s *State) appendInDoubt(e journal.Entry) {
	switch e.Kind {
	case journal.KindJobAccepted:
		s.acceptInDoubt(e)
	case journal.KindAttempt:
		s.placement.dirty = true
	}
}

func (s *State) appendFailed(e journal.Entry) {
	switch e.Kind {
	case journal.KindJobAccepted:
		s.acceptNotSent(e)
	case journal.KindAttempt:
		s.claimNotSent(e)
	case journal.KindTerm:
		s.term.claimID = ""
	}
	for _, w := range s.takeWaiters(entryKey(e.ID)) {
		w.notSent(s)
	}
}
