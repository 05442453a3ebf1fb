package job

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

func wideJob(id model.JobID, count int) *Job {
	return &Job{ID: id, Attempts: 2, Steps: []Step{{Count: count}}}
}

// placedGroup returns a group with all tasks placed and stored.
func placedGroup(t *testing.T, count int) *Group {
	s, _ := NewTable().Submit(wideJob("0123456789abcdef", count), testNow)
	g := s.Group(0, 0)
	for i := range g.Tasks {
		g.Tasks[i] = Task{Phase: Placed, Run: 1, Server: model.BackendServerID(fmt.Sprintf("bead-desk-harju-a-%d", i)), Checkpoint: "00000bb87a21d94b"}
	}
	g.MarkAllChanged()
	_, err := g.ProgressRecords()
	assert.NilError(t, err)
	return g
}

// An end of one of 470 tasks used to store all 470 again, which every VM read. It must cost no more
// than a chunk: less than a kilobyte.
func TestOneEndStoresOneChunk(t *testing.T) {
	g := placedGroup(t, 470)
	g.Tasks[200].Phase = Done
	g.MarkChanged(200)
	records, err := g.ProgressRecords()
	assert.NilError(t, err)
	assert.Assert(t, cmp.Len(records, 1))
	assert.Assert(t, len(records[0].Key)+len(records[0].Value) < 1024, "%d bytes", len(records[0].Value))
	records, err = g.ProgressRecords()
	assert.NilError(t, err)
	assert.Assert(t, cmp.Len(records, 0))
}

// Chunks bring back each task, also when they come before the submission, and the newest one counts.
func TestChunksBringBackAllTasks(t *testing.T) {
	for _, count := range []int{1, ChunkTasks, ChunkTasks + 1, 100} {
		g := placedGroup(t, count)
		g.Tasks[count-1].AddCrash(Crash{Server: "s", IncarnationStart: 5, Blame: Alone})
		g.Tasks[count-1].Failures = 1
		g.CountStop(count - 1)
		g.MarkAllChanged()
		old, err := g.ProgressRecords()
		assert.NilError(t, err)
		g.Tasks[0].Phase = Done
		g.MarkChanged(0)
		newer, err := g.ProgressRecords()
		assert.NilError(t, err)
		submission, err := SubmissionRecord(g.State.Job)
		assert.NilError(t, err)
		for _, records := range [][]Record{append(append([]Record{submission}, old...), newer...), append(append(old, newer...), submission)} {
			table := NewTable()
			for _, r := range records {
				_, known, err := table.Apply(r, testNow)
				assert.NilError(t, err)
				assert.Assert(t, known)
			}
			assert.DeepEqual(t, table.Job(g.State.Job.ID).Group(0, 0).Tasks, g.Tasks)
		}
	}
}

// Tasks that were never stopped are stored as the release before Stops reads them.
func TestTaskWithoutStopsIsStoredAsBefore(t *testing.T) {
	old, err := cbor.Marshal(packedFields{Phase: Placed, Run: 2, Server: "s", Failures: 1, Checkpoint: "c"})
	assert.NilError(t, err)
	now, err := cbor.Marshal(packedTask{Phase: Placed, Run: 2, Server: "s", Failures: 1, Checkpoint: "c"})
	assert.NilError(t, err)
	assert.DeepEqual(t, now, old)
	stopped, err := cbor.Marshal(packedTask{Phase: Placed, Run: 2, Stops: 1})
	assert.NilError(t, err)
	assert.ErrorContains(t, chunkDecoding.Unmarshal(stopped, new(packedFields)), "different number of elements")
}

