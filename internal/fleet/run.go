package fleet

import (
	"errors"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/interference"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/straggler"
)

// runPhase is the state of a run as far as the holder knows it.
type runPhase int

const (
	runRecording runPhase = iota // its placement is not stored yet
	runOrdered                   // its start order was sent
	runRunning                   // the backend server has confirmed the start
	runAdopting                  // placed by a previous holder, and not reported yet
)

// run is one run of a task on a backend server. It counts against the capacity there until
// its end is reported or certain.
type run struct {
	group  *job.Group
	index  int
	name   string
	number int64
	server model.BackendServerID
	phase  runPhase

	placedAt, orderedAt, startedAt time.Time
	inFlight                       bool      // a start or stop order is unanswered
	startInFlight                  bool      // it is a start order
	answeredAt                     time.Time // when a start or stop order was last answered
	nextCallAt                     time.Time // the earliest time for the next order
	// startInDoubt is set while a start order without an answer may still be carried out;
	// stopConfirmed once a stop was confirmed after it, which rules that out.
	startInDoubt, stopConfirmed bool
	// unansweredAt is when a start order last failed without an answer. The order may reach a
	// later incarnation of the backend server even after another start was confirmed.
	unansweredAt  time.Time
	stopping      bool
	stoppingSince time.Time
	orphan        bool // not the task's current run
	lossRecorded  bool // the loss of its backend server is recorded with its task
	// earlier is the number of an earlier run of the task while reports list that on the same backend server; else 0.
	earlier int64
	// apart is set if the tasks of its step may have been placed on several racks.
	apart bool
	// reached is set if a start order may have reached the backend server.
	reached bool

	percent    int
	progress   straggler.Progress
	progressAt time.Time
	reportedAt time.Time // when a report last listed it
	// progressClock and reportedClock are the same on the backend server's clock, milliseconds: reports may wait
	// for a holder that is paused.
	progressClock, reportedClock int64
	// listedSince is when a report first listed it in the present incarnation of its backend server, on the
	// latter's clock, milliseconds; 0 before.
	listedSince int64
	// neighbours compares its pace beside different tasks.
	neighbours interference.Watch
}

// step returns the step that the run belongs to.
func (r *run) step() *job.Step { return r.group.Step() }

// current reports whether the run is the one that its task was placed as.
func (r *run) current() bool {
	t := &r.group.Tasks[r.index]
	return !r.orphan && t.Phase == job.Placed && t.Run == r.number && t.Server == r.server
}

// adoptPlaced adds the runs that previous holders have recorded; the first reports of the
// backend servers confirm them.
func (s *State) adoptPlaced() {
	leaseEnd := s.oldLeasesEnd()
	for id, v := range s.servers {
		v.runs, v.load = make(map[string]*run), nil
		v.token, v.leaseEnd = s.term.token, leaseEnd
		v.nextHoldAt = s.now
		s.observeUnreached(id, v)
	}
	for _, a := range s.arrivals {
		if v := s.servers[a.server]; v != nil {
			v.startsArriveUntil = maxTime(v.startsArriveUntil, a.until)
		}
	}
	s.jobs.ForEach(func(st *job.State) {
		s.adoptJob(st, leaseEnd)
		if st.CompactionDue() {
			s.writer.compact[st.Job.ID] = st
		}
	})
}

// adoptJob adds the runs of a job's placed tasks that are not known yet.
func (s *State) adoptJob(st *job.State, leaseEnd time.Time) {
	st.ForEachGroup(func(g *job.Group) {
		for i := range g.Tasks {
			t := &g.Tasks[i]
			for _, c := range t.Crashes {
				s.crashed[c.Server] = true
			}
			if t.Phase != job.Placed {
				continue
			}
			if v := s.servers[t.Server]; v == nil || v.runs[g.Key().TaskName(i)] == nil {
				s.adopt(g, i, leaseEnd)
			}
		}
	})
}

func (s *State) adopt(g *job.Group, index int, leaseEnd time.Time) {
	t := &g.Tasks[index]
	v := s.servers[t.Server]
	if v == nil {
		v = s.addServer(t.Server)
		v.leaseEnd = maxTime(v.leaseEnd, leaseEnd)
	}
	name := g.Key().TaskName(index)
	r := &run{
		group: g, index: index, name: name, number: t.Run, server: t.Server, phase: runAdopting,
		startedAt: s.now, progressAt: s.now, apart: true,
	}
	if a := s.arrivals[name]; a.server == r.server {
		r.unansweredAt = a.until.Add(-maxDeliveryDelay)
	}
	v.putRun(r)
}

