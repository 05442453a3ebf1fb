package control

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// waiter answers a caller that waits for an entry to be read back.
type waiter interface {
	reply() ReplyID
	// decided answers with the verdict.
	decided(s *State, d journal.Decision)
	// notSent answers that the entry is certainly not in the log. A submission gets this answer,
	// a receipt that is not durable, also when its append is in doubt or takes too long.
	notSent(s *State)
	// expired answers if the deadline has passed; it returns false if the caller still waits.
	expired(s *State) bool
}

func (s *State) addWaiter(entryID string, w waiter) {
	s.waiters[entryID] = append(s.waiters[entryID], w)
}

func (s *State) takeWaiters(entryID string) []waiter {
	taken := s.waiters[entryID]
	delete(s.waiters, entryID)
	return taken
}

func (s *State) abandonReply(id ReplyID) {
	for entry, list := range s.waiters {
		list = slices.DeleteFunc(list, func(w waiter) bool { return w.reply() == id })
		s.setWaiters(entry, list)
	}
}

func (s *State) expireWaiters() {
	for _, entry := range eventloop.SortedKeys(s.waiters) {
		list := slices.DeleteFunc(s.waiters[entry], func(w waiter) bool { return w.expired(s) })
		s.setWaiters(entry, list)
	}
}

func (s *State) setWaiters(entryID string, list []waiter) {
	if len(list) == 0 {
		delete(s.waiters, entryID)
		return
	}
	s.waiters[entryID] = list
}

// publishWaiter waits for the verdict on a configuration change.
type publishWaiter struct{ id ReplyID }

func (w publishWaiter) reply() ReplyID { return w.id }

func (w publishWaiter) decided(s *State, d journal.Decision) {
	s.emit(PublishReply{Reply: w.id, Decision: d})
}

func (w publishWaiter) notSent(s *State) {
	s.emit(PublishReply{Reply: w.id, Refusal: &Refusal{
		Reason:     ReasonLogUnreachable,
		Message:    "the platform's log does not answer; nothing was published",
		RetryAfter: s.settings.RetryDelay,
	}})
}

func (w publishWaiter) expired(*State) bool { return false }

func (s *State) changePublished(e ChangePublished) {
	if d, ok := s.replica.Decision(e.EntryID); ok {
		s.emit(PublishReply{Reply: e.Reply, Decision: d})
		return
	}
	s.addWaiter(e.EntryID, publishWaiter{id: e.Reply})
	s.submitEntry(e.EntryID, journal.KindConfig, e.Change, false)
}

func (s *State) decisionRequested(e DecisionRequested) {
	d, ok := s.replica.Decision(e.EntryID)
	s.emit(DecisionReply{Reply: e.Reply, Decision: d, Known: ok})
}

// submitWaiter waits for a submission to be read back.
type submitWaiter struct {
	id       ReplyID
	receipt  JobReceipt
	deadline time.Time
}

func (w submitWaiter) reply() ReplyID { return w.id }

func (w submitWaiter) decided(s *State, d journal.Decision) {
	r := w.receipt
	r.Durable = true
	if j := s.replica.Job(r.Job); j != nil {
		r.HomeAZ = j.Job.HomeAZ
	}
	if d.Verdict == journal.VerdictMalformed {
		s.emit(SubmitReply{Reply: w.id, Refusal: &Refusal{Reason: ReasonMalformed, Message: d.Detail}})
		return
	}
	s.emit(SubmitReply{Reply: w.id, Receipt: r})
}

func (w submitWaiter) notSent(s *State) { s.emit(SubmitReply{Reply: w.id, Receipt: w.receipt}) }

func (w submitWaiter) expired(s *State) bool {
	if s.now.Before(w.deadline) {
		return false
	}
	w.notSent(s)
	return true
}

// cancelWaiter waits for one cancellation of a request. The last of its waiters answers.
type cancelWaiter struct {
	request *cancelRequest
	job     model.JobID
}

func (w cancelWaiter) reply() ReplyID { return w.request.reply }

func (w cancelWaiter) decided(s *State, _ journal.Decision) { w.request.resolveJob(s, w.job, true) }

func (w cancelWaiter) notSent(s *State) { w.request.resolveJob(s, w.job, false) }

func (w cancelWaiter) expired(s *State) bool {
	if s.now.Before(w.request.deadline) {
		return false
	}
	w.request.resolveJob(s, w.job, false)
	return true
}
