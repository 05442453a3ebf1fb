package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
	"github.com/eelgrassreach/eelgrassreach/internal/straggler"
)

const (
	refusedPause   = 700 * time.Millisecond // long enough for a report that corrects the assumed free capacity
	unhealthyPause = 2 * time.Second        // the usual recovery time of an unhealthy backend server
	// quarantineFailures is the number of jobs that fail on a backend server, without a success
	// between them, before it is quarantined.
	quarantineFailures = 2
	quarantineDuration = 8 * time.Second // a little longer than the usual faults of backend servers
	// maxStall is the time without progress after which any task counts as stalled. A short
	// task counts as stalled after stallShare of its estimated runtime, but not before minStall.
	maxStall   = 2500 * time.Millisecond
	minStall   = 900 * time.Millisecond
	stallShare = 0.3
)

// health is the state of a backend server as inferred from the results of its runs.
type health struct {
	pausedUntil time.Time
	// failures counts the jobs that failed here since the last success; lastFailedJob is the last
	// of them.
	failures      int
	lastFailedJob string
	lastFailedAt  time.Time
	// No tasks are placed before quarantinedUntil, after failures or stalls, or before
	// slowUntil, after slow progress.
	quarantinedUntil, slowUntil time.Time
}

func (h *health) pauseAfterRefusal(now time.Time, reason Refusal) {
	pause := refusedPause
	if reason == RefusedUnhealthy {
		pause = unhealthyPause
	}
	h.pausedUntil = now.Add(pause)
}

func (h *health) recordSuccess() {
	h.failures = 0
	h.quarantinedUntil = time.Time{}
}

func (h *health) usable(now time.Time) bool {
	return !now.Before(h.pausedUntil) && !now.Before(h.quarantinedUntil) && !now.Before(h.slowUntil)
}

func (h *health) suspect() bool { return h.failures > 0 }

// failing reports whether a task has failed here lately and none has succeeded since.
func (h *health) failing(now time.Time) bool {
	return h.failures > 0 && now.Sub(h.lastFailedAt) < quarantineDuration
}

// recordFailure makes the step avoid the backend server for a while and counts the failed job
// against it. Consecutive failures of one job count once; a success resets the count.
func (s *State) recordFailure(v *server, g *job.Group, index int) {
	if !s.avoidServer(g, v.entry.ID) {
		return // the step fails everywhere, which tells nothing of this backend server
	}
	v.health.lastFailedAt = s.now
	id := string(g.State.Job.ID)
	if v.health.lastFailedJob != id || v.health.failures == 0 {
		v.health.failures++
		v.health.lastFailedJob = id
	}
	if v.health.failures >= quarantineFailures {
		v.health.quarantinedUntil = s.now.Add(quarantineDuration)
		s.log.Warn("backend server quarantined", zap.String("server", string(v.entry.ID)),
			zap.Int("failures", v.health.failures), zap.String("task", g.Key().TaskName(index)))
	}
}

// stalled reports whether a run makes no progress.
func (s *State) stalled(r *run) bool {
	if r.phase != runRunning || r.step().LongRunning || r.step().Fills || r.percent >= 100 {
		return false
	}
	limit := min(max(time.Duration(stallShare*float64(r.step().EstimatedRuntime)), minStall), maxStall)
	still := time.Duration(r.reportedClock-r.progressClock) * time.Millisecond
	if still <= limit {
		return false
	}
	v := s.servers[r.server]
	return v == nil || still > sched.AtPace(limit, min(s.paceOf(v), 1))
}

// stopStalled stops a stalled run and quarantines its backend server.
func (s *State) stopStalled(v *server, r *run) {
	v.health.quarantinedUntil = s.now.Add(quarantineDuration)
	s.log.Warn("backend server quarantined", zap.String("server", string(v.entry.ID)), zap.String("task", r.name),
		zap.Int("percent", r.percent), zap.Duration("without_progress", s.now.Sub(r.progressAt)))
	s.requestStop(r, stopStalled, "no progress")
}

// slowServerPause is how long no tasks are placed on a backend server after it was last found
// slow. If it is still slow then, a task placed there is moved after about a second.
const slowServerPause = 6 * time.Second

// handleNewRates compares the newest rates of runs on a backend server with those of their steps. All of them
// are known before the first one is compared.
func (s *State) handleNewRates(v *server, rated []*run) {
	for _, r := range rated {
		if s.comparable(v, r) {
			s.ratesOf(r.group).SetRate(r.index, r.progress, s.paceOf(v))
			s.observePace(v, r)
		}
	}
	for _, r := range rated {
		if s.comparable(v, r) {
			s.moveStraggler(v, r)
		}
	}
}

