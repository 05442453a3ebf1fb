package fleet

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// server is the holder's state of a backend server under the current token.
type server struct {
	entry    ServerEntry
	largest  job.Resources // the largest capacity that its incarnation has had
	listed   bool
	listedAt time.Time // when it was last listed
	// drainingSince is when it was first listed as draining.
	drainingSince time.Time
	// token is what its orders carry: that of the term, or after a restart that of a record stored since
	// (restart.go). While it is 0, no order is sent.
	token int64
	// hasReported is set once it has reported under its token; reachedBefore if the same incarnation had reported
	// to a holder before that.
	hasReported, reachedBefore bool
	startedAgain               bool // an earlier incarnation had the same ID

	// incarnationStart is of the present incarnation, and earlierIncarnation of the one before, which entries may
	// still name. The times need not rise: the time of day of the server's machine may have been set back.
	incarnationStart, earlierIncarnation int64
	// entryBefore is the incarnation that its entry named before the present one.
	entryBefore int64
	// sameStart is the newest time of start with which the sequence of its entry began anew: two incarnations have it.
	sameStart int64
	// entrySequence is the highest sequence of its entries of the present incarnation.
	entrySequence int64
	reportedAt    time.Time // when the newest report was received
	// reportSentAt is when the newest report was asked for.
	reportSentAt time.Time
	// clock is the reading of its clock at clockAt; deadline is the latest lease deadline that
	// was sent to it.
	clock    int64
	clockAt  time.Time
	deadline int64
	// highestClock is the highest reading of its clock in this incarnation, which an answer at highestClockAt told.
	highestClock   int64
	highestClockAt time.Time
	// leaseEnd bounds the leases that a previous holder, or a call for an earlier incarnation, may have granted.
	leaseEnd time.Time
	// grantedAt is when the newest call that may have granted a lease ended without an answer.
	grantedAt time.Time
	// startsArriveUntil is when all start orders without an answer to it have certainly arrived, as far as this holder
	// knows.
	startsArriveUntil time.Time
	// callsArriveUntil is when all calls that ended without an answer have certainly arrived.
	callsArriveUntil time.Time
	holdInFlight     bool // a Hold to the present incarnation is unanswered
	// restartListedAt is when its entry told of a restart before it had reported: a Hold that was sent earlier went to an
	// earlier incarnation.
	restartListedAt time.Time
	nextHoldAt      time.Time
	failedCalls     int // calls without a report since the newest report
	// silentSince is when the first of these calls failed; disconnected is set if the newest of them
	// ended because the other side closed or refused the connection, or is another incarnation.
	silentSince  time.Time
	disconnected bool
	heartbeatAt  time.Time // when its entry was last seen to have changed
	// writtenAfter is when the list before that was read: the entry was written later.
	writtenAfter time.Time

	appliedEnd      int64 // ends up to this number are applied
	recordedEnd     int64 // ends up to this number are stored
	acknowledgedEnd int64 // ends up to this number were acknowledged to it
	runs            map[string]*run
	load            *load // of the runs, as of the last round; nil if one has changed since
	// abandoned are removed runs, by task, whose start order a new incarnation may still carry out.
	abandoned map[string]*run
	health    health
	// hadNeighbours is set if the newest report listed more than one run.
	hadNeighbours bool
}

func (s *State) serversListed(l ServersListed) {
	if !s.role.active {
		return // read before this VM gave up its role
	}
	before := s.serversAsOf
	if l.AsOf.After(s.serversAsOf) {
		s.serversAsOf = l.AsOf
	}
	present := make(map[model.BackendServerID]bool, len(l.Servers))
	for _, e := range l.Servers {
		present[e.ID] = true
		s.serverListed(e, before)
	}
	for id, v := range s.servers {
		if v.listed && !present[id] {
			v.listed = false
			s.replan = true
			s.log.Info("backend server no longer listed", zap.String("server", string(id)),
				zap.Int("runs", len(v.runs)), zap.Duration("heard_before", s.now.Sub(v.reportedAt)))
		}
		if !v.listed && len(v.runs) == 0 && v.appliedEnd == v.recordedEnd && s.now.Sub(v.listedAt) > unlistedRetention {
			delete(s.servers, id)
		}
	}
}

