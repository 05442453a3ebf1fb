package changes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

// A start from a snapshot must replay only the records after the newest snapshot.
func TestReplayFromSnapshotIsShort(t *testing.T) {
	const recordsAfterSnapshot = 100
	row, err := measureReplay(journal.DefaultSnapshotRecords+recordsAfterSnapshot, true, 1)
	assert.NilError(t, err)
	assert.Assert(t, row.replayed <= recordsAfterSnapshot+1, "%d records replayed", row.replayed)
}