// comparable reports whether a run's rate of progress tells something of its backend server.
func (s *State) comparable(v *server, r *run) bool {
	if !r.current() || r.stopping || r.step().LongRunning || r.step().Fills || len(r.group.Tasks) < 2 {
		return false
	}
	rack := r.step().DataRack // tasks elsewhere are slower than those near the data on any backend server
	return rack == "" || rack == v.entry.Rack
}

// ratesOf returns the rates of a step's tasks.
func (s *State) ratesOf(g *job.Group) *straggler.StepRates {
	rates := s.stepRates[g.Key()]
	if rates == nil {
		rates = straggler.NewStepRates(len(g.Tasks))
		s.stepRates[g.Key()] = rates
	}
	return rates
}

// moveStraggler moves a run that is much slower than the others of its step to another backend server if it
// ends sooner there.
func (s *State) moveStraggler(v *server, r *run) {
	rates := s.ratesOf(r.group)
	if !rates.IsStraggler(r.index) {
		return
	}
	if !s.now.Before(v.health.slowUntil) {
		s.log.Warn("backend server is slow", zap.String("server", string(r.server)), zap.String("task", r.name),
			zap.Int("percent", r.percent), zap.Duration("running", s.now.Sub(r.startedAt)))
	}
	v.health.slowUntil = s.now.Add(slowServerPause)
	saved := 0
	if r.step().Checkpoints {
		saved = r.percent
	}
	if rates.WorthMoving(r.index, r.percent, saved, restartCost) {
		s.requestStop(r, stopStraggler, "much slower than the other tasks of its step")
	}
}

// drainMargin is how much longer than announced a draining backend server usually stays.
const drainMargin = 500 * time.Millisecond

// outlasts reports whether a run will not end before its draining backend server leaves.
func (s *State) outlasts(v *server, r *run) bool {
	if r.phase != runRunning || r.step().LongRunning {
		return r.step().LongRunning
	}
	return s.now.Add(s.remaining(r)).After(v.drainingSince.Add(v.entry.Remaining + drainMargin))
}

// remaining estimates how long a run continues; the members of a gang end together.
func (s *State) remaining(r *run) time.Duration {
	if r.step().Gang && r.current() {
		return s.gangRemaining(r.group)
	}
	return s.ownRemaining(r)
}

// ownRemaining estimates how long a run works: from its progress once that reaches measurablePercent, else from
// the run time of its kind of work and the pace of its backend server.
func (s *State) ownRemaining(r *run) time.Duration {
	worked := s.now.Sub(r.startedAt)
	if r.percent >= measurablePercent && worked > 0 {
		rest := time.Duration(float64(worked) * float64(100-r.percent) / float64(r.percent))
		return max(rest-s.now.Sub(r.progressAt), 0)
	}
	return max(s.expectedRuntime(r)-worked, 0)
}

// measurablePercent is the least progress from which a run's speed can be estimated.
const measurablePercent = 10

// maxAvoided bounds the number of backend servers that a step has failed on and that are blamed for
// it, since failures of a step that fails everywhere are not their fault.
const maxAvoided = 4

// avoidDuration is how long a step avoids a backend server after a task failed there. It may be the
// only one that can run the step, so it is avoided no longer than the usual faults last.
const avoidDuration = quarantineDuration

// avoidServer makes a step avoid a backend server on which one of its tasks has just failed. It
// returns false, and changes nothing, if the step has failed on maxAvoided others.
func (s *State) avoidServer(g *job.Group, id model.BackendServerID) bool {
	key := g.Key()
	if _, known := s.avoid[key][id]; !known && len(s.avoid[key]) >= maxAvoided {
		return false
	}
	if s.avoid[key] == nil {
		s.avoid[key] = make(map[model.BackendServerID]time.Time)
	}
	s.avoid[key][id] = s.now
	return true
}

// avoidedNow returns the backend servers that a step avoids at present; nil if there are none.
func (s *State) avoidedNow(key job.GroupKey) map[model.BackendServerID]bool {
	var avoided map[model.BackendServerID]bool
	for id, failedAt := range s.avoid[key] {
		if s.now.Sub(failedAt) >= avoidDuration {
			continue
		}
		if avoided == nil {
			avoided = make(map[model.BackendServerID]bool)
		}
		avoided[id] = true
	}
	return avoided
}
