package job

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// The prefixes of record keys. A record holds the whole state of its key, so only the
// newest record of each key has to be kept.
const (
	submissionPrefix   = "job/"
	cancellationPrefix = "cancel/"
	// progressPrefix is that of records of whole groups, which are read but no longer written.
	progressPrefix = "step/"
)

// Record is a key with its value. A record without a value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// SubmissionKey returns the key of a job's submission.
func SubmissionKey(id model.JobID) string { return submissionPrefix + string(id) }

// SubmissionRecord returns the record that stores a job.
func SubmissionRecord(j *Job) (Record, error) {
	value, err := json.Marshal(j)
	if err != nil {
		return Record{}, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return Record{Key: SubmissionKey(j.ID), Value: value}, nil
}

// CancellationRecord returns the record that stores a job's cancellation.
func CancellationRecord(id model.JobID) Record {
	return Record{Key: cancellationPrefix + string(id), Value: []byte("1")}
}

// Apply applies a record to the table. It returns the job that changed, or nil when
// there is none; known is false for a record of another kind.
func (t *Table) Apply(r Record, now time.Time) (changed *State, known bool, err error) {
	switch {
	case strings.HasPrefix(r.Key, submissionPrefix):
		changed, err = t.applySubmission(r, now)
	case strings.HasPrefix(r.Key, cancellationPrefix):
		id := model.JobID(strings.TrimPrefix(r.Key, cancellationPrefix))
		if len(r.Value) == 0 {
			delete(t.earlyCancels, id) // a job that is known stays cancelled until it is dropped
			return nil, true, nil
		}
		changed = t.Cancel(id, now)
	case strings.HasPrefix(r.Key, chunkPrefix):
		changed, err = t.applyChunk(r, now)
		changed.recordProgress(now)
	case strings.HasPrefix(r.Key, finishedPrefix):
		changed, err = t.applyFinished(r)
		changed.recordProgress(now)
	case strings.HasPrefix(r.Key, progressPrefix):
		changed, err = t.applyProgress(r)
		changed.recordProgress(now)
	default:
		return nil, false, nil
	}
	return changed, true, err
}

func (t *Table) applySubmission(r Record, now time.Time) (*State, error) {
	id := model.JobID(strings.TrimPrefix(r.Key, submissionPrefix))
	if len(r.Value) == 0 {
		t.Drop(id)
		return nil, nil
	}
	j := new(Job)
	if err := json.Unmarshal(r.Value, j); err != nil {
		return nil, fmt.Errorf("record %s: %w", r.Key, err)
	}
	if j.ID != id {
		return nil, fmt.Errorf("record %s: it holds job %q", r.Key, j.ID)
	}
	if err := j.Check(); err != nil {
		return nil, fmt.Errorf("record %s: %w", r.Key, err)
	}
	s, _ := t.Submit(j, now)
	return s, nil
}

// applyProgress applies the record of a whole group.
func (t *Table) applyProgress(r Record) (*State, error) {
	key, err := ParseGroupKey(strings.TrimPrefix(r.Key, progressPrefix))
	if err != nil {
		return nil, err
	}
	if len(r.Value) == 0 {
		return nil, nil // the group is dropped together with its job
	}
	var tasks []Task
	if err := json.Unmarshal(r.Value, &tasks); err != nil {
		return nil, fmt.Errorf("record %s: %w", r.Key, err)
	}
	for i := range tasks {
		if err := tasks[i].check(); err != nil {
			return nil, fmt.Errorf("record %s: task %d: %w", r.Key, i, err)
		}
	}
	t.setProgress(key, progress{count: len(tasks), tasks: tasks, wholeGroup: true})
	return t.jobs[key.Job], nil
}

// DroppedJob returns the job whose submission a record deletes; false if it is another record.
func DroppedJob(r Record) (model.JobID, bool) {
	id, ok := strings.CutPrefix(r.Key, submissionPrefix)
	return model.JobID(id), ok && len(r.Value) == 0
}

// CancellationTombstone returns the record that deletes a job's cancellation.
func CancellationTombstone(id model.JobID) Record {
	return Record{Key: cancellationPrefix + string(id)}
}

// IsCancellation reports whether a record stores the cancellation of a job.
func IsCancellation(r Record, id model.JobID) bool {
	return len(r.Value) > 0 && r.Key == cancellationPrefix+string(id)
}

// JobTombstones returns the records that delete a job's submission and cancellation.
func JobTombstones(id model.JobID) []Record {
	return []Record{CancellationTombstone(id), {Key: submissionPrefix + string(id)}}
}

// ProgressTombstones returns the records that delete the progress of a group.
func ProgressTombstones(g *Group) []Record {
	return progressTombstones(g.Key(), len(g.Tasks), g.wholeGroup)
}

func progressTombstones(key GroupKey, tasks int, wholeGroup bool) []Record {
	var records []Record
	for first := 0; first < tasks; first += ChunkTasks {
		records = append(records, Record{Key: chunkKey(key, first)})
	}
	if wholeGroup {
		records = append(records, Record{Key: progressPrefix + key.String()})
	}
	return records
}
