package journal

import "github.com/eelgrassreach/eelgrassreach/internal/ports"

// window keeps recent records and the newest snapshot to serve peers. Its records
// have no gaps. Unless maxBytes made it drop more, they start no later than the
// record after the snapshot.
type window struct {
	records  []ports.Record
	bytes    int
	snapshot *Snapshot
	maxBytes int
	minKept  int // number of newest records kept even if the snapshot covers them
}

// add appends records. After a gap it first drops the records kept before.
func (w *window) add(records []ports.Record) {
	for _, r := range records {
		if n := len(w.records); n > 0 && r.Offset != w.records[n-1].Offset+1 {
			w.clear()
		}
		w.records = append(w.records, r)
		w.bytes += len(r.Data)
	}
	w.trim()
}

// clear drops the records.
func (w *window) clear() {
	w.records = nil
	w.bytes = 0
}

// reset drops the records and replaces the snapshot by s.
func (w *window) reset(s Snapshot) {
	w.clear()
	w.snapshot = &s
}

// setSnapshot replaces the snapshot by s if s is newer.
func (w *window) setSnapshot(s Snapshot) {
	if w.snapshot != nil && s.Offset <= w.snapshot.Offset {
		return
	}
	w.snapshot = &s
	w.trim()
}

// trim drops the oldest records: those that the snapshot covers, except the newest
// minKept records, and those beyond maxBytes.
func (w *window) trim() {
	drop := 0
	bytes := w.bytes
	for drop < len(w.records) && w.droppable(drop, bytes) {
		bytes -= len(w.records[drop].Data)
		drop++
	}
	if drop == 0 {
		return
	}
	w.records = append([]ports.Record(nil), w.records[drop:]...)
	w.bytes = bytes
}

// droppable reports whether the record at index i can be dropped, given the total
// size of the records from i on.
func (w *window) droppable(i, bytes int) bool {
	if bytes > w.maxBytes {
		return true
	}
	covered := w.snapshot != nil && w.records[i].Offset <= w.snapshot.Offset
	return covered && len(w.records)-i > w.minKept
}

// serve returns up to limit records that start at offset from. When they are no longer
// kept, it returns the snapshot if it is followed by the records kept.
func (w *window) serve(from int64, limit int, next int64) FetchResult {
	fetched := FetchResult{Next: next}
	if from >= next {
		return fetched
	}
	first := next
	if len(w.records) > 0 {
		first = w.records[0].Offset
	}
	if from < first {
		if w.snapshot == nil || w.snapshot.Offset+1 < first || w.snapshot.Offset < from {
			return fetched
		}
		fetched.Snapshot = w.snapshot
		return fetched
	}
	fetched.Records = w.boundedRecords(int(from-first), limit)
	return fetched
}

// boundedRecords returns up to limit records from index start on, and no more than
// maxServedBytes unless the first record alone is larger.
func (w *window) boundedRecords(start, limit int) []ports.Record {
	var served []ports.Record
	bytes := 0
	for _, r := range w.records[start:min(start+max(limit, 1), len(w.records))] {
		bytes += len(r.Data)
		if len(served) > 0 && bytes > maxServedBytes {
			break
		}
		served = append(served, r)
	}
	return served
}

// maxServedBytes bounds the records in one answer to a peer.
const maxServedBytes = 4 << 20
