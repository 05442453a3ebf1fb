package watch

import (
	"github.com/uber-go/tally/v4"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

// jobStates lists the job states that have a gauge.
var jobStates = []control.JobState{
	control.JobWaiting, control.JobHolding, control.JobStarting, control.JobRunning,
	control.JobCheckpointing, control.JobStopping, control.JobDone, control.JobFailed, control.JobCancelled,
}

// conditions lists the backend server conditions that have a gauge.
var conditions = []control.Condition{
	control.ConditionLive, control.ConditionLeaving, control.ConditionQuarantined, control.ConditionLost,
}

// gauges are the metrics of the control state.
type gauges struct {
	ready, logReachable, termHeld, configStalled tally.Gauge
	appliedOffset, configRevision, atRisk        tally.Gauge
	fragmentation, peersAlive                    tally.Gauge
	jobs                                         map[control.JobState]tally.Gauge
	backends                                     map[control.Condition]tally.Gauge
}

func newGauges(scope tally.Scope) gauges {
	g := gauges{
		ready:          scope.Gauge("ready"),
		logReachable:   scope.Gauge("log_reachable"),
		termHeld:       scope.Gauge("term_held"),
		configStalled:  scope.Gauge("config_stalled"),
		appliedOffset:  scope.Gauge("applied_offset"),
		configRevision: scope.Gauge("config_revision"),
		atRisk:         scope.Gauge("guarantees_at_risk"),
		fragmentation:  scope.Gauge("fragmentation_ratio"),
		peersAlive:     scope.Gauge("peers_alive"),
		jobs:           make(map[control.JobState]tally.Gauge),
		backends:       make(map[control.Condition]tally.Gauge),
	}
	for _, state := range jobStates {
		g.jobs[state] = scope.Tagged(map[string]string{"state": string(state)}).Gauge("jobs")
	}
	for _, c := range conditions {
		g.backends[c] = scope.Tagged(map[string]string{"condition": string(c)}).Gauge("backend_servers")
	}
	return g
}

func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

func (g gauges) update(v *control.View) {
	g.ready.Update(boolValue(v.Ready))
	g.logReachable.Update(boolValue(v.LogReachable))
	g.termHeld.Update(boolValue(v.Terms[v.AZ].HeldLocally))
	g.configStalled.Update(boolValue(v.ConfigStalled != ""))
	g.appliedOffset.Update(float64(v.Applied))
	g.configRevision.Update(float64(v.Config.Revision))
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
