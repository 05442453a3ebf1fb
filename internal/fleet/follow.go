package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/boottime"
	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
)

const (
	followRetry   = 100 * time.Millisecond  // after a failed read, or one that returned early without records
	maxRetry      = 400 * time.Millisecond  // after several failed reads: a store that is away refuses them at once
	pageTimeout   = 2 * time.Second         // one page of up to 1 MB from a slow store
	answerTimeout = 1500 * time.Millisecond // in addition to the time that a read waits for records
)

// follower reads a partition of keyed records: first the newest record of each key, then the
// records as they are appended.
type follower struct {
	store     Store
	partition Partition
	// wait is how long a read waits for records. pause is the delay after a read that
	// returned records, so that the next read returns several at once.
	wait  func() time.Duration
	pause func() time.Duration
	// alwaysPause also pauses after reads without records.
	alwaysPause bool
	// wake ends a pause early; it may be nil.
	wake <-chan struct{}
	sink func(readBatch)
	// onFailure is called for every failed read; it may be nil.
	onFailure func(error)
	log       *zap.Logger
}

// readBatch is the result of one read. If Synced is set, everything stored before AsOf has
// been read.
type readBatch struct {
	Records []StoredRecord
	Initial bool
	Synced  bool
	Next    int64
	AsOf    time.Time
}

// run follows the partition until ctx ends.
func (f *follower) run(ctx context.Context) {
	failed := 0
	for ctx.Err() == nil {
		next, newest, err := f.readNewest(ctx)
		if err == nil {
			f.logRecovery(failed)
			failed = 0
			f.tail(ctx, next, newest)
			continue
		}
		failed++
		f.handleFailure(ctx, err, failed)
	}
}

func (f *follower) handleFailure(ctx context.Context, err error, failed int) {
	if ctx.Err() != nil {
		return
	}
	if f.onFailure != nil {
		f.onFailure(err)
	}
	if failed == 1 {
		f.log.Warn("store does not answer", zap.String("topic", f.partition.Topic), zap.Int("partition", f.partition.Number), zap.Error(err))
	}
	eventloop.Sleep(ctx, retryPause(failed))
}

// retryPause is the pause after a number of fruitless reads in a row.
func retryPause(fruitless int) time.Duration {
	return min(followRetry<<min(fruitless-1, 4), maxRetry)
}

// logRecovery logs that reads succeed again after failures.
func (f *follower) logRecovery(failed int) {
	if failed > 0 {
		f.log.Info("store answers again", zap.String("topic", f.partition.Topic), zap.Int("failed_reads", failed))
	}
}

// readNewest reads the newest record of each key, page by page. It returns the offset next at
// which to continue, and by key the offsets of records at or after next that it has read already.
func (f *follower) readNewest(ctx context.Context) (next int64, newest map[string]int64, err error) {
	newest = make(map[string]int64)
	next = -1
	after := ""
	var all []StoredRecord
	asOf := boottime.Now()
	for {
		page, err := f.page(ctx, after)
		if err != nil {
			return 0, nil, err
		}
		if next < 0 {
			next = page.End
		}
		for _, r := range page.Records {
			if r.Offset >= next {
				newest[r.Key] = r.Offset
			}
			after = r.Key
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
	}
	f.sink(readBatch{Records: all, Initial: true, Synced: len(newest) == 0, Next: next, AsOf: asOf})
	return next, newest, nil
}

func (f *follower) page(ctx context.Context, after string) (NewestPage, error) {
	call, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return f.store.Newest(call, f.partition, after)
}

// tail reads from next on until ctx ends or the store has dropped records not yet read.
func (f *follower) tail(ctx context.Context, next int64, newest map[string]int64) {
	failed, early := 0, 0
	for ctx.Err() == nil {
		sent, wait := boottime.Now(), f.wait()
		read, err := f.read(ctx, next, wait)
		if err != nil {
			failed++
			f.handleFailure(ctx, err, failed)
			continue
		}
		if read.Trimmed {
			f.log.Warn("unread records were dropped by the store; reading the newest record of each key", zap.String("topic", f.partition.Topic),
				zap.Int64("next", next), zap.Int64("first_kept", read.First))
			return
		}
		f.logRecovery(failed)
		failed = 0
		next = read.Next
		asOf, took := sent, boottime.Now().Sub(sent)
		if len(read.Records) == 0 && took >= wait {
			asOf = sent.Add(wait) // the answer came only after the wait was over
		}
		f.sink(readBatch{Records: dropOlder(read.Records, newest), Synced: next >= read.End, Next: next, AsOf: asOf})
		if len(read.Records) == 0 && took < wait/2 {
			early++
			eventloop.Sleep(ctx, retryPause(early)) // a store whose reads lag behind its appends does not wait
			continue
		}
		early = 0
		if d := f.pause(); d > 0 && (f.alwaysPause || len(read.Records) > 0) {
			eventloop.SleepOrWake(ctx, d, f.wake)
		}
	}
}

func (f *follower) read(ctx context.Context, next int64, wait time.Duration) (ReadResult, error) {
	call, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	return f.store.Read(call, f.partition, next, wait)
}

// dropOlder removes records that are older than the one that the initial read returned for
// their key.
func dropOlder(records []StoredRecord, newest map[string]int64) []StoredRecord {
	if len(newest) == 0 {
		return records
	}
	kept := records[:0]
	for _, r := range records {
		if at, ok := newest[r.Key]; ok && r.Offset < at {
			continue
		}
		delete(newest, r.Key)
		kept = append(kept, r)
	}
	return kept
}