// serversUnread handles a failed read of the entries. It tells nothing if this VM may have caused the
// failure itself, by too many calls or by being overloaded.
func (s *State) serversUnread(err error) {
	if !errors.Is(err, ErrTooManyCalls) && s.laggingSince.IsZero() {
		s.serversAwayAt = s.now
	}
}

// announcementsKnownAsOf is the time up to which this VM knows which backend servers have announced
// that they leave. While the store does not serve their entries they cannot announce it either, so
// that the last list read remains valid, for maxListAge at most.
func (s *State) announcementsKnownAsOf() time.Time {
	if s.serversAwayAt.After(s.serversAsOf) && s.serversAwayAt.Sub(s.serversAsOf) <= maxListAge {
		return s.serversAwayAt
	}
	return s.serversAsOf
}

// addServer adds a backend server without runs.
func (s *State) addServer(id model.BackendServerID) *server {
	v := &server{entry: ServerEntry{ID: id}, token: s.term.token, runs: make(map[string]*run)}
	s.servers[id] = v
	if !s.holdsTerm() {
		return v
	}
	if s.now.Before(s.term.takenAt.Add(holderAuthority + longestCall + maxDeliveryDelay)) {
		v.leaseEnd = s.oldLeasesEnd() // a call of a previous holder may still arrive
	}
	if _, asked := s.tokens[id]; asked {
		v.callsArriveUntil = s.now.Add(longestCall + maxDeliveryDelay)
		s.awaitToken(id, v) // it may have started again while it was forgotten
	}
	return v
}

// serverListed applies an entry; listBefore is when the list before was read.
func (s *State) serverListed(e ServerEntry, listBefore time.Time) {
	v := s.servers[e.ID]
	if v == nil {
		v = s.addServer(e.ID)
		s.replan = true
	}
	if e.Draining && !v.entry.Draining {
		v.drainingSince = s.now
		s.log.Info("backend server drains", zap.String("server", string(e.ID)), zap.Duration("remaining", e.Remaining))
		s.replan = true
	}
	before := v.entry.IncarnationStart
	if e.Sequence != v.entry.Sequence || e.IncarnationStart != v.entry.IncarnationStart {
		v.heartbeatAt, v.writtenAfter = s.now, listBefore
	}
	startedAnew := v.sequenceBeganAnew(e)
	v.entrySequence = max(v.entrySequence, e.Sequence)
	if e.IncarnationStart != v.entry.IncarnationStart || startedAnew {
		v.largest, v.entrySequence = job.Resources{}, e.Sequence
		switch {
		case startedAnew:
			v.sameStart = e.IncarnationStart
		case v.entry.IncarnationStart != 0:
			v.entryBefore = v.entry.IncarnationStart
		}
	}
	v.largest = v.largest.Max(e.Capacity)
	lost := s.newLoss(v)
	unnoticed := startedAnew && v.clockIsLower(e)
	v.listed, v.listedAt, v.entry = true, s.now, e
	switch {
	case !s.holdsTerm():
	case v.incarnationStart == 0:
		if before != 0 && e.IncarnationStart != 0 && before != e.IncarnationStart {
			v.restartListedAt = s.now
			s.askNextIncarnation(v)
		}
		s.observeUnreached(e.ID, v)
	case unnoticed && e.IncarnationStart == v.incarnationStart:
		s.handleRestart(e.ID, v, e.IncarnationStart, lost)
	case e.IncarnationStart == 0 || e.IncarnationStart == v.incarnationStart || e.IncarnationStart == v.earlierIncarnation:
	case e.IncarnationStart > v.incarnationStart || v.entryBefore == v.incarnationStart:
		s.handleRestart(e.ID, v, e.IncarnationStart, lost)
	}
}

