// Package eventloop feeds a transition with batches of events from one goroutine.
package eventloop

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
)

// Sleep waits for d or the end of ctx.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// SortedKeys makes the order of a transition's actions independent of map order.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

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
