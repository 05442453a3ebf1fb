package schedule

import "time"

// tokenBucket limits a rate. The caller passes the current time.
type tokenBucket struct {
	tokens   float64
	lastFill time.Time
}

// take removes n tokens from a bucket that fills at rate tokens per second up to
// burst, and reports whether it had enough. An n above burst is granted when the
// bucket is full; the number of tokens then becomes negative.
func (b *tokenBucket) take(n, rate, burst float64, now time.Time) bool {
	b.fill(rate, burst, now)
	if b.tokens < min(n, burst) {
		return false
	}
	b.tokens -= n
	return true
}

func (b *tokenBucket) fill(rate, burst float64, now time.Time) {
	if b.lastFill.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.lastFill).Seconds())
	}
	b.lastFill = now
}

const (
	maxSavedRetries = 20  // unused retries that are kept for later
	minRetryRate    = 2.0 // retries per second that are granted even without first sends
)

// retryBudget limits hedges and probes of full servers to a share of the first sends.
// Retries use it up as well, but are not held back by it; see Scheduler.Requeue.
type retryBudget struct {
	bucket tokenBucket
}

// creditFirstSend adds percent hundredths of a retry for a first send.
func (b *retryBudget) creditFirstSend(percent int, now time.Time) {
	b.bucket.fill(minRetryRate, maxSavedRetries, now)
	b.bucket.tokens = min(maxSavedRetries, b.bucket.tokens+float64(percent)/100)
}

// takeRetry uses one retry of the budget and reports whether there was one.
func (b *retryBudget) takeRetry(now time.Time) bool {
	return b.bucket.take(1, minRetryRate, maxSavedRetries, now)
}
