package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// object reads the fields of one JSON object and collects findings about them.
type object struct {
	path     string // of the object in the record, with a final dot; empty for the record
	fields   map[string]json.RawMessage
	known    map[string]bool // names of the fields that were read
	findings *Findings
}

// newObject decodes raw as the object at path.
func newObject(raw json.RawMessage, path string, findings *Findings) *object {
	o := &object{path: path, known: make(map[string]bool), findings: findings}
	if err := json.Unmarshal(raw, &o.fields); err != nil || o.fields == nil {
		o.fields = nil
		o.add(trimFinalDot(path), "must be an object")
	}
	return o
}

// trimFinalDot returns a path without its final dot.
func trimFinalDot(path string) string {
	if path == "" {
		return ""
	}
	return path[:len(path)-1]
}

// add collects a finding about the field with the given full path.
func (o *object) add(field, format string, args ...any) {
	*o.findings = append(*o.findings, Finding{Field: field, Message: fmt.Sprintf(format, args...)})
}

// optional returns the value of a field; ok is false when it is missing or null.
func (o *object) optional(name string) (raw json.RawMessage, ok bool) {
	o.known[name] = true
	raw, ok = o.fields[name]
	return raw, ok && string(bytes.TrimSpace(raw)) != "null"
}

// required returns the value of a required field.
func (o *object) required(name string) (raw json.RawMessage, ok bool) {
	raw, ok = o.optional(name)
	if !ok && o.fields != nil {
		o.add(o.path+name, "is required")
	}
	return raw, ok
}

// nonEmptyString returns a required string that is not empty.
func (o *object) nonEmptyString(name string) string {
	raw, ok := o.required(name)
	if !ok {
		return ""
	}
	var value string
	if err := json.Unmarshal(raw, &value); err != nil || value == "" {
		o.add(o.path+name, "must be a string that is not empty")
		return ""
	}
	return value
}

// integer returns a required whole number between low and high.
func (o *object) integer(name string, low, high int64) int64 {
	raw, ok := o.required(name)
	if !ok {
		return 0
	}
	return o.parseInteger(name, raw, low, high)
}

// optionalInteger returns a whole number between low and high, or fallback when it is missing.
func (o *object) optionalInteger(name string, low, high, fallback int64) int64 {
	raw, ok := o.optional(name)
	if !ok {
		return fallback
	}
	return o.parseInteger(name, raw, low, high)
}

// parseInteger decodes a whole number between low and high.
func (o *object) parseInteger(name string, raw json.RawMessage, low, high int64) int64 {
	var value int64
	if err := json.Unmarshal(raw, &value); err != nil || value < low || value > high {
		if high == math.MaxInt64 {
			o.add(o.path+name, "must be a whole number of at least %d", low)
		} else {
			o.add(o.path+name, "must be a whole number from %d to %d", low, high)
		}
		return 0
	}
	return value
}

// boolean returns a boolean, false when it is missing.
func (o *object) boolean(name string) bool {
	raw, ok := o.optional(name)
	if !ok {
		return false
	}
	var value bool
	if err := json.Unmarshal(raw, &value); err != nil {
		o.add(o.path+name, "must be true or false")
	}
	return value
}

// duration returns a required positive duration such as "2s".
func (o *object) duration(name string) time.Duration {
	raw, ok := o.required(name)
	if !ok {
		return 0
	}
	var text string
	err := json.Unmarshal(raw, &text)
	value, parseErr := time.ParseDuration(text)
	if err != nil || parseErr != nil || value <= 0 {
		o.add(o.path+name, `must be a positive duration such as "2s"`)
		return 0
	}
	return value
}

// object returns a required object.
func (o *object) object(name string) *object {
	raw, ok := o.required(name)
	if !ok {
		return &object{path: o.path + name + ".", known: make(map[string]bool), findings: o.findings}
	}
	return newObject(raw, o.path+name+".", o.findings)
}

// objects returns the items of an array of objects; nil when the array is missing.
func (o *object) objects(name string) []*object {
	raw, ok := o.optional(name)
	if !ok {
		return nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		o.add(o.path+name, "must be an array")
		return nil
	}
	objects := make([]*object, 0, len(items))
	for i, item := range items {
		objects = append(objects, newObject(item, fmt.Sprintf("%s%s[%d].", o.path, name, i), o.findings))
	}
	return objects
}

// addUnknownFields collects a finding for each field that was not read. It is called
// after all known fields were read.
func (o *object) addUnknownFields() {
	var unknown []string
	for name := range o.fields {
		if !o.known[name] {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		o.add(o.path+name, "is not a known field")
	}
}
