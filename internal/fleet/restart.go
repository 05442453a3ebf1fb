package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// A backend server that starts again under its ID has neither the token nor the ended runs nor the clock of
// before, so that it would carry out calls that were meant for its earlier incarnation: start a run that was
// given up, extend leases to a deadline of the old clock, or forget ends by old numbers. The holder raises
// the token of such a server to that of a record which it stores after it has noticed the restart. Such a
// token is higher than those of all calls before, and lower than those of later terms. The new incarnation
// refuses calls for earlier ones from the first call under the raised token on.

// maxDeliveryDelay is how long after its timeout a call may still be carried out.
const maxDeliveryDelay = 15 * time.Second

// handleRestart resets the state for a new incarnation. The runs that the old one has listed have ended. The
// others may also run in the new one: its first report under the raised token tells.
func (s *State) handleRestart(id model.BackendServerID, v *server, incarnationStart int64, lost loss) {
	s.log.Info("backend server restarted", zap.String("server", string(id)), zap.Int64("born", incarnationStart), zap.Int("runs", len(v.runs)),
		zap.Strings("unproven", v.unprovenRuns()), zap.Strings("starts_may_arrive", s.startsThatMayArrive(v)),
		zap.Int64("old_clock", v.clock), zap.Int64("old_deadline", v.deadline))
	s.recordCrash(v, lost, true)
	s.addLoss(lost)
	v.incarnationStart, v.appliedEnd, v.recordedEnd, v.acknowledgedEnd, v.deadline, v.clock = incarnationStart, 0, 0, 0, 0, 0
	s.awaitToken(id, v)
	for _, name := range eventloop.SortedKeys(v.runs) {
		r := v.runs[name]
		if r == nil || r.phase == runRecording {
			continue // it has ended with its gang, or its start was not ordered yet
		}
		if r.listed && !r.startMayArrive(s.now) {
			s.requeue(v, r, "its backend server has started again")
			continue
		}
		r.inFlight, r.startInDoubt, r.stopConfirmed, r.listed = false, false, false, false
	}
}

// awaitToken keeps orders from a backend server until its token is raised.
func (s *State) awaitToken(id model.BackendServerID, v *server) {
	until := maxTime(s.now, v.callsArriveUntil)
	if v.holdInFlight || len(s.startsThatMayArrive(v)) > 0 {
		until = s.now.Add(maxDeliveryDelay)
	}
	v.token, v.hasReported, v.leaseEnd = 0, false, until.Add(s.longestLease())
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
	v.nextHoldAt = s.now
	s.touch(v)
}

// endsToRecord is what is stored of the ends on a backend server. While its incarnation is not known, that
// is what was stored before.
func (s *State) endsToRecord(id model.BackendServerID, v *server) endPosition {
	if v.incarnationStart == 0 {
		return s.recordedEnds[id]
	}
	return endPosition{IncarnationStart: v.incarnationStart, Number: v.appliedEnd}
}

// startsThatMayArrive returns the tasks with a start order that a new incarnation may still carry out.
func (s *State) startsThatMayArrive(v *server) []string {
	var tasks []string
	for _, name := range eventloop.SortedKeys(v.runs) {
		if v.runs[name].startMayArrive(s.now) {
			tasks = append(tasks, name)
		}
	}
	return tasks
}

// startMayArrive reports whether a start order for the run may still reach a new incarnation.
func (r *run) startMayArrive(now time.Time) bool {
	return r.inFlight || !r.unansweredAt.IsZero() && now.Sub(r.unansweredAt) < maxDeliveryDelay
}
