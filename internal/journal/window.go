package journal

import "github.com/eelgrassreach/eelgrassreach/internal/ports"

// window keeps recent records and the newest snapshot to serve peers. Its records
// are gap-free and, once there is a snapshot, start no later than after it.
type window struct {
	records  []ports.Record
	bytes    int
	snapshot *Snapshot
	maxBytes int
	minKept  int // records kept before the snapshot
}

// add appends records that follow those kept.
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

// restart drops the records and keeps s.
func (w *window) restart(s Snapshot) {
	w.clear()
	w.snapshot = &s
}

// offer keeps s when it is newer than the snapshot kept.
func (w *window) offer(s Snapshot) {
	if w.snapshot != nil && s.Offset <= w.snapshot.Offset {
		return
	}
	w.snapshot = &s
	w.trim()
}

// trim drops records that no peer needs: those the snapshot covers beyond minKept
// records, and the oldest ones beyond the byte bound.
func (w *window) trim() {
	drop := 0
	bytes := w.bytes
	for drop < len(w.records) && w.spare(drop, bytes) {
		bytes -= len(w.records[drop].Data)
		drop++
	}
	if drop == 0 {
		return
	}
	w.records = append([]ports.Record(nil), w.records[drop:]...)
	w.bytes = bytes
}

// spare reports whether the record at index i can go when the records from it on
// have the given size.
func (w *window) spare(i, bytes int) bool {
	if bytes > w.maxBytes {
		return true
	}
	covered := w.snapshot != nil && w.records[i].Offset <= w.snapshot.Offset
	return covered && len(w.records)-i > w.minKept
}

// serve returns up to limit records from offset from on. When they are no longer
// kept it returns the snapshot, if records go on from there.
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
	fetched.Records = w.run(int(from-first), limit)
	return fetched
}

// run returns up to limit records from index start on, at least one and beyond it
// no more than maxServedBytes.
func (w *window) run(start, limit int) []ports.Record {
	var run []ports.Record
	bytes := 0
	for _, r := range w.records[start:min(start+max(limit, 1), len(w.records))] {
		bytes += len(r.Data)
		if len(run) > 0 && bytes > maxServedBytes {
			break
		}
		run = append(run, r)
	}
	return run
}

// maxServedBytes bounds the records in one answer to a peer.
const maxServedBytes = 4 << 20
