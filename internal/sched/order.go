package sched

import (
	"slices"
	"strings"
	"time"
)

// lateFactor times the objective is the age at which a job earns nothing more.
const lateFactor = 3

// urgency sorts wants into classes; a lower one goes first.
//
// It answers the burst: more work than fits arrives within seconds. What the
// guarantee covers goes first because others must make room for it, and what can no
// longer end in useful time goes last so that it does not delay what can.
func (w *PendingStep) urgency(now time.Time) int {
	switch {
	case w.Guaranteed:
		return 0
	case w.expired(now):
		return 2
	default:
		return 1
	}
}

// expired reports whether the occurrence will end too late to be of use.
func (w *PendingStep) expired(now time.Time) bool {
	allowed := w.Objective.Sub(w.Due) * lateFactor
	return now.Add(w.Remaining).Sub(w.Due) > allowed
}

// Order sorts wants by urgency, priority and age. The key decides between equals,
// so that a round is a function of its snapshot.
func Order(wants []PendingStep, now time.Time) {
	slices.SortFunc(wants, func(a, b PendingStep) int {
		if d := a.urgency(now) - b.urgency(now); d != 0 {
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
		return a.Key.Step - b.Key.Step
	})
}
