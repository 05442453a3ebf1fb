package job

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Status is a job's state as told to its submitter.
type Status string

// The states of a job.
const (
	StatusQueued    Status = "queued"
	StatusRunning   Status = "running"
	StatusDone      Status = "done"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
)

// Final reports whether the state changes no more.
func (s Status) Final() bool {
	return s == StatusDone || s == StatusFailed || s == StatusCancelled
}

// State is a job with its progress.
type State struct {
	Job       *Job
	Cancelled bool
	// FirstSeen is when this VM learned of the job, set back by the job's age at that time
	// when it came with the first read.
	FirstSeen time.Time
	// Recorded is the newest state that is known to last; submitters are told this one.
	Recorded Status
	// FinalSince is when Recorded became final.
	FinalSince time.Time
	groups     map[groupIndex]*Group
}

type groupIndex struct{ occurrence, step int }

// Group returns a step of an occurrence, made when it does not exist yet, or nil
// when the job has no such step.
func (s *State) Group(occurrence, step int) *Group {
	if occurrence < 0 || occurrence >= s.Job.OccurrenceCount() || step < 0 || step >= len(s.Job.Steps) {
		return nil
	}
	index := groupIndex{occurrence, step}
	g := s.groups[index]
	if g == nil {
		g = &Group{State: s, Occurrence: occurrence, Index: step, Tasks: make([]Task, s.Job.Steps[step].Count)}
		s.groups[index] = g
	}
	return g
}

// ForEachGroup calls f for the groups that have been made.
func (s *State) ForEachGroup(f func(*Group)) {
	for _, g := range s.groups {
		f(g)
	}
}

// Ready reports whether all steps that the group depends on are done.
func (g *Group) Ready() bool {
	for _, d := range g.Step().DependsOn {
		if !g.State.Group(g.Occurrence, d).Done() {
			return false
		}
	}
	return true
}

// Begun reports whether any task was placed at least once.
func (s *State) Begun() bool {
	for _, g := range s.groups {
		for i := range g.Tasks {
			if g.Tasks[i].Run > 0 {
				return true
			}
		}
	}
	return false
}

// Status derives the state from the progress so far.
func (s *State) Status() Status {
	if s.Recorded.Final() {
		return s.Recorded
	}
	if s.Cancelled {
		return StatusCancelled
	}
	begun, done := false, 0
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

// RecordStatus makes the present state the one that submitters are told.
func (s *State) RecordStatus(now time.Time) {
	s.SetRecorded(s.Status(), now)
}

// SetRecorded makes status the one that submitters are told. A final state stays.
func (s *State) SetRecorded(status Status, now time.Time) {
	if s.Recorded.Final() {
		return
	}
	s.Recorded = status
	if status.Final() {
		s.FinalSince = now
	}
}

// Table holds all jobs that are known, built from records in any order of topics.
type Table struct {
	jobs map[model.JobID]*State
	// early holds cancellations and progress that came before their submission.
	earlyCancels  map[model.JobID]bool
	earlyProgress map[GroupKey][]Task
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		jobs:          make(map[model.JobID]*State),
		earlyCancels:  make(map[model.JobID]bool),
		earlyProgress: make(map[GroupKey][]Task),
	}
}

// Job returns a job, or nil when it is not known.
func (t *Table) Job(id model.JobID) *State { return t.jobs[id] }

// Len is the number of jobs known.
func (t *Table) Len() int { return len(t.jobs) }

// ForEach calls f for every job.
func (t *Table) ForEach(f func(*State)) {
	for _, s := range t.jobs {
		f(s)
	}
}

// Submit adds a job. The first submission of an ID counts; it returns whether this was it.
func (t *Table) Submit(j *Job, now time.Time) (*State, bool) {
	if s := t.jobs[j.ID]; s != nil {
		return s, false
	}
	s := &State{Job: j, FirstSeen: now, Recorded: StatusQueued, groups: make(map[groupIndex]*Group)}
	t.jobs[j.ID] = s
	for key, tasks := range t.earlyProgress {
		if key.Job == j.ID {
			delete(t.earlyProgress, key)
			s.apply(key, tasks)
		}
	}
	if t.earlyCancels[j.ID] {
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
		t.earlyCancels[id] = true
		return nil
	}
	s.Cancelled = true
	s.RecordStatus(now)
	return s
}

// SetProgress replaces the tasks of a group.
func (t *Table) SetProgress(key GroupKey, tasks []Task, now time.Time) {
	s := t.jobs[key.Job]
	if s == nil {
		t.earlyProgress[key] = tasks
		return
	}
	s.apply(key, tasks)
	s.RecordStatus(now)
}

func (s *State) apply(key GroupKey, tasks []Task) {
	g := s.Group(key.Occurrence, key.Step)
	if g == nil || len(tasks) != len(g.Tasks) {
		return // the record belongs to a submission that lost against this one
	}
	copy(g.Tasks, tasks)
}

// Drop forgets a job.
func (t *Table) Drop(id model.JobID) {
	delete(t.jobs, id)
	delete(t.earlyCancels, id)
}
