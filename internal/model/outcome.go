package model

// Outcome is the result of a request as reported to its caller.
type Outcome string

const (
	// OutcomeDone means that the request ran; the caller gets the whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the request ran and failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means that the request certainly did not run and will not.
	OutcomeNotRun Outcome = "not run"
	// OutcomeUnknown means that the request may have run or may still run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason explains an outcome, or why a job is waiting.
type Reason string
