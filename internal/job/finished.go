package job

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// A job may run its steps a million times. Its state keeps groups only of what has begun or is offered next, and of what
// is done one bit for each step of an occurrence. The store keeps the progress of the last finishedKept groups and one
// record for each step that tells which occurrences before are done.

const (
	// finishedPrefix is the prefix of the records that tell which occurrences of a step are done, under ID.STEP.
	finishedPrefix = "done/"
	// finishedKept is how many done groups of a job have their progress in the store before it is replaced.
	finishedKept = 64
	// maxFinishedRanges bounds the ranges of one such record. What is between them has not ended.
	maxFinishedRanges = 256
)

// finishedStep tells which occurrences of a step are done. Of those that are compacted, the store holds no progress.
type finishedStep struct{ done, compacted occurrenceSet }

// packedFinished is the value of such a record: the number of occurrences of the job, and pairs of a first occurrence
// that is done and the one after the last.
type packedFinished struct {
	_           struct{} `cbor:",toarray"`
	Occurrences int
	Ranges      []int
}

// repeats reports whether the steps may run several times.
func (s *State) repeats() bool { return s.Job.Occurrences > 0 }

// stepDone reports whether all tasks of a step of an occurrence have ended successfully.
func (s *State) stepDone(occurrence, step int) bool {
	if g := s.groups[groupIndex{occurrence, step}]; g != nil {
		return g.Done()
	}
	return s.repeats() && s.finished[step].done.contains(occurrence)
}

// finishedGroups returns how many groups are done and no longer kept.
func (s *State) finishedGroups() int {
	n := 0
	for i := range s.finished {
		n += s.finished[i].done.count
	}
	return n
}

// Retire no longer keeps a group that is done, if its job runs its steps several times. Changes of it that are still to
// be stored stay with the caller.
func (s *State) Retire(g *Group) {
	index := groupIndex{g.Occurrence, g.Index}
	if !s.repeats() || s.groups[index] != g || !g.Done() {
		return
	}
	delete(s.groups, index)
	s.finished[g.Index].done.add(g.Occurrence)
	s.storedWhole = s.storedWhole || g.wholeGroup
	g.retired = true
}

// Retired reports whether the group is done and no longer kept, so that it is not to be stored again.
func (g *Group) Retired() bool { return g.retired }

// retiredGroup returns a group that stands for one that is no longer kept.
func (s *State) retiredGroup(occurrence, step int) *Group {
	g := &Group{State: s, Occurrence: occurrence, Index: step, Tasks: make([]Task, s.Job.Steps[step].Count), retired: true}
	for i := range g.Tasks {
		g.Tasks[i].Phase = Done
	}
	return g
}

// DueCount returns how many occurrences may start at a time of day; a job without occurrences counts as one.
func (j *Job) DueCount(wall time.Time) int {
	if j.Occurrences == 0 {
		return 1
	}
	first, end := 0, j.Occurrences
	for first < end {
		if middle := (first + end) / 2; j.Due(middle).After(wall) {
			end = middle
		} else {
			first = middle + 1
		}
	}
	return first
}

// FirstOpen returns the first occurrence with a step that is not done.
func (s *State) FirstOpen() int {
	first := s.Job.OccurrenceCount()
	for i := range s.finished {
		first = min(first, s.finished[i].done.nextMissing(0))
	}
	return first
}

// WaitingGroups returns the groups among the first due occurrences that have waiting tasks and whose dependencies are
// done, by occurrence and step: of each step the first ones, until they have its share of the given number of tasks. A
// step that finds no place so keeps no other step from its turn. waiting tells how many tasks of a group wait.
func (s *State) WaitingGroups(due, tasks int, waiting func(*Group) int) []*Group {
	var list []*Group
	for i := range s.Job.Steps {
		left, end := max(1, tasks/len(s.Job.Steps)), due
		for _, d := range s.Job.Steps[i].DependsOn {
			end = min(end, s.finished[d].done.end())
		}
		done := &s.finished[i].done
		for k := done.nextMissing(0); k < end && left > 0; k = done.nextMissing(k + 1) {
			if !s.dependenciesDone(k, i) {
				continue
			}
			g := s.Group(k, i)
			if n := waiting(g); n > 0 {
				list = append(list, g)
				left -= n
			}
		}
	}
	slices.SortFunc(list, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Index, b.Index))
	})
	return list
}

func (s *State) dependenciesDone(occurrence, step int) bool {
	for _, d := range s.Job.Steps[step].DependsOn {
		if !s.stepDone(occurrence, d) {
			return false
		}
	}
	return true
}

// CompactionDue reports whether the store holds the progress of more done groups than it needs to.
func (s *State) CompactionDue() bool {
	stored := 0
	for i := range s.finished {
		stored += s.finished[i].done.count - s.finished[i].compacted.count
	}
	return stored >= finishedKept
}

