package journal

import (
	"encoding/json"
	"fmt"
)

const (
	// SendWindow is the number of offsets after the end of the log, as last known to
	// the publisher, within which an entry may take effect.
	SendWindow int64 = 8_192
	// DecisionWindow is the number of offsets for which a decision is kept. It is
	// twice SendWindow, so that a decision is kept while a copy of its entry could
	// still take effect, and can be looked up for a while after that.
	DecisionWindow = 2 * SendWindow
)

// RecentDecisions holds the decisions of the newest DecisionWindow offsets by
// entry ID. It is part of the replicated state: it depends only on the log. It is
// not safe for concurrent use.
type RecentDecisions struct {
	byID  map[string]Decision
	order []Decision // in the order of Record, by ascending offset
	last  int64      // the highest offset seen
}

// NewRecentDecisions returns an empty set of decisions.
func NewRecentDecisions() *RecentDecisions {
	return &RecentDecisions{byID: make(map[string]Decision)}
}

// Reject returns the decision on an entry that must not be applied: a duplicate of
// an entry already decided, or an entry stored after its NotAfter offset. Otherwise
// ok is false: the caller applies the entry and passes the decision to Record.
func (d *RecentDecisions) Reject(e LocatedEntry) (decision Decision, ok bool) {
	d.Advance(e.Offset)
	if first, seen := d.byID[e.Entry.ID]; seen {
		return Decision{EntryID: e.Entry.ID, Offset: e.Offset, Verdict: VerdictDuplicate, Winner: first.Offset}, true
	}
	if e.Entry.NotAfter > 0 && e.Offset > e.Entry.NotAfter {
		expired := Decision{EntryID: e.Entry.ID, Offset: e.Offset, Verdict: VerdictExpired}
		d.Record(expired)
		return expired, true
	}
	return Decision{}, false
}

// Record stores the decision on an entry ID unless there already is one.
func (d *RecentDecisions) Record(decision Decision) {
	if _, seen := d.byID[decision.EntryID]; seen {
		return
	}
	d.Advance(decision.Offset)
	d.byID[decision.EntryID] = decision
	d.order = append(d.order, decision)
}

// Lookup returns the decision on an entry ID.
func (d *RecentDecisions) Lookup(entryID string) (Decision, bool) {
	decision, ok := d.byID[entryID]
	return decision, ok
}

// Advance drops decisions that are DecisionWindow offsets or more behind offset.
func (d *RecentDecisions) Advance(offset int64) {
	if offset <= d.last {
		return
	}
	d.last = offset
	expired := 0
	for expired < len(d.order) && d.order[expired].Offset <= offset-DecisionWindow {
		delete(d.byID, d.order[expired].EntryID)
		expired++
	}
	d.order = d.order[expired:]
}

// Len returns the number of decisions that are kept.
func (d *RecentDecisions) Len() int { return len(d.order) }

// encodedDecisions is the JSON form of RecentDecisions.
type encodedDecisions struct {
	Last      int64             `json:"last"`
	Decisions []encodedDecision `json:"decisions"`
}

// encodedDecision is a decision encoded as a JSON array of its fields in order,
// without empty ones at the end. The form is compact because a snapshot holds many
// decisions.
type encodedDecision Decision

// MarshalJSON implements json.Marshaler.
func (d encodedDecision) MarshalJSON() ([]byte, error) {
	fields := []any{d.EntryID, d.Offset, d.Verdict}
	if d.Winner != 0 || d.Detail != "" {
		fields = append(fields, d.Winner)
	}
	if d.Detail != "" {
		fields = append(fields, d.Detail)
	}
	return json.Marshal(fields)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *encodedDecision) UnmarshalJSON(data []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	targets := []any{&d.EntryID, &d.Offset, &d.Verdict, &d.Winner, &d.Detail}
	if len(fields) < 3 || len(fields) > len(targets) {
		return fmt.Errorf("decision with %d fields", len(fields))
	}
	for i, field := range fields {
		if err := json.Unmarshal(field, targets[i]); err != nil {
			return err
		}
	}
	return nil
}

// Encode returns the decisions as JSON. Equal sets of decisions have equal encodings.
func (d *RecentDecisions) Encode() (json.RawMessage, error) {
	form := encodedDecisions{Last: d.last, Decisions: make([]encodedDecision, 0, len(d.order))}
	for _, decision := range d.order {
		form.Decisions = append(form.Decisions, encodedDecision(decision))
	}
	data, err := json.Marshal(form)
	if err != nil {
		return nil, fmt.Errorf("encode decisions: %w", err)
	}
	return data, nil
}

// RestoreRecentDecisions decodes the output of Encode.
func RestoreRecentDecisions(data []byte) (*RecentDecisions, error) {
	var form encodedDecisions
	if err := json.Unmarshal(data, &form); err != nil {
		return nil, fmt.Errorf("decode decisions: %w", err)
	}
	d := NewRecentDecisions()
	for _, decision := range form.Decisions {
		d.Record(Decision(decision))
	}
	d.Advance(form.Last)
	return d, nil
}
