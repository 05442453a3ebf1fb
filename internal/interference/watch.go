package interference

import (
	"maps"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// minWindow is the shortest time, and minProgress the least progress in percent, over which a rate is measured:
	// reports round to whole percents.
	minWindow   = 600 * time.Millisecond
	minProgress = 5
	// maxGap is how far apart two windows of a run may be to be compared.
	maxGap = 3 * time.Second
	// completePercent is the progress of a run that waits for its end to be listed.
	completePercent = 100
)

// Mix counts the tasks beside a run by kind.
type Mix map[job.Kind]int

// window is a time in which the neighbours of a run stayed the same.
type window struct {
	mix      Mix
	from, to time.Time
	percent  int // at from
	progress int
}

// rate is in percent per second; 0 if the window is too short to tell.
func (w *window) rate() float64 {
	if w.to.Sub(w.from) < minWindow || w.progress < minProgress {
		return 0
	}
	return float64(w.progress) / w.to.Sub(w.from).Seconds()
}

// Watch follows one run. The zero value starts at the first report.
type Watch struct {
	previous, current window
	started           bool
}

// Report applies a report of the run's progress at a reading of its backend server's clock; mix holds what it lists beside
// the run. If the neighbours have changed between two windows that can be compared, Report returns a sample.
func (w *Watch) Report(kind job.Kind, server model.BackendServerID, percent int, at time.Time, mix Mix) (Sample, bool) {
	begins := window{mix: mix, from: at, to: at, percent: percent}
	switch {
	case percent <= 0 || percent >= completePercent:
		return Sample{}, false // it starts up, or has ended
	case !w.started:
		w.started, w.current = true, begins
		return Sample{}, false
	case maps.Equal(mix, w.current.mix) && percent >= w.current.percent:
		w.current.to, w.current.progress = at, percent-w.current.percent
		return Sample{}, false
	}
	s, ok := w.compare(kind, server)
	if w.current.rate() > 0 {
		w.previous = w.current
	}
	if ok {
		w.previous = window{} // each window is used once, so that samples do not share their errors
	}
	w.current = begins
	return s, ok
}

// compare returns the sample of the last two windows.
func (w *Watch) compare(kind job.Kind, server model.BackendServerID) (Sample, bool) {
	before, after := w.previous.rate(), w.current.rate()
	if before == 0 || after == 0 || w.current.from.Sub(w.previous.to) > maxGap {
		return Sample{}, false
	}
	s := Sample{Kind: kind, Server: server, Before: before, After: after}
	for k, n := range w.current.mix {
		if d := n - w.previous.mix[k]; d != 0 {
			s.Changes = append(s.Changes, Change{k, d})
		}
	}
	for k, n := range w.previous.mix {
		if _, still := w.current.mix[k]; !still {
			s.Changes = append(s.Changes, Change{k, -n})
		}
	}
	return s, len(s.Changes) > 0
}