// A record of a whole group, from an earlier release, is read. Later chunks replace its tasks, and both
// are deleted with the job.
func TestWholeGroupRecordStaysReadable(t *testing.T) {
	g := placedGroup(t, 20)
	value, err := json.Marshal(g.Tasks)
	assert.NilError(t, err)
	table := NewTable()
	_, _ = table.Submit(g.State.Job, testNow)
	_, _, err = table.Apply(Record{Key: "step/0123456789abcdef.0.0", Value: value}, testNow)
	assert.NilError(t, err)
	g.Tasks[17].Phase = Done
	g.MarkChanged(17)
	records, err := g.ProgressRecords()
	assert.NilError(t, err)
	_, _, err = table.Apply(records[0], testNow)
	assert.NilError(t, err)
	read := table.Job("0123456789abcdef").Group(0, 0)
	assert.DeepEqual(t, read.Tasks, g.Tasks)
	var keys []string
	for _, r := range ProgressTombstones(read) {
		assert.Assert(t, cmp.Len(r.Value, 0))
		keys = append(keys, r.Key)
	}
	assert.DeepEqual(t, keys, []string{"tasks/0123456789abcdef.0.0/0", "tasks/0123456789abcdef.0.0/16", "step/0123456789abcdef.0.0"})
}

// Records that no holder writes are refused and change nothing.
func TestOddChunksAreRefused(t *testing.T) {
	good, err := cbor.Marshal(packedChunk{Count: 2, Tasks: make([]packedTask, 2)})
	assert.NilError(t, err)
	nested := append([]byte(strings.Repeat("\x81", 5000)), 0)
	negative, err := cbor.Marshal(packedChunk{Count: 2, Tasks: []packedTask{{Run: -1}}})
	assert.NilError(t, err)
	beyond, err := cbor.Marshal(packedChunk{Count: 1 << 40, Tasks: make([]packedTask, 2)})
	assert.NilError(t, err)
	for _, r := range []Record{
		{Key: "tasks/a.0.0/0", Value: nested},
		{Key: "tasks/a.0.0/0", Value: negative},
		{Key: "tasks/a.0.0/0", Value: good[:len(good)-1]},
		{Key: "tasks/a.0.0/0", Value: []byte("\x82\x02\x9a\xff\xff\xff\xff")},
		{Key: "tasks/a.0.0/0", Value: []byte("\x82\x1b\xff\xff\xff\xff\xff\xff\xff\xff\x80")},
		{Key: "tasks/a.0.0/-16", Value: good},
		{Key: "tasks/a.0.0/3", Value: good},
		{Key: "tasks/a.0.0", Value: good},
		{Key: "tasks/a.0.99999999999999999999/0", Value: good},
	} {
		table := NewTable()
		s, _ := table.Submit(wideJob("a", 2), testNow)
		_, known, err := table.Apply(r, testNow)
		assert.Assert(t, known && err != nil, "%q", r.Key)
		assert.DeepEqual(t, s.Group(0, 0).Tasks, make([]Task, 2))
	}
	table := NewTable()
	s, _ := table.Submit(wideJob("a", 2), testNow)
	_, _, err = table.Apply(Record{Key: "tasks/a.0.0/0", Value: beyond}, testNow)
	assert.NilError(t, err) // of another submission with this ID
	assert.DeepEqual(t, s.Group(0, 0).Tasks, make([]Task, 2))
}

// FuzzProgressRecord applies arbitrary values under the keys of progress records.
func FuzzProgressRecord(f *testing.F) {
	good, err := cbor.Marshal(packedChunk{Count: 20, Tasks: make([]packedTask, 16)})
	assert.NilError(f, err)
	f.Add("tasks/a.0.0/0", good)
	f.Add("tasks/a.0.0/16", []byte("\x82\x14\x81\x86\x01\x02asx\x00`\x80"))
	f.Add("step/a.0.0", []byte(`[{"p":1,"r":2,"s":"x"}]`))
	f.Add("job/a", []byte(`{"id":"a","steps":[{"count":1}]}`))
	f.Add("cancel/a", []byte("1"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		table := NewTable()
		_, _ = table.Submit(wideJob("a", 20), testNow)
		changed, known, err := table.Apply(Record{Key: key, Value: value}, testNow)
		assert.Assert(t, err == nil || changed == nil, "a refused record changed a job")
		if s := table.Job("a"); s != nil && known {
			_ = s.Status()
			assert.Assert(t, cmp.Len(s.Group(0, 0).Tasks, 20))
		}
	})
}
