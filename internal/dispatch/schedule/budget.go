package schedule

import "time"

// tokenBucket limits a rate. It is pure: the time is an argument.
type tokenBucket struct {
	tokens float64
	filled time.Time
}

// take takes n tokens from a bucket that fills at rate per second up to burst. An
// n above burst is granted from a full bucket, which then goes into debt.
func (b *tokenBucket) take(n, rate, burst float64, now time.Time) bool {
	b.fill(rate, burst, now)
	if b.tokens < min(n, burst) {
		return false
	}
	b.tokens -= n
	return true
}

func (b *tokenBucket) fill(rate, burst float64, now time.Time) {
	if b.filled.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
}

const (
	retryBurst = 20  // retries that may be saved up
	retryFloor = 2.0 // retries per second that are granted without first sends
)

// retryBudget bounds further sends to a share of the first sends.
type retryBudget struct {
	bucket tokenBucket
}

// sent credits a first send.
func (b *retryBudget) sent(percent int, now time.Time) {
	b.bucket.fill(retryFloor, retryBurst, now)
	b.bucket.tokens = min(retryBurst, b.bucket.tokens+float64(percent)/100)
}

// take asks for one further send.
func (b *retryBudget) take(now time.Time) bool {
	return b.bucket.take(1, retryFloor, retryBurst, now)
}
