// Package invariant reports violations of the promises that the program checks
// while it runs: a counter and a log line in production, a failure in tests.
package invariant

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// Promise names a checked promise.
type Promise string

// The promises.
const (
	GuaranteeReclaimable Promise = "guarantee reclaimable"
	NoPartialGang        Promise = "no partial gang"
	NoDoubleAttempt      Promise = "no double attempt"
	NoDoublePromise      Promise = "no accelerator promised twice"
	NotRunIsTrue         Promise = "not run is true"
	AtMostOnce           Promise = "at most once"
	AnswerMatches        Promise = "answer matches request"
	NoNewWorkOnLeaving   Promise = "no new work on leaving backend server"
	ConfigNeverReverts   Promise = "configuration never reverts"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	Job     model.JobID
	Request model.RequestID
	Server  model.BackendServerID
	Detail  string
}

// Reporter takes violations. Implementations are safe for concurrent use.
type Reporter interface {
	Violated(v Violation)
}
