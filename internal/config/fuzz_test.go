package config

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

// FuzzRecords checks that a file either has findings, or its records render to
// records with the same content.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(recordsVersion1))
	f.Add([]byte(recordsVersion2))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, findings := ParseFile("f", bytes.NewReader(data))
		if len(findings) > 0 || len(Check(nil, records, nil)) > 0 {
			return
		}
		current := newCurrent()
		for _, raw := range records {
			r, _ := readRecord(raw)
			current.put(r)
		}
		again := newCurrent()
		for _, raw := range Render(current) {
			r, findings := readRecord(raw)
			assert.NilError(t, findings.Err())
			again.put(r)
		}
		assert.DeepEqual(t, again, current)
	})
}

// FuzzChange checks that an entry with any body can be applied, and that the state is
// the same after it is encoded and restored.
func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"expectedRevision":0,"records":[{"schemaVersion":1,"type":"requestKind","id":"k","class":"batch","deadline":"1h"}]}`))
	f.Add([]byte(`{"expectedRevision":0,"records":[{"schemaVersion":9,"type":"requestKind","id":"k"},{"schemaVersion":1,"type":"limits","deleted":true}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := NewState()
		s.Apply(journal.LocatedEntry{Offset: 7, Entry: journal.Entry{ID: "e", Kind: journal.KindConfig, Body: body}})
		before := s.Current()
		data, err := s.Encode()
		assert.NilError(t, err)
		restored := NewState()
		assert.NilError(t, restored.Restore(data))
		again, err := restored.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(data))
		assert.DeepEqual(t, restored.Current(), before)
		assert.Equal(t, restored.Stalled(), s.Stalled())
	})
}

// FuzzRestore checks that the state does not change when Restore fails.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"revision":7,"records":[{"schemaVersion":1,"type":"requestKind","id":"k","class":"batch","deadline":"1h"}],"history":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		before, err := s.Encode()
		assert.NilError(t, err)
		if s.Restore(data) == nil {
			return
		}
		after, err := s.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(after), string(before))
	})
}