// sequenceBeganAnew reports whether an entry is of another incarnation that tells the same time of start. An entry
// without a sequence or a clock tells nothing.
func (v *server) sequenceBeganAnew(e ServerEntry) bool {
	complete := e.IncarnationStart != 0 && e.Sequence != 0 && e.Clock != 0
	return complete && e.IncarnationStart == v.entry.IncarnationStart && e.Sequence < v.entrySequence
}

// clockIsLower reports whether an entry that was written after the one before was listed has a lower clock than the
// known incarnation has had by then. If not, an answer has told of the restart already.
func (v *server) clockIsLower(e ServerEntry) bool {
	passed := max(v.highestClockAt.Sub(v.listedAt), 0) + clockOvertaking
	return e.Clock < v.highestClock-passed.Milliseconds()
}

// entryIsOld reports whether the entry tells of another incarnation than the one that reports. The latter may be of
// another kind: its labels and its capacity are not known then.
func (v *server) entryIsOld() bool {
	return v.incarnationStart != 0 && v.entry.IncarnationStart != 0 && v.entry.IncarnationStart != v.incarnationStart
}

// capacityUnknown reports whether a backend server could be filled beyond its capacity, which is not known and which it
// does not guard.
func (s *State) capacityUnknown(v *server) bool {
	return v.entryIsOld() && !s.config.Services[v.entry.Service].EnforcesCapacity
}

// poll requests a report from a backend server when that is due.
func (s *State) poll(id model.BackendServerID, v *server) {
	if v.holdInFlight || v.token == 0 || s.now.Before(v.nextHoldAt) || v.entry.Address == "" {
		return
	}
	if !v.listed && v.failedCalls > 0 && len(v.runs) == 0 {
		return
	}
	s.sendHold(id, v)
}

// askNextIncarnation lets the next Hold be sent at once: one that is unanswered went to an earlier incarnation. Until the
// next one refuses older tokens, it carries out late calls.
func (s *State) askNextIncarnation(v *server) {
	v.holdInFlight, v.nextHoldAt = false, s.now
	s.touch(v)
}

// sendHold requests a report. The leases of a backend server that does not answer are no
// longer extended, so that it is certain when they end.
func (s *State) sendHold(id model.BackendServerID, v *server) {
	o := Hold{Server: id, Address: v.entry.Address, Token: v.token}
	if v.hasReported && v.failedCalls == 0 && len(v.runs) > 0 { // after a failed call, a restart is to be told at once
		o.Wait = s.reportWait(v)
	}
	if v.hasReported && v.failedCalls == 0 { // else it may have started again, with ends and a clock of its own
		if v.recordedEnd > v.acknowledgedEnd {
			o.AcknowledgedEnd = v.recordedEnd // once only: it would also reach a next incarnation late
		}
		if s.mayAct() {
			o.Deadline = s.extendLease(v, leaseDuration)
		}
	}
	v.holdInFlight = true
	s.emit(OrderHold{o})
}

// reportWait is how long a report waits for an end. It is shorter while a new run has shown
// no progress yet, so that a stalled run is detected early.
func (s *State) reportWait(v *server) time.Duration {
	for _, r := range v.runs {
		if r.percent == 0 && !r.step().LongRunning && s.now.Sub(r.startedAt) < 2*minStall {
			return earlyHoldWait
		}
	}
	return holdWait
}

// extendLease returns the deadline d from now on the backend server's clock, or 0 if its
// clock is not known.
func (s *State) extendLease(v *server, d time.Duration) int64 {
	if v.clock == 0 {
		return 0
	}
	d = min(d, s.bounds.LeaseMax)
	deadline := v.clock + (s.now.Sub(v.clockAt) + d).Milliseconds()
	v.deadline = max(v.deadline, deadline)
	return deadline
}

// longestLease is the longest time for which a lease can last, on this VM's clock.
func (s *State) longestLease() time.Duration {
	return time.Duration(float64(s.bounds.LeaseMax) * maxClockRatio)
}

// oldLeasesEnd is when all leases that previous holders have granted have certainly ended.
func (s *State) oldLeasesEnd() time.Time {
	return s.term.takenAt.Add(holderAuthority + s.longestLease())
}

