package control

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// cancelRequest is a set of cancellations that one caller requested.
type cancelRequest struct {
	reply    ReplyID
	receipts []CancelReceipt
	pending  map[model.JobID]int // index in receipts of each job without an answer
	deadline time.Time
}

func cancelEntryID(id model.JobID) string { return "cancel-" + string(id) }

// jobsCancelled handles all jobs of a request in one step: one entry per job, which the
// publisher batches, and one placement decision at the end.
func (s *State) jobsCancelled(e JobsCancelled) {
	r := &cancelRequest{
		reply:    e.Reply,
		pending:  make(map[model.JobID]int),
		deadline: s.now.Add(s.settings.SubmitTimeout),
	}
	ids := slices.Clone(e.Jobs)
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		s.cancel(r, id)
	}
	if len(r.pending) == 0 {
		s.emit(CancelReply{Reply: r.reply, Receipts: r.receipts})
	}
}

func (s *State) cancel(r *cancelRequest, id model.JobID) {
	st, known := s.jobStatus(id)
	receipt := CancelReceipt{Job: id, State: st.State}
	if !known || st.State.Ended() {
		receipt.Durable = known && st.Durable
		r.receipts = append(r.receipts, receipt)
		return
	}
	r.receipts = append(r.receipts, receipt)
	r.pending[id] = len(r.receipts) - 1
	s.cancelLocally(id)
	s.addWaiter(cancelEntryID(id), cancelWaiter{request: r, job: id})
	if s.replica.Job(id) == nil {
		return // appended once the job itself is read back
	}
	s.submitEntry(cancelEntryID(id), journal.KindJobCancelled, journal.JobCancelled{Job: id}, true)
	if e := s.entries[cancelEntryID(id)]; e != nil && e.state == appendNotSent {
		for _, waiting := range s.takeWaiters(cancelEntryID(id)) {
			waiting.notSent(s)
		}
	}
}

// cancelLocally stops the job here and names it in heartbeats until the cancellation is in the log.
func (s *State) cancelLocally(id model.JobID) {
	if s.pendingCancels[id] == "" {
		s.pendingCancels[id] = cancelEntryID(id)
	}
	s.stopCancelled(id)
}

// cancelled reports whether the job was cancelled here or in the log.
func (s *State) cancelled(id model.JobID) bool {
	j := s.replica.Job(id)
	return s.pendingCancels[id] != "" || (j != nil && j.Cancelled)
}

func (s *State) stopCancelled(id model.JobID) {
	s.placement.dirty = true
	if g := s.gangs[id]; g != nil {
		s.stopGang(g, ending{final: true, result: replica.ResultCancelled})
	}
}

// cancelReplayed handles a cancellation that was read back.
func (s *State) cancelReplayed(c journal.JobCancelled) {
	delete(s.pendingCancels, c.Job)
	s.stopCancelled(c.Job)
}

// applyPeerCancels applies cancellations that peers have not read back from the log yet.
func (s *State) applyPeerCancels(ids []model.JobID) {
	for _, id := range ids {
		st, known := s.jobStatus(id)
		if known && !st.State.Ended() && s.pendingCancels[id] == "" {
			s.cancelLocally(id)
		}
	}
}

// resolveJob ends the wait for one job of the request.
func (r *cancelRequest) resolveJob(s *State, id model.JobID, durable bool) {
	i, ok := r.pending[id]
	if !ok {
		return
	}
	delete(r.pending, id)
	st, _ := s.jobStatus(id)
	r.receipts[i].State = st.State
	r.receipts[i].Durable = durable
	if len(r.pending) == 0 {
		s.emit(CancelReply{Reply: r.reply, Receipts: r.receipts})
	}
}