// superviseRuns sends the start and stop orders that are due on a backend server.
func (s *State) superviseRuns(v *server) {
	var due []*run
	for _, r := range v.runs {
		if s.needsAction(v, r) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *run) int { return strings.Compare(a.name, b.name) })
	for _, r := range due {
		s.superviseRun(v, r)
	}
}

// needsAction reports whether a run may need an order or a decision.
func (s *State) needsAction(v *server, r *run) bool {
	if r.phase == runRecording || r.inFlight || s.now.Before(r.nextCallAt) {
		return false
	}
	st := r.group.State
	return r.stopping || r.startInDoubt || st.Cancelled || st.Recorded.Final() || v.entry.Draining || s.stalled(r) || r.group.Failed()
}

func (s *State) superviseRun(v *server, r *run) {
	st := r.group.State
	if !r.stopping && (st.Cancelled || r.group.Failed() || st.Recorded == job.StatusFailed) {
		s.requestStop(r, stopNotNeeded, "job ended")
	}
	if !r.stopping && r.startInDoubt && !r.current() {
		s.requestStop(r, stopNotNeeded, "task is done")
	}
	if r.stopping {
		if v.entry.Address != "" && v.token != 0 && !r.stopConfirmed {
			s.orderStop(v, r)
		}
		return
	}
	if v.entry.Draining && s.outlasts(v, r) {
		s.requestStop(r, stopDraining, "backend server leaves before its end")
		return
	}
	if s.stalled(r) {
		s.stopStalled(v, r)
		return
	}
	if r.phase == runOrdered && r.startInDoubt {
		o := s.obstacle(v, r)
		if o == noObstacle {
			o = s.obstacleOfGang(r)
		}
		switch {
		case o.lasts():
			s.requestStop(r, stopInDoubt, "start without an answer: "+string(o))
		case s.now.Sub(r.orderedAt) > startRetryPeriod && v.failedCalls > 0, s.now.Sub(r.orderedAt) > startRetryLimit:
			s.requestStop(r, stopInDoubt, "start without an answer")
		case o == noObstacle && s.firstReportsIn():
			s.orderStart(v, r)
		}
	}
}

// startIsMissing reports whether a run that a previous holder has placed, and that is missing from a report, was
// not started yet: its end would be recorded if it had ended in this incarnation. It may be started now if what its
// placement rests on still holds.
func (s *State) startIsMissing(v *server, r *run) bool {
	j := r.group.State.Job
	return v.reachedBefore && r.current() && !r.stopping && !j.Advised && s.config != nil && s.currentService(j) == v.entry.Service && r.gangIsPlaced()
}

// gangIsPlaced reports whether all members of the run's gang are placed under its number; true if it has no gang.
func (r *run) gangIsPlaced() bool {
	return !r.step().Gang || !slices.ContainsFunc(r.group.Tasks, func(t job.Task) bool { return t.Phase != job.Placed || t.Run != r.number })
}

// repeatStart has the start order of a previous holder sent again. To place the task elsewhere would start it twice
// if the first order arrived late in a next incarnation.
func (s *State) repeatStart(v *server, r *run) {
	r.phase, r.startInDoubt, r.placedAt, r.orderedAt = runOrdered, true, s.now, s.now
	r.unansweredAt = s.term.takenAt.Add(holderAuthority)
	s.expectArrival(r)
	s.touch(v)
	s.log.Info("start of a previous holder is repeated", zap.String("task", r.name), zap.Int64("run", r.number), zap.String("server", string(r.server)))
}

// firstReportsIn reports whether all listed backend servers have reported after the take-over, or had the time to:
// one of them may have an earlier run of a task whose start is to be repeated.
func (s *State) firstReportsIn() bool {
	if s.now.Sub(s.term.takenAt) >= firstReportTimeout {
		return true
	}
	for _, v := range s.servers {
		if v.listed && !v.hasReported {
			return false
		}
	}
	return true
}

// obstacle is why a start order must not be sent now.
type obstacle string

const (
	noObstacle           obstacle = ""
	serverLeaves         obstacle = "the backend server leaves"
	zoneEvacuated        obstacle = "the availability zone is evacuated"
	serverUnlisted       obstacle = "the backend server is no longer listed"
	serverRestarted      obstacle = "the backend server has started again"
	entryOld             obstacle = "the backend server's entry is that of another incarnation"
	capacityShrunk       obstacle = "the backend server's capacity has shrunk"
	cancellationsUnknown obstacle = "cancellations are not known up to now"
	listTooOld           obstacle = "the list of backend servers or of evacuations is too old"
	termUnconfirmed      obstacle = "another VM may hold the term"
	earlierRunWorks      obstacle = "an earlier run of the task has not ended"
)

