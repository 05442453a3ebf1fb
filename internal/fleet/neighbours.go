package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/interference"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

// observeNeighbours notes how fast the runs of a report progress beside which others.
func (s *State) observeNeighbours(v *server, rows []RunReport, clock int64) {
	if len(rows) < 2 && !v.hadNeighbours {
		return
	}
	v.hadNeighbours = len(rows) > 1
	all := make(interference.Mix)
	var runs []*run
	for _, row := range rows {
		if r := v.runs[row.Task]; r != nil && r.number == row.Run {
			all[r.kind()]++
			runs = append(runs, r)
		}
	}
	beside := make(map[job.Kind]interference.Mix) // of a run of each kind; not changed after it is given away
	for _, r := range runs {
		if r.stopping || r.step().LongRunning || r.step().Fills || r.step().Gang && len(r.group.Tasks) > 1 {
			continue // the pace of a gang tells of its slowest member only
		}
		kind := r.kind()
		if beside[kind] == nil {
			beside[kind] = without(all, kind)
		}
		if sample, ok := r.neighbours.Report(kind, v.entry.ID, r.percent, serverTime(clock), beside[kind]); ok {
			s.interference.Observe(sample, s.now)
			s.metrics.NeighbourSamples.Inc(1)
		}
	}
}

// kind is the kind of work of a run.
func (r *run) kind() job.Kind { return r.group.State.Job.Kind(r.group.Index) }

// kinds counts the runs on a backend server by kind of work.
func (v *server) kinds() map[job.Kind]int {
	counts := make(map[job.Kind]int)
	for _, r := range v.runs {
		counts[r.kind()]++
	}
	return counts
}

// without returns a mix with one task of a kind less.
func without(all interference.Mix, kind job.Kind) interference.Mix {
	mix := make(interference.Mix, len(all))
	for k, n := range all {
		if k == kind {
			n--
		}
		if n > 0 {
			mix[k] = n
		}
	}
	return mix
}

// interferenceInterval is the time between two reports of what is known of tasks that slow each other down.
const interferenceInterval = 10 * time.Second

// reportInterference logs how much was observed, and the pair that is the most certain so far.
func (s *State) reportInterference() {
	p := s.interference.Strongest()
	if s.now.Sub(s.interferenceReportedAt) < interferenceInterval || p.Slowed == "" {
		return
	}
	s.interferenceReportedAt = s.now
	s.log.Info("interference", append(pairFields(p), zap.Int("pairs", len(s.interference.Pairs())))...)
}

// slowdowns returns the kinds of work that are known to slow each other down, nil if there are none, and logs what has
// become known or is no longer sure.
func (s *State) slowdowns() map[sched.KindPair]float64 {
	named, dropped := s.interference.Update(s.now)
	for _, p := range named {
		s.log.Warn("tasks slow each other down on one backend server", pairFields(p)...)
	}
	for _, p := range dropped {
		s.log.Info("tasks no longer slow each other down", pairFields(p)...)
	}
	s.reportInterference()
	if len(named)+len(dropped) > 0 {
		s.metrics.SlowPairs.Update(float64(len(s.interference.Pairs())))
	}
	return s.knownSlowdowns()
}

// knownSlowdowns returns what slowdowns has found last.
func (s *State) knownSlowdowns() map[sched.KindPair]float64 {
	pairs := s.interference.Pairs()
	if len(pairs) == 0 {
		return nil
	}
	list := make(map[sched.KindPair]float64, len(pairs))
	for _, p := range pairs {
		list[sched.KindPair{Slowed: p.Slowed, By: p.By}] = p.Slowdown
	}
	return list
}

func pairFields(p interference.Pair) []zap.Field {
	return []zap.Field{
		zap.String("slowed", string(p.Slowed)), zap.String("by", string(p.By)), zap.Float64("slowdown", p.Slowdown), zap.Float64("certainty", p.Certainty),
		zap.Float64("samples", p.Samples), zap.Int("servers", p.Servers),
	}
}

// countNeighbours counts the tasks placed apart from, and beside, work that is known to slow them down.
func (s *State) countNeighbours(placements []sched.Placement, known map[sched.KindPair]float64) {
	if len(known) == 0 {
		return
	}
	hurt := make(map[job.Kind]bool)
	for pair := range known {
		hurt[pair.Slowed], hurt[pair.By] = true, true
	}
	for _, p := range placements {
		switch kind := s.jobs.Job(p.Key.Job).Job.Kind(p.Key.Step); {
		case p.Beside > 0:
			s.metrics.PlacedBeside.Inc(1)
		case hurt[kind]:
			s.metrics.PlacedApart.Inc(1)
		}
	}
}