// observeClock stores a reading of the backend server's clock if it is the newest. One that is lower than a reading
// from before the call tells that the clock has started anew, as does one that is much lower than the newest.
func (s *State) observeClock(v *server, clock, beforeCall int64) {
	switch {
	case clock > v.clock:
		v.clock, v.clockAt = clock, s.now
		if clock > v.highestClock {
			v.highestClock, v.highestClockAt = clock, s.now
		}
	case clock != 0 && clock < max(beforeCall, v.clock-clockOvertaking.Milliseconds()):
		s.log.Warn("clock of a backend server has started anew", zap.String("server", string(v.entry.ID)), zap.Int64("from", v.clock), zap.Int64("to", clock))
		lost := s.newLoss(v).untilRestart(s.now)
		s.recordCrash(v, lost, true) // observeAlive takes it back if the incarnation is the same after all
		s.addLoss(lost)
		s.forgetIncarnation(v.entry.ID, v)
	}
}

// clockStartedAnew reports whether a report that was asked for after the highest reading of the clock has a lower one:
// another incarnation answers, also if it tells the same time of start.
func (v *server) clockStartedAnew(e HoldAnswered) bool {
	return e.Report.Clock != 0 && e.Report.Clock < v.highestClock && e.Sent.After(v.highestClockAt)
}

// leasesExpireAt is when all leases on the backend server have certainly expired.
func (v *server) leasesExpireAt() time.Time {
	if v.clock == 0 || !v.hasReported {
		return v.leaseEnd
	}
	left := time.Duration(max(v.deadline-v.clock, 0)) * time.Millisecond
	expiry := v.clockAt.Add(time.Duration(float64(left)*maxClockRatio) + clockSlack)
	if v.leaseEnd.After(expiry) {
		return v.leaseEnd
	}
	return expiry
}

// expireLeases makes the tasks of a backend server wait for placement again if it has not
// answered for longer than any lease there can last.
func (s *State) expireLeases(id model.BackendServerID, v *server) {
	if len(v.runs) == 0 || v.hasReported && v.failedCalls == 0 || s.now.Before(v.leasesExpireAt()) {
		return
	}
	var ended []*run
	for _, name := range eventloop.SortedKeys(v.runs) {
		if r := v.runs[name]; r.phase != runRecording && !s.mayHaveBegun(v, r) {
			ended = append(ended, r)
		}
	}
	if len(ended) == 0 {
		return
	}
	s.log.Warn("leases ended on a silent backend server", zap.String("server", string(id)),
		zap.Int("runs", len(v.runs)), zap.Duration("heard_before", s.now.Sub(v.reportedAt)),
		zap.Bool("listed", v.listed), zap.Bool("draining", v.entry.Draining), zap.Bool("disconnected", v.disconnected),
		zap.Strings("unproven", v.unprovenRuns()), zap.Int64("born", v.incarnationStart), zap.Int64("clock", v.clock), zap.Int64("deadline", v.deadline),
		zap.Duration("clock_age", s.now.Sub(v.clockAt)), zap.Int64("entry_born", v.entry.IncarnationStart),
		zap.Int64("stored_born", s.recordedEnds[id].IncarnationStart), zap.Strings("starts_may_arrive", s.startsThatMayArrive(v)))
	s.recordCrash(v, s.newLoss(v), false)
	for _, r := range ended {
		s.requeue(v, r, "lease ended")
	}
}

// mayHaveBegun reports whether a start order without an answer may have begun the run in an incarnation that has
// not reported yet: its deadline means nothing on that clock, and the lease may last the longest time.
func (s *State) mayHaveBegun(v *server, r *run) bool {
	open := r.phase == runOrdered && (r.inFlight || r.startInDoubt)
	if r.phase == runRunning { // the next incarnation may have begun it again by a repeat
		open = r.startInFlight || !r.unansweredAt.IsZero() && !v.reportSentAt.After(r.unansweredAt)
	}
	switch {
	case !open || r.stopConfirmed:
		return false
	case r.inFlight:
		return true
	case !r.reached:
		return false
	case v.listed && v.entry.IncarnationStart == v.incarnationStart && v.writtenAfter.Sub(v.grantedAt) > aliveAfter:
		return false
	default:
		return s.now.Before(v.grantedAt.Add(s.longestLease() + clockSlack))
	}
}