// lasts reports whether the start can't be expected to become possible on the same backend server soon.
func (o obstacle) lasts() bool {
	return o == serverLeaves || o == zoneEvacuated || o == serverUnlisted || o == capacityShrunk
}

// obstacle looks again at what a placement rests on. It is called right before each start order,
// since the run may have waited for its record or for an answer to an earlier order.
func (s *State) obstacle(v *server, r *run) obstacle {
	switch {
	case v.entry.Draining:
		return serverLeaves
	case s.isEvacuated(v):
		return zoneEvacuated
	case !v.listed:
		return serverUnlisted
	case !v.hasReported:
		return serverRestarted
	case v.entryIsOld() && r.step().Label != "" || s.capacityUnknown(v):
		return entryOld
	case !v.reserved().FitsIn(v.entry.Capacity):
		return capacityShrunk
	case !s.cancellationsKnown(r.group.State.Job.ID):
		return cancellationsUnknown
	case !s.now.Before(s.startLimit(r.group.State.Job.ID)):
		return listTooOld
	case !s.mayAct():
		return termUnconfirmed
	case r.earlier != 0 || !r.orphan && s.earlierRunIsThere(r):
		return earlierRunWorks
	default:
		return noObstacle
	}
}

// obstacleOfGang returns what lasts and keeps another member of the run's gang, whose start order is without an answer
// too, from being started.
func (s *State) obstacleOfGang(r *run) obstacle {
	if !r.step().Gang {
		return noObstacle
	}
	for i := range r.group.Tasks {
		m := s.currentRun(r.group, i)
		if m == nil || m == r || m.number != r.number || m.phase != runOrdered || !m.startInDoubt {
			continue
		}
		if o := s.obstacle(s.servers[m.server], m); o.lasts() {
			return o
		}
	}
	return noObstacle
}

// earlierRunIsThere reports whether a run of the task that is not its current one is known to be on a backend server,
// or one of any task of its gang.
func (s *State) earlierRunIsThere(r *run) bool {
	if len(s.orphans) == 0 || !r.step().Gang {
		return s.orphans[r.name] > 0
	}
	for i := range r.group.Tasks {
		if s.orphans[r.group.Key().TaskName(i)] > 0 {
			return true
		}
	}
	return false
}

// reserved is what all runs on the backend server take of its capacity, also those that are being
// stopped.
func (v *server) reserved() job.Resources {
	var sum job.Resources
	for _, r := range v.runs {
		sum = sum.Add(r.step().Reserved())
	}
	return sum
}

// startLimit is the latest time to send a start order for a task of the job with the present
// knowledge of cancellations, of backend servers that leave and of evacuations.
func (s *State) startLimit(id model.JobID) time.Time {
	drains := s.announcementsKnownAsOf().Add(s.bounds.DrainBound - min(deliveryMargin, s.bounds.DrainBound/5))
	cancellations := s.readAsOf[SubmissionPartition(id)].Add(s.bounds.CancelBound - deliveryMargin)
	limit := minTime(drains, cancellations)
	if s.bounds.EvacuationBound > 0 {
		limit = minTime(limit, s.evacuationLimit())
	}
	return limit
}

// cancellationsKnown reports whether submissions were read recently enough to start a task of
// the job: a cancellation acknowledged more than CancelBound before the start is then known.
func (s *State) cancellationsKnown(id model.JobID) bool {
	return s.now.Sub(s.readAsOf[SubmissionPartition(id)]) <= s.bounds.CancelBound-startMargin
}

func (s *State) orderStart(v *server, r *run) {
	span := leaseDuration
	if s.onlyUnconfirmed(v) {
		span = firstLeaseDuration
	}
	t := &r.group.Tasks[r.index]
	r.inFlight, r.startInFlight = true, true
	s.startsUnderWay++
	s.emit(OrderStart{Start{
		Server:      r.server,
		Address:     v.entry.Address,
		Task:        r.name,
		Run:         r.number,
		Payload:     r.group.State.Job.Payload,
		Deadline:    s.extendLease(v, span),
		Token:       v.token,
		Checkpoint:  t.Checkpoint,
		Ticket:      s.ticketFor(r),
		Priority:    r.group.State.Job.Priority,
		SendBefore:  minTime(s.startLimit(r.group.State.Job.ID), s.now.Add(firstLeaseDuration/2)),
		ServerClock: v.clock,
		DecidedAt:   r.placedAt,
		ListedAsOf:  s.serversAsOf,
	}})
	if !v.holdInFlight {
		v.nextHoldAt = s.now
	}
}

