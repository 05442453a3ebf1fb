package control

import (
	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// outcome is the end of an attempt that has not been read back from the log.
type outcome struct {
	ended journal.JobEnded
	job   model.Job
	// adopted is set for a gang that was taken over. Of its job, only what the backend servers
	// report may be known.
	adopted bool
}

func endEntryID(a model.AttemptID) string { return "end-" + string(a) }

// recordOutcome keeps the outcome of a gang until it has been read back from the log.
func (s *State) recordOutcome(g *gang, why ending) {
	checkpoint := g.checkpoint
	for _, m := range g.members {
		if m.checkpoint != "" {
			checkpoint = m.checkpoint
		}
	}
	s.outcomes[g.job.ID] = &outcome{
		ended: journal.JobEnded{
			Job:        g.job.ID,
			Attempt:    g.attempt,
			Final:      why.final,
			Result:     string(why.result),
			Reason:     why.reason,
			Checkpoint: checkpoint,
			FailedOn:   why.failedOn,
		},
		job:     g.job,
		adopted: g.adopted,
	}
	if !g.startSent {
		s.returnPermit(g)
	}
}

// recordOutcomes appends the outcomes of attempts that are open in the log, and drops those
// of attempts that were never claimed or are closed.
func (s *State) recordOutcomes() {
	for _, id := range eventloop.SortedKeys(s.outcomes) {
		o := s.outcomes[id]
		j := s.replica.Job(id)
		switch {
		case j == nil:
			s.recordUnknownJob(id, o)
		case j.Attempt.ID == o.ended.Attempt && j.Attempt.Open:
			s.submitEntry(endEntryID(o.ended.Attempt), journal.KindJobEnded, o.ended, true)
		case s.entries[claimEntryID(o.ended.Attempt)] == nil:
			delete(s.outcomes, id)
			s.placement.dirty = true
		}
	}
}

// recordUnknownJob handles the outcome of a job that is not in the log. Normally its acceptor
// appends the job. If this VM took the gang over and it ran to its end, this VM does, so that
// a caller that submits the job again does not run it twice.
func (s *State) recordUnknownJob(id model.JobID, o *outcome) {
	if s.localJobs[id] != nil {
		return
	}
	done := o.ended.Final && o.ended.Result == string(replica.ResultDone)
	if !o.adopted || !done {
		delete(s.outcomes, id)
		return
	}
	accepted := journal.JobAccepted{Job: o.job, Acceptor: s.self.Incarnation, Attempt: o.ended.Attempt}
	s.submitEntry(acceptEntryID(id), journal.KindJobAccepted, accepted, true)
}

// endReplayed handles the end of an attempt that was read back.
func (s *State) endReplayed(e journal.JobEnded) {
	if o := s.outcomes[e.Job]; o != nil && o.ended.Attempt == e.Attempt {
		delete(s.outcomes, e.Job)
	}
	g := s.gangs[e.Job]
	if g != nil && g.attempt == e.Attempt {
		s.stopGang(g, ending{result: replica.ResultRetry, reason: e.Reason})
	}
}

// stopEndedGangs stops gangs whose job, according to a restored snapshot, has ended.
func (s *State) stopEndedGangs() {
	for _, id := range eventloop.SortedKeys(s.gangs) {
		if j := s.replica.Job(id); j != nil && j.Ended() {
			s.stopGang(s.gangs[id], ending{result: replica.ResultRetry, reason: ReasonRecorded})
		}
	}
}
