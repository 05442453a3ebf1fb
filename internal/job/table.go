package job

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Status is a job's state as reported to its submitter.
type Status string

// The states of a job.
const (
	StatusQueued    Status = "queued"
	StatusRunning   Status = "running"
	StatusDone      Status = "done"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
)

// Final reports whether the state cannot change any more.
func (s Status) Final() bool {
	return s == StatusDone || s == StatusFailed || s == StatusCancelled
}

// State is a job with its progress.
type State struct {
	Job       *Job
	Cancelled bool
	// FirstSeen is when this VM learned of the job. For a job from the first read of the
	// store it is earlier by the age that the job had then.
	FirstSeen time.Time
	// Recorded is the newest state that is known to be stored. Submitters get this one.
	Recorded Status
	// FinalSince is when Recorded became final.
	FinalSince time.Time
	groups     map[groupIndex]*Group
	// finished tells for each step which occurrences are done; empty if the job has none. Their groups are not kept.
	finished []finishedStep
	// storedWhole is set if a record of a whole group of the job is stored, from an earlier release.
	storedWhole bool
}

type groupIndex struct{ occurrence, step int }

// Group returns the group for a step of an occurrence and creates it if necessary. It
// returns nil when the job has no such step. A group that is no longer kept is returned with
// tasks that tell only that they are done.
func (s *State) Group(occurrence, step int) *Group {
	if occurrence < 0 || occurrence >= s.Job.OccurrenceCount() || step < 0 || step >= len(s.Job.Steps) {
		return nil
	}
	index := groupIndex{occurrence, step}
	g := s.groups[index]
	if g == nil && s.stepDone(occurrence, step) {
		return s.retiredGroup(occurrence, step)
	}
	if g == nil {
		g = &Group{State: s, Occurrence: occurrence, Index: step, Tasks: make([]Task, s.Job.Steps[step].Count)}
		s.groups[index] = g
	}
	return g
}

// ForEachGroup calls f for each group that has been created.
func (s *State) ForEachGroup(f func(*Group)) {
	for _, g := range s.groups {
		f(g)
	}
}

// Ready reports whether all steps that the group depends on are done.
func (g *Group) Ready() bool { return g.State.dependenciesDone(g.Occurrence, g.Index) }

// Begun reports whether any task has been placed at least once.
func (s *State) Begun() bool {
	if s.finishedGroups() > 0 {
		return true
	}
	for _, g := range s.groups {
		for i := range g.Tasks {
			if g.Tasks[i].Run > 0 {
				return true
			}
		}
	}
	return false
}

// NewestRun returns the highest run number of all tasks: how often the most restarted task
// was placed.
func (s *State) NewestRun() int64 {
	var newest int64
	for _, g := range s.groups {
		for i := range g.Tasks {
			newest = max(newest, g.Tasks[i].Run)
		}
	}
	return newest
}

// Status derives the state from the progress so far.
func (s *State) Status() Status {
	if s.Recorded.Final() {
		return s.Recorded
	}
	if s.Cancelled {
		return StatusCancelled
	}
	done := s.finishedGroups()
	begun := done > 0
	for _, g := range s.groups {
		if g.Failed() {
			return StatusFailed
		}
		if g.Done() {
			done++
		}
		for i := range g.Tasks {
			begun = begun || g.Tasks[i].Run > 0
		}
	}
	switch {
	case done == s.Job.OccurrenceCount()*len(s.Job.Steps):
		return StatusDone
	case begun:
		return StatusRunning
	default:
		return StatusQueued
	}
}

// RecordStatus sets Recorded to the current state.
func (s *State) RecordStatus(now time.Time) {
	s.SetRecorded(s.Status(), now)
}

// recordProgress is RecordStatus, for a job that may not be known yet.
func (s *State) recordProgress(now time.Time) {
	if s != nil {
		s.RecordStatus(now)
	}
}

// SetRecorded sets Recorded to status, unless Recorded is final.
func (s *State) SetRecorded(status Status, now time.Time) {
	if s.Recorded.Final() {
		return
	}
	s.Recorded = status
	if status.Final() {
		s.FinalSince = now
	}
}

// Table holds all known jobs. It is built from records; those of different topics may
// arrive in any order.
type Table struct {
	jobs map[model.JobID]*State
	// earlyCancels and earlyProgress hold what arrived before the job's submission; the former with when it did.
	earlyCancels  map[model.JobID]time.Time
	earlyProgress map[model.JobID]map[GroupKey][]progress
	earlyFinished map[model.JobID]map[int]packedFinished
}

