package journal

import (
	"encoding/json"
	"fmt"
)

const (
	// SendWindow is the number of offsets, counted from the newest that its
	// publisher knew, within which an entry may take effect.
	SendWindow int64 = 8_192
	// DecisionWindow is the number of offsets for which a decision stays known. It
	// is twice SendWindow, so that a decision outlives every copy of its entry and
	// can still be looked up for a while after the last copy could take effect.
	DecisionWindow = 2 * SendWindow
)

// RecentDecisions remembers the decisions of the newest DecidedWindow offsets by entry ID.
// It is part of the replicated state: it depends on the log alone. It is not safe
// for concurrent use.
type RecentDecisions struct {
	byID  map[string]Decision
	order []Decision // by offset, as recorded
	last  int64      // the newest offset seen
}

// NewRecentDecisions returns an empty memory.
func NewRecentDecisions() *RecentDecisions {
	return &RecentDecisions{byID: make(map[string]Decision)}
}

// Reject decides on entries that must not be applied: one that was decided before
// and one that comes after its NotAfter offset. ok is false when the entry is to
// be applied; its decision is then given to Record.
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

// Record keeps the first decision on an entry ID; later ones change nothing.
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

// Advance forgets decisions that are DecidedWindow offsets or more behind offset.
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

// decidedForm is the encoded form of a Decided.
type decidedForm struct {
	Last      int64             `json:"last"`
	Decisions []compactDecision `json:"decisions"`
}

// compactDecision is a decision encoded as an array of its fields in order, without
// empty ones at the end: snapshots hold many.
type compactDecision Decision

// MarshalJSON implements json.Marshaler.
func (d compactDecision) MarshalJSON() ([]byte, error) {
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
func (d *compactDecision) UnmarshalJSON(data []byte) error {
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

// Encode returns the memory as JSON. Equal memories have equal encodings.
func (d *RecentDecisions) Encode() (json.RawMessage, error) {
	form := decidedForm{Last: d.last, Decisions: make([]compactDecision, 0, len(d.order))}
	for _, decision := range d.order {
		form.Decisions = append(form.Decisions, compactDecision(decision))
	}
	data, err := json.Marshal(form)
	if err != nil {
		return nil, fmt.Errorf("encode decisions: %w", err)
	}
	return data, nil
}

// RestoreRecentDecisions reads what Encode returned.
func RestoreRecentDecisions(data []byte) (*RecentDecisions, error) {
	var form decidedForm
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