func (s *State) holdAnswered(e HoldAnswered) {
	if !s.holdsTerm() || e.Order.Token < s.term.token {
		return
	}
	v := s.servers[e.Order.Server]
	if v == nil {
		return
	}
	if e.Order.Token != v.token || e.Sent.Before(v.restartListedAt) {
		return // asked of an earlier incarnation
	}
	v.holdInFlight = false
	s.touch(v)
	if e.Err != nil {
		s.holdFailed(e, v)
		return
	}
	if v.failedCalls > 0 {
		s.log.Info("backend server answers again", zap.String("server", string(e.Order.Server)), zap.Int("failed_calls", v.failedCalls),
			zap.Int64("clock", e.Report.Clock), zap.Int64("deadline", v.deadline), zap.Duration("asked_before", s.now.Sub(e.Sent)),
			zap.Bool("restarted", v.incarnationStart != 0 && e.Report.IncarnationStart != v.incarnationStart), zap.Int("runs", len(v.runs)))
	}
	lost := s.newLoss(v)
	v.failedCalls = 0
	v.reportedAt, v.reportSentAt = s.now, e.Sent
	first := !v.hasReported
	v.nextHoldAt = s.now.Add(unrecordedHoldInterval)
	if v.incarnationStart != 0 && (e.Report.IncarnationStart != v.incarnationStart || v.clockStartedAnew(e)) { // earlier ones cannot answer under this token
		s.handleRestart(e.Order.Server, v, e.Report.IncarnationStart, lost)
		return // what it says of runs may change until calls for the earlier incarnation are refused
	}
	if stored := s.recordedEnds[e.Order.Server]; first && stored.IncarnationStart == e.Report.IncarnationStart && e.Report.Clock < stored.Clock {
		s.handleRestart(e.Order.Server, v, e.Report.IncarnationStart, lost) // after the incarnation that reported to a holder
		return
	}
	v.incarnationStart = e.Report.IncarnationStart
	s.observeAlive(v)
	if s.observeClock(v, e.Report.Clock, 0); v.token == 0 {
		return
	}
	v.acknowledgedEnd = max(v.acknowledgedEnd, e.Order.AcknowledgedEnd)
	if first {
		s.handleFirstReport(e.Order.Server, v)
	}
	if s.applyReport(v, e) {
		v.nextHoldAt = s.nextHold(v)
	}
}

// handleFirstReport prepares the state for the first report under the current token.
func (s *State) handleFirstReport(id model.BackendServerID, v *server) {
	v.hasReported = true
	stored := s.recordedEnds[id]
	v.reachedBefore = stored.Reported && stored.IncarnationStart == v.incarnationStart
	v.startedAgain = v.startedAgain || stored.StartedAgain
	if stored.IncarnationStart != 0 && stored.IncarnationStart != v.incarnationStart {
		s.observeRestartUnderID(v)
	}
	s.tokens[id] = v.token
	if !v.leaseEnd.IsZero() {
		// A lease that an earlier call has granted lasts on, although the backend server refuses such calls from now on.
		v.leaseEnd = s.now.Add(s.longestLease())
	}
	if stored.IncarnationStart == v.incarnationStart {
		v.appliedEnd, v.recordedEnd = max(v.appliedEnd, stored.Number), max(v.recordedEnd, stored.Number)
	}
	if !v.reachedBefore {
		s.writer.servers[id] = true // before the placements that rest on this report
	}
	s.replan = true
}

