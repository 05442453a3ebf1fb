package config

import (
	"encoding/json"
	"fmt"
)

// Type names the type of a configuration record.
type Type string

// The types of records. TypeLimits has a single record, without an ID.
const (
	TypeOrganisation  Type = "organisation"
	TypeBackendServer Type = "backendServer"
	TypeRequestKind   Type = "requestKind"
	TypeLimits        Type = "limits"
)

// The schema versions that this release reads.
const (
	SchemaVersion1 = 1
	SchemaVersion2 = 2
)

// Key identifies a record: a later record with the same key replaces it.
type Key struct {
	Type Type   `json:"type"`
	ID   string `json:"id"`
}

// compare orders keys by type, then ID.
func (k Key) compare(l Key) int {
	if k.Type != l.Type {
		if k.Type < l.Type {
			return -1
		}
		return 1
	}
	if k.ID < l.ID {
		return -1
	}
	if k.ID > l.ID {
		return 1
	}
	return 0
}

// String returns the key as TYPE/ID.
func (k Key) String() string { return fmt.Sprintf("%s/%s", k.Type, k.ID) }

// envelope is the part of a record that every release reads in the same way,
// whatever the schema version. It must never change, because replay verdicts and
// snapshots depend on it.
type envelope struct {
	SchemaVersion int
	Key           Key
	Deleted       bool
}

// readEnvelope reads the envelope of a record.
func readEnvelope(raw json.RawMessage) (envelope, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		return envelope{}, fmt.Errorf("record is not an object")
	}
	var e envelope
	if err := envelopeField(fields, "schemaVersion", &e.SchemaVersion); err != nil {
		return envelope{}, err
	}
	if err := envelopeField(fields, "type", &e.Key.Type); err != nil {
		return envelope{}, err
	}
	if err := envelopeField(fields, "id", &e.Key.ID); err != nil {
		return envelope{}, err
	}
	if err := envelopeField(fields, "deleted", &e.Deleted); err != nil {
		return envelope{}, err
	}
	if e.SchemaVersion < 1 || e.Key.Type == "" {
		return envelope{}, fmt.Errorf("record has no schemaVersion or no type")
	}
	return e, nil
}

// envelopeField decodes a field into value if the field is present.
func envelopeField(fields map[string]json.RawMessage, name string, value any) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("field %s: %w", name, err)
	}
	return nil
}
