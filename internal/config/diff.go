package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Action is what a change does to a record.
type Action string

// The actions.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// Change is the effect of a change on one field of a record, named as in schema
// version 2. An added or removed record has one Change without a field, whose value
// is the whole record.
type Change struct {
	Action Action `json:"action"`
	Type   Type   `json:"type"`
	ID     string `json:"id,omitempty"`
	Field  string `json:"field,omitempty"`
	Old    string `json:"old,omitempty"` // JSON; empty when there was none
	New    string `json:"new,omitempty"` // JSON; empty when there is none
}

// Diff returns what records would change in the current configuration, ordered by
// type, ID and field. It leaves out records that change nothing or are not valid.
func Diff(current *Current, records []json.RawMessage) []Change {
	next := current.clone()
	for _, raw := range records {
		if r, findings := readRecord(raw); len(findings) == 0 {
			next.put(r)
		}
	}
	before, after := renderByKey(current), renderByKey(next)
	keys := make(map[Key]bool)
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	var changes []Change
	for _, key := range sortKeys(keys) {
		changes = append(changes, diffRecord(key, before[key], after[key])...)
	}
	return changes
}

// DiffRecords is like Diff for a configuration given as records. It also returns the
// findings about records that are not valid.
func DiffRecords(inForce, records []json.RawMessage) ([]Change, Findings) {
	current := newCurrent()
	for _, raw := range inForce {
		r, findings := readRecord(raw)
		if len(findings) > 0 {
			return nil, findings.InFile("in force")
		}
		current.put(r)
	}
	var findings Findings
	for i, raw := range records {
		_, found := readRecord(raw)
		for _, finding := range found {
			finding.Record = i + 1
			findings = append(findings, finding)
		}
	}
	return Diff(current, records), findings
}

// diffRecord returns the changes to one record. The old or new form is nil when the
// record does not exist.
func diffRecord(key Key, before, after json.RawMessage) []Change {
	change := Change{Type: key.Type, ID: key.ID}
	switch {
	case bytes.Equal(before, after):
		return nil
	case before == nil:
		change.Action, change.New = ActionAdd, string(after)
		return []Change{change}
	case after == nil:
		change.Action, change.Old = ActionRemove, string(before)
		return []Change{change}
	}
	change.Action = ActionChange
	oldFields, newFields := flatten(before), flatten(after)
	var changes []Change
	for _, field := range unionKeys(oldFields, newFields) {
		if oldFields[field] == newFields[field] {
			continue
		}
		change.Field, change.Old, change.New = field, oldFields[field], newFields[field]
		changes = append(changes, change)
	}
	return changes
}

// flatten returns the values of a JSON document by path, such as "a.b[0]".
func flatten(raw json.RawMessage) map[string]string {
	values := make(map[string]string)
	flattenInto(values, "", raw)
	return values
}

// flattenInto adds the values at and below path.
func flattenInto(values map[string]string, path string, raw json.RawMessage) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) == nil && fields != nil {
		for name, value := range fields {
			if path != "" {
				name = path + "." + name
			}
			flattenInto(values, name, value)
		}
		return
	}
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) == nil && items != nil {
		for i, item := range items {
			flattenInto(values, fmt.Sprintf("%s[%d]", path, i), item)
		}
		return
	}
	values[path] = string(raw)
}

// unionKeys returns the keys of both maps, sorted.
func unionKeys(a, b map[string]string) []string {
	var keys []string
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if _, both := a[key]; !both {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
