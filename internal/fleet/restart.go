package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/straggler"
)

// A backend server that starts again under its ID has neither the token nor the ended runs nor the clock of
// before, so that it would carry out calls that were meant for its earlier incarnation: start a run that was
// given up, extend leases to a deadline of the old clock, or forget ends by old numbers. The holder raises
// the token of such a server to that of a record which is stored after it has noticed the restart. Such a
// token is higher than those of all calls before, and lower than those of later terms. The new incarnation
// refuses calls for earlier ones from the first call under the raised token on.

// maxDeliveryDelay is how long after its timeout a call may still be carried out.
const maxDeliveryDelay = 15 * time.Second

// longestCall is how long a call takes at most from its decision to its timeout: a start waits for up to
// half of firstLeaseDuration until it is sent, a hold for an end.
const longestCall = holdWait + holdTimeout + firstLeaseDuration/2

// longestStart is how long a start order takes at most from its decision to its timeout.
const longestStart = firstLeaseDuration/2 + orderTimeout

// handleRestart resets the state for a new incarnation. The runs of the old one have ended, but the new one
// may have started any of their tasks, also for a previous holder. Its first report under the raised token
// tells; until then no task is placed elsewhere.
func (s *State) handleRestart(id model.BackendServerID, v *server, incarnationStart int64, lost loss) {
	s.log.Info("backend server restarted", zap.String("server", string(id)), zap.Int64("born", incarnationStart), zap.Int("runs", len(v.runs)),
		zap.Strings("unproven", v.unprovenRuns()), zap.Strings("starts_may_arrive", s.startsThatMayArrive(v)),
		zap.Int64("old_clock", v.clock), zap.Int64("old_deadline", v.deadline))
	lost = lost.untilRestart(s.now)
	s.recordCrash(v, lost, true)
	s.addLoss(lost)
	v.incarnationStart, v.earlierIncarnation = incarnationStart, v.incarnationStart
	v.highestClock, v.highestClockAt = 0, time.Time{}
	v.appliedEnd, v.recordedEnd, v.acknowledgedEnd = 0, 0, 0
	s.paces.estimator.Forget(paceServer(v)) // if an incarnation before had the same time of start
	s.observeRestartUnderID(v)
	s.forgetIncarnation(id, v)
}

// forgetIncarnation keeps orders from a backend server until its token is raised, and expects that any run
// there may have ended or begun.
func (s *State) forgetIncarnation(id model.BackendServerID, v *server) {
	v.deadline, v.clock = 0, 0
	s.awaitToken(id, v)
	for _, r := range v.runs {
		if r.phase != runRecording {
			r.phase, r.startedAt, r.progressAt, r.percent = runAdopting, s.now, s.now, 0
			r.progress = straggler.Progress{}
			if r.startInFlight {
				r.unansweredAt = s.now.Add(longestStart) // its answer will not be taken
				s.expectArrival(r)
			}
			r.inFlight, r.startInFlight, r.startInDoubt, r.stopConfirmed = false, false, false, false
		}
	}
	s.expectAbandoned(v)
	s.stopBesideLateStarts(id, v)
}

// stopBesideLateStarts stops the runs elsewhere of tasks of which a start order may arrive on a backend server that has
// started again, while the holder does not reach it to have it refuse the order. They were placed before a restart under
// an ID was seen; later on, tasks wait for such orders (arrival.go).
func (s *State) stopBesideLateStarts(id model.BackendServerID, v *server) {
	if !v.startedAgain || v.hasReported || v.failedCalls == 0 {
		return
	}
	tasks := make(map[string]bool)
	for name, a := range s.arrivals {
		if a.server == id && s.now.Before(a.until) {
			tasks[name] = true
		}
	}
	for name, r := range v.runs {
		if r.orphan && !r.unansweredAt.IsZero() && s.now.Sub(r.unansweredAt) < maxDeliveryDelay {
			tasks[name] = true
		}
	}
	for _, name := range eventloop.SortedKeys(tasks) {
		g, index, err := s.groupOf(name)
		if err != nil || g == nil {
			continue
		}
		if r := s.currentRun(g, index); r != nil && r.server != id {
			s.requestStop(r, stopInDoubt, "a start of an earlier run may arrive on a backend server that has started again")
		}
	}
}

// expectAbandoned keeps the tasks of abandoned runs from being placed until a report of the new incarnation
// tells whether it runs them.
func (s *State) expectAbandoned(v *server) {
	for _, name := range eventloop.SortedKeys(v.abandoned) {
		r := v.abandoned[name]
		delete(v.abandoned, name)
		if v.runs[name] != nil || !r.startMayArrive(s.now) {
			continue
		}
		r.phase, r.orphan, r.stopping = runAdopting, true, false
		r.startInDoubt, r.stopConfirmed = false, false
		v.putRun(r)
		s.orphans[name]++
		s.requestStop(r, stopInDoubt, "its start may still arrive after the restart")
	}
}

