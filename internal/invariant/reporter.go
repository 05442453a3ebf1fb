package invariant

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Counter is a Reporter that counts violations, also in a metric, and logs them.
type Counter struct {
	total  atomic.Int64
	scope  tally.Scope
	logger *zap.Logger
}

// NewCounter returns a Counter. Neither argument may be nil: to discard metrics or logs,
// pass tally.NoopScope or zap.NewNop.
func NewCounter(scope tally.Scope, logger *zap.Logger) *Counter {
	return &Counter{scope: scope, logger: logger}
}

// Violated counts the violation by its invariant and logs it.
func (c *Counter) Violated(v Violation) {
	c.total.Add(1)
	tags := map[string]string{"promise": string(v.Invariant)}
	c.scope.Tagged(tags).Counter("invariant_violations").Inc(1)
	c.logger.Error("invariant violated",
		zap.String("promise", string(v.Invariant)),
		zap.String("job", string(v.Job)),
		zap.String("request", string(v.Request)),
		zap.String("server", string(v.Server)),
		zap.String("detail", v.Detail),
	)
}

// Total returns the number of violations since the start.
func (c *Counter) Total() int64 { return c.total.Load() }
