package job

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

func repeatedJob(id model.JobID, times int) *Job {
	j := twoStepJob(id)
	j.Occurrences, j.FirstDue, j.Interval = times, testNow, time.Minute
	return j
}

// doneRecords returns the records of a job's occurrences that are done, one by one, as releases without compaction
// store them.
func doneRecords(tb testing.TB, j *Job, times int) []Record {
	s, _ := NewTable().Submit(j, testNow)
	var records []Record
	for k := range times {
		for step := range j.Steps {
			g := s.Group(k, step)
			for i := range g.Tasks {
				g.Tasks[i] = Task{Phase: Done, Run: 1, Server: "s1"}
			}
			g.MarkAllChanged()
			progress, err := g.ProgressRecords()
			assert.NilError(tb, err)
			records = append(records, progress...)
		}
	}
	return records
}

func applyAll(tb testing.TB, t *Table, records []Record) {
	for _, r := range records {
		_, known, err := t.Apply(r, testNow)
		assert.NilError(tb, err)
		assert.Assert(tb, known)
	}
}

func none(GroupKey) bool { return false }

// What is stored of done occurrences is replaced step by step, and can be read at each moment, by a VM that begins then
// as by one that has followed, in any order of submissions and progress.
func TestCompactedProgressReadsTheSame(t *testing.T) {
	const times, done = 500, 400
	j := repeatedJob("a", times)
	submission, err := SubmissionRecord(j)
	assert.NilError(t, err)
	stored := make(map[string]Record)
	holder, follower := NewTable(), NewTable()
	apply := func(records []Record) {
		applyAll(t, follower, records)
		for _, r := range records {
			if stored[r.Key] = r; len(r.Value) == 0 {
				delete(stored, r.Key)
			}
		}
	}
	applyAll(t, holder, []Record{submission})
	apply([]Record{submission})
	first := doneRecords(t, j, done)
	applyAll(t, holder, first)
	apply(first)
	s := holder.Job("a")
	for rounds := 0; s.CompactionDue(); rounds++ {
		assert.Assert(t, rounds < 100)
		records, groups, err := s.Compact(100, func(key GroupKey) bool { return key.Occurrence == 7 })
		assert.NilError(t, err)
		assert.Assert(t, len(groups) > 0 && len(records) <= 100+len(j.Steps))
		apply(records)
		fresh := NewTable()
		for _, r := range stored {
			applyAll(t, fresh, []Record{r})
		}
		for name, table := range map[string]*Table{"follower": follower, "fresh": fresh} {
			state := table.Job("a")
			assert.Equal(t, state.Recorded, StatusRunning)
			for k := range times {
				for step := range j.Steps {
					assert.Equal(t, state.stepDone(k, step), k < done, "%s: occurrence %d, step %d", name, k, step)
				}
			}
			assert.Equal(t, len(state.groups), 0)
			assert.Equal(t, state.FirstOpen(), done)
		}
	}
	assert.Assert(t, len(stored) < 10, "%d records are left", len(stored))
	assert.Assert(t, s.Group(0, 0).Retired() && s.Group(0, 0).Done() && !s.Group(done, 0).Retired())
	apply(s.FinishedTombstones())
	assert.Equal(t, len(stored), 1, "only the submission is left")
}

// A job is done when all of its occurrences are, compacted or not.
func TestJobWithOccurrencesEndsAsDone(t *testing.T) {
	j := repeatedJob("a", 100)
	table := NewTable()
	s, _ := table.Submit(j, testNow)
	records := doneRecords(t, j, 100)
	applyAll(t, table, records[:150])
	assert.Assert(t, s.Begun() && s.Recorded == StatusRunning)
	compacted, _, err := s.Compact(100, none)
	assert.NilError(t, err)
	applyAll(t, table, compacted)
	applyAll(t, table, records[150:])
	assert.Equal(t, s.Recorded, StatusDone)
}

// What is done of too many separate ranges stays stored one by one.
func TestCompactedRangesAreBounded(t *testing.T) {
	j := repeatedJob("a", 10*maxFinishedRanges)
	table := NewTable()
	s, _ := table.Submit(j, testNow)
	var odd []Record
	for i, r := range doneRecords(t, j, 4*maxFinishedRanges) {
		if i/2%2 == 1 {
			odd = append(odd, r)
		}
	}
	applyAll(t, table, odd)
	for range 100 {
		records, _, err := s.Compact(1000, none)
		assert.NilError(t, err)
		applyAll(t, NewTable(), records)
		for _, r := range records {
			assert.Assert(t, len(r.Value) < 4096, "%s has %d bytes", r.Key, len(r.Value))
		}
	}
	assert.Equal(t, len(s.finished[0].compacted.ranges()), 2*maxFinishedRanges)
}

