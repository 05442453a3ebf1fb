package sched

import (
	"slices"
	"strings"
	"time"
)

// lateFactor bounds how long after its due time an occurrence may end and still be of use,
// as a multiple of the time from Due to Objective.
const lateFactor = 3

// orderClass returns the step's class in the order of a round; lower classes go first.
//
// The classes matter when more work arrives within seconds than fits. Guaranteed steps
// go first because others must make room for them. Expired steps go last so that they do
// not delay steps that can still end in useful time.
func (p *PendingStep) orderClass(now time.Time) int {
	switch {
	case p.Guaranteed:
		return 0
	case p.expired(now):
		return 2
	default:
		return 1
	}
}

// expired reports whether the occurrence will end too late to be of use.
func (p *PendingStep) expired(now time.Time) bool {
	allowed := p.Objective.Sub(p.Due) * lateFactor
	return now.Add(p.Remaining).Sub(p.Due) > allowed
}

// late reports whether the occurrence will miss its objective.
func (p *PendingStep) late(now time.Time) bool { return now.Add(p.Remaining).After(p.Objective) }

// Order sorts pending steps by class, priority and age. Equal ones are sorted by key, so
// that a round depends only on its snapshot.
func Order(pending []PendingStep, now time.Time) {
	slices.SortFunc(pending, func(a, b PendingStep) int {
		if d := a.orderClass(now) - b.orderClass(now); d != 0 {
			return d
		}
		if d := a.Priority - b.Priority; d != 0 {
			return d
		}
		if d := a.Due.Compare(b.Due); d != 0 {
			return d
		}
		if d := strings.Compare(string(a.Key.Job), string(b.Key.Job)); d != 0 {
			return d
		}
		if d := a.Key.Occurrence - b.Key.Occurrence; d != 0 {
			return d
		}
		if d := a.Key.Step - b.Key.Step; d != 0 || a.Isolate == b.Isolate {
			return d
		}
		if a.Isolate {
			return 1
		}
		return -1
	})
}
