package fleet

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// server is a backend server as the holder sees it under its token.
type server struct {
	entry    ServerEntry
	listed   bool
	listedAt time.Time // when it was last listed
	// drainingSince is when it was first listed as draining.
	drainingSince time.Time
	// surveyed tells that it has reported under this token.
	surveyed bool
	born     int64
	heard    time.Time // when the newest report was received
	// clock is its clock at clockAt; deadline is the latest that was sent to it.
	clock    int64
	clockAt  time.Time
	deadline int64
	// leaseEnd bounds what an older holder may have granted, until the first report.
	leaseEnd time.Time
	holding  bool // a Hold is on its way
	nextHold time.Time
	failing  int // calls without an answer since the newest report

	seen     int64 // ends up to this number are applied
	recorded int64 // ends up to this number are recorded
	told     int64 // the newest number that it was told to forget
	runs     map[string]*run
	// loose are runs that were given up, by task, of which a start may still arrive
	// when the backend server restarts and forgets that they were stopped.
	loose  map[string]*run
	health health
}

func (s *State) serversListed(entries []ServerEntry) {
	present := make(map[model.BackendServerID]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		s.serverListed(e)
	}
	for id, v := range s.servers {
		if v.listed && !present[id] {
			v.listed = false
			s.replan = true
			s.log.Info("backend server no longer listed", zap.String("server", string(id)),
				zap.Int("runs", len(v.runs)), zap.Duration("heard_before", s.now.Sub(v.heard)))
		}
		if !v.listed && len(v.runs) == 0 && v.seen == v.recorded && s.now.Sub(v.listedAt) > unlistedLimit {
			delete(s.servers, id)
		}
	}
}

func (s *State) serverListed(e ServerEntry) {
	v := s.servers[e.ID]
	if v == nil {
		v = &server{runs: make(map[string]*run)}
		s.servers[e.ID] = v
		s.replan = true
	}
	if e.Draining && !v.entry.Draining {
		v.drainingSince = s.now
		s.log.Info("backend server drains", zap.String("server", string(e.ID)), zap.Duration("remaining", e.Remaining))
		s.replan = true
	}
	v.listed, v.listedAt, v.entry = true, s.now, e
	if s.acting() && v.surveyed && e.IncarnationStart > v.born {
		s.reborn(e.ID, v, e.IncarnationStart)
		v.surveyed = false
		v.leaseEnd = s.now.Add(s.longestLease())
		v.nextHold = s.now
	}
}

// reborn begins anew with another incarnation. What ran in the older one is gone, but a
// start may have reached the new one before its birth was known, or may still reach it:
// the next report tells, and a start in doubt is stopped there.
func (s *State) reborn(id model.BackendServerID, v *server, born int64) {
	s.log.Info("backend server restarted", zap.String("server", string(id)), zap.Int64("born", born), zap.Int("runs", len(v.runs)))
	v.born, v.seen, v.recorded, v.told, v.deadline, v.clock = born, 0, 0, 0, 0, 0
	for _, r := range v.runs {
		if r.mayArrive(s.now) {
			r.doubt, r.fencedOff = true, false
		}
	}
	for _, name := range eventloop.SortedKeys(v.loose) {
		r := v.loose[name]
		if v.runs[name] == nil && r.mayArrive(s.now) {
			r.phase, r.stray, r.stopping, r.doubt, r.fencedOff = runOrdered, true, false, true, false
			v.runs[name] = r
			s.strays[name]++
			s.wantStop(r, "its start may still arrive after the restart")
		}
		delete(v.loose, name)
	}
}

// maxDelivery is how long after its sender gave up a call may still be carried out.
const maxDelivery = 15 * time.Second

// mayArrive reports whether a start of the run may still reach a new incarnation.
func (r *run) mayArrive(now time.Time) bool {
	return r.inFlight || !r.unanswered.IsZero() && now.Sub(r.unanswered) < maxDelivery
}

// poll asks a backend server for a report when that is due.
func (s *State) poll(id model.BackendServerID, v *server) {
	if v.holding || s.now.Before(v.nextHold) || v.entry.Address == "" {
		return
	}
	if !v.listed && v.failing > 0 && len(v.runs) == 0 {
		return
	}
	s.hold(id, v)
}