// onlyUnconfirmed reports whether no run on a backend server is known or expected to run. A
// short lease then suffices, and a start without an answer is in doubt for a shorter time.
func (s *State) onlyUnconfirmed(v *server) bool {
	for _, r := range v.runs {
		if r.phase == runRunning || r.phase == runAdopting {
			return false
		}
	}
	return true
}

func (s *State) orderStop(v *server, r *run) {
	r.inFlight = true
	s.emit(OrderStop{Stop{Server: r.server, Address: v.entry.Address, Task: r.name, Run: r.number, Token: v.token, ServerClock: v.clock}})
}

// requestStop has a run stopped, together with the other members of its gang.
func (s *State) requestStop(r *run, cause stopCause, reason string) {
	if r.stopping {
		return
	}
	r.stopping, r.stoppingSince = true, s.now
	r.nextCallAt = time.Time{}
	s.countStop(r, cause)
	if v := s.servers[r.server]; v != nil {
		s.touch(v)
	}
	s.log.Info("run is stopped", zap.String("task", r.name), zap.Int64("run", r.number),
		zap.String("server", string(r.server)), zap.String("reason", reason))
	if r.step().Gang && r.current() {
		s.stopGang(r.group, r.number, cause, reason)
	}
}

// gangReasonPrefix is the prefix of a stop's reason that comes from another member of the gang.
const gangReasonPrefix = "gang member: "

// stopGang stops all members of a gang that have the given run number.
func (s *State) stopGang(g *job.Group, number int64, cause stopCause, reason string) {
	for i := range g.Tasks {
		if m := s.currentRun(g, i); m != nil && m.number == number {
			s.requestStop(m, cause, gangReasonPrefix+strings.TrimPrefix(reason, gangReasonPrefix))
		}
	}
}

// currentRun returns the current run of a placed task; nil if there is none.
func (s *State) currentRun(g *job.Group, index int) *run {
	t := &g.Tasks[index]
	if t.Phase != job.Placed {
		return nil
	}
	v := s.servers[t.Server]
	if v == nil {
		return nil
	}
	if r := v.runs[g.Key().TaskName(index)]; r != nil && r.number == t.Run {
		return r
	}
	return nil
}

// requeue removes a run that is certainly not running, and makes its task wait for placement.
func (s *State) requeue(v *server, r *run, reason string) {
	s.removeRun(v, r)
	s.touch(v)
	s.replan = true
	s.keepAbandoned(v, r)
	s.keepEarlier(v, r)
	if !r.current() {
		return
	}
	r.group.Tasks[r.index].Phase = job.Waiting
	s.markDirty(r.group, r.index)
	s.log.Info("task waits again", zap.String("task", r.name), zap.Int64("run", r.number),
		zap.String("server", string(r.server)), zap.String("reason", reason), zap.Bool("start_may_arrive", r.startMayArrive(s.now)),
		zap.Duration("arrives_within", max(s.arrivals[r.name].until.Sub(s.now), 0)), zap.Bool("restarts_seen", s.restartsSeen))
	if r.step().Gang {
		s.stopGang(r.group, r.number, stopGangBroken, reason)
	}
}

// removeRun removes a run from the state of its backend server.
func (s *State) removeRun(v *server, r *run) {
	if v.runs[r.name] != r {
		return
	}
	delete(v.runs, r.name)
	v.load = nil
	if r.orphan {
		if s.orphans[r.name]--; s.orphans[r.name] == 0 {
			delete(s.orphans, r.name)
		}
	}
}

