package journal

import (
	"context"
	"errors"
	"fmt"
	"math"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// beyondEnd is an offset that no log reaches: a read from it tells First and Next.
const beyondEnd = math.MaxInt64 / 2

// restart goes on after the log dropped the next offset. It returns false when a
// peer should be asked.
func (f *Follower) restart(ctx context.Context) bool {
	head, err := f.read(ctx, beyondEnd, 0)
	if err != nil {
		f.block(fmt.Sprintf("look for the oldest offset: %v", err))
		return false
	}
	return f.start(ctx, head)
}

// start finds where to begin, or to go on after falling behind the log's
// retention: the newest snapshot, or the first record when the log still keeps it.
// The head is the answer to a read from the next offset on, or from beyond the
// end. It returns false when a peer should be asked.
func (f *Follower) start(ctx context.Context, head ports.Batch) bool {
	from := max(f.Next(), 1)
	found, err := f.newestSnapshot(ctx, head.First, head.Next)
	if err != nil {
		f.block(fmt.Sprintf("search for a snapshot: %v", err))
		return false
	}
	if found != nil && found.Offset >= from {
		f.deliverSnapshot(*found)
		return true
	}
	if head.First > from {
		f.block(fmt.Sprintf("the log starts at offset %d and holds no usable snapshot", head.First))
		return false
	}
	f.begin(head)
	return true
}

// begin delivers the first read of a log that is complete.
func (f *Follower) begin(head ports.Batch) {
	f.mu.Lock()
	f.next = max(f.next, 1)
	f.mu.Unlock()
	if len(head.Records) == 0 {
		f.sink.Records(nil, f.Next())
	}
	f.deliver(head.Records)
	f.checkCaughtUp(head.Next)
}

// block records why the follower cannot go on.
func (f *Follower) block(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = reason
}

// newestSnapshot reads the log backwards, from next down to first, and returns the
// first snapshot found from which records go on without a gap; nil for none.
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

// readRange reads the records from offset from up to, not including, offset end. A
// read that fails is repeated for fewer records, since the answer may be too large.
func (f *Follower) readRange(ctx context.Context, from, end int64) ([]ports.Record, error) {
	var records []ports.Record
	for from < end {
		limit := f.pace.limit()
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

// lastSnapshot returns the newest snapshot in records whose following records are
// kept in a log that starts at offset first; nil for none.
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
