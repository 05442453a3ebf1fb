package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// appendRetry is the pause before a batch is sent again; the store's answer time when it is well.
const appendRetry = 30 * time.Millisecond

// writer records what the holder decides, one batch at a time and in order.
type writer struct {
	groups   map[job.GroupKey]*job.Group
	servers  map[model.BackendServerID]bool
	started  []*run // placed since the last batch
	drops    []job.Record
	inFlight *batch
	sequence int64
}

// batch is an append with what becomes certain once it is stored.
type batch struct {
	number   int64
	append   Appending
	sent     bool
	resendAt time.Time
	began    time.Time
	runs     []*run
	ends     map[model.BackendServerID]noted
	statuses map[*job.State]job.Status
}

func newWriter() writer {
	return writer{groups: make(map[job.GroupKey]*job.Group), servers: make(map[model.BackendServerID]bool)}
}

// dirty has a group recorded with the next batch.
func (s *State) dirty(g *job.Group) {
	s.writer.groups[g.Key()] = g
	s.replan = true
}

// flush sends the next batch, or the present one again when it was not confirmed.
func (s *State) flush() {
	w := &s.writer
	if w.inFlight == nil {
		w.inFlight = s.nextBatch()
	}
	b := w.inFlight
	if b == nil || b.sent || s.now.Before(b.resendAt) {
		return
	}
	b.sent = true
	s.emit(Append{Number: b.number, Appending: b.append})
}

// nextBatch gathers what has changed; nil when nothing has.
func (s *State) nextBatch() *batch {
	w := &s.writer
	if len(w.groups) == 0 && len(w.servers) == 0 && len(w.drops) == 0 {
		return nil
	}
	b := &batch{
		number:   w.sequence + 1,
		began:    s.now,
		ends:     make(map[model.BackendServerID]noted),
		statuses: make(map[*job.State]job.Status),
	}
	left := newWriter()
	left.sequence = w.sequence + 1
	records := s.groupRecords(b, &left)
	for _, id := range eventloop.SortedKeys(w.servers) {
		if v := s.servers[id]; v != nil {
			n := noted{Born: v.born, Number: v.seen}
			r, err := notedRecord(id, n)
			if err != nil {
				s.log.Error("ends not recorded", zap.String("server", string(id)), zap.Error(err))
				continue
			}
			records = append(records, r)
			b.ends[id] = n
		}
	}
	records = append(records, w.drops...)
	b.append = Appending{
		Partition: progress, Records: records, At: -1,
		Producer: holderProducer, Epoch: s.term.token, Sequence: left.sequence,
	}
	s.writer = left
	return b
}

// groupRecords encodes the groups that changed. Those whose runs wait to be started and
// that do not fit in the batch are left for the next one; ends are never left behind,
// since they are acknowledged with the batch.
func (s *State) groupRecords(b *batch, left *writer) []job.Record {
	var records []job.Record
	size := 0
	for _, key := range sortedGroups(s.writer.groups) {
		g := s.writer.groups[key]
		r, err := job.ProgressRecord(g)
		if err != nil {
			s.log.Error("progress not recorded", zap.Stringer("step", key), zap.Error(err))
			continue
		}
		if size += len(r.Value); size > maxBatchBytes && len(s.writer.servers) == 0 {
			left.groups[key] = g
			continue
		}
		records = append(records, r)
		b.statuses[g.State] = g.State.Status()
	}
	for _, r := range s.writer.started {
		if left.groups[r.group.Key()] != nil {
			left.started = append(left.started, r)
		} else {
			b.runs = append(b.runs, r)
		}
	}
	return records
}

func sortedGroups(m map[job.GroupKey]*job.Group) []job.GroupKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b job.GroupKey) int {
		return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
}

func notedRecord(id model.BackendServerID, n noted) (job.Record, error) {
	value, err := json.Marshal(n)
	return job.Record{Key: notedPrefix + string(id), Value: value}, err
}

