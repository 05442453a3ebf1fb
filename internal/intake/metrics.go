package intake

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// Counters holds the metrics of submitters' calls.
type Counters struct {
	StoreLatency tally.Histogram
	scope        tally.Scope
	buckets      tally.Buckets
}

// NewCounters registers the metrics.
func NewCounters(scope tally.Scope) Counters {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12) // 1 ms to 2 s
	return Counters{StoreLatency: scope.Histogram("store_seconds", buckets), scope: scope, buckets: buckets}
}

// CountCall records an answered call.
func (c Counters) CountCall(method string, status int, took time.Duration) {
	s := c.scope.Tagged(map[string]string{"method": method, "status": strconv.Itoa(status)})
	s.Counter("calls").Inc(1)
	s.Histogram("call_seconds", c.buckets).RecordDuration(took)
}
