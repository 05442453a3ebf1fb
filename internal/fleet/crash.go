package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/crash"
	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// provenAfter is how long a run has to have been seen running before a crash of its backend
	// server no longer looks like an effect of its start.
	provenAfter = time.Second
	// exoneratedAfter is how long a run has to have been listed by its backend server to show that its
	// task does not crash backend servers right after its start.
	exoneratedAfter = 5 * time.Second
	// clearedAfter is how long a run has to have been at work to show that its task does not crash
	// its backend servers.
	clearedAfter = time.Minute
	// sameCause is how far apart the losses of backend servers may be that have one cause.
	sameCause = 500 * time.Millisecond
	// othersKnownAfter is how long after a loss others of the same cause are known, from their
	// silence or their entries.
	othersKnownAfter = 2 * time.Second
	// lossMemory is how long the loss of a backend server is remembered: leases end well before.
	lossMemory = 30 * time.Second
	// aliveAfter is how long after a backend server went silent a change of its entry proves that it
	// is alive: one written before is read by then.
	aliveAfter = 2 * time.Second
)

// loss is a backend server that was lost between two moments.
type loss struct {
	server   model.BackendServerID
	from, to time.Time
	// announced is set if it had announced that it leaves.
	announced bool
	// silent is set if calls to it had failed, but none with a connection that its process had closed or
	// refused.
	silent bool
}

// newLoss returns the loss of a backend server that is silent, or is known to have restarted.
func (s *State) newLoss(v *server) loss {
	l := loss{server: v.entry.ID, from: v.reportedAt, to: s.now, announced: v.entry.Draining}
	if v.failedCalls > 0 {
		l.to, l.silent = v.silentSince, !v.disconnected
	}
	return l
}

// untilRestart returns the loss of a backend server that has restarted: one that was merely silent may
// have lasted until now.
func (l loss) untilRestart(now time.Time) loss {
	if l.silent {
		l.to = now
	}
	return l
}

// addLoss remembers a loss, to compare it with others.
func (s *State) addLoss(l loss) {
	s.losses = slices.DeleteFunc(s.losses, func(old loss) bool { return old.server == l.server || s.now.Sub(old.to) > lossMemory })
	s.losses = append(s.losses, l)
}

// othersLost reports whether another backend server was lost at about the same time, without having
// announced that it leaves.
func (s *State) othersLost(l loss) bool {
	return slices.ContainsFunc(s.losses, func(other loss) bool {
		v := s.servers[other.server]
		return other.server != l.server && !other.announced && (v == nil || !v.entry.Draining) &&
			other.from.Before(l.to.Add(sameCause)) && other.to.After(l.from.Add(-sameCause))
	})
}

// proven reports whether the run has been seen running for provenAfter.
func (r *run) proven() bool {
	return r.phase == runRunning && r.reportedAt.Sub(r.startedAt) >= provenAfter
}

// unprovenRuns returns the names of the runs that were not seen running for long.
func (v *server) unprovenRuns() []string {
	var names []string
	for _, name := range eventloop.SortedKeys(v.runs) {
		if !v.runs[name].proven() {
			names = append(names, name)
		}
	}
	return names
}

// incarnation is the start of the newest known incarnation, 0 if none is known.
func (v *server) incarnation() int64 {
	if v.incarnationStart != 0 {
		return v.incarnationStart
	}
	return v.entry.IncarnationStart
}