func (s *State) appendAnswered(e AppendAnswered) {
	s.observeStore(e.Err)
	b := s.writer.inFlight
	if !s.acting() || b == nil || b.number != e.Number {
		return
	}
	switch {
	case e.Err == nil:
		s.writer.inFlight = nil
		s.committed(b)
	case errors.Is(e.Err, ErrFenced):
		s.stepDown("fenced by the store", "")
	default:
		b.sent = false
		b.resendAt = s.now.Add(appendRetry)
		s.log.Info("records not confirmed", zap.Int64("batch", b.number), zap.Int("records", len(b.append.Records)),
			zap.Duration("since", s.now.Sub(b.began)), zap.Error(e.Err))
	}
}

// observeStore follows whether the store serves this VM.
func (s *State) observeStore(err error) {
	switch {
	case err == nil:
		s.storeSeen, s.refusedSince = s.now, time.Time{}
	case errors.Is(err, ErrNothingDone) && s.refusedSince.IsZero():
		s.refusedSince = s.now
	}
}

// storeLost reports whether another VM should hold the term as far as the store is
// concerned: it has been silent for a while, or has refused everything for a shorter one.
func (s *State) storeLost() bool {
	if !s.refusedSince.IsZero() && s.now.Sub(s.refusedSince) > holderRefusedTimeout {
		return true
	}
	if s.acting() {
		return s.now.Sub(s.storeSeen) > holderStoreTimeout
	}
	return s.now.Sub(s.storeSeen) > storeTimeout
}

// committed carries out what had to be recorded first: starts are ordered, ends are
// acknowledged, and submitters are told the new states.
func (s *State) committed(b *batch) {
	s.count.CommitLatency.RecordDuration(s.now.Sub(b.began))
	for st, status := range b.statuses {
		s.recordStatus(st, status)
	}
	for id, n := range b.ends {
		s.noted[id] = n
		if v := s.servers[id]; v != nil && v.born == n.Born {
			v.recorded = max(v.recorded, n.Number)
			s.touch(v)
			if !v.holding {
				v.nextHold = s.now
			}
		}
	}
	for _, r := range b.runs {
		s.recordedRun(r)
	}
}

func (s *State) recordStatus(st *job.State, status job.Status) {
	if st.Recorded == status {
		return
	}
	st.SetRecorded(status, s.now)
	s.log.Info("job state", zap.String("job", string(st.Job.ID)), zap.String("state", string(st.Recorded)),
		zap.Duration("age", s.now.Sub(st.FirstSeen)))
	if status.Final() {
		s.count.finished(status, s.now.Sub(st.FirstSeen))
	}
}

// recordedRun orders the start of a run whose placement is recorded.
func (s *State) recordedRun(r *run) {
	v := s.servers[r.server]
	if v == nil || v.runs[r.name] != r || r.phase != runRecording {
		return
	}
	r.phase = runOrdered
	if r.stopping {
		s.release(v, r, "stopped before its start")
		return
	}
	if !s.cancelsKnown(r.group.State.Job.ID) {
		s.release(v, r, "cancellations are not known up to now")
		return
	}
	r.orderedAt = s.now
	s.orderStart(v, r)
}

// dropJobs forgets jobs whose final state need not be told any more.
func (s *State) dropJobs() {
	if s.now.Sub(s.dropped) < dropInterval {
		return
	}
	s.dropped = s.now
	keep := s.bounds.KeepFinal + dropDelay
	var old []*job.State
	s.jobs.ForEach(func(st *job.State) {
		if st.Recorded.Final() && s.now.Sub(st.FinalSince) > keep && len(old) < maxBatchRecords {
			old = append(old, st)
		}
	})
	for _, st := range old {
		s.drop(st)
	}
}

func (s *State) drop(st *job.State) {
	id := st.Job.ID
	st.ForEachGroup(func(g *job.Group) {
		delete(s.writer.groups, g.Key())
		delete(s.avoid, g.Key())
		delete(s.steps, g.Key())
		s.writer.drops = append(s.writer.drops, job.ProgressTombstone(g.Key()))
	})
	s.jobs.Drop(id)
	s.emit(Append{Number: 0, Appending: Appending{Partition: SubmissionPartition(id), Records: job.JobTombstones(id), At: -1}})
}
