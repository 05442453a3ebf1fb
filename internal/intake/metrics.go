package intake

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/eelgrassreach/eelgrassreach/internal/admission"
)

// Counters holds the metrics of submitters' calls.
type Counters struct {
	StoreLatency tally.Histogram
	// RefusalsInDoubt counts jobs that were let in since it was not certain that they are not stored.
	RefusalsInDoubt tally.Counter
	// CancelsRefused counts cancellations that were refused since too many jobs that were never submitted are cancelled.
	CancelsRefused tally.Counter
	scope          tally.Scope
	buckets        tally.Buckets
}

// NewCounters registers the metrics.
func NewCounters(scope tally.Scope) Counters {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12) // 1 ms to 2 s
	return Counters{
		StoreLatency: scope.Histogram("store_seconds", buckets), RefusalsInDoubt: scope.Counter("refusals_in_doubt"),
		CancelsRefused: scope.Counter("cancels_refused"), scope: scope, buckets: buckets,
	}
}

// CountCall records an answered call.
func (c Counters) CountCall(method string, status int, took time.Duration) {
	s := c.scope.Tagged(map[string]string{"method": method, "status": strconv.Itoa(status)})
	s.Counter("calls").Inc(1)
	s.Histogram("call_seconds", c.buckets).RecordDuration(took)
}

// countRefusal records a job that was refused for load.
func (c Counters) countRefusal(priority int, v admission.Verdict) {
	s := c.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)})
	s.Counter("refused").Inc(1)
	s.Histogram("retry_after_seconds", c.buckets).RecordDuration(v.RetryAfter)
}
