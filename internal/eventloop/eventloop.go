// Package eventloop feeds a transition with batches of events from one goroutine.
package eventloop

import (
	"context"
	"time"
)

// Run calls step with the events that are waiting, at most batch at a time, and with
// tick at intervals, until ctx ends.
func Run[E any](ctx context.Context, events <-chan E, tick E, interval time.Duration, batch int, step func([]E)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-events:
			step(gather(events, e, batch))
		case <-ticker.C:
			step(gather(events, tick, batch))
		}
	}
}

// gather adds the events that are waiting to the first.
func gather[E any](events <-chan E, first E, batch int) []E {
	list := []E{first}
	for len(list) < batch {
		select {
		case e := <-events:
			list = append(list, e)
		default:
			return list
		}
	}
	return list
}