// nextHold is when the next report is due: at once if something runs there or has to be
// acknowledged. While ends are not stored, a report would repeat them without waiting, so
// the next one is due when they are stored, or after unrecordedHoldInterval.
func (s *State) nextHold(v *server) time.Time {
	if v.appliedEnd > v.recordedEnd {
		return s.now.Add(unrecordedHoldInterval)
	}
	if len(v.runs) > 0 || v.recordedEnd > v.acknowledgedEnd {
		return s.now
	}
	if s.now.Before(v.startsArriveUntil) {
		return s.now.Add(lateStartHoldInterval)
	}
	return s.now.Add(idleHoldInterval)
}

// holdFailed handles a call without a report. A refusal counts too: the leases were not extended, and what
// runs there is not known. If another incarnation answers at the address, the one that was called has ended.
func (s *State) holdFailed(e HoldAnswered, v *server) {
	var refused *RefusedError
	isRefused := errors.As(e.Err, &refused)
	if isRefused && refused.Reason == RefusedFenced {
		s.stepDown("fenced by a backend server", string(e.Order.Server))
		return
	}
	v.failedCalls++
	if !isRefused && e.Order.Deadline > 0 {
		v.grantedAt = s.now
		v.callsArriveUntil = maxTime(v.callsArriveUntil, s.now.Add(maxDeliveryDelay))
	}
	v.disconnected = errors.Is(e.Err, ErrDisconnected) || isRefused && refused.Reason == RefusedOtherIncarnation
	v.nextHoldAt = s.now.Add(holdRetry)
	s.stopBesideLateStarts(e.Order.Server, v)
	if v.failedCalls == 1 {
		v.silentSince = s.now
		s.addLoss(s.newLoss(v))
		s.log.Info("backend server does not answer", zap.String("server", string(e.Order.Server)),
			zap.Int("runs", len(v.runs)), zap.Error(e.Err))
		s.replan = true
	}
}

// applyReport applies the ends and runs in a report, and handles expected runs that it does
// not list. It returns false if the rest of the report has to wait for submissions to be read.
func (s *State) applyReport(v *server, e HoldAnswered) bool {
	for _, end := range e.Report.Ended {
		if !s.handleEndReport(v, end) {
			s.log.Info("ends wait for submissions to be read", zap.String("server", string(v.entry.ID)), zap.Int64("end", end.Number))
			return false
		}
	}
	running := make(map[string]bool, len(e.Report.Running))
	var rated []*run
	for _, row := range e.Report.Running {
		running[row.Task] = true
		if r := s.handleRunReport(v, row, e.Report.Clock); r != nil {
			rated = append(rated, r)
		}
	}
	s.handleNewRates(v, rated)
	s.observeNeighbours(v, e.Report.Running, e.Report.Clock)
	if len(e.Report.Ended) >= endsPerReport {
		return true
	}
	for _, name := range eventloop.SortedKeys(v.runs) {
		if r := v.runs[name]; r != nil && !running[name] {
			r.earlier = 0
			s.handleMissingRun(v, r, e.Sent)
		}
	}
	return true
}

// handleRunReport applies the progress of a running task that was reported at a reading of the backend
// server's clock. It returns the run if its rate of progress is a new one.
func (s *State) handleRunReport(v *server, row RunReport, clock int64) (rated *run) {
	r := v.runs[row.Task]
	if r == nil || r.number != row.Run {
		s.handleUnexpectedRun(v, row)
		return nil
	}
	if r.startInDoubt {
		s.log.Info("a report lists a run whose start was in doubt", zap.String("task", row.Task), zap.Int64("run", row.Run),
			zap.String("server", string(v.entry.ID)), zap.Bool("order_under_way", r.inFlight), zap.Bool("stopping", r.stopping))
	}
	if r.phase != runRunning || r.listedSince == 0 {
		r.listedSince = clock
	}
	if r.phase != runRunning {
		s.markRunning(r, s.workDone(r, row.Percent), clock)
		r.lossRecorded = false
	}
	r.startInDoubt, r.earlier, r.reportedAt, r.reportedClock = false, 0, s.now, clock
	if r.progress.Observe(row.Percent, serverTime(clock)) {
		rated = r
	}
	if row.Percent != r.percent {
		r.percent, r.progressAt, r.progressClock = row.Percent, s.now, clock
	}
	if row.Checkpoint != "" {
		s.saveCheckpoint(r.group, r.index, row.Run, row.Checkpoint)
	}
	s.exonerate(r)
	s.clearCrashes(r)
	return rated
}

