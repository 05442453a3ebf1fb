// Package invariant reports violations of the promises that the program checks
// while it runs: a counter and a log line in production, a failure in tests.
package invariant

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// Name names a checked promise.
type Name string

// The promises.
const (
	GuaranteeReclaimable Name = "guarantee reclaimable"
	NoPartialGang        Name = "no partial gang"
	NoDoubleAttempt      Name = "no double attempt"
	NoOvercommit         Name = "no accelerator promised twice"
	NotRunIsTrue         Name = "not run is true"
	AtMostOnce           Name = "at most once"
	AnswerMatches        Name = "answer matches request"
	NoNewWorkOnLeaving   Name = "no new work on leaving backend server"
	ConfigNeverReverts   Name = "configuration never reverts"
)

// Violation is one broken promise.
type Violation struct {
	Invariant Name
	Job       model.JobID
	Request   model.RequestID
	Server    model.BackendServerID
	Detail    string
}

// Reporter takes violations. Implementations are safe for concurrent use.
type Reporter interface {
	Violated(v Violation)
}
