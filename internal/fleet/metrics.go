package fleet

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// Counters holds the metrics of the loop.
type Counters struct {
	TermsTaken, TermsLost                    tally.Counter
	Placed, Preempted, StartsRefused         tally.Counter
	RunsDone, RunsFailed                     tally.Counter
	JobsDone, JobsFailed, JobsCancelled      tally.Counter
	RoundLatency, CommitLatency, JobDuration tally.Histogram
}

// NewCounters registers the metrics.
func NewCounters(scope tally.Scope) Counters {
	short := tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 14) // 0.25 ms to 2 s
	long := tally.MustMakeExponentialDurationBuckets(100*time.Millisecond, 2, 12)  // 0.1 s to 205 s
	return Counters{
		TermsTaken:    scope.Counter("terms_taken"),
		TermsLost:     scope.Counter("terms_lost"),
		Placed:        scope.Counter("tasks_placed"),
		Preempted:     scope.Counter("tasks_preempted"),
		StartsRefused: scope.Counter("starts_refused"),
		RunsDone:      scope.Counter("runs_done"),
		RunsFailed:    scope.Counter("runs_failed"),
		JobsDone:      scope.Counter("jobs_done"),
		JobsFailed:    scope.Counter("jobs_failed"),
		JobsCancelled: scope.Counter("jobs_cancelled"),
		RoundLatency:  scope.Histogram("round_seconds", short),
		CommitLatency: scope.Histogram("commit_seconds", short),
		JobDuration:   scope.Histogram("job_seconds", long),
	}
}

func (c Counters) jobFinished(status job.Status, age time.Duration) {
	c.JobDuration.RecordDuration(age)
	switch status {
	case job.StatusDone:
		c.JobsDone.Inc(1)
	case job.StatusFailed:
		c.JobsFailed.Inc(1)
	case job.StatusCancelled:
		c.JobsCancelled.Inc(1)
	case job.StatusQueued, job.StatusRunning:
	}
}
