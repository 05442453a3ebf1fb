package control

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// cancelWave is a set of cancellations that one caller asked for.
type cancelWave struct {
	reply    ReplyID
	receipts []CancelReceipt
	open     map[model.JobID]int // index in receipts
	deadline time.Time
}

func cancelEntryID(id model.JobID) string { return "cancel-" + string(id) }

// jobsCancelled handles a whole wave in one pass: one entry a job, which the
// publisher coalesces, and one placement decision after all.
func (s *State) jobsCancelled(e JobsCancelled) {
	w := &cancelWave{
		reply:    e.Reply,
		open:     make(map[model.JobID]int),
		deadline: s.now.Add(s.settings.SubmitTimeout),
	}
	ids := slices.Clone(e.Jobs)
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		s.cancel(w, id)
	}
	if len(w.open) == 0 {
		s.emit(CancelReply{Reply: w.reply, Receipts: w.receipts})
	}
}

func (s *State) cancel(w *cancelWave, id model.JobID) {
	st, known := s.status(id)
	receipt := CancelReceipt{Job: id, State: st.State}
	if !known || st.State.Ended() {
		receipt.Durable = known && st.Durable
		w.receipts = append(w.receipts, receipt)
		return
	}
	w.receipts = append(w.receipts, receipt)
	w.open[id] = len(w.receipts) - 1
	s.cancelLocally(id)
	s.wait(cancelEntryID(id), cancelWaiter{wave: w, job: id})
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

// cancelLocally stops the job here and tells the peers until the log has it.
func (s *State) cancelLocally(id model.JobID) {
	if s.cancels[id] == "" {
		s.cancels[id] = cancelEntryID(id)
	}
	s.stopCancelled(id)
}

// cancelled reports whether the job was cancelled here or in the log.
func (s *State) cancelled(id model.JobID) bool {
	j := s.replica.Job(id)
	return s.cancels[id] != "" || (j != nil && j.Cancelled)
}

func (s *State) stopCancelled(id model.JobID) {
	s.placement.dirty = true
	if g := s.gangs[id]; g != nil {
		s.stop(g, ending{final: true, result: replica.ResultCancelled})
	}
}

// cancelReplayed follows a cancellation that was read back.
func (s *State) cancelReplayed(c journal.JobCancelled) {
	delete(s.cancels, c.Job)
	s.stopCancelled(c.Job)
}

// cancelsHeard follows cancellations that peers could not append yet.
func (s *State) cancelsHeard(ids []model.JobID) {
	for _, id := range ids {
		st, known := s.status(id)
		if known && !st.State.Ended() && s.cancels[id] == "" {
			s.cancelLocally(id)
		}
	}
}

// settled ends the wait for one job of the wave.
func (w *cancelWave) settled(s *State, id model.JobID, durable bool) {
	i, ok := w.open[id]
	if !ok {
		return
	}
	delete(w.open, id)
	st, _ := s.status(id)
	w.receipts[i].State = st.State
	w.receipts[i].Durable = durable
	if len(w.open) == 0 {
		s.emit(CancelReply{Reply: w.reply, Receipts: w.receipts})
	}
}
