// Package invarianttest fails tests on invariant violations.
package invarianttest

import "github.com/eelgrassreach/eelgrassreach/internal/invariant"

// T is the part of *testing.T and *rapid.T that a Reporter needs.
type T interface {
	Helper()
	Errorf(format string, args ...any)
}

// Reporter marks a test as failed for each violation.
type Reporter struct {
	t T
}

// New returns a Reporter for the test.
func New(t T) *Reporter { return &Reporter{t: t} }

// Violated implements invariant.Reporter.
func (r *Reporter) Violated(v invariant.Violation) {
	r.t.Helper()
	r.t.Errorf("invariant violated: %s: job %q request %q server %q: %s",
		v.Invariant, v.Job, v.Request, v.Server, v.Detail)
}
