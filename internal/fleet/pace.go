package fleet

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/pace"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

const (
	// paceInterval is the shortest time between two updates of the paces.
	paceInterval = time.Second
	// paceRecordInterval is the shortest time between two records of them, and two summaries in the log.
	paceRecordInterval = 4 * time.Second
	// paceKey is the key of the record that tells the next holder the paces.
	paceKey = "pace"
)

// paceState is what the holder knows of the paces of backend servers and of true run times. It answers a fleet of
// unlike machines and submitters whose estimates are off.
type paceState struct {
	estimator             *pace.Estimator
	updatedAt, recordedAt time.Time
	reportedAt            time.Time
	recorded              string // the newest record
	// gangEnds holds how long gangs still run, as of gangEndsAt.
	gangEnds   map[job.GroupKey]time.Duration
	gangEndsAt time.Time
}

func newPaceState() paceState { return paceState{estimator: pace.New()} }

// adoptPaces starts from the paces that the previous holder has recorded, or from none.
func (s *State) adoptPaces() {
	s.paces = newPaceState()
	if len(s.paceRecord) == 0 {
		return
	}
	e, err := pace.Decode(s.paceRecord, s.now)
	if err != nil {
		s.log.Error("paces not adopted", zap.Error(err)) // unreachable: applyPaces has read it
		return
	}
	s.paces.estimator, s.paces.recorded = e, string(s.paceRecord)
}

// applyPaces applies the record of a holder's paces.
func (r *replicated) applyPaces(value []byte, now time.Time) error {
	if len(value) == 0 {
		r.paceRecord = nil
		return nil
	}
	if _, err := pace.Decode(value, now); err != nil {
		return err
	}
	r.paceRecord = value
	return nil
}

// paceRecordDue returns the record of the paces if they have changed since the last one. It goes with a batch that is
// stored anyway.
func (s *State) paceRecordDue() (job.Record, bool) {
	p := &s.paces
	if s.now.Sub(p.recordedAt) < paceRecordInterval {
		return job.Record{}, false
	}
	p.recordedAt = s.now
	value := p.estimator.Encode()
	if string(value) == p.recorded {
		return job.Record{}, false
	}
	p.recorded = string(value)
	return job.Record{Key: paceKey, Value: value}, true
}

func paceServer(v *server) pace.Server {
	return pace.Server{ID: v.entry.ID, Incarnation: v.incarnationStart}
}

// observePace takes note of a run's new rate of progress.
func (s *State) observePace(v *server, r *run) {
	if s.stepIsApart(r) {
		return
	}
	o := observationOf(v, r)
	o.Gained, o.Took = r.progress.Steady()
	s.paces.estimator.Observe(o, s.now)
}

func observationOf(v *server, r *run) pace.Observation {
	return pace.Observation{
		Group: r.group.Key(), Index: r.index, Server: paceServer(v), Service: v.entry.Service, Gang: r.step().Gang,
		Kind: r.group.State.Job.Kind(r.group.Index), Estimate: r.step().EstimatedRuntime,
	}
}

// stepIsApart reports whether the tasks of a run's step should be on one rack and may be on several. They are then slower,
// whatever the pace of their backend servers.
func (s *State) stepIsApart(r *run) bool {
	if !r.step().SameRack || r.apart {
		return r.step().SameRack
	}
	for i := range r.group.Tasks {
		if m := s.currentRun(r.group, i); !r.step().Gang && m != nil && m.apart {
			return true
		}
	}
	return false
}

// observeEnd takes note of how long a run took that this holder has placed, and that has worked from the begin of its task.
func (s *State) observeEnd(v *server, r *run) {
	if r.phase != runRunning || r.placedAt.IsZero() || !s.comparable(v, r) || s.stepIsApart(r) || r.group.Tasks[r.index].Checkpoint != "" {
		return
	}
	slowest := cmp.Or(s.paceOf(v), 1)
	if r.step().Gang {
		for i := range r.group.Tasks {
			if m := s.currentRun(r.group, i); m != nil {
				slowest = min(slowest, cmp.Or(s.paceOf(s.servers[m.server]), 1))
			}
		}
	}
	o := observationOf(v, r)
	o.Took = s.now.Sub(r.startedAt)
	s.paces.estimator.ObserveEnd(o, slowest, s.now)
}

