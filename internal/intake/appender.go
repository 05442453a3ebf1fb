// Package intake takes jobs and cancellations from submitters: it decides whether a
// call may be served now, stores what is accepted before it is acknowledged, and tells
// a refusal, which is certain, from a call whose outcome is not known.
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
	appendTimeout = 800 * time.Millisecond // three times a slow store's answer
	appendRetry   = 60 * time.Millisecond
	maxGroup      = 100 // records of one append; below the store's size limit of a call
)

// appender stores records in one partition. An append carries all records that have
// gathered while the one before it was on its way.
type appender struct {
	store     fleet.Store
	partition fleet.Partition
	wake      chan struct{}

	mu    sync.Mutex
	queue []*pending
}

// pending is a record that a caller waits for.
type pending struct {
	record job.Record
	done   chan error
	// sent tells that it may have been stored; doubted that an earlier append of it
	// got no answer.
	sent, doubted bool
	gone          bool // the caller waits no more
}

func newAppender(store fleet.Store, p fleet.Partition) *appender {
	return &appender{store: store, partition: p, wake: make(chan struct{}, 1)}
}

// add stores a record. The error wraps fleet.ErrNothingDone when it was certainly not
// stored, and fleet.ErrInDoubt when ctx ended before that was known.
func (a *appender) add(ctx context.Context, r job.Record) error {
	p := &pending{record: r, done: make(chan error, 1)}
	a.mu.Lock()
	a.queue = append(a.queue, p)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return a.abandon(p)
	}
}

func (a *appender) abandon(p *pending) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	default:
	}
	p.gone = true
	if p.sent {
		return fleet.ErrInDoubt
	}
	return fleet.ErrNoEffect
}

// run sends appends until ctx ends.
func (a *appender) run(ctx context.Context) {
	for {
		group := a.take()
		if len(group) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-a.wake:
			}
			continue
		}
		err := a.send(ctx, group)
		a.settle(group, err)
		if err != nil && ctx.Err() == nil {
			time.Sleep(appendRetry)
		}
	}
}

// take returns the records to send next and marks them as sent.
func (a *appender) take() []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = slices.DeleteFunc(a.queue, func(p *pending) bool { return p.gone })
	n := min(len(a.queue), maxGroup)
	group := append([]*pending(nil), a.queue[:n]...)
	for _, p := range group {
		p.sent = true
	}
	return group
}

func (a *appender) send(ctx context.Context, group []*pending) error {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]job.Record, len(group))
	for i, p := range group {
		records[i] = p.record
	}
	_, err := a.store.Append(call, fleet.AppendRequest{Partition: a.partition, Records: records, At: -1})
	return err
}

// settle answers the callers of a group that was stored or refused. Those whose outcome
// is not known are sent again until their callers give up; a record that is stored
// twice counts once.
func (a *appender) settle(group []*pending, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	settled := make(map[*pending]bool, len(group))
	for _, p := range group {
		switch {
		case err == nil, errors.Is(err, fleet.ErrNoEffect) && !p.doubted:
			settled[p] = true
			p.done <- err
		case !errors.Is(err, fleet.ErrNoEffect):
			p.doubted = true
		}
	}
	a.queue = slices.DeleteFunc(a.queue, func(p *pending) bool { return settled[p] })
}
