// Package interference estimates which kinds of work slow each other down on one backend server.
//
// Each run is compared with itself: its rate of progress before and after other tasks came or left. What stays the
// same for the run cancels out: the pace of its backend server, its own length, an estimate that is off, data that is far
// away. What several kinds of neighbours have changed at once is told apart by least squares over many runs.
package interference

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// maxKinds bounds the kinds of work that are told apart; later ones are not observed.
	maxKinds = 16
	// maxLogRatio bounds what one sample can say: a backend server that turns slow by itself must not outweigh all others.
	maxLogRatio = 1.0
	// halfLife is the time after which a sample counts half: kinds of work change their behaviour.
	halfLife = 2 * time.Minute
	// minSlowdown is the least loss of pace that is worth keeping tasks apart for.
	minSlowdown = 0.05
	// sureAt is how many standard errors an estimate is from no effect when its pair is named, and unsureAt when it no
	// longer is.
	sureAt, unsureAt = 5, 2.5
	// minSamples and minServers are the samples and the backend servers that a pair needs: one odd server names none.
	minSamples, minServers = 20, 3
	// prior keeps estimates of kinds that were seen rarely close to no effect, as a number of samples.
	prior = 1.0
	// solveInterval is the shortest time between two estimates.
	solveInterval = time.Second
)

// Change is how many tasks of a kind came beside a run (above 0) or left it.
type Change struct {
	Kind  job.Kind
	Delta int
}

// Sample compares a run with itself. Before and After are rates of progress in the same unit, above 0.
type Sample struct {
	Kind          job.Kind
	Server        model.BackendServerID
	Before, After float64
	Changes       []Change
}

// Pair is a kind of work that is slowed down by each task of a neighbour on the same backend server.
type Pair struct {
	Slowed, By job.Kind
	// Slowdown is the share of the pace that one neighbour costs, 0 to 1.
	Slowdown float64
	// Certainty is the number of standard errors from no effect.
	Certainty float64
	Samples   float64 // with faded ones counted less
	Servers   int     // on which it was seen, minServers at most
}

// Model holds the estimates. The zero value is not ready for use.
type Model struct {
	kinds   map[job.Kind]int
	names   []job.Kind
	victims map[job.Kind]*victim
	named   map[[2]job.Kind]Pair
	solved  time.Time
	changed bool
	// strongest is the most certain pair of the last update, whether it is sure or not.
	strongest Pair
}

// New returns a model without observations.
func New() *Model {
	return &Model{kinds: make(map[job.Kind]int), victims: make(map[job.Kind]*victim), named: make(map[[2]job.Kind]Pair)}
}

// index returns the number of a kind; ok is false if there are too many.
func (m *Model) index(k job.Kind) (int, bool) {
	if i, known := m.kinds[k]; known {
		return i, true
	}
	if len(m.names) == maxKinds {
		return 0, false
	}
	m.kinds[k] = len(m.names)
	m.names = append(m.names, k)
	return len(m.names) - 1, true
}

// Observe adds a sample. One that names too many kinds, or rates that are not above 0, is dropped.
func (m *Model) Observe(s Sample, now time.Time) {
	ratio := math.Log(s.After / s.Before)
	if math.IsNaN(ratio) || math.IsInf(ratio, 0) || len(s.Changes) == 0 {
		return
	}
	if _, ok := m.index(s.Kind); !ok {
		return
	}
	var x [maxKinds]float64
	for _, c := range s.Changes {
		i, ok := m.index(c.Kind)
		if !ok {
			return
		}
		x[i] += float64(c.Delta)
	}
	v := m.victims[s.Kind]
	if v == nil {
		v = &victim{at: now}
		m.victims[s.Kind] = v
	}
	v.fade(now)
	v.add(x, min(max(ratio, -maxLogRatio), maxLogRatio), s.Server)
	m.changed = true
}

// Update estimates anew, at most once per solveInterval, and returns the pairs that are named since or are no
// longer.
func (m *Model) Update(now time.Time) (named, dropped []Pair) {
	if !m.changed || now.Sub(m.solved) < solveInterval {
		return nil, nil
	}
	m.changed, m.solved, m.strongest = false, now, Pair{}
	for _, kind := range m.names {
		v := m.victims[kind]
		if v == nil {
			continue
		}
		for i, e := range v.solve(len(m.names)) {
			key := [2]job.Kind{kind, m.names[i]}
			p := Pair{
				Slowed: kind, By: m.names[i], Slowdown: 1 - math.Exp(e.effect), Certainty: -e.effect / e.deviation, Samples: v.samples[i], Servers: len(v.servers[i]),
			}
			if p.Certainty > m.strongest.Certainty {
				m.strongest = p
			}
			old, was := m.named[key]
			switch {
			case was && (p.Certainty < unsureAt || p.Slowdown < minSlowdown/2):
				delete(m.named, key)
				dropped = append(dropped, old)
			case was:
				m.named[key] = p
			case p.Certainty >= sureAt && p.Slowdown >= minSlowdown && p.Samples >= minSamples && p.Servers >= minServers:
				m.named[key] = p
				named = append(named, p)
			}
		}
	}
	return named, dropped
}

// Strongest returns the most certain pair of the last update, also one that is not sure.
func (m *Model) Strongest() Pair { return m.strongest }

// Pairs lists the pairs that are sure, sorted by their kinds.
func (m *Model) Pairs() []Pair {
	list := make([]Pair, 0, len(m.named))
	for _, p := range m.named {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Pair) int {
		if d := strings.Compare(string(a.Slowed), string(b.Slowed)); d != 0 {
			return d
		}
		return strings.Compare(string(a.By), string(b.By))
	})
	return list
}
