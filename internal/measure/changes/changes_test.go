package changes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

// A start from snapshots replays the records after the newest one alone.
func TestReplayFromSnapshotIsShort(t *testing.T) {
	const after = 100
	row, err := replay(journal.DefaultSnapshotRecords+after, true, 1)
	assert.NilError(t, err)
	assert.Assert(t, row.applied <= after+1, "%d records replayed", row.applied)
}
