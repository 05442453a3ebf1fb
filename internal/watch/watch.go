// Package watch reports changes of the control state to operators: it compares
// successive views, logs each change, and updates the metrics. It only reads the
// control state.
package watch

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

// Interval is the time between two comparisons.
const Interval = 250 * time.Millisecond

// Watcher compares successive views of the control state.
type Watcher struct {
	view   func() *control.View
	logger *zap.Logger
	gauges gauges
	last   *control.View
	jobs   map[string]loggedJob
}

// New returns a Watcher. view returns the current view.
func New(view func() *control.View, logger *zap.Logger, scope tally.Scope) *Watcher {
	return &Watcher{view: view, logger: logger, gauges: newGauges(scope), jobs: make(map[string]loggedJob)}
}

// Run calls Compare once per Interval until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.Compare()
		}
	}
}

// Compare logs what changed since the last call and updates the metrics.
func (w *Watcher) Compare() {
	next := w.view()
	if next == w.last {
		return
	}
	last := w.last
	if last == nil {
		last = &control.View{LogReachable: next.LogReachable}
	}
	w.compareLog(last, next)
	w.compareConfig(last, next)
	w.compareTerms(last, next)
	w.compareBackends(last, next)
	w.compareRisks(last, next)
	w.compareJobs(next)
	w.gauges.update(next)
	w.last = next
}
