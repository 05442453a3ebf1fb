// Package straggler finds tasks that make much slower progress than the others of their
// step, and decides whether moving one is worth the work that it repeats.
//
// It answers backend servers that turn several times as slow for seconds while a burst
// of gangs arrives: one slow member holds up the whole gang and the room of all others.
// Submitters' estimates are off by several times, so tasks are compared with each other.
package straggler

import "time"

const (
	// slowShare of the mean rate of the others makes a straggler. Tasks of a step differ
	// by less than half, slow backend servers by four times and more.
	slowShare = 0.4
	// minWindow is the shortest time over which a rate is measured: two reports of a task
	// that has just begun.
	minWindow = 400 * time.Millisecond
	// slowFor is how long a backend server usually stays slow.
	slowFor = 8 * time.Second
	// moveGain is how many times longer staying has to take than moving.
	moveGain = 1.5
	// complete is the percentage at which a task is done, or waits for its gang.
	complete = 100
)

// Progress follows one run of a task. The zero value begins with the first report, for a
// run that resumes from a checkpoint at a percentage that is not known.
type Progress struct {
	percent int
	at      time.Time
	rate    float64 // percent per second, over the newest window
	known   bool
}

// NewProgress starts to follow a run that has got to percent.
func NewProgress(percent int, now time.Time) Progress { return Progress{percent: percent, at: now} }

// Observe takes a report over and returns whether it gave a new rate.
func (p *Progress) Observe(percent int, now time.Time) bool {
	if p.at.IsZero() {
		*p = NewProgress(percent, now)
		return false
	}
	window := now.Sub(p.at)
	if window < minWindow || percent >= complete {
		return false
	}
	p.rate, p.known = float64(percent-p.percent)/window.Seconds(), true
	p.percent, p.at = percent, now
	return true
}

// StepRates holds the newest rates of a step's tasks.
type StepRates struct {
	rates []float64
	known []bool
	sum   float64
	count int
}

// NewStepRates returns a step of n tasks without rates.
func NewStepRates(n int) *StepRates {
	return &StepRates{rates: make([]float64, n), known: make([]bool, n)}
}

// SetRate takes the newest rate of a task over.
func (s *StepRates) SetRate(index int, p Progress) {
	if !p.known {
		return
	}
	if !s.known[index] {
		s.known[index] = true
		s.count++
	}
	s.sum += p.rate - s.rates[index]
	s.rates[index] = p.rate
}

// ClearRate forgets the rate of a task that is started anew.
func (s *StepRates) ClearRate(index int) {
	if s.known[index] {
		s.count--
		s.sum -= s.rates[index]
	}
	s.known[index], s.rates[index] = false, 0
}

// others is the mean rate of the other tasks, 0 when it is not known.
func (s *StepRates) others(index int) float64 {
	n, sum := s.count, s.sum
	if s.known[index] {
		n, sum = n-1, sum-s.rates[index]
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// IsStraggler reports whether a task is a straggler.
func (s *StepRates) IsStraggler(index int) bool {
	return s.known[index] && s.rates[index] < slowShare*s.others(index)
}

// WorthMoving reports whether a straggler at percent ends sooner when it is started again
// from the percentage saved, with overhead for the stop and the start.
func (s *StepRates) WorthMoving(index, percent, saved int, overhead time.Duration) bool {
	usual := s.others(index)
	if usual <= 0 {
		return false
	}
	// The backend server recovers after a while; until then the task goes on slowly.
	rest := float64(complete - percent)
	stay := slowFor.Seconds() + max(rest-s.rates[index]*slowFor.Seconds(), 0)/usual
	if s.rates[index] > 0 {
		stay = min(stay, rest/s.rates[index])
	}
	move := overhead.Seconds() + float64(complete-saved)/usual
	return stay > moveGain*move
}
