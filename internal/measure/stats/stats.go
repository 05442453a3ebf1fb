// Package stats provides statistics shared by the measurements.
package stats

import "time"

// Quantile returns the q-quantile (q from 0 to 1) of times in ascending order, or 0 if
// there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
