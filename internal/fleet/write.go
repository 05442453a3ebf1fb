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

// appendRetry is the pause before a batch is sent again, the answer time of a healthy store.
const appendRetry = 30 * time.Millisecond

// writer stores the holder's decisions in order, one batch at a time.
type writer struct {
	groups   map[job.GroupKey]*job.Group    // changed since the previous batch
	servers  map[model.BackendServerID]bool // with ends applied since the previous batch
	arrivals map[string]bool                // tasks with start orders that may arrive later than was stored
	started  []*run                         // placed since the previous batch
	drops    []job.Record                   // tombstones of deleted jobs
	compact  map[model.JobID]*job.State     // jobs with more done groups in the store than it needs to hold
	inFlight *batch
	sequence int64
}

// batch is one append, with the changes that take effect once it is stored.
type batch struct {
	number   int64
	append   AppendRequest
	sent     bool
	resendAt time.Time
	began    time.Time
	sentAt   time.Time // when it was first sent
	runs     []*run
	ends     map[model.BackendServerID]endPosition
	statuses map[*job.State]job.Status
}

func newWriter() writer {
	return writer{
		groups: make(map[job.GroupKey]*job.Group), servers: make(map[model.BackendServerID]bool), arrivals: make(map[string]bool),
		compact: make(map[model.JobID]*job.State),
	}
}

// markDirty marks a task to be stored with the next batch. All tasks of a gang are stored together,
// so that they agree on the checkpoint to start from.
func (s *State) markDirty(g *job.Group, index int) {
	if g.Retired() && s.writer.groups[g.Key()] != g {
		s.replan = true
		return // all of it is stored
	}
	if g.Step().Gang {
		s.markAllDirty(g)
		return
	}
	g.MarkChanged(index)
	s.writer.groups[g.Key()] = g
	s.replan = true
}

// markAllDirty marks all tasks of a group to be stored with the next batch.
func (s *State) markAllDirty(g *job.Group) {
	g.MarkAllChanged()
	s.writer.groups[g.Key()] = g
	s.replan = true
}

// flush sends the next batch, or repeats the current one if it was not confirmed.
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
	if b.sentAt.IsZero() {
		b.sentAt, s.term.recordsSentAt = s.now, s.now
	}
	s.emit(Append{Number: b.number, Request: b.append})
}

// nextBatch returns a batch of all changes; nil if there are none.
func (s *State) nextBatch() *batch {
	w := &s.writer
	presence := s.presenceDue()
	if len(w.groups) == 0 && len(w.servers) == 0 && len(w.arrivals) == 0 && len(w.drops) == 0 && len(w.compact) == 0 && !presence {
		return nil
	}
	b := &batch{
		number:   w.sequence + 1,
		began:    s.now,
		ends:     make(map[model.BackendServerID]endPosition),
		statuses: make(map[*job.State]job.Status),
	}
	remaining := newWriter()
	remaining.sequence = w.sequence + 1
	records := append(s.groupRecords(b, &remaining), s.arrivalRecords()...)
	for _, id := range eventloop.SortedKeys(w.servers) {
		if v := s.servers[id]; v != nil {
			n := s.endsToRecord(id, v)
			r, err := endPositionRecord(id, n)
			if err != nil {
				s.log.Error("ends not recorded", zap.String("server", string(id)), zap.Error(err))
				continue
			}
			records = append(records, r)
			b.ends[id] = n
		}
	}
	drops := min(len(w.drops), maxDropRecords)
	records, remaining.drops = append(records, w.drops[:drops]...), w.drops[drops:]
	records = append(records, s.compactionRecords(&remaining)...)
	if r, due := s.paceRecordDue(); due {
		records = append(records, r)
	}
	if presence {
		records = append(records, job.Record{Key: presenceKey, Value: []byte("{}")})
	}
	b.append = AppendRequest{
		Partition: progressPartition, Records: records, At: -1,
		Producer: holderProducer, Epoch: s.term.token, Sequence: remaining.sequence,
	}
	s.writer = remaining
	return b
}

