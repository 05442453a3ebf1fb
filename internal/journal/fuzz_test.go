package journal_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// FuzzPacket checks that records with arbitrary content can be read without a
// failure, and that a packet has as many entries after it is encoded and decoded.
func FuzzPacket(f *testing.F) {
	f.Add([]byte(`{"entries":[{"id":"a","kind":"config","author":"v","notAfter":9,"body":{"expectedRevision":3,"records":[]}}]}`))
	f.Add([]byte(`{"entries":[{"id":"snapshot-4","kind":"snapshot","author":"","body":{"offset":4,"state":{"x":1}}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		located := journal.EntriesOf(ports.Record{Offset: 5, Data: data})
		decisions := journal.NewRecentDecisions()
		for _, e := range located {
			if s, ok := journal.SnapshotOf(e.Entry); ok {
				assert.Assert(t, s.Offset > 0 && len(s.State) > 0)
			}
			if _, rejected := decisions.Reject(e); !rejected {
				decisions.Record(journal.Decision{EntryID: e.Entry.ID, Offset: e.Offset})
			}
		}
		packet, err := journal.DecodePacket(data)
		if err != nil {
			assert.Equal(t, len(located), 0)
			return
		}
		again, err := journal.EncodePacket(packet.Entries)
		assert.NilError(t, err)
		second, err := journal.DecodePacket(again)
		assert.NilError(t, err)
		assert.Equal(t, len(second.Entries), len(packet.Entries))
	})
}

// FuzzDecided checks that restored decisions, encoded and restored again, encode to
// the same bytes.
func FuzzDecided(f *testing.F) {
	f.Add([]byte(`{"last":20,"decisions":[["a",3,"accepted"],["b",9,"conflict",3,"detail"]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := journal.RestoreRecentDecisions(data)
		if err != nil {
			return
		}
		encoded, err := d.Encode()
		assert.NilError(t, err)
		assert.Assert(t, json.Valid(encoded))
		again, err := journal.RestoreRecentDecisions(encoded)
		assert.NilError(t, err)
		second, err := again.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(second), string(encoded))
	})
}