// Compact returns records that replace the progress of done groups in the store by the fact that they are done, and the
// keys of these groups. There are about as many records as asked for at most. The caller stores all records together, or reads the job
// again from the store. Groups for which unstored is true are left out, as their progress is yet to be stored.
func (s *State) Compact(most int, unstored func(GroupKey) bool) (records []Record, groups []GroupKey, err error) {
	for i := range s.finished {
		step := s.compactStep(i, most-len(records), unstored)
		if len(step) == 0 {
			continue
		}
		value, err := cbor.Marshal(packedFinished{Occurrences: s.Job.Occurrences, Ranges: s.finished[i].compacted.ranges()})
		if err != nil {
			return nil, nil, fmt.Errorf("encode what is done of %s: %w", s.Job.ID, err)
		}
		records = append(records, Record{Key: finishedKey(s.Job.ID, i), Value: value})
		for _, key := range step {
			records = append(records, s.finishedTombstones(key)...)
		}
		groups = append(groups, step...)
	}
	return records, groups, nil
}

// compactStep marks done occurrences of a step as compacted, as far as their ranges do not get too many, until their
// progress has the given number of records.
func (s *State) compactStep(step, most int, unstored func(GroupKey) bool) (groups []GroupKey) {
	f := &s.finished[step]
	ranges, chunks := len(f.compacted.ranges())/2, (s.Job.Steps[step].Count+ChunkTasks-1)/ChunkTasks
	for k, ok := f.done.next(f.compacted.nextMissing(0)); ok && len(groups)*chunks < most; k, ok = f.done.next(f.compacted.nextMissing(k + 1)) {
		key := GroupKey{Job: s.Job.ID, Occurrence: k, Step: step}
		if f.compacted.contains(k) || unstored(key) {
			continue
		}
		joins := 0
		if k > 0 && f.compacted.contains(k-1) {
			joins++
		}
		if f.compacted.contains(k + 1) {
			joins++
		}
		if ranges+1-joins > maxFinishedRanges {
			continue
		}
		ranges += 1 - joins
		f.compacted.add(k)
		groups = append(groups, key)
	}
	return groups
}

// finishedTombstones returns the records that delete the progress of a done group.
func (s *State) finishedTombstones(key GroupKey) []Record {
	return progressTombstones(key, s.Job.Steps[key.Step].Count, s.storedWhole)
}

// FinishedTombstones returns the records that delete what the store holds of the job's done groups.
func (s *State) FinishedTombstones() []Record {
	var records []Record
	for i := range s.finished {
		f := &s.finished[i]
		for k, ok := f.done.next(f.compacted.nextMissing(0)); ok; k, ok = f.done.next(f.compacted.nextMissing(k + 1)) {
			if !f.compacted.contains(k) {
				records = append(records, s.finishedTombstones(GroupKey{Job: s.Job.ID, Occurrence: k, Step: i})...)
			}
		}
		if f.compacted.count > 0 {
			records = append(records, Record{Key: finishedKey(s.Job.ID, i)})
		}
	}
	return records
}

func finishedKey(id model.JobID, step int) string {
	return finishedPrefix + string(id) + "." + strconv.Itoa(step)
}

// applyFinished applies a record that tells which occurrences of a step are done. One without a value was dropped
// together with its job.
func (t *Table) applyFinished(r Record) (*State, error) {
	id, number, _ := strings.Cut(strings.TrimPrefix(r.Key, finishedPrefix), ".")
	step, err := strconv.Atoi(number)
	if err != nil || step < 0 || step >= maxSteps {
		return nil, fmt.Errorf("record %s: %q is not the number of a step", r.Key, number)
	}
	if len(r.Value) == 0 {
		return nil, nil
	}
	var m packedFinished
	if err := chunkDecoding.Unmarshal(r.Value, &m); err != nil {
		return nil, fmt.Errorf("record %s: %w", r.Key, err)
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("record %s: %w", r.Key, err)
	}
	s := t.jobs[model.JobID(id)]
	if s == nil {
		early := t.earlyFinished[model.JobID(id)]
		if early == nil {
			early = make(map[int]packedFinished)
			t.earlyFinished[model.JobID(id)] = early
		}
		early[step] = m
		return nil, nil
	}
	s.setFinished(step, m)
	return s, nil
}

func (m *packedFinished) check() error {
	if m.Occurrences < 1 || m.Occurrences > maxOccurrences || len(m.Ranges)%2 != 0 || len(m.Ranges) > 2*maxFinishedRanges {
		return fmt.Errorf("%d ends of ranges of %d occurrences", len(m.Ranges), m.Occurrences)
	}
	last := -1
	for _, k := range m.Ranges {
		if k <= last || k > m.Occurrences {
			return fmt.Errorf("%d after %d, of %d occurrences", k, last, m.Occurrences)
		}
		last = k
	}
	return nil
}

// setFinished marks occurrences of a step as done and compacted.
func (s *State) setFinished(step int, m packedFinished) {
	if !s.repeats() || m.Occurrences != s.Job.Occurrences || step >= len(s.finished) {
		return // the record belongs to another submission of the same ID, which does not count
	}
	f := &s.finished[step]
	for i := 0; i < len(m.Ranges); i += 2 {
		f.compacted.addRange(m.Ranges[i], m.Ranges[i+1])
		f.done.addRange(m.Ranges[i], m.Ranges[i+1])
	}
	for index := range s.groups {
		if index.step == step && f.done.contains(index.occurrence) {
			delete(s.groups, index)
		}
	}
}