// compactionRecords returns records that replace the stored progress of done groups. Jobs that need more of them than one
// batch takes are left for the next one.
func (s *State) compactionRecords(remaining *writer) []job.Record {
	var records []job.Record
	for _, id := range eventloop.SortedKeys(s.writer.compact) {
		st := s.writer.compact[id]
		if len(records) >= maxBatchRecords {
			remaining.compact[id] = st
			continue
		}
		unstored := func(key job.GroupKey) bool { return remaining.groups[key] != nil }
		compacted, groups, err := st.Compact(maxBatchRecords-len(records), unstored)
		if err != nil {
			s.log.Error("progress of done steps not compacted", zap.String("job", string(id)), zap.Error(err))
			continue
		}
		records = append(records, compacted...)
		for _, key := range groups {
			records = append(records, s.arrivalTombstonesOf(key, st.Job.Steps[key.Step].Count)...)
		}
		if len(groups) > 0 && st.CompactionDue() {
			remaining.compact[id] = st
		}
	}
	return records
}

// groupRecords encodes the changed groups. Groups that do not fit in the batch are left for
// the next one, with the runs that they start, unless the batch contains ends: these are
// acknowledged with the batch, so the groups that they change must be in it.
func (s *State) groupRecords(b *batch, remaining *writer) []job.Record {
	var records []job.Record
	size := 0
	for _, key := range sortedGroups(s.writer.groups) {
		g := s.writer.groups[key]
		if size > maxBatchBytes && len(s.writer.servers) == 0 {
			remaining.groups[key] = g
			continue
		}
		chunks, err := g.ProgressRecords()
		if err != nil {
			s.log.Error("progress not recorded", zap.Stringer("step", key), zap.Error(err))
			continue
		}
		for _, r := range chunks {
			size += len(r.Value)
		}
		records = append(records, chunks...)
		b.statuses[g.State] = g.State.Status()
	}
	for _, r := range s.writer.started {
		if remaining.groups[r.group.Key()] != nil {
			remaining.started = append(remaining.started, r)
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

func endPositionRecord(id model.BackendServerID, n endPosition) (job.Record, error) {
	value, err := json.Marshal(n)
	return job.Record{Key: recordedEndPrefix + string(id), Value: value}, err
}

func (s *State) appendAnswered(e AppendAnswered) {
	if errors.Is(e.Err, ErrConflict) {
		s.observeStore(nil) // the store has answered
	} else {
		s.observeStore(e.Err)
	}
	b := s.writer.inFlight
	if !s.holdsTerm() || b == nil || b.number != e.Number || b.append.Epoch != e.Epoch {
		return
	}
	switch {
	case e.Err == nil:
		s.writer.inFlight = nil
		s.observeUnopposed(b.sentAt) // its epoch would be refused after another claim
		s.batchStored(b, e.Offset)
	case errors.Is(e.Err, ErrFenced):
		s.stepDown("fenced by the store", "")
	default:
		b.sent = false
		b.resendAt = s.now.Add(appendRetry)
		s.log.Info("records not confirmed", zap.Int64("batch", b.number), zap.Int("records", len(b.append.Records)),
			zap.Duration("since", s.now.Sub(b.began)), zap.Error(e.Err))
	}
}

// observeStore keeps track of whether the store serves this VM.
func (s *State) observeStore(err error) {
	if err != nil {
		s.load.storeFailedAt = s.now
	}
	switch {
	case err == nil:
		s.storeAnsweredAt, s.storeRefusingSince = s.now, time.Time{}
	case (errors.Is(err, ErrNoEffect) || errors.Is(err, ErrDisconnected)) && s.storeRefusingSince.IsZero():
		s.storeRefusingSince = s.now // a store that resets all connections turns this VM away too
	}
}

// storeLost reports whether this VM should not hold the term because of the store: the store
// has not answered for a while, or has refused all calls for a shorter time.
func (s *State) storeLost() bool {
	if !s.storeRefusingSince.IsZero() && s.now.Sub(s.storeRefusingSince) > holderRefusedTimeout {
		return true
	}
	if s.holdsTerm() {
		return s.now.Sub(s.storeAnsweredAt) > holderStoreTimeout
	}
	return s.now.Sub(s.storeAnsweredAt) > storeTimeout
}

// batchStored does what had to wait until the batch was stored: it orders starts,
// acknowledges ends, and makes the new job states visible to submitters. Offset is that of its first record.
func (s *State) batchStored(b *batch, offset int64) {
	s.metrics.CommitLatency.RecordDuration(s.now.Sub(b.began))
	for st, status := range b.statuses {
		s.recordStatus(st, status)
	}
	for id, n := range b.ends {
		s.recordedEnds[id] = n
		if v := s.servers[id]; v != nil && v.token == 0 && n == s.endsToRecord(id, v) {
			s.raiseToken(id, v, offset+1)
		} else if v != nil && v.incarnationStart == n.IncarnationStart && n.Number > v.recordedEnd {
			v.recordedEnd = n.Number
			s.touch(v)
			if !v.holdInFlight {
				v.nextHoldAt = s.now
			}
		}
	}
	s.placementsRecorded(b.runs)
}

func (s *State) recordStatus(st *job.State, status job.Status) {
	if st.Recorded == status {
		return
	}
	st.SetRecorded(status, s.now)
	s.log.Info("job state", zap.String("job", string(st.Job.ID)), zap.String("state", string(st.Recorded)),
		zap.Int("priority", st.Job.Priority), zap.Int64("runs", st.NewestRun()), zap.Duration("age", s.now.Sub(st.FirstSeen)))
	if status.Final() {
		s.metrics.jobFinished(status, s.now.Sub(st.FirstSeen))
	}
}

// placementsRecorded orders the starts of runs whose placements have been stored, unless what
// they rest on has changed meanwhile. All are checked before the first order, so that no member
// of a gang is started that another one's refusal would stop.
func (s *State) placementsRecorded(runs []*run) {
	var start []*run
	for _, r := range runs {
		v := s.servers[r.server]
		if v == nil || v.runs[r.name] != r || r.phase != runRecording {
			continue
		}
		r.phase = runOrdered
		if o := s.obstacle(v, r); o != noObstacle {
			s.requeue(v, r, string(o))
			continue
		}
		start = append(start, r)
	}
	for _, r := range start {
		v := s.servers[r.server]
		if r.stopping {
			s.requeue(v, r, "stopped before its start")
			continue
		}
		r.orderedAt = s.now
		s.orderStart(v, r)
	}
}

// dropJobs deletes the submissions of jobs whose final state need no longer be kept, and repeats that until it has
// read them back as deleted. Only then jobDropped deletes their progress: a submission without it would run again.
func (s *State) dropJobs() {
	keep := s.bounds.FinalStateRetention + dropDelay
	records, count := make(map[Partition][]job.Record), 0
	s.jobs.ForEach(func(st *job.State) {
		if id := st.Job.ID; st.Recorded.Final() && s.now.Sub(st.FinalSince) > keep && count < maxBatchRecords {
			p := SubmissionPartition(id)
			records[p] = append(records[p], job.JobTombstones(id)...)
			count++
		}
	})
	for _, p := range Partitions() {
		if len(records[p]) > 0 {
			s.emit(Append{Number: 0, Request: AppendRequest{Partition: p, Records: records[p], At: -1}})
		}
	}
}

// jobDropped has the progress of a job deleted whose submission is deleted.
func (s *State) jobDropped(st *job.State) {
	delete(s.writer.compact, st.Job.ID)
	delete(s.turns, st.Job.ID)
	for key := range s.writer.groups {
		if key.Job == st.Job.ID {
			delete(s.writer.groups, key) // also one that is done and no longer kept
		}
	}
	st.ForEachGroup(func(g *job.Group) {
		s.forgetGroup(g.Key())
		s.writer.drops = append(s.writer.drops, job.ProgressTombstones(g)...)
		s.writer.drops = append(s.writer.drops, s.arrivalTombstonesOf(g.Key(), len(g.Tasks))...)
	})
	s.writer.drops = append(s.writer.drops, st.FinishedTombstones()...)
}

// retire no longer keeps a group that is done, if its job runs its steps several times.
func (s *State) retire(g *job.Group) {
	st := g.State
	if st.Retire(g); !g.Retired() {
		return
	}
	s.forgetGroup(g.Key())
	if st.CompactionDue() {
		s.writer.compact[st.Job.ID] = st
	}
}

// forgetGroup forgets what rounds remember of a group.
func (s *State) forgetGroup(key job.GroupKey) {
	delete(s.avoid, key)
	delete(s.stepRates, key)
	delete(s.advice, key.String())
}