// hold asks for a report. A backend server that does not answer has its leases extended
// no more, so that it is certain when they end.
func (s *State) hold(id model.BackendServerID, v *server) {
	o := Hold{Server: id, Address: v.entry.Address, Token: s.term.token}
	if v.surveyed {
		o.AcknowledgedEnd = v.recorded
		if len(v.runs) > 0 {
			o.Wait = s.reportWait(v)
		}
		if v.failing == 0 && !s.isolated() {
			o.Deadline = s.extend(v, lease)
		}
	}
	v.holding = true
	s.emit(OrderHold{o})
}

// reportWait is shorter while a run there has not shown progress yet, so that one that
// hangs is found early.
func (s *State) reportWait(v *server) time.Duration {
	for _, r := range v.runs {
		if r.percent == 0 && !r.step().LongRunning && s.now.Sub(r.startedAt) < 2*stallMinimum {
			return earlyHoldWait
		}
	}
	return holdWait
}

// extend returns the deadline that lies d ahead on the backend server's clock, or 0
// when its clock is not known.
func (s *State) extend(v *server, d time.Duration) int64 {
	if v.clock == 0 {
		return 0
	}
	d = min(d, s.bounds.LeaseMax)
	deadline := v.clock + (s.now.Sub(v.clockAt) + d).Milliseconds()
	v.deadline = max(v.deadline, deadline)
	return deadline
}

// longestLease is how long a lease lasts at most, on our clock.
func (s *State) longestLease() time.Duration {
	return time.Duration(float64(s.bounds.LeaseMax) * slowClock)
}

// clockTold takes a reading of the backend server's clock.
func (s *State) clockTold(v *server, clock int64) {
	if clock > v.clock {
		v.clock, v.clockAt = clock, s.now
	}
}

// leasesOver is when everything that runs there has certainly lapsed.
func (v *server) leasesOver() time.Time {
	if v.clock == 0 || !v.surveyed {
		return v.leaseEnd
	}
	left := time.Duration(max(v.deadline-v.clock, 0)) * time.Millisecond
	over := v.clockAt.Add(time.Duration(float64(left)*slowClock) + clockSlack)
	if v.leaseEnd.After(over) {
		return v.leaseEnd
	}
	return over
}

// expireLeases gives up what ran on a backend server that has been silent for longer
// than any lease there can last.
func (s *State) expireLeases(id model.BackendServerID, v *server) {
	if len(v.runs) == 0 || v.surveyed && v.failing == 0 || s.now.Before(v.leasesOver()) {
		return
	}
	s.log.Warn("leases ended on a silent backend server", zap.String("server", string(id)),
		zap.Int("runs", len(v.runs)), zap.Duration("heard_before", s.now.Sub(v.heard)))
	for _, name := range eventloop.SortedKeys(v.runs) {
		if r := v.runs[name]; r.phase != runRecording {
			s.release(v, r, "lease ended")
		}
	}
}

func (s *State) holdAnswered(e HoldAnswered) {
	if !s.acting() || e.Order.Token != s.term.token {
		return
	}
	v := s.servers[e.Order.Server]
	if v == nil {
		return
	}
	v.holding = false
	s.touch(v)
	if e.Err != nil {
		s.holdFailed(e, v)
		return
	}
	if v.failing > 0 {
		s.log.Info("backend server answers again", zap.String("server", string(e.Order.Server)), zap.Int("failed_calls", v.failing))
	}
	v.failing = 0
	v.heard = s.now
	first := !v.surveyed
	if e.Report.IncarnationStart != v.born {
		if v.born != 0 && e.Report.IncarnationStart < v.born {
			return // from an incarnation that is gone
		}
		if v.born != 0 {
			s.reborn(e.Order.Server, v, e.Report.IncarnationStart)
		}
		v.born = e.Report.IncarnationStart
	}
	s.clockTold(v, e.Report.Clock)
	v.told = max(v.told, e.Order.AcknowledgedEnd)
	if first {
		s.firstReport(e.Order.Server, v)
	}
	s.applyReport(v, e)
	v.nextHold = s.nextHold(v)
}

// firstReport prepares for the first report under this token.
func (s *State) firstReport(id model.BackendServerID, v *server) {
	v.surveyed = true
	v.leaseEnd = time.Time{}
	if n := s.noted[id]; n.Born == v.born {
		v.seen, v.recorded = max(v.seen, n.Number), max(v.recorded, n.Number)
	}
	s.replan = true
}

