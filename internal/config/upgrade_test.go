package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

// readVersion1Only is the recordReader of a release that knows only schema version 1.
func readVersion1Only(raw json.RawMessage) (record, Findings) {
	e, err := readEnvelope(raw)
	if err != nil || e.SchemaVersion != SchemaVersion1 {
		return record{}, Findings{{Field: "schemaVersion", Message: "is not known"}}
	}
	return readRecord(raw)
}

// drawRecord draws a request kind of either version, or a deletion.
func drawRecord(rt *rapid.T) json.RawMessage {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id")
	seconds := rapid.IntRange(1, 9).Draw(rt, "seconds")
	switch rapid.IntRange(0, 3).Draw(rt, "form") {
	case 0:
		return recordJSON(fmt.Sprintf(`{'schemaVersion':2,'type':'requestKind','id':'%s','deleted':true}`, id))
	case 1:
		return recordJSON(fmt.Sprintf(`{'schemaVersion':2,'type':'requestKind','id':'%s','priorityClass':'batch','deadline':'%ds'}`, id, seconds))
	default:
		return recordJSON(fmt.Sprintf(`{'schemaVersion':1,'type':'requestKind','id':'%s','class':'batch','deadline':'%ds'}`, id, seconds))
	}
}

// An old and a new release reach the same verdicts and write the same snapshots, also
// after each restores the other's snapshot. The old release has the configuration of
// the new one in force, or, while it is stalled, the last one that it could read. It
// never goes back to an earlier one.
func TestReleasesSideBySide(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		older, newer := newState(readVersion1Only), NewState()
		inForce := map[int64]*Current{0: newer.Current()}
		var last int64
		changes := rapid.Int64Range(1, 30).Draw(rt, "changes")
		for offset := int64(1); offset <= changes; offset++ {
			records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 3).Draw(rt, "records")
			expected := rapid.SampledFrom([]int64{older.Revision(), older.Revision(), last}).Draw(rt, "expected")
			body, err := json.Marshal(journal.ConfigChange{ExpectedRevision: expected, Records: records})
			assert.NilError(rt, err)
			l := journal.LocatedEntry{Offset: offset, Entry: journal.Entry{ID: fmt.Sprint(offset), Body: body}}
			assert.DeepEqual(rt, older.Apply(l), newer.Apply(l))
			inForce[newer.Current().Revision] = newer.Current()

			fromOlder, err := older.Encode()
			assert.NilError(rt, err)
			fromNewer, err := newer.Encode()
			assert.NilError(rt, err)
			assert.Equal(rt, string(fromOlder), string(fromNewer))
			if rapid.Bool().Draw(rt, "restore") {
				assert.NilError(rt, older.Restore(fromNewer))
				assert.NilError(rt, newer.Restore(fromOlder))
			}

			current := older.Current()
			assert.DeepEqual(rt, current, inForce[current.Revision])
			assert.Assert(rt, current.Revision >= last, "the configuration went back from revision %d to %d", last, current.Revision)
			assert.Equal(rt, older.Stalled() == "", current.Revision == newer.Current().Revision)
			last = current.Revision
		}
	})
}
