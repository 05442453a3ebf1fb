// Package pace learns how fast backend servers work for good, and how long kinds of work really take, from the
// progress of runs.
//
// A fleet of unlike machines lets a gang go at the pace of its slowest member. The tasks of one step are compared
// with each other, so that errors in the submitters' estimates don't matter: how much longer a task takes than
// those on other backend servers tells the pace of its own, and how long it would take on an ordinary one tells how far
// the estimate was off. Nothing is concluded from single runs, since tasks of a step differ, some take many times as long
// by themselves, and backend servers become slow for some seconds.
package pace

import (
	"math"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// window is how long the progress of a step counts.
	window = 60 * time.Second
	// keepPace is how long a pace is kept without new observations.
	keepPace = 3 * time.Minute
	// maxMembers bounds the tasks of one step that are compared, maxObservations those of all steps.
	maxMembers      = 64
	maxObservations = 6000
	// maxKinds bounds the kinds of work with a learned run time.
	maxKinds = 64
	// minGained is the least progress, in percent, from which a rate is used.
	minGained = 3
	// ordinaryPace is the pace of a backend server that is as fast as most of its service.
	ordinaryPace = 1
)

// Server is one incarnation of a backend server; another one may be on a machine of another kind.
type Server struct {
	ID          model.BackendServerID
	Incarnation int64
}

// Observation is the progress of one run, as of its newest report. All runs of a step that are observed work under the same
// conditions: near their data, and on one rack if they are slower on several.
type Observation struct {
	Group   job.GroupKey
	Index   int
	Server  Server
	Service string
	// Gang is set if all tasks of the step have the same work.
	Gang bool
	// Kind and Estimate are those of the step, Estimate in the submitter's words.
	Kind     job.Kind
	Estimate time.Duration
	// Gained is the progress in percent, made within Took on the backend server's clock. Both begin after the start,
	// which takes time by itself.
	Gained int
	Took   time.Duration
}

// Change is a pace that has become known or has changed.
type Change struct {
	Server      Server
	Pace, Error float64 // Error is the standard error, as a share of the pace
	Before      float64 // 0 if it was not known
	Steps       int     // that tell it
}

// Estimator learns paces and run times. It is not safe for concurrent use. The zero value is not usable.
type Estimator struct {
	servers map[Server]*server
	steps   map[job.GroupKey]*step
	order   []*step // by first observation
	count   int     // steps and observations in them
	kinds   map[job.Kind]*kindFit
	// hints are paces that an earlier estimator has learned, by Server.hash.
	hints map[uint32]float64
	// gangSpread and taskSpread are the standard deviations of the logarithms of durations between the members of a gang and
	// between the tasks of other steps, on equal backend servers.
	gangSpread, taskSpread float64
	changed                bool // since the last Update
}

// server is what is known of a backend server. Paces are logarithms, so that twice as fast and half as fast are
// equally far from ordinary.
type server struct {
	key       Server
	service   string
	log       float64 // estimate, sure or not
	err       float64 // its standard error
	steps     int     // that it rests on
	published float64 // 0 while it is not sure
	seenAt    time.Time
	// slowFrom and slowUntil are the first and last of the observations that look like a slow phase.
	slowFrom, slowUntil time.Time

	sum, weight        float64 // of the present iteration
	nextFrom, nextLast time.Time
}

type step struct {
	key      job.GroupKey
	service  string
	gang     bool
	kind     job.Kind
	estimate time.Duration
	members  []member
	seenAt   time.Time
	runtime  float64 // logarithm of the seconds on an ordinary backend server
	known    bool
	// ended is the same as the mean of the runs that have ended tells it, for a step that was too short to be observed.
	ended float64
	ends  int
}

// member is the newest rate of a task on a backend server.
type member struct {
	index    int
	server   *server
	seconds  float64 // logarithm of the time that the whole task takes
	variance float64 // of that, from the coarseness of percentages
	at       time.Time
	weight   float64 // of the present iteration
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{
		servers: make(map[Server]*server), steps: make(map[job.GroupKey]*step), kinds: make(map[job.Kind]*kindFit),
		gangSpread: initialGangSpread, taskSpread: initialTaskSpread,
	}
}

