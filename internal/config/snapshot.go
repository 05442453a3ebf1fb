package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

// encodedState is the serialized State. It holds the records as published, so that a
// release keeps records that it cannot read, and every release writes the same bytes.
type encodedState struct {
	Revision int64              `json:"revision"`
	Records  []json.RawMessage  `json:"records"` // ordered by key
	History  []journal.Decision `json:"history"`
}

// Encode returns the state in a deterministic form that Restore reads.
func (s *State) Encode() ([]byte, error) {
	e := encodedState{
		Revision: s.revision,
		Records:  make([]json.RawMessage, 0, len(s.records)),
		History:  append([]journal.Decision{}, s.history...),
	}
	for _, key := range sortKeys(s.records) {
		e.Records = append(e.Records, s.records[key].raw)
	}
	data, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// Restore replaces the state by an encoded one, or returns an error and leaves the
// state unchanged. When this release cannot read every record, the configuration in
// force does not change.
func (s *State) Restore(data []byte) error {
	var e encodedState
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	restored := newState(s.read)
	for i, raw := range e.Records {
		env, err := readEnvelope(raw)
		if err != nil {
			return fmt.Errorf("decode configuration record %d: %w", i+1, err)
		}
		restored.store(env, raw)
	}
	restored.revision = e.Revision
	restored.history = append(restored.history, e.History...)
	restored.current = s.current
	restored.outdated = true
	*s = *restored
	return nil
}

// compact returns raw without insignificant white space.
func compact(raw json.RawMessage) json.RawMessage {
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return raw
	}
	return b.Bytes()
}