// handleUnexpectedRun stops a run that the holder does not expect on this backend server.
func (s *State) handleUnexpectedRun(v *server, row RunReport) {
	g, index, err := s.groupOf(row.Task)
	if err != nil {
		s.log.Error("a backend server reports a run with an invalid task name", zap.String("server", string(v.entry.ID)), zap.Error(err))
		return
	}
	if g == nil {
		s.log.Warn("a backend server runs a task of a job that is not known", zap.String("server", string(v.entry.ID)), zap.String("task", row.Task))
		return
	}
	if old := v.runs[row.Task]; old != nil {
		if old.number > row.Run && old.phase != runRecording {
			s.stopEarlierRun(v, old, row)
			return
		}
		if old.number > row.Run {
			s.requeue(v, old, "an earlier run works on its backend server")
		} else {
			s.removeRun(v, old)
		}
	}
	t := &g.Tasks[index]
	s.log.Warn("a backend server runs what is not expected there", zap.String("task", row.Task), zap.Int64("run", row.Run), zap.String("server", string(v.entry.ID)),
		zap.Int64("born", v.incarnationStart), zap.Int64("newest_run", t.Run), zap.String("placed_on", string(t.Server)), zap.Int("percent", row.Percent))
	s.addOrphan(v, g, index, row.Run)
}

// addOrphan adds a run that is known to be at work and is not its task's current one, and has it stopped.
func (s *State) addOrphan(v *server, g *job.Group, index int, number int64) {
	name := g.Key().TaskName(index)
	r := &run{group: g, index: index, name: name, number: number, server: v.entry.ID, phase: runRunning, orphan: true, startedAt: s.now, progressAt: s.now}
	v.putRun(r)
	s.orphans[name]++
	s.requestStop(r, stopUnexpected, "not expected there")
}

// keepEarlier keeps the task of a removed run from being placed while reports list an earlier run of it on the backend server.
func (s *State) keepEarlier(v *server, r *run) {
	if r.earlier != 0 && v.runs[r.name] == nil {
		s.addOrphan(v, r.group, r.index, r.earlier)
	}
}

// stopEarlierRun orders the stop of a run that works, or worked when the report was made, on the backend server of a
// newer run whose start is ordered already. The stop does not concern the newer run.
func (s *State) stopEarlierRun(v *server, newer *run, row RunReport) {
	s.log.Warn("a backend server runs an earlier run beside the one that is expected there", zap.String("task", row.Task), zap.Int64("run", row.Run),
		zap.Int64("expected", newer.number), zap.String("server", string(v.entry.ID)), zap.Int("percent", row.Percent))
	newer.earlier = row.Run
	s.emit(OrderStop{Stop{Server: v.entry.ID, Address: v.entry.Address, Task: row.Task, Run: row.Run, Token: v.token}})
}

// groupOf returns the group of a task by the task's name; nil if the job is not known.
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

// handleMissingRun handles a run that is missing from the report requested at sent.
func (s *State) handleMissingRun(v *server, r *run, sent time.Time) {
	if r.phase == runRecording || r.inFlight || !sent.After(r.answeredAt) {
		return
	}
	if r.phase == runAdopting && s.startIsMissing(v, r) {
		s.repeatStart(v, r)
		return
	}
	if r.startInDoubt && !r.stopConfirmed {
		return // the start is repeated, or stopped if that takes too long
	}
	if r.phase == runAdopting && r.placedAt.IsZero() { // the previous holder may have ordered its start, without an answer
		r.unansweredAt = maxTime(r.unansweredAt, s.term.takenAt.Add(holderAuthority))
		if s.placedBeforeTakeOver(r) {
			s.expectArrival(r)
		}
	}
	s.requeue(v, r, "no longer there")
}