func (s *State) startAnswered(e StartAnswered) {
	if s.holdsTerm() && e.Order.Token >= s.term.token {
		s.startsUnderWay--
	}
	v, r := s.orderedRun(e.Order.Token, e.Order.Server, e.Order.Task, e.Order.Run)
	if r == nil {
		return
	}
	r.inFlight, r.startInFlight = false, false
	r.answeredAt = s.now
	var refused *RefusedError
	switch {
	case e.Err == nil:
		s.observeClock(v, e.Clock, e.Order.ServerClock)
		mayHaveRun := r.startInDoubt // since an earlier order
		r.startInDoubt = false
		if r.phase == runOrdered {
			s.markRunning(r, 0, e.Clock)
			if e.Order.Checkpoint == "" && !mayHaveRun {
				r.progress = straggler.NewProgress(0, serverTime(e.Clock))
			}
		}
	case errors.As(e.Err, &refused):
		if refused.Reason != RefusedOtherIncarnation {
			s.observeClock(v, refused.Clock, e.Order.ServerClock)
		}
		if v.token != 0 {
			s.startRefused(v, r, refused)
		}
	case errors.Is(e.Err, ErrExpired):
		s.startExpired(v, r)
	default:
		r.startInDoubt, v.grantedAt = true, s.now
		v.callsArriveUntil = maxTime(v.callsArriveUntil, s.now.Add(maxDeliveryDelay))
		if !errors.Is(e.Err, ErrNoEffect) {
			r.reached, r.unansweredAt = true, s.now
			s.expectArrival(r)
		}
		r.nextCallAt = s.now.Add(holdRetry)
		s.log.Info("start order was not answered", zap.String("task", r.name), zap.Int64("run", r.number),
			zap.String("server", string(r.server)), zap.Error(e.Err))
	}
}

// startExpired handles a start order that was not sent. An earlier order for the same run may
// still be in doubt.
func (s *State) startExpired(v *server, r *run) {
	s.metrics.StartsExpired.Inc(1)
	s.log.Info("start order was not sent in time", zap.String("task", r.name), zap.Int64("run", r.number), zap.String("server", string(r.server)),
		zap.Bool("in_doubt", r.startInDoubt), zap.Bool("listed", r.phase == runRunning))
	if r.phase == runRunning {
		return // a report has listed it since the order was decided
	}
	if r.startInDoubt {
		r.nextCallAt = s.now.Add(holdRetry)
		return
	}
	s.requeue(v, r, "its start order could not be sent in time")
}

// markRunning marks a run as running at a reading of the backend server's clock; worked is the time for
// which it has already run.
func (s *State) markRunning(r *run, worked time.Duration, clock int64) {
	r.phase = runRunning
	r.startedAt = s.now.Add(-worked)
	r.progressAt, r.reportedAt = s.now, s.now
	r.progressClock, r.reportedClock = clock, clock
}

// serverTime is a reading of a backend server's clock, milliseconds, as a time.
func serverTime(clock int64) time.Time { return time.UnixMilli(clock) }

func (s *State) startRefused(v *server, r *run, refused *RefusedError) {
	s.metrics.StartsRefused.Inc(1)
	s.log.Info("start refused", zap.String("task", r.name), zap.Int64("run", r.number),
		zap.String("server", string(r.server)), zap.String("reason", string(refused.Reason)), zap.Bool("in_doubt", r.startInDoubt))
	switch refused.Reason {
	case RefusedFenced:
		s.stepDown("fenced by a backend server", string(r.server))
		return
	case RefusedOldRun:
		r.startInDoubt = false // it ended or was stopped there; the next report shows which
		return
	case RefusedNoTicket:
		delete(s.advice, r.group.Key().String())
	case RefusedUnhealthy, RefusedOtherIncarnation, RefusedNoCapacity:
		v.health.pauseAfterRefusal(s.now, refused.Reason)
		v.nextHoldAt = s.now
	}
	if r.phase == runRunning {
		return // a report has listed it since the order was decided; the next one tells whether it still runs
	}
	if r.startInDoubt {
		s.requestStop(r, stopInDoubt, "refused after a start in doubt")
		return
	}
	s.requeue(v, r, "start refused: "+string(refused.Reason))
}

