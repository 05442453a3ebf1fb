package journal

import (
	"context"
	"errors"
	"fmt"
	"math"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// beyondEnd is an offset that no log reaches. A read from it returns no records, but
// First and Next of the log.
const beyondEnd = math.MaxInt64 / 2

// resumeAfterTrim continues after the log has dropped the next offset to read. It
// returns false when the caller should fetch from a peer.
func (f *Follower) resumeAfterTrim(ctx context.Context) bool {
	head, err := f.read(ctx, beyondEnd, 0)
	if err != nil {
		f.setBlocked(fmt.Sprintf("look for the oldest offset: %v", err))
		return false
	}
	return f.start(ctx, head)
}

// start begins to read the log, or continues after falling behind the log's
// retention. It starts from the newest snapshot or, if no snapshot covers the next
// offset, from the next offset if the log still keeps it. The head is the answer to a
// read from the next offset or from beyondEnd. It returns false when the caller should
// fetch from a peer.
func (f *Follower) start(ctx context.Context, head ports.Batch) bool {
	from := max(f.Next(), 1)
	found, err := f.newestSnapshot(ctx, head.First, head.Next)
	if err != nil {
		f.setBlocked(fmt.Sprintf("search for a snapshot: %v", err))
		return false
	}
	if found != nil && found.Offset >= from {
		f.deliverSnapshot(*found)
		return true
	}
	if head.First > from {
		f.setBlocked(fmt.Sprintf("the log starts at offset %d and holds no usable snapshot", head.First))
		return false
	}
	f.deliverFirstRead(head)
	return true
}

// deliverFirstRead delivers the records of head. The log must still keep the next offset
// to read.
func (f *Follower) deliverFirstRead(head ports.Batch) {
	f.mu.Lock()
	f.next = max(f.next, 1)
	f.mu.Unlock()
	if len(head.Records) == 0 {
		f.sink.Records(nil, f.Next())
	}
	f.deliver(head.Records)
	f.checkCaughtUp(head.Next)
}

// setBlocked records why the follower cannot continue.
func (f *Follower) setBlocked(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = reason
}

// newestSnapshot reads the log backwards, from next down to first, and returns the
// first snapshot found that is followed by records without a gap; nil for none.
func (f *Follower) newestSnapshot(ctx context.Context, first, next int64) (*Snapshot, error) {
	step := int64(f.opts.ReadLimit)
	for end := next; end > first; {
		from := max(end-step, first)
		records, err := f.readRange(ctx, from, end)
		if err != nil {
			return nil, err
		}
		if s := lastSnapshot(records, first); s != nil {
			return s, nil
		}
		end = from
	}
	return nil, nil
}

// readRange reads the records from offset from up to, but not including, end. A failed
// read is retried with fewer records, because the answer may have been too large.
func (f *Follower) readRange(ctx context.Context, from, end int64) ([]ports.Record, error) {
	var records []ports.Record
	for from < end {
		limit := f.readLimit.records()
		batch, err := f.read(ctx, from, 0)
		if err != nil && limit > 1 && !errors.Is(err, errTimedOut) && !errors.Is(err, ports.ErrTrimmed) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(batch.Records) == 0 {
			return nil, fmt.Errorf("%w: no records at offset %d", ports.ErrUnavailable, from)
		}
		for _, r := range batch.Records {
			if r.Offset < end {
				records = append(records, r)
			}
		}
		from = batch.Records[len(batch.Records)-1].Offset + 1
	}
	return records, nil
}

// lastSnapshot returns the newest snapshot in records that is followed without a gap
// by the records of a log that starts at offset first; nil for none.
func lastSnapshot(records []ports.Record, first int64) *Snapshot {
	var newest *Snapshot
	for _, r := range records {
		for _, e := range EntriesOf(r) {
			s, ok := SnapshotOf(e.Entry)
			if !ok || s.Offset >= r.Offset || s.Offset+1 < first {
				continue
			}
			if newest == nil || s.Offset > newest.Offset {
				newest = &s
			}
		}
	}
	return newest
}
