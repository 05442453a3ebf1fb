package journal

import "time"

// The default options of the snapshot rule.
const (
	DefaultSnapshotRecords = 4096
	DefaultSnapshotAge     = time.Hour
)

// SnapshotRule says when a snapshot is due. A zero field takes its default.
type SnapshotRule struct {
	// Records is the number of offsets after the newest snapshot.
	Records int64
	// Age is the age of the newest snapshot. It applies without new records too,
	// since the log also drops records by time; it must be well below the log's
	// retention time.
	Age time.Duration

	rank int // see ForRank
}

// SnapshotState is what the rule decides on.
type SnapshotState struct {
	Applied    int64     // the newest offset applied
	Snapshot   int64     // the offset of the newest snapshot seen in the log; 0 for none
	SnapshotAt time.Time // when the log stored that snapshot; without one, the first record seen
	First      int64     // the oldest offset that the log keeps; 0 when not known
	Now        time.Time
}

// SnapshotDue reports whether a snapshot should be appended: enough records
// follow the newest one, it is old, or it lies in the older half of what the log
// keeps, whatever the log's retention is.
func (r SnapshotRule) SnapshotDue(s SnapshotState) bool {
	setDefault(&r.Records, DefaultSnapshotRecords)
	setDefault(&r.Age, DefaultSnapshotAge)
	if s.Applied == 0 {
		return false
	}
	if s.Applied-s.Snapshot >= r.Records {
		return true
	}
	if !s.SnapshotAt.IsZero() && s.Now.Sub(s.SnapshotAt) >= r.Age {
		return true
	}
	return s.First > 1 && s.Snapshot-s.First < (s.Applied-s.First)/(2<<r.rank)
}

// ForRank returns the rule of the writer with a rank from 0: a later one acts when
// those before it did not: after as many times the bounds of the first, and nearer
// to the oldest record kept.
func (r SnapshotRule) ForRank(rank int) SnapshotRule {
	setDefault(&r.Records, DefaultSnapshotRecords)
	setDefault(&r.Age, DefaultSnapshotAge)
	r.Records *= int64(rank + 1)
	r.Age *= time.Duration(rank + 1)
	r.rank = rank
	return r
}
