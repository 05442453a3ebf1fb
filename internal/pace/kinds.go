package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

const (
	// minKindSteps is the number of steps from which the run time of a kind is known.
	minKindSteps = 8
	// estimatesTrusted is how much, as a sum of squares, speaks beforehand for run times being proportional to estimates.
	estimatesTrusted = 0.5
	// maxKindName bounds the names of kinds, which are submitters' words, since they are recorded.
	maxKindName = 128
)

// kindFit relates the true run times of a kind of work to the estimates: logarithms of seconds, along a line of slope 0 to
// 1 through the middle of both. At slope 0 estimates tell nothing, at slope 1 all are off by the same factor.
type kindFit struct {
	estimate, actual, slope float64
	steps                   int
	seenAt                  time.Time
}

func (k *kindFit) runtime(estimate float64) float64 { return k.actual + k.slope*(estimate-k.estimate) }

// KindSummary is what is known of a kind of work.
type KindSummary struct {
	Kind job.Kind
	// Ratio is the usual run time, relative to the usual estimate; Slope is how far run times follow the estimates.
	Ratio, Slope float64
	Steps        int
}

func (e *Estimator) kindSummaries() []KindSummary {
	var list []KindSummary
	for kind, k := range e.kinds {
		list = append(list, KindSummary{Kind: kind, Ratio: math.Exp(k.actual - k.estimate), Slope: k.slope, Steps: k.steps})
	}
	slices.SortFunc(list, func(a, b KindSummary) int { return cmp.Compare(a.Kind, b.Kind) })
	return list
}

// fitKinds relates estimates and run times of each kind.
func (e *Estimator) fitKinds(now time.Time) {
	estimates, actuals := make(map[job.Kind][]float64), make(map[job.Kind][]float64)
	for _, st := range e.order {
		if st.known && st.estimate > 0 && len(st.kind) <= maxKindName {
			estimates[st.kind] = append(estimates[st.kind], math.Log(st.estimate.Seconds()))
			actuals[st.kind] = append(actuals[st.kind], st.runtime)
		}
	}
	for kind, x := range estimates {
		if len(x) < minKindSteps || e.kinds[kind] == nil && len(e.kinds) >= maxKinds {
			continue
		}
		k := fitLine(x, actuals[kind])
		k.seenAt = now
		e.kinds[kind] = k
	}
}

// fitLine fits a line through the medians. Values far from them count as if they were less far.
func fitLine(x, y []float64) *kindFit {
	k := &kindFit{estimate: median(x), actual: median(y), steps: len(x)}
	limitX, limitY := 3*deviation(x, k.estimate), 3*deviation(y, k.actual)
	sumXX, sumXY := estimatesTrusted, estimatesTrusted
	for i := range x {
		dx := min(max(x[i]-k.estimate, -limitX), limitX)
		dy := min(max(y[i]-k.actual, -limitY), limitY)
		sumXX += dx * dx
		sumXY += dx * dy
	}
	k.slope = min(max(sumXY/sumXX, 0), 1)
	return k
}

func median(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

// deviation is the standard deviation, as the distances from the middle tell it.
func deviation(list []float64, middle float64) float64 {
	distances := make([]float64, len(list))
	for i, v := range list {
		distances[i] = math.Abs(v - middle)
	}
	return 1.48 * median(distances)
}
