package schedule

import (
	"slices"
	"time"
)

const (
	sampleCount      = 64                     // newest service times kept per kind
	minSamples       = 8                      // fewer samples give no estimate
	recomputeSamples = 8                      // samples between two computations of p50, p95 and mean
	defaultCost      = 100 * time.Millisecond // expected slot time without an estimate
)

// serviceTimes estimates how long the backend servers take for one kind of
// request, from measured times only.
type serviceTimes struct {
	samples [sampleCount]time.Duration
	count   int // of all samples added so far, including overwritten ones
	p50     time.Duration
	p95     time.Duration
	mean    time.Duration
}

func (s *serviceTimes) add(d time.Duration) {
	s.samples[s.count%sampleCount] = d
	s.count++
	if s.count%recomputeSamples == 0 {
		s.recompute()
	}
}

func (s *serviceTimes) recompute() {
	sorted := slices.Clone(s.samples[:min(s.count, sampleCount)])
	slices.Sort(sorted)
	s.p50 = sorted[len(sorted)/2]
	s.p95 = sorted[len(sorted)*95/100]
	var sum time.Duration
	for _, d := range sorted {
		sum += d
	}
	s.mean = sum / time.Duration(len(sorted))
}

// hasEstimate reports whether there are enough samples for p50, p95 and mean.
func (s *serviceTimes) hasEstimate() bool { return s.count >= minSamples }

// expectedCost returns the expected slot time of one request.
func (s *serviceTimes) expectedCost() time.Duration {
	if !s.hasEstimate() {
		return defaultCost
	}
	return max(s.mean, time.Millisecond)
}