// recordCrash records with the tasks on a lost backend server that it may have crashed under them.
// It does nothing if the backend server had announced that it leaves, or still writes its entry.
func (s *State) recordCrash(v *server, lost loss, restarted bool) {
	alive := v.listed && v.heartbeatAt.Sub(lost.to) > aliveAfter
	if lost.announced || alive && !restarted {
		return
	}
	var runs []*run
	settled := s.now.Sub(lost.to) >= othersKnownAfter
	l := crash.Loss{Ended: restarted || v.disconnected, OthersLost: !settled || s.othersLost(lost)}
	for _, name := range eventloop.SortedKeys(v.runs) {
		r := v.runs[name]
		if r.lossRecorded || r.phase == runRecording || r.phase == runOrdered && !r.inFlight && !r.reached {
			continue // it was lost with the incarnation before, or has never been on this one
		}
		r.lossRecorded = true
		runs = append(runs, r)
		l.Runs = append(l.Runs, crash.Run{
			Step: r.group.Key(), Proven: r.proven(), StartUnknown: r.phase == runAdopting || r.phase == runOrdered,
			Unseen: lost.silent && lost.to.Sub(r.startedAt) >= provenAfter,
		})
	}
	if len(runs) == 0 {
		return
	}
	s.metrics.ServersLost.Inc(1)
	for i, blame := range crash.Assess(l) {
		s.blameTask(v, runs[i], blame)
	}
}

func (s *State) blameTask(v *server, r *run, blame job.Blame) {
	t := &r.group.Tasks[r.index]
	if blame == job.Unblamed || t.Phase == job.Done || r.group.State.Recorded.Final() {
		return
	}
	t.AddCrash(job.Crash{Server: v.entry.ID, IncarnationStart: v.incarnation(), Blame: blame})
	s.crashed[v.entry.ID] = true
	s.markDirty(r.group, r.index)
	s.log.Info("backend server was lost under a task", zap.String("task", r.name), zap.Int64("run", r.number),
		zap.String("server", string(v.entry.ID)), zap.Stringer("blame", blame), zap.Int("crashes", len(t.Crashes)))
	if t.GivenUp() {
		s.metrics.TasksGivenUp.Inc(1)
		s.log.Warn("task is given up: it crashes its backend servers", zap.String("task", r.name),
			zap.Int("crashes", len(t.Crashes)), zap.Stringer("newest_blame", blame))
	}
}

// clearCrashes forgets the crashes of a task that has been at work for clearedAfter, so that those of
// a task that runs for days do not add up.
func (s *State) clearCrashes(r *run) {
	t := &r.group.Tasks[r.index]
	if len(t.Crashes) == 0 || !r.current() || s.now.Sub(r.startedAt) < clearedAfter {
		return
	}
	s.log.Info("crashes of a task are forgotten: it works", zap.String("task", r.name), zap.Int64("run", r.number), zap.Int("crashes", len(t.Crashes)))
	t.Crashes = nil
	s.markDirty(r.group, r.index)
}

// exonerate lowers the blame of a task for earlier crashes right after its start once the same
// incarnation has listed a run of it for exoneratedAfter. The crashes still count among those of any
// blame, so that a task that crashes its backend servers now early and now late is given up too.
func (s *State) exonerate(r *run) {
	t := &r.group.Tasks[r.index]
	if !r.current() || time.Duration(r.reportedClock-r.listedSince)*time.Millisecond < exoneratedAfter || !t.Exonerate() {
		return
	}
	s.markDirty(r.group, r.index)
	s.log.Info("crashes right after the start of a task are coincidences: it works", zap.String("task", r.name), zap.Int64("run", r.number),
		zap.String("server", string(r.server)), zap.Int("crashes", len(t.Crashes)))
}

// observeAlive takes back the loss of an incarnation that reports: it was merely cut off.
func (s *State) observeAlive(v *server) {
	id := v.entry.ID
	s.losses = slices.DeleteFunc(s.losses, func(l loss) bool { return l.server == id })
	if !s.crashed[id] {
		return
	}
	delete(s.crashed, id)
	s.jobs.ForEach(func(st *job.State) {
		if st.Recorded.Final() {
			return
		}
		st.ForEachGroup(func(g *job.Group) {
			for i := range g.Tasks {
				if g.Tasks[i].RemoveCrash(id, v.incarnationStart) {
					s.markDirty(g, i)
					s.log.Info("backend server was not lost after all", zap.String("task", g.Key().TaskName(i)), zap.String("server", string(id)))
				}
			}
		})
	})
}