// keepAbandoned remembers a removed run if a start order for it may still arrive.
func (s *State) keepAbandoned(v *server, r *run) {
	if r.startInFlight && !r.unansweredAt.IsZero() { // an earlier order may be the one that was carried out
		r.unansweredAt = s.now.Add(longestStart)
		s.expectArrival(r)
	}
	r.inFlight, r.startInFlight = false, false
	if !r.startMayArrive(s.now) {
		return
	}
	if v.abandoned == nil {
		v.abandoned = make(map[string]*run)
	}
	v.abandoned[r.name] = r
}

// awaitToken keeps orders from a backend server until its token is raised.
func (s *State) awaitToken(id model.BackendServerID, v *server) {
	v.callsArriveUntil = maxTime(s.now, v.callsArriveUntil)
	if v.holdInFlight || len(s.startsThatMayArrive(v)) > 0 {
		v.callsArriveUntil = s.now.Add(longestCall + maxDeliveryDelay)
	}
	v.token, v.hasReported = 0, false
	v.leaseEnd = maxTime(v.leaseEnd, v.callsArriveUntil.Add(s.longestLease()))
	s.writer.servers[id] = true
	s.touch(v)
}

// raiseToken sets the token of a backend server to that of a record that was just stored.
func (s *State) raiseToken(id model.BackendServerID, v *server, token int64) {
	if token <= s.tokens[id] {
		s.log.Error("token of a backend server not raised: the store names an earlier record", zap.String("server", string(id)),
			zap.Int64("from", s.tokens[id]), zap.Int64("to", token))
		s.writer.servers[id] = true
		return
	}
	s.log.Info("token of a backend server raised", zap.String("server", string(id)), zap.Int64("born", v.incarnationStart),
		zap.Int64("from", s.tokens[id]), zap.Int64("to", token))
	v.token, s.tokens[id] = token, token
	s.askNextIncarnation(v)
}

// endsToRecord is what is stored of the ends on a backend server. While its incarnation is not known, that
// is what was stored before.
func (s *State) endsToRecord(id model.BackendServerID, v *server) endPosition {
	if v.incarnationStart == 0 {
		return s.recordedEnds[id]
	}
	return endPosition{IncarnationStart: v.incarnationStart, Number: v.appliedEnd, Reported: v.hasReported, StartedAgain: v.startedAgain, Clock: v.highestClock}
}

// observeUnreached counts with calls of previous holders on a backend server that has not reported to this one,
// if its entry names an incarnation that has reported to none: such calls still take effect there.
func (s *State) observeUnreached(id model.BackendServerID, v *server) {
	stored := s.recordedEnds[id]
	born := v.entry.IncarnationStart
	older := born < stored.IncarnationStart && v.entryBefore != stored.IncarnationStart
	startedAnew := born == stored.IncarnationStart && v.sameStart == born
	if stored.IncarnationStart == 0 || born == 0 || older || born == stored.IncarnationStart && stored.Reported && !startedAnew {
		return
	}
	if born != stored.IncarnationStart || startedAnew {
		s.observeRestartUnderID(v)
		s.stopBesideLateStarts(id, v)
	}
	arrived := s.term.takenAt.Add(holderAuthority + longestCall + maxDeliveryDelay)
	if !s.now.Before(arrived) || !arrived.After(v.callsArriveUntil) {
		return
	}
	v.callsArriveUntil = arrived
	v.leaseEnd = maxTime(v.leaseEnd, arrived.Add(s.longestLease()))
	s.log.Info("backend server has restarted since it last reported to a holder", zap.String("server", string(id)), zap.Int64("born", born),
		zap.Int64("stored_born", stored.IncarnationStart), zap.Bool("stored_reported", stored.Reported), zap.Int("runs", len(v.runs)))
}

// startsThatMayArrive returns the tasks with a start order that a new incarnation may still carry out.
func (s *State) startsThatMayArrive(v *server) []string {
	tasks := make(map[string]bool)
	for _, runs := range []map[string]*run{v.runs, v.abandoned} {
		for name, r := range runs {
			if r.startMayArrive(s.now) {
				tasks[name] = true
			}
		}
	}
	return eventloop.SortedKeys(tasks)
}

// startMayArrive reports whether a start order for the run may still reach a new incarnation.
func (r *run) startMayArrive(now time.Time) bool {
	return r.inFlight || !r.unansweredAt.IsZero() && now.Sub(r.unansweredAt) < maxDeliveryDelay
}
