package fleet

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// Counters holds the metrics of the loop.
type Counters struct {
	TermsTaken, TermsLost            tally.Counter
	Placed, Preempted, StartsRefused tally.Counter
	StartsExpired                    tally.Counter
	ServersLost, TasksGivenUp        tally.Counter
	RecordsSkipped                   tally.Counter
	// DigestsDropped counts digests of the load that could not be read or were older than the one held,
	// DigestsLeftOut those that did not fit into a heartbeat.
	DigestsDropped, DigestsLeftOut tally.Counter
	// Replica is 1 while this VM follows all records.
	Replica                                  tally.Gauge
	RunsDone, RunsFailed                     tally.Counter
	JobsDone, JobsFailed, JobsCancelled      tally.Counter
	RoundLatency, CommitLatency, JobDuration tally.Histogram
	// StartDelay is the time from a placement to the sending of its start order, ListAge the age of
	// the entries of backend servers at that time.
	StartDelay, ListAge tally.Histogram
	scope               tally.Scope
}

// NewCounters registers the metrics.
func NewCounters(scope tally.Scope) Counters {
	short := tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 14) // 0.25 ms to 2 s
	long := tally.MustMakeExponentialDurationBuckets(100*time.Millisecond, 2, 12)  // 0.1 s to 205 s
	return Counters{
		TermsTaken:     scope.Counter("terms_taken"),
		TermsLost:      scope.Counter("terms_lost"),
		Placed:         scope.Counter("tasks_placed"),
		Preempted:      scope.Counter("tasks_preempted"),
		StartsRefused:  scope.Counter("starts_refused"),
		StartsExpired:  scope.Counter("starts_expired"),
		ServersLost:    scope.Counter("servers_lost"),
		TasksGivenUp:   scope.Counter("tasks_given_up"),
		RecordsSkipped: scope.Counter("records_skipped"),
		DigestsDropped: scope.Counter("digests_dropped"),
		DigestsLeftOut: scope.Counter("digests_left_out"),
		Replica:        scope.Gauge("replica"),
		RunsDone:       scope.Counter("runs_done"),
		RunsFailed:     scope.Counter("runs_failed"),
		JobsDone:       scope.Counter("jobs_done"),
		JobsFailed:     scope.Counter("jobs_failed"),
		JobsCancelled:  scope.Counter("jobs_cancelled"),
		RoundLatency:   scope.Histogram("round_seconds", short),
		CommitLatency:  scope.Histogram("commit_seconds", short),
		JobDuration:    scope.Histogram("job_seconds", long),
		StartDelay:     scope.Histogram("start_delay_seconds", short),
		ListAge:        scope.Histogram("list_age_seconds", short),
		scope:          scope,
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

// runStopped counts a stopped run and the unsaved work that it loses, in core-seconds.
func (c Counters) runStopped(priority int, cause stopCause, lostWork float64) {
	scope := c.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority), "cause": string(cause)})
	scope.Counter("runs_stopped").Inc(1)
	scope.Counter("lost_core_milliseconds").Inc(int64(lostWork * 1000))
}

// backlog sets the gauges of what waits.
func (c Counters) backlog(priority int, b *priorityBacklog) {
	scope := c.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)})
	scope.Gauge("waiting_gangs").Update(float64(b.gangs))
	scope.Gauge("waiting_tasks").Update(float64(b.tasks))
	scope.Gauge("oldest_wait_seconds").Update(b.oldestWait.Seconds())
}
