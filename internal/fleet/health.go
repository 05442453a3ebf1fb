package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/straggler"
)

const (
	refusedPause = 700 * time.Millisecond // lets a report correct what is thought free
	busyPause    = 2 * time.Second        // an unhealthy backend server's usual recovery
	// suspectFailures by different jobs without a success between them take a backend
	// server out of use.
	suspectFailures = 2
	quarantine      = 8 * time.Second // a little more than troubles of backend servers usually last
	// stallLimit without progress means that a task hangs, however long it takes; a
	// shorter task hangs after stallShare of its estimate, but not before stallMinimum.
	stallLimit   = 2500 * time.Millisecond
	stallMinimum = 900 * time.Millisecond
	stallShare   = 0.3
)

// health is what results tell of a backend server.
type health struct {
	pausedUntil time.Time
	// failures counts jobs that failed here since the last success, the last one's ID kept.
	failures int
	lastJob  string
	// quarantinedUntil is the time before which it takes no work, slowUntil the same for
	// one on which tasks make little progress.
	quarantinedUntil, slowUntil time.Time
}

func (h *health) refused(now time.Time, reason Refusal) {
	pause := refusedPause
	if reason == RefusedUnhealthy {
		pause = busyPause
	}
	h.pausedUntil = now.Add(pause)
}

func (h *health) succeeded() {
	h.failures = 0
	h.quarantinedUntil = time.Time{}
}

func (h *health) usable(now time.Time) bool {
	return !now.Before(h.pausedUntil) && !now.Before(h.quarantinedUntil) && !now.Before(h.slowUntil)
}

func (h *health) suspect() bool { return h.failures > 0 }

// noteFailure blames a failure on the backend server as long as no success speaks for it.
func (s *State) noteFailure(v *server, g *job.Group, index int) {
	s.avoidFor(g, v.entry.ID)
	id := string(g.State.Job.ID)
	if v.health.lastJob != id || v.health.failures == 0 {
		v.health.failures++
		v.health.lastJob = id
	}
	if v.health.failures >= suspectFailures {
		v.health.quarantinedUntil = s.now.Add(quarantine)
		s.log.Warn("backend server out of use", zap.String("server", string(v.entry.ID)),
			zap.Int("failures", v.health.failures), zap.String("task", g.Key().TaskName(index)))
	}
}

// stalled reports whether a run makes no progress.
func (s *State) stalled(r *run) bool {
	if r.phase != runRunning || r.step().LongRunning || r.step().Fills || r.percent >= 100 {
		return false
	}
	limit := time.Duration(stallShare * float64(r.step().EstimatedRuntime))
	return r.reportedAt.Sub(r.progressAt) > min(max(limit, stallMinimum), stallLimit)
}

// stopStalled stops a run that hangs and takes its backend server out of use.
func (s *State) stopStalled(v *server, r *run) {
	v.health.quarantinedUntil = s.now.Add(quarantine)
	s.log.Warn("backend server out of use", zap.String("server", string(v.entry.ID)), zap.String("task", r.name),
		zap.Int("percent", r.percent), zap.Duration("without_progress", s.now.Sub(r.progressAt)))
	s.wantStop(r, "no progress")
}

// slowPause is how long a slow backend server takes no work after it was last seen to be;
// one task that finds it slow still is moved after a second.
const slowPause = 6 * time.Second

// paceMeasured compares a run's newest rate with those of its step, and moves a
// straggler to another backend server if it ends sooner there.
func (s *State) paceMeasured(v *server, r *run) {
	if !r.current() || r.stopping || r.step().LongRunning || r.step().Fills || len(r.group.Tasks) < 2 {
		return
	}
	if rack := r.step().DataRack; rack != "" && rack != v.entry.Rack {
		return // slower than those near the data on any backend server
	}
	key := r.group.Key()
	step := s.steps[key]
	if step == nil {
		step = straggler.NewStepRates(len(r.group.Tasks))
		s.steps[key] = step
	}
	step.SetRate(r.index, r.pace)
	if !step.IsStraggler(r.index) {
		return
	}
	if !s.now.Before(v.health.slowUntil) {
		s.log.Warn("backend server is slow", zap.String("server", string(r.server)), zap.String("task", r.name),
			zap.Int("percent", r.percent), zap.Duration("running", s.now.Sub(r.startedAt)))
	}
	v.health.slowUntil = s.now.Add(slowPause)
	saved := 0
	if r.step().Checkpoints {
		saved = r.percent
	}
	if step.WorthMoving(r.index, r.percent, saved, restartCost) {
		s.wantStop(r, "much slower than the other tasks of its step")
	}
}

// drainMargin is how much longer than told a draining backend server usually stays.
const drainMargin = 500 * time.Millisecond

// outlasts reports whether a run will not end before its draining backend server leaves.
func (s *State) outlasts(v *server, r *run) bool {
	if r.phase != runRunning || r.step().LongRunning {
		return r.step().LongRunning
	}
	return s.now.Add(s.remaining(r)).After(v.drainingSince.Add(v.entry.Remaining + drainMargin))
}

// remaining estimates how long a run still takes: from its progress once that says
// something, else from its submitter's estimate.
func (s *State) remaining(r *run) time.Duration {
	worked := s.now.Sub(r.startedAt)
	if r.percent >= measurablePercent && worked > 0 {
		rest := time.Duration(float64(worked) * float64(100-r.percent) / float64(r.percent))
		return max(rest-s.now.Sub(r.progressAt), 0)
	}
	return max(r.step().EstimatedRuntime-worked, 0)
}

// measurablePercent of progress is enough to estimate a run's speed.
const measurablePercent = 10

// maxAvoided bounds the backend servers that a step keeps away from, since a step that
// fails everywhere is not their fault.
const maxAvoided = 4

// avoidFor keeps a step away from a backend server where one of its tasks failed.
func (s *State) avoidFor(g *job.Group, id model.BackendServerID) {
	key := g.Key()
	if s.avoid[key] == nil {
		s.avoid[key] = make(map[model.BackendServerID]bool)
	}
	if len(s.avoid[key]) < maxAvoided {
		s.avoid[key][id] = true
	}
}
