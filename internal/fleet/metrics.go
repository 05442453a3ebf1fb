package fleet

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

// Counters holds the metrics of the loop.
type Counters struct {
	TermsTaken, TermsLost            tally.Counter
	Placed, Preempted, StartsRefused tally.Counter
	StartsExpired                    tally.Counter
	ServersLost, TasksGivenUp        tally.Counter
	RecordsSkipped                   tally.Counter
	// PacesLearned counts the paces of backend servers that have become known or have changed.
	PacesLearned tally.Counter
	// NeighbourSamples counts the comparisons of runs beside different tasks, SlowPairs is the number of pairs of kinds of
	// work that slow each other down, and PlacedApart and PlacedBeside count the tasks of such kinds.
	NeighbourSamples, PlacedApart, PlacedBeside tally.Counter
	SlowPairs                                   tally.Gauge
	// DigestsDropped counts digests of the load that could not be read or were older than the one held,
	// DigestsLeftOut those that did not fit into a heartbeat.
	DigestsDropped, DigestsLeftOut tally.Counter
	// OccurrencesOverdue is the largest number of occurrences of one job that are due and not done.
	OccurrencesOverdue tally.Gauge
	// Replica is 1 while this VM follows all records.
	Replica tally.Gauge
	// EvacuatedZones is the number of evacuated availability zones, EvacuatedRuns what the holder still has running there.
	EvacuatedZones, EvacuatedRuns            tally.Gauge
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
		TermsTaken:       scope.Counter("terms_taken"),
		TermsLost:        scope.Counter("terms_lost"),
		Placed:           scope.Counter("tasks_placed"),
		Preempted:        scope.Counter("tasks_preempted"),
		StartsRefused:    scope.Counter("starts_refused"),
		StartsExpired:    scope.Counter("starts_expired"),
		ServersLost:      scope.Counter("servers_lost"),
		TasksGivenUp:     scope.Counter("tasks_given_up"),
		RecordsSkipped:   scope.Counter("records_skipped"),
		PacesLearned:     scope.Counter("paces_learned"),
		NeighbourSamples: scope.Counter("neighbour_samples"),
		PlacedApart:      scope.Counter("tasks_placed_apart"),
		PlacedBeside:     scope.Counter("tasks_placed_beside"),
		SlowPairs:        scope.Gauge("slow_pairs"),

		DigestsDropped: scope.Counter("digests_dropped"),
		DigestsLeftOut: scope.Counter("digests_left_out"),

		OccurrencesOverdue: scope.Gauge("occurrences_overdue"),

		Replica:        scope.Gauge("replica"),
		EvacuatedZones: scope.Gauge("evacuated_zones"),
		EvacuatedRuns:  scope.Gauge("evacuated_runs"),
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
	for reason, n := range b.reasons {
		scope.Tagged(map[string]string{"reason": string(reason)}).Gauge("waiting_steps").Update(float64(n))
	}
}

// organisationBacklog sets the gauges of what waits of an organisation, and counts what was stopped.
func (c Counters) organisationBacklog(id model.OrganisationID, b *organisationBacklog) {
	scope := c.scope.Tagged(map[string]string{"organisation": string(id)})
	scope.Gauge("waiting_tasks_of_organisation").Update(float64(b.tasks))
	scope.Gauge("oldest_wait_seconds_of_organisation").Update(b.oldestWait.Seconds())
	scope.Counter("runs_stopped_of_organisation").Inc(int64(b.stops))
}

// use sets the gauges of what is at work while gangs wait.
func (c Counters) use(u sched.Use, earmarked float64) {
	c.scope.Gauge("earmarked_share").Update(earmarked)
	for resource, value := range map[string]struct{ used, fragmented float64 }{
		"cores": {u.Cores, u.FragmentedCores}, "memory": {u.Memory, u.FragmentedMemory}, "accelerators": {u.Accelerators, u.FragmentedAccelerators},
	} {
		scope := c.scope.Tagged(map[string]string{"resource": resource})
		scope.Gauge("used_share").Update(value.used)
		scope.Gauge("fragmented_share").Update(value.fragmented)
	}
	c.scope.Gauge("fullest_rack_share").Update(u.Fullest.Share)
	c.scope.Gauge("emptiest_rack_share").Update(u.Emptiest.Share)
	c.scope.Gauge("whole_servers_free").Update(float64(u.WholeFree))
}

// paceClass sets the gauge of the backend servers that work at a pace, to a tenth.
func (c Counters) paceClass(pace float64, servers int) {
	c.scope.Tagged(map[string]string{"pace": strconv.FormatFloat(pace, 'f', 1, 64)}).Gauge("servers_by_pace").Update(float64(servers))
}

// kindRuntime sets the gauge of the usual run time of a kind of work, relative to the usual estimate.
func (c Counters) kindRuntime(kind job.Kind, ratio float64) {
	c.scope.Tagged(map[string]string{"kind": string(kind)}).Gauge("runtime_by_estimate").Update(ratio)
}