// Records that no holder writes are refused, and those of another submission change nothing.
func TestOddFinishedRecordsAreRefused(t *testing.T) {
	j := repeatedJob("a", 10)
	table := NewTable()
	s, _ := table.Submit(j, testNow)
	encode := func(m packedFinished) []byte {
		value, err := cbor.Marshal(m)
		assert.NilError(t, err)
		return value
	}
	for _, r := range []Record{
		{Key: "done/a", Value: encode(packedFinished{Occurrences: 10})},
		{Key: "done/a.-1", Value: encode(packedFinished{Occurrences: 10})},
		{Key: "done/a.9999999", Value: encode(packedFinished{Occurrences: 10})},
		{Key: "done/a.0", Value: []byte("x")},
		{Key: "done/a.0", Value: encode(packedFinished{Occurrences: math.MaxInt, Ranges: []int{0, math.MaxInt}})},
		{Key: "done/a.0", Value: encode(packedFinished{Occurrences: 10, Ranges: []int{0, 11}})},
		{Key: "done/a.0", Value: encode(packedFinished{Occurrences: 10, Ranges: []int{5, 4}})},
		{Key: "done/a.0", Value: encode(packedFinished{Occurrences: 10, Ranges: []int{-1, 4}})},
		{Key: "done/a.0", Value: encode(packedFinished{Occurrences: 10, Ranges: []int{1}})},
		{Key: "done/a.0", Value: encode(packedFinished{Occurrences: 10, Ranges: make([]int, 1000)})},
	} {
		_, known, err := table.Apply(r, testNow)
		assert.Assert(t, known && err != nil, "%s %x", r.Key, r.Value)
	}
	for _, r := range []Record{
		{Key: "done/a.5", Value: encode(packedFinished{Occurrences: 10, Ranges: []int{0, 4}})},
		{Key: "done/a.0", Value: encode(packedFinished{Occurrences: 11, Ranges: []int{0, 4}})},
		{Key: "done/b.0", Value: encode(packedFinished{Occurrences: 10, Ranges: []int{0, 4}})},
		{Key: "done/a.0"},
	} {
		applyAll(t, table, []Record{r})
	}
	assert.Assert(t, !s.Begun())
}

// An interval or a number of occurrences that no time of day can hold makes nothing due early.
func TestDueTimesDoNotOverflow(t *testing.T) {
	for _, interval := range []time.Duration{math.MaxInt64, math.MaxInt64 / 2, math.MaxInt64 / 999999, 1 << 40} {
		j := &Job{Occurrences: maxOccurrences, FirstDue: testNow, Interval: interval}
		for _, k := range []int{1, 2, 3, 1000, maxOccurrences - 1} {
			assert.Assert(t, !j.Due(k).Before(j.Due(k-1)) && j.Due(k).After(testNow), "%v, occurrence %d: %v", interval, k, j.Due(k))
		}
		assert.Equal(t, j.DueCount(testNow), 1)
		assert.Equal(t, j.DueCount(testNow.Add(-1)), 0)
	}
	assert.Equal(t, (&Job{Occurrences: 5, FirstDue: testNow}).DueCount(testNow), 5)
}

// BenchmarkReadDoneOccurrences reads the log anew with a job of which many occurrences are done and stored one by one.
func BenchmarkReadDoneOccurrences(b *testing.B) {
	for _, times := range []int{1000, 10000} {
		b.Run(fmt.Sprintf("times=%d", times), func(b *testing.B) {
			j := repeatedJob("a", maxOccurrences)
			records := doneRecords(b, j, times)
			for b.Loop() {
				table := NewTable()
				table.Submit(j, testNow)
				for _, r := range records {
					if _, _, err := table.Apply(r, testNow); err != nil || !strings.HasPrefix(r.Key, "tasks/") {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// The records of one compaction are bounded also for wide steps.
func TestCompactionOfWideStepsIsBounded(t *testing.T) {
	j := repeatedJob("a", 200)
	j.Steps = j.Steps[:1]
	j.Steps[0].Count = 100 * ChunkTasks
	table := NewTable()
	s, _ := table.Submit(j, testNow)
	applyAll(t, table, doneRecords(t, j, 100))
	records, groups, err := s.Compact(150, none)
	assert.NilError(t, err)
	assert.Assert(t, len(groups) == 2 && len(records) == 1+2*100, "%d groups, %d records", len(groups), len(records))
}
