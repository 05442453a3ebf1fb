package watch

import (
	"github.com/uber-go/tally/v4"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

// jobStates lists the states that have a gauge.
var jobStates = []control.JobState{
	control.JobWaiting, control.JobHolding, control.JobStarting, control.JobRunning,
	control.JobCheckpointing, control.JobStopping, control.JobDone, control.JobFailed, control.JobCancelled,
}

// conditions lists the conditions of backend servers that have a gauge.
var conditions = []control.Condition{
	control.ConditionLive, control.ConditionLeaving, control.ConditionQuarantined, control.ConditionLost,
}

// gauges are the metrics of the control state.
type gauges struct {
	ready, reachable, mine, stalled tally.Gauge
	applied, revision, atRisk       tally.Gauge
	fragmentation, peersAlive       tally.Gauge
	jobs                            map[control.JobState]tally.Gauge
	backends                        map[control.Condition]tally.Gauge
}

func newGauges(scope tally.Scope) gauges {
	g := gauges{
		ready:         scope.Gauge("ready"),
		reachable:     scope.Gauge("log_reachable"),
		mine:          scope.Gauge("term_held"),
		stalled:       scope.Gauge("config_stalled"),
		applied:       scope.Gauge("applied_offset"),
		revision:      scope.Gauge("config_revision"),
		atRisk:        scope.Gauge("guarantees_at_risk"),
		fragmentation: scope.Gauge("fragmentation_ratio"),
		peersAlive:    scope.Gauge("peers_alive"),
		jobs:          make(map[control.JobState]tally.Gauge),
		backends:      make(map[control.Condition]tally.Gauge),
	}
	for _, state := range jobStates {
		g.jobs[state] = scope.Tagged(map[string]string{"state": string(state)}).Gauge("jobs")
	}
	for _, c := range conditions {
		g.backends[c] = scope.Tagged(map[string]string{"condition": string(c)}).Gauge("backend_servers")
	}
	return g
}

func flag(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

func (g gauges) update(v *control.View) {
	g.ready.Update(flag(v.Ready))
	g.reachable.Update(flag(v.LogReachable))
	g.mine.Update(flag(v.Terms[v.AZ].HeldLocally))
	g.stalled.Update(flag(v.ConfigStalled != ""))
	g.applied.Update(float64(v.Applied))
	g.revision.Update(float64(v.Config.Revision))
	g.atRisk.Update(float64(len(v.GuaranteesAtRisk)))
	g.fragmentation.Update(v.Fragmentation)
	alive := 0
	for _, p := range v.Peers {
		if p.Alive {
			alive++
		}
	}
	g.peersAlive.Update(float64(alive))
	for state, gauge := range g.jobs {
		gauge.Update(float64(v.JobsByState[state]))
	}
	counts := make(map[control.Condition]int)
	for _, b := range v.Backends {
		if b.Server.AZ == v.AZ {
			counts[b.Condition()]++
		}
	}
	for condition, gauge := range g.backends {
		gauge.Update(float64(counts[condition]))
	}
}