// nextHold is when a backend server is asked again: at once when something runs there
// or has to be acknowledged. While ends are not recorded yet it would repeat them at
// once; recording them makes it due.
func (s *State) nextHold(v *server) time.Time {
	if v.seen > v.recorded {
		return s.now.Add(unrecordedHold)
	}
	if len(v.runs) > 0 || v.recorded > v.told {
		return s.now
	}
	return s.now.Add(idleHold)
}

func (s *State) holdFailed(e HoldAnswered, v *server) {
	var refused *RefusedError
	if errors.As(e.Err, &refused) {
		if refused.Reason == RefusedFenced {
			s.stepDown("fenced by a backend server", string(e.Order.Server))
			return
		}
		v.nextHold = s.now.Add(holdRetry)
		return
	}
	v.failing++
	v.nextHold = s.now.Add(holdRetry)
	if v.failing == 1 {
		s.log.Info("backend server does not answer", zap.String("server", string(e.Order.Server)),
			zap.Int("runs", len(v.runs)), zap.Error(e.Err))
		s.replan = true
	}
}

// applyReport compares a report with what the holder expects.
func (s *State) applyReport(v *server, e HoldAnswered) {
	for _, end := range e.Report.Ended {
		if !s.endReported(v, end) {
			s.log.Info("ends wait for submissions to be read", zap.String("server", string(v.entry.ID)), zap.Int64("end", end.Number))
			return
		}
	}
	running := make(map[string]bool, len(e.Report.Running))
	for _, row := range e.Report.Running {
		running[row.Task] = true
		s.runReported(v, row)
	}
	if len(e.Report.Ended) >= endsPerReport {
		return
	}
	for _, name := range eventloop.SortedKeys(v.runs) {
		if r := v.runs[name]; r != nil && !running[name] {
			s.runMissing(v, r, e.Sent)
		}
	}
}

// runReported takes over what a report says of a running task.
func (s *State) runReported(v *server, row RunReport) {
	r := v.runs[row.Task]
	if r == nil || r.number != row.Run {
		s.unexpectedRun(v, row)
		return
	}
	if r.phase != runRunning {
		s.confirmed(r, s.workDone(r, row.Percent))
	}
	r.doubt, r.reportedAt = false, s.now
	if r.pace.Observe(row.Percent, s.now) {
		s.paceMeasured(v, r)
	}
	if row.Percent != r.percent {
		r.percent, r.progressAt = row.Percent, s.now
	}
	if row.Checkpoint != "" {
		s.checkpointed(r.group, r.index, row.Run, row.Checkpoint)
	}
}

// unexpectedRun stops a run that should not be there.
func (s *State) unexpectedRun(v *server, row RunReport) {
	g, index, err := s.groupOf(row.Task)
	if err != nil {
		s.log.Error("a backend server runs an unknown task", zap.String("server", string(v.entry.ID)), zap.Error(err))
		return
	}
	if g == nil {
		s.log.Warn("a backend server runs a task of a job that is not known", zap.String("server", string(v.entry.ID)), zap.String("task", row.Task))
		return
	}
	if old := v.runs[row.Task]; old != nil {
		if old.number > row.Run {
			return // its newer run has been ordered; the report is older
		}
		s.forget(v, old)
	}
	r := &run{group: g, index: index, name: row.Task, number: row.Run, server: v.entry.ID, phase: runRunning, stray: true, startedAt: s.now, progressAt: s.now}
	v.runs[row.Task] = r
	s.strays[row.Task]++
	s.wantStop(r, "not expected there")
}

// groupOf finds the group of a task by its name; nil when its job is not known.
func (s *State) groupOf(name string) (g *job.Group, index int, err error) {
	key, index, err := job.ParseTaskName(name)
	if err != nil {
		return nil, 0, err
	}
	st := s.jobs.Job(key.Job)
	if st == nil {
		return nil, 0, nil
	}
	if g = st.Group(key.Occurrence, key.Step); g == nil || index >= len(g.Tasks) {
		return nil, 0, nil
	}
	return g, index, nil
}

// runMissing follows up a run that a report sent at sent does not list.
func (s *State) runMissing(v *server, r *run, sent time.Time) {
	if r.phase == runRecording || r.inFlight || !sent.After(r.answered) {
		return
	}
	if r.doubt && !r.fencedOff {
		s.wantStop(r, "start in doubt")
		return
	}
	s.release(v, r, "no longer there")
}