// Observe takes note of a run's progress.
func (e *Estimator) Observe(o Observation, now time.Time) {
	if o.Gained < minGained || o.Took <= 0 || o.Server.Incarnation == 0 {
		return
	}
	st := e.stepOf(o, now)
	v := e.server(o.Server, o.Service)
	v.seenAt = now
	coarseness := 0.6 / float64(o.Gained)
	m := member{
		index: o.Index, server: v, at: now, variance: coarseness * coarseness,
		seconds: math.Log(o.Took.Seconds() * 100 / float64(o.Gained)),
	}
	i := slices.IndexFunc(st.members, func(old member) bool { return old.index == o.Index && old.server == v })
	switch {
	case i >= 0:
		st.members[i] = m
	case len(st.members) < maxMembers:
		st.members = append(st.members, m)
		e.count++
	}
	e.changed = true
}

// ObserveEnd takes note of a run that has ended as done, on a backend server that works at the given pace; for a gang the
// pace of the slowest member. It counts for the run time of steps that were too short for Observe: without
// them, kinds of work would seem to take longer than they do.
func (e *Estimator) ObserveEnd(o Observation, pace float64, now time.Time) {
	if o.Took <= 0 || pace <= 0 {
		return
	}
	st := e.stepOf(o, now)
	st.ends++
	st.ended += (math.Log(o.Took.Seconds()*pace) - st.ended) / float64(st.ends)
	e.changed = true
}

func (e *Estimator) stepOf(o Observation, now time.Time) *step {
	st := e.steps[o.Group]
	if st == nil {
		st = &step{key: o.Group, service: o.Service, gang: o.Gang, kind: o.Kind, estimate: o.Estimate}
		e.steps[o.Group] = st
		e.order = append(e.order, st)
		e.count++
	}
	st.seenAt = now
	return st
}

func (e *Estimator) server(key Server, service string) *server {
	v := e.servers[key]
	if v == nil {
		v = &server{key: key, service: service, published: e.hint(key)}
		if v.published > 0 {
			v.log = math.Log(v.published)
		}
		e.servers[key] = v
	}
	return v
}

// Pace returns how fast a backend server works relative to an ordinary one of its service; 0 if that is not known.
func (e *Estimator) Pace(key Server) float64 {
	if v := e.servers[key]; v != nil {
		return v.published
	}
	return e.hint(key)
}

// Forget forgets a backend server, which may have become another machine.
func (e *Estimator) Forget(key Server) {
	v := e.servers[key]
	delete(e.hints, key.hash())
	if v == nil {
		return
	}
	delete(e.servers, key)
	for _, st := range e.order {
		before := len(st.members)
		st.members = slices.DeleteFunc(st.members, func(m member) bool { return m.server == v })
		e.count -= before - len(st.members)
	}
}

// Runtime returns how long a task of a step takes on an ordinary backend server: as its own tasks show, else as other
// steps of its kind do, else as estimated.
func (e *Estimator) Runtime(group job.GroupKey, kind job.Kind, estimate time.Duration) time.Duration {
	if st := e.steps[group]; st != nil && st.known {
		return seconds(st.runtime)
	}
	if k := e.kinds[kind]; k != nil && estimate > 0 {
		return seconds(k.runtime(math.Log(estimate.Seconds())))
	}
	return estimate
}

func seconds(log float64) time.Duration {
	return time.Duration(math.Exp(min(log, maxLog)) * float64(time.Second))
}

// expire drops what is too old or too much to keep.
func (e *Estimator) expire(now time.Time) {
	kept := e.order[:0]
	for _, st := range e.order {
		if now.Sub(st.seenAt) < window && e.count <= maxObservations {
			kept = append(kept, st)
			continue
		}
		e.count -= 1 + len(st.members)
		delete(e.steps, st.key)
	}
	clear(e.order[len(kept):])
	e.order = kept
	for key, v := range e.servers {
		if now.Sub(v.seenAt) >= keepPace {
			delete(e.servers, key)
		}
	}
	for kind, k := range e.kinds {
		if now.Sub(k.seenAt) >= keepPace {
			delete(e.kinds, kind)
		}
	}
}

// Summary is what is known at a time.
type Summary struct {
	// Classes counts the backend servers whose pace is known by their pace, to a tenth.
	Classes map[float64]int
	Unsure  int
	Kinds   []KindSummary
}

// Summary sums up what is known.
func (e *Estimator) Summary() Summary {
	s := Summary{Classes: make(map[float64]int)}
	for _, v := range e.servers {
		if v.published == 0 {
			s.Unsure++
			continue
		}
		s.Classes[math.Round(v.published*10)/10]++
	}
	s.Kinds = e.kindSummaries()
	return s
}
