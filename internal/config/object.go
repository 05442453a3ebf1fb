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
	path     string // of the object inside the record, with a final dot; empty at the top
	fields   map[string]json.RawMessage
	read     map[string]bool
	findings *Findings
}

// newObject reads raw as an object at path.
func newObject(raw json.RawMessage, path string, findings *Findings) *object {
	o := &object{path: path, read: make(map[string]bool), findings: findings}
	if err := json.Unmarshal(raw, &o.fields); err != nil || o.fields == nil {
		o.fields = nil
		o.add(trimDot(path), "must be an object")
	}
	return o
}

// trimDot returns a path without its final dot.
func trimDot(path string) string {
	if path == "" {
		return ""
	}
	return path[:len(path)-1]
}

// add collects a finding about the field at a full path.
func (o *object) add(field, format string, args ...any) {
	*o.findings = append(*o.findings, Finding{Field: field, Message: fmt.Sprintf(format, args...)})
}

// take returns the value of a field; ok is false when it is missing or null.
func (o *object) take(name string) (raw json.RawMessage, ok bool) {
	o.read[name] = true
	raw, ok = o.fields[name]
	return raw, ok && string(bytes.TrimSpace(raw)) != "null"
}

// need returns the value of a required field.
func (o *object) need(name string) (raw json.RawMessage, ok bool) {
	raw, ok = o.take(name)
	if !ok && o.fields != nil {
		o.add(o.path+name, "is required")
	}
	return raw, ok
}

// text returns a required string that is not empty.
func (o *object) text(name string) string {
	raw, ok := o.need(name)
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
	raw, ok := o.need(name)
	if !ok {
		return 0
	}
	return o.number(name, raw, low, high)
}

// optional returns a whole number between low and high, or fallback when it is missing.
func (o *object) optional(name string, low, high, fallback int64) int64 {
	raw, ok := o.take(name)
	if !ok {
		return fallback
	}
	return o.number(name, raw, low, high)
}

// number reads a whole number between low and high.
func (o *object) number(name string, raw json.RawMessage, low, high int64) int64 {
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

// flag returns a boolean, false when it is missing.
func (o *object) flag(name string) bool {
	raw, ok := o.take(name)
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
	raw, ok := o.need(name)
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
	raw, ok := o.need(name)
	if !ok {
		return &object{path: o.path + name + ".", read: make(map[string]bool), findings: o.findings}
	}
	return newObject(raw, o.path+name+".", o.findings)
}

// list returns the items of an array of objects; a missing one has none.
func (o *object) list(name string) []*object {
	raw, ok := o.take(name)
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

// end collects a finding for each field that was not read.
func (o *object) end() {
	var unknown []string
	for name := range o.fields {
		if !o.read[name] {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		o.add(o.path+name, "is not a known field")
	}
}
