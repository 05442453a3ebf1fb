// Package straggler detects tasks that make much slower progress than the other tasks of
// their step, and decides whether moving one is worth the work that has to be repeated.
//
// Backend servers can become several times slower for some seconds while a burst of gangs
// arrives. One slow member then delays its whole gang, and the capacity of all other members
// stays occupied. Tasks are compared with each other because submitters' runtime estimates
// can be wrong by several times.
package straggler

import (
	"slices"
	"time"
)

const (
	// stragglerShare is the share of the other tasks' median rate below which a task is a straggler.
	// Tasks of a step differ by less than half, those on slow backend servers by a factor of
	// four or more.
	stragglerShare = 0.4
	// minWindow is the shortest time over which a rate is measured: the time between two
	// reports of a new task.
	minWindow = 400 * time.Millisecond
	// minOthers is the number of other tasks with a known rate from which a task can be compared with them.
	minOthers = 2
	// slowDuration is how long a backend server usually stays slow.
	slowDuration = 8 * time.Second
	// minMoveGain is the factor by which staying has to take longer than moving.
	minMoveGain = 1.5
	// completePercent is the progress of a task that is done or waits for its gang.
	completePercent = 100
)

// Progress measures the rate of one run of a task. The zero value starts at the first report,
// for a run that resumes from a checkpoint with an unknown percentage.
type Progress struct {
	percent int
	at      time.Time
	rate    float64 // percent per second, over the last window
	known   bool
	// steadyPercent was reached at steadyAt, the end of the first window: the start takes time by itself.
	steadyPercent int
	steadyAt      time.Time
}

// NewProgress returns the progress of a run that has reached percent at now.
func NewProgress(percent int, now time.Time) Progress { return Progress{percent: percent, at: now} }

// Observe applies a report and returns whether it gave a new rate. The times of all observations are readings
// of the same clock, that of the backend server: reports may wait before they are applied.
func (p *Progress) Observe(percent int, now time.Time) bool {
	if p.at.IsZero() {
		*p = NewProgress(percent, now)
		return false
	}
	window := now.Sub(p.at)
	if window < minWindow || percent >= completePercent {
		return false
	}
	p.rate, p.known = float64(percent-p.percent)/window.Seconds(), true
	p.percent, p.at = percent, now
	if p.steadyAt.IsZero() {
		p.steadyPercent, p.steadyAt = percent, now
	}
	return true
}

// Steady returns the progress in percent since the end of the first window, and the time that it took.
func (p *Progress) Steady() (gained int, took time.Duration) {
	return p.percent - p.steadyPercent, p.at.Sub(p.steadyAt)
}

// StepRates holds the newest rates of a step's tasks, as they would be on ordinary backend servers.
type StepRates struct {
	rates  []float64
	paces  []float64 // of the tasks' backend servers, relative to ordinary ones
	known  []bool
	sorted []float64 // the known rates
}

// NewStepRates returns the rates of a step of n tasks, all unknown.
func NewStepRates(n int) *StepRates {
	return &StepRates{rates: make([]float64, n), paces: make([]float64, n), known: make([]bool, n)}
}

// SetRate sets the newest rate of a task on a backend server of the given pace, 0 if that is not known. An unknown
// rate is ignored.
func (s *StepRates) SetRate(index int, p Progress, pace float64) {
	if !p.known {
		return
	}
	if pace == 0 {
		pace = 1
	}
	s.ClearRate(index)
	s.known[index], s.rates[index], s.paces[index] = true, p.rate/pace, pace
	at, _ := slices.BinarySearch(s.sorted, s.rates[index])
	s.sorted = slices.Insert(s.sorted, at, s.rates[index])
}

// ClearRate removes the rate of a task that is started again.
func (s *StepRates) ClearRate(index int) {
	if s.known[index] {
		at, _ := slices.BinarySearch(s.sorted, s.rates[index])
		s.sorted = slices.Delete(s.sorted, at, at+1)
	}
	s.known[index], s.rates[index] = false, 0
}

// usualOfOthers is the median rate of the other tasks, the lower one of two; 0 if none is known. Unlike
// the mean, it is not moved by a few tasks that are much shorter than the rest.
func (s *StepRates) usualOfOthers(index int) float64 {
	if !s.known[index] {
		return median(s.sorted)
	}
	n := len(s.sorted) - 1
	if n == 0 {
		return 0
	}
	middle := (n - 1) / 2
	if own, _ := slices.BinarySearch(s.sorted, s.rates[index]); own <= middle {
		middle++
	}
	return s.sorted[middle]
}

// median returns the lower median of sorted values; 0 if there are none.
func median(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)/2]
}

// IsStraggler reports whether a task is a straggler. One other task alone tells it only in a step of two.
func (s *StepRates) IsStraggler(index int) bool {
	if !s.known[index] || len(s.sorted)-1 < min(minOthers, len(s.rates)-1) {
		return false
	}
	return s.rates[index] < stragglerShare*s.usualOfOthers(index)
}

// WorthMoving reports whether a straggler at percent would end sooner if it were started
// again on an ordinary backend server from the percentage saved, with overhead for the stop and the start.
func (s *StepRates) WorthMoving(index, percent, saved int, overhead time.Duration) bool {
	usual := s.usualOfOthers(index)
	if usual <= 0 {
		return false
	}
	// The backend server recovers its pace after slowDuration; until then the task continues slowly.
	rest, rate := float64(completePercent-percent), s.rates[index]*s.paces[index]
	stay := slowDuration.Seconds() + max(rest-rate*slowDuration.Seconds(), 0)/(usual*s.paces[index])
	if rate > 0 {
		stay = min(stay, rest/rate)
	}
	move := overhead.Seconds() + float64(completePercent-saved)/usual
	return stay > minMoveGain*move
}