// updatePaces computes the paces anew and logs those that have changed.
func (s *State) updatePaces() {
	p := &s.paces
	if s.now.Sub(p.updatedAt) < paceInterval {
		return
	}
	p.updatedAt = s.now
	changes := p.estimator.Update(s.now)
	for _, c := range changes {
		s.metrics.PacesLearned.Inc(1)
		s.log.Info("pace of a backend server is known", zap.String("server", string(c.Server.ID)), zap.Float64("pace", c.Pace),
			zap.Float64("before", c.Before), zap.String("error", fmt.Sprintf("%.2f", c.Error)), zap.Int("steps", c.Steps))
	}
	if len(changes) > 0 && s.now.Sub(p.reportedAt) >= paceRecordInterval {
		p.reportedAt = s.now
		s.reportPaces()
	}
}

// reportPaces logs how many backend servers work at which pace, and how far estimates are off.
func (s *State) reportPaces() {
	sum := s.paces.estimator.Summary()
	var classes, kinds []string
	for _, class := range eventloop.SortedKeys(sum.Classes) {
		classes = append(classes, fmt.Sprintf("%.1f:%d", class, sum.Classes[class]))
		s.metrics.paceClass(class, sum.Classes[class])
	}
	for _, k := range sum.Kinds {
		kinds = append(kinds, fmt.Sprintf("%s:%.2f/%.1f", k.Kind, k.Ratio, k.Slope))
		s.metrics.kindRuntime(k.Kind, k.Ratio)
	}
	s.log.Info("paces", zap.String("servers_by_pace", strings.Join(classes, " ")), zap.Int("unsure", sum.Unsure),
		zap.String("runtime_by_estimate", strings.Join(kinds, " ")))
}

// paceOf returns the pace of a backend server; 0 if it is not known.
func (s *State) paceOf(v *server) float64 { return s.paces.estimator.Pace(paceServer(v)) }

// runtime returns how long a task of a group takes on an ordinary backend server.
func (s *State) runtime(g *job.Group) time.Duration {
	return s.paces.estimator.Runtime(g.Key(), g.State.Job.Kind(g.Index), g.Step().EstimatedRuntime)
}

// runtimesOf returns how long a task of each step takes in an occurrence of a job.
func (s *State) runtimesOf(g *job.Group) func(step int) time.Duration {
	j := g.State.Job
	return func(step int) time.Duration {
		key := job.GroupKey{Job: j.ID, Occurrence: g.Occurrence, Step: step}
		return s.paces.estimator.Runtime(key, j.Kind(step), j.Steps[step].EstimatedRuntime)
	}
}

// expectedRuntime is how long a run takes on its backend server.
func (s *State) expectedRuntime(r *run) time.Duration {
	rate := 0.0
	if v := s.servers[r.server]; v != nil {
		rate = s.paceOf(v)
	}
	return sched.AtPace(s.runtime(r.group), rate)
}

// gangRemaining is how long the slowest member of a gang still runs: all of them end together.
func (s *State) gangRemaining(g *job.Group) time.Duration {
	p := &s.paces
	if !p.gangEndsAt.Equal(s.now) || p.gangEnds == nil {
		p.gangEnds, p.gangEndsAt = make(map[job.GroupKey]time.Duration), s.now
	}
	key := g.Key()
	longest, known := p.gangEnds[key]
	if known {
		return longest
	}
	for i := range g.Tasks {
		if m := s.currentRun(g, i); m != nil && m.phase == runRunning {
			longest = max(longest, s.ownRemaining(m))
		}
	}
	p.gangEnds[key] = longest
	return longest
}