// progress is the state of consecutive tasks of a group of count tasks, as read from a record.
type progress struct {
	first, count int
	tasks        []Task
	wholeGroup   bool
	readAt       time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		jobs:          make(map[model.JobID]*State),
		earlyCancels:  make(map[model.JobID]time.Time),
		earlyProgress: make(map[model.JobID]map[GroupKey][]progress),
		earlyFinished: make(map[model.JobID]map[int]packedFinished),
	}
}

// Job returns a job, or nil when it is not known.
func (t *Table) Job(id model.JobID) *State { return t.jobs[id] }

// Len returns the number of known jobs.
func (t *Table) Len() int { return len(t.jobs) }

// ForEach calls f for every job.
func (t *Table) ForEach(f func(*State)) {
	for _, s := range t.jobs {
		f(s)
	}
}

// Submit adds a job and returns whether it is new. Only the first submission of an ID
// counts.
func (t *Table) Submit(j *Job, now time.Time) (*State, bool) {
	if s := t.jobs[j.ID]; s != nil {
		return s, false
	}
	s := &State{Job: j, FirstSeen: now, Recorded: StatusQueued, groups: make(map[groupIndex]*Group)}
	if s.repeats() {
		s.finished = make([]finishedStep, len(j.Steps))
	}
	t.jobs[j.ID] = s
	for step, m := range t.earlyFinished[j.ID] {
		s.setFinished(step, m)
	}
	delete(t.earlyFinished, j.ID)
	for key, early := range t.earlyProgress[j.ID] {
		for _, p := range early {
			s.setTasks(key, p)
		}
	}
	delete(t.earlyProgress, j.ID)
	if _, cancelled := t.earlyCancels[j.ID]; cancelled {
		delete(t.earlyCancels, j.ID)
		s.Cancelled = true
	}
	s.RecordStatus(now)
	return s, true
}

// Cancel marks a job as cancelled and returns it, or nil when it is not known yet.
func (t *Table) Cancel(id model.JobID, now time.Time) *State {
	s := t.jobs[id]
	if s == nil {
		if _, known := t.earlyCancels[id]; !known {
			t.earlyCancels[id] = now
		}
		return nil
	}
	s.Cancelled = true
	s.RecordStatus(now)
	return s
}

// EarlyCancel returns when the cancellation of a job without a submission arrived; false if there is none.
func (t *Table) EarlyCancel(id model.JobID) (time.Time, bool) {
	at, known := t.earlyCancels[id]
	return at, known
}

// EarlyCancels returns how many jobs without a submission are cancelled.
func (t *Table) EarlyCancels() int { return len(t.earlyCancels) }

// ForEachEarlyCancel calls f for each job without a submission that is cancelled, with when that arrived.
func (t *Table) ForEachEarlyCancel(f func(model.JobID, time.Time)) {
	for id, at := range t.earlyCancels {
		f(id, at)
	}
}

// setProgress replaces tasks of a group.
func (t *Table) setProgress(key GroupKey, p progress) {
	if s := t.jobs[key.Job]; s != nil {
		s.setTasks(key, p)
		return
	}
	groups := t.earlyProgress[key.Job]
	if groups == nil {
		groups = make(map[GroupKey][]progress)
		t.earlyProgress[key.Job] = groups
	}
	early := slices.DeleteFunc(groups[key], func(old progress) bool {
		return old.first == p.first && old.wholeGroup == p.wholeGroup
	})
	groups[key] = append(early, p)
}

func (s *State) setTasks(key GroupKey, p progress) {
	g := s.Group(key.Occurrence, key.Step)
	if g == nil || g.Retired() || p.count != len(g.Tasks) || p.first+len(p.tasks) > len(g.Tasks) {
		return // the record belongs to another submission of the same ID, which does not count
	}
	g.wholeGroup = g.wholeGroup || p.wholeGroup
	if g.runReadAt == nil {
		g.runReadAt = make([]time.Time, len(g.Tasks))
	}
	for i, t := range p.tasks {
		if t.Run != g.Tasks[p.first+i].Run {
			g.runReadAt[p.first+i] = p.readAt
		}
	}
	copy(g.Tasks[p.first:], p.tasks)
	s.Retire(g)
}

// Drop removes a job from the table.
func (t *Table) Drop(id model.JobID) {
	delete(t.jobs, id)
	delete(t.earlyCancels, id)
}
