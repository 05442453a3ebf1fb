// Package invariant defines the invariants that the program checks at run time and
// reports their violations: as a metric and a log line in production, as a failure in tests.
package invariant

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// Name identifies an invariant in metrics and logs.
type Name string

// The invariants. NotRunIsTrue means that a request answered as not run did not run.
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

// Violation describes one violation of an invariant. Job, Request and Server are empty
// where they do not apply.
type Violation struct {
	Invariant Name
	Job       model.JobID
	Request   model.RequestID
	Server    model.BackendServerID
	Detail    string
}

// Reporter receives violations. Implementations are safe for concurrent use.
type Reporter interface {
	Violated(v Violation)
}