func (s *State) stopAnswered(e StopAnswered) {
	v, r := s.orderedRun(e.Order.Token, e.Order.Server, e.Order.Task, e.Order.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	r.nextCallAt = s.now.Add(stopRetry)
	var refused *RefusedError
	switch {
	case e.Err == nil:
		r.answeredAt = s.now
		r.stopConfirmed = true
		s.observeClock(v, e.Clock, e.Order.ServerClock)
		v.nextHoldAt = s.now
	case errors.As(e.Err, &refused):
		r.answeredAt = s.now
		if refused.Reason == RefusedFenced {
			s.stepDown("fenced by a backend server", string(r.server))
		}
	default:
		s.log.Info("stop order was not answered", zap.String("task", r.name), zap.Int64("run", r.number),
			zap.String("server", string(r.server)), zap.Error(e.Err))
	}
}

// orderedRun returns the run of an answered order, nil if it is no longer known or the order
// has an older token.
func (s *State) orderedRun(token int64, id model.BackendServerID, name string, number int64) (*server, *run) {
	v := s.servers[id]
	if !s.holdsTerm() || v == nil || token != v.token {
		return nil, nil
	}
	r := v.runs[name]
	if r == nil || r.number != number {
		return nil, nil
	}
	s.touch(v)
	return v, r
}

// handleEndReport applies a reported end once. It returns false if the end and those after
// it have to wait: its job is unknown, but its submission may be stored and not read yet.
func (s *State) handleEndReport(v *server, e EndReport) bool {
	if e.Number <= v.appliedEnd {
		return true
	}
	g, index, err := s.groupOf(e.Task)
	if err == nil && g == nil && !s.submissionKnown(e.Task) {
		return false
	}
	v.appliedEnd = e.Number
	s.writer.servers[v.entry.ID] = true
	s.replan = true
	r := v.runs[e.Task]
	if r != nil && r.number == e.Run {
		if e.Outcome == EndedDone {
			s.observeEnd(v, r)
		}
		s.removeRun(v, r)
		s.keepAbandoned(v, r)
		s.keepEarlier(v, r)
	}
	if err != nil {
		s.log.Error("an end report has an invalid task name", zap.String("server", string(v.entry.ID)), zap.Error(err))
		return true
	}
	if g == nil {
		s.log.Warn("an end report names a job that is not stored", zap.String("server", string(v.entry.ID)), zap.String("task", e.Task))
		return true
	}
	s.log.Info("run ended", zap.String("task", e.Task), zap.Int64("run", e.Run), zap.String("server", string(v.entry.ID)),
		zap.String("how", string(e.Outcome)), zap.Int64("end", e.Number))
	if e.Checkpoint != "" {
		s.saveCheckpoint(g, index, e.Run, e.Checkpoint)
	}
	s.applyEnd(v, g, index, e)
	return true
}

// submissionKnown reports whether all submissions stored before this VM took the term have
// been read from the partition of the task's job.
func (s *State) submissionKnown(task string) bool {
	key, _, err := job.ParseTaskName(task)
	return err != nil || !s.readAsOf[SubmissionPartition(key.Job)].Before(s.term.takenAt)
}

func (s *State) applyEnd(v *server, g *job.Group, index int, e EndReport) {
	t := &g.Tasks[index]
	isCurrent := t.Phase == job.Placed && t.Run == e.Run && t.Server == v.entry.ID
	s.markDirty(g, index)
	switch e.Outcome {
	case EndedDone:
		s.metrics.RunsDone.Inc(1)
		v.health.recordSuccess()
		if !g.Step().LongRunning {
			s.markDone(g, index)
			return
		}
	case EndedFailed:
		s.metrics.RunsFailed.Inc(1)
		if t.Phase != job.Done {
			t.Failures++
		}
		s.recordFailure(v, g, index)
	}
	if isCurrent {
		t.Phase = job.Waiting
		if g.Step().Gang {
			s.stopGang(g, e.Run, stopGangBroken, string(e.Outcome))
		}
	}
}

// markDone marks a task as done, or all tasks of a gang, and stops runs that are no longer
// needed.
func (s *State) markDone(g *job.Group, index int) {
	first, last := index, index
	if g.Step().Gang {
		first, last = 0, len(g.Tasks)-1
	}
	for i := first; i <= last; i++ {
		if g.Tasks[i].Phase == job.Done {
			continue
		}
		r := s.currentRun(g, i)
		g.Tasks[i].Phase = job.Done
		if r != nil && !g.Step().Gang {
			s.requestStop(r, stopNotNeeded, "task is done")
		}
	}
	if g.Done() {
		delete(s.stepRates, g.Key())
		s.retire(g)
	}
}

// saveCheckpoint stores the newest checkpoint of a run in its task. A checkpoint of any member
// is valid for the whole gang.
func (s *State) saveCheckpoint(g *job.Group, index int, number int64, checkpoint string) {
	if g.Tasks[index].Run != number {
		return
	}
	if !g.Step().Gang {
		g.Tasks[index].Checkpoint = checkpoint
		return
	}
	for i := range g.Tasks {
		g.Tasks[i].Checkpoint = checkpoint
	}
}

// workDone estimates how long a run whose start was not confirmed has run, from its progress.
func (s *State) workDone(r *run, percent int) time.Duration {
	return s.expectedRuntime(r) * time.Duration(percent) / 100
}
