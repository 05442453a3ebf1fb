// Package intake accepts jobs and cancellations from submitters. It decides whether a
// call may be served now and stores what is accepted before it acknowledges it. It
// distinguishes refused calls, which certainly had no effect, from calls whose outcome
// is not known.
package intake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/fleet"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

const (
	appendTimeout = 800 * time.Millisecond // three times as long as a slow store takes to answer
	appendRetry   = 60 * time.Millisecond
	maxBatch      = 100 // records of one append; keeps it below the store's size limit per call
)

// appender stores records in one partition. One append at a time is in flight; the next
// one carries the records that have arrived in the meantime.
type appender struct {
	store     fleet.Store
	partition fleet.Partition
	wake      chan struct{}

	mu    sync.Mutex
	queue []*waitingRecord
}

// waitingRecord is a record whose caller waits until it is stored.
type waitingRecord struct {
	record job.Record
	done   chan error
	// unanswered is called for each append of the record that gets no answer; it may be nil.
	unanswered func()
	// sent is set when the record may have been stored, inDoubt when the outcome of an
	// earlier append of it is not known.
	sent, inDoubt bool
	abandoned     bool // the caller no longer waits
}

func newAppender(store fleet.Store, p fleet.Partition) *appender {
	return &appender{store: store, partition: p, wake: make(chan struct{}, 1)}
}

// add stores a record and waits for the outcome. The error wraps fleet.ErrNoEffect
// when the record was certainly not stored, and fleet.ErrInDoubt when ctx ended before
// the outcome was known.
func (a *appender) add(ctx context.Context, r job.Record, unanswered func()) error {
	w := &waitingRecord{record: r, done: make(chan error, 1), unanswered: unanswered}
	a.mu.Lock()
	a.queue = append(a.queue, w)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return a.abandon(w)
	}
}

// abandon gives up waiting for a record. It returns the outcome if that is known by now.
func (a *appender) abandon(w *waitingRecord) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	default:
	}
	w.abandoned = true
	if w.sent {
		return fleet.ErrInDoubt
	}
	return fleet.ErrNoEffect
}

// run sends appends until ctx ends.
func (a *appender) run(ctx context.Context) {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-a.wake:
			}
			continue
		}
		err := a.send(ctx, batch)
		a.finishBatch(batch, err)
		if err != nil && !errors.Is(err, fleet.ErrNoEffect) {
			reportUnanswered(batch)
		}
		if err != nil && ctx.Err() == nil {
			time.Sleep(appendRetry)
		}
	}
}

// nextBatch returns the records of the next append and marks them as sent.
func (a *appender) nextBatch() []*waitingRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = slices.DeleteFunc(a.queue, func(w *waitingRecord) bool { return w.abandoned })
	n := min(len(a.queue), maxBatch)
	batch := append([]*waitingRecord(nil), a.queue[:n]...)
	for _, w := range batch {
		w.sent = true
	}
	return batch
}

func (a *appender) send(ctx context.Context, batch []*waitingRecord) error {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]job.Record, len(batch))
	for i, w := range batch {
		records[i] = w.record
	}
	_, err := a.store.Append(call, fleet.AppendRequest{Partition: a.partition, Records: records, At: -1})
	return err
}

func reportUnanswered(batch []*waitingRecord) {
	for _, w := range batch {
		if w.unanswered != nil {
			w.unanswered()
		}
	}
}

// finishBatch passes the outcome of an append to the callers of its records. Records whose
// outcome is not known stay queued and are sent again until their callers give up; a
// record that is stored twice counts once.
func (a *appender) finishBatch(batch []*waitingRecord, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	finished := make(map[*waitingRecord]bool, len(batch))
	for _, w := range batch {
		switch {
		case err == nil, errors.Is(err, fleet.ErrNoEffect) && !w.inDoubt:
			finished[w] = true
			w.done <- err
		case !errors.Is(err, fleet.ErrNoEffect):
			w.inDoubt = true
		}
	}
	a.queue = slices.DeleteFunc(a.queue, func(w *waitingRecord) bool { return finished[w] })
}
