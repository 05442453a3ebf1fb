// Package eventloop delivers events in batches to a function in one goroutine.
package eventloop

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
)

// Sleep waits for d or the end of ctx.
func Sleep(ctx context.Context, d time.Duration) { SleepOrWake(ctx, d, nil) }

// SleepOrWake waits for d, the end of ctx or a value from wake, which may be nil.
func SleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}

// SortedKeys returns the keys of m in ascending order. Event handlers iterate in this order,
// so that their actions do not depend on Go's random map order.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// Run calls step with the queued events, at most batch at a time, until ctx ends. At every
// interval it also delivers tick as an event.
func Run[E any](ctx context.Context, events <-chan E, tick E, interval time.Duration, batch int, step func([]E)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-events:
			step(collectBatch(events, e, batch))
		case <-ticker.C:
			step(collectBatch(events, tick, batch))
		}
	}
}

// collectBatch returns first and the events queued behind it, at most batch in all.
func collectBatch[E any](events <-chan E, first E, batch int) []E {
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
