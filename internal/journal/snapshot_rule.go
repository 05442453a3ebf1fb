package journal

import "time"

// The default options of the snapshot rule.
const (
	DefaultSnapshotRecords = 4096
	DefaultSnapshotAge     = time.Hour
)

// SnapshotRule defines when a snapshot is due. A zero field takes its default.
type SnapshotRule struct {
	// Records is the number of offsets after the newest snapshot at which the next
	// one is due.
	Records int64
	// Age is the age of the newest snapshot at which the next one is due. It applies
	// even without new records, because the log also drops records by age. It must
	// be well below the log's retention time.
	Age time.Duration

	rank int // see ForRank
}

// SnapshotState is the input of SnapshotRule.
type SnapshotState struct {
	Applied    int64     // the newest offset applied
	Snapshot   int64     // the offset of the newest snapshot seen in the log; 0 for none
	SnapshotAt time.Time // when the log stored that snapshot, or the first record seen if there is none
	First      int64     // the oldest offset in the log; 0 when not known
	Now        time.Time
}

// SnapshotDue reports whether a snapshot should be appended: the newest one is
// followed by enough records, is old enough, or is in the older half of the records
// in the log. The last condition keeps a snapshot in the log however few records the
// log retains.
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

// ForRank returns the rule for the snapshot writer of the given rank, from 0. A
// writer of a higher rank writes a snapshot only if those of lower ranks did not:
// Records and Age are multiplied by rank+1, and the newest snapshot must be closer to
// the oldest record in the log.
func (r SnapshotRule) ForRank(rank int) SnapshotRule {
	setDefault(&r.Records, DefaultSnapshotRecords)
	setDefault(&r.Age, DefaultSnapshotAge)
	r.Records *= int64(rank + 1)
	r.Age *= time.Duration(rank + 1)
	r.rank = rank
	return r
}
