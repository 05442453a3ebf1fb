package model

// Outcome is what a caller is told of a request.
type Outcome string

const (
	// OutcomeDone carries the whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the request ran and failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means that the request certainly did not run and will not.
	OutcomeNotRun Outcome = "not run"
	// OutcomeUnknown means that the request may have run or may still run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is a typed explanation of an outcome or of a waiting job.
type Reason string
