package replica

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// located returns an entry with the given body, at the given offset of the log.
func located(offset int64, id string, kind journal.Kind, body any) journal.LocatedEntry {
	data, _ := json.Marshal(body)
	return journal.LocatedEntry{Offset: offset, Entry: journal.Entry{ID: id, Kind: kind, Body: data}}
}

// randomEntry draws an entry that may or may not be accepted.
func randomEntry(t *rapid.T, offset int64) journal.LocatedEntry {
	id := fmt.Sprintf("e%d", rapid.IntRange(0, 200).Draw(t, "id"))
	job := model.JobID(fmt.Sprintf("j%d", rapid.IntRange(0, 4).Draw(t, "job")))
	number := rapid.IntRange(1, 3).Draw(t, "number")
	attempt := model.AttemptID(fmt.Sprintf("%s-%d", job, number))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return located(offset, id, journal.KindJobAccepted, journal.JobAccepted{Job: model.Job{ID: job, HomeAZ: "a"}})
	case 1:
		return located(offset, id, journal.KindJobCancelled, journal.JobCancelled{Job: job})
	case 2:
		term := model.Token{Offset: rapid.Int64Range(0, offset).Draw(t, "term")}
		return located(offset, id, journal.KindAttempt, journal.AttemptClaimed{Job: job, Attempt: attempt, Number: number, Term: term})
	case 3:
		final := rapid.Bool().Draw(t, "final")
		return located(offset, id, journal.KindJobEnded, journal.JobEnded{Job: job, Attempt: attempt, Final: final, Result: "done"})
	case 4:
		previous := rapid.Int64Range(0, offset).Draw(t, "previous")
		return located(offset, id, journal.KindTerm, journal.TermClaimed{AZ: "a", Holder: "h", Previous: previous})
	default:
		return located(offset, id, journal.KindJobMoved, journal.JobMoved{Job: job, Home: "b", ExpectedRevision: offset - 1})
	}
}

// The time that a job waits is kept over its attempts.
func TestWaitIsKeptOverAttempts(t *testing.T) {
	s := New(config.NewState())
	apply := func(offset int64, minute int, kind journal.Kind, body any) {
		l := located(offset, fmt.Sprintf("e%d", offset), kind, body)
		l.Time = time.Unix(0, 0).Add(time.Duration(minute) * time.Minute)
		assert.Equal(t, s.Apply(l).Verdict, journal.VerdictAccepted)
	}
	apply(1, 0, journal.KindTerm, journal.TermClaimed{AZ: "a", Holder: "h"})
	apply(2, 10, journal.KindJobAccepted, journal.JobAccepted{Job: model.Job{ID: "j", HomeAZ: "a"}})
	apply(3, 40, journal.KindAttempt, journal.AttemptClaimed{Job: "j", Attempt: "one", Number: 1, Term: model.Token{Offset: 1}})
	apply(4, 50, journal.KindJobEnded, journal.JobEnded{Job: "j", Attempt: "one", Result: string(ResultRetry)})
	apply(5, 55, journal.KindAttempt, journal.AttemptClaimed{Job: "j", Attempt: "two", Number: 2, Term: model.Token{Offset: 1}})
	assert.Equal(t, s.Job("j").Waited, 35*time.Minute)
}

// TestSnapshotEqualsReplay checks that a VM that starts from a snapshot reaches the same
// verdicts and state as one that replayed the whole log.
func TestSnapshotEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Int64Range(1, 80).Draw(t, "records")
		snapshotOffset := rapid.Int64Range(0, n).Draw(t, "snapshot")
		replayed, restored := New(config.NewState()), New(config.NewState())
		for offset := int64(1); offset <= n; offset++ {
			l := randomEntry(t, offset)
			want := replayed.Apply(l)
			replayed.Advance(offset + 1)
			if offset > snapshotOffset {
				assert.DeepEqual(t, restored.Apply(l), want)
				restored.Advance(offset + 1)
			}
			if offset == snapshotOffset {
				data, err := replayed.Encode()
				assert.NilError(t, err)
				assert.NilError(t, restored.Restore(data))
			}
		}
		if snapshotOffset > 0 {
			a, _ := replayed.Encode()
			b, _ := restored.Encode()
			assert.Equal(t, string(a), string(b))
		}
	})
}

// TestRetention checks that ended jobs and verdicts are removed after the retention
// window.
func TestRetention(t *testing.T) {
	s := New(config.NewState())
	s.Apply(located(1, "accept", journal.KindJobAccepted, journal.JobAccepted{Job: model.Job{ID: "j"}}))
	s.Apply(located(2, "cancel", journal.KindJobCancelled, journal.JobCancelled{Job: "j"}))
	s.Advance(RetentionOffsets + 1)
	assert.Assert(t, s.Job("j") != nil)
	s.Advance(RetentionOffsets + 10)
	assert.Assert(t, s.Job("j") == nil)
	_, known := s.Decision("cancel")
	assert.Assert(t, !known)
}

// TestBatchesDoNotMatter checks that a verdict does not depend on how records are
// batched. VMs read the log in batches of different sizes.
func TestBatchesDoNotMatter(t *testing.T) {
	entries := []journal.LocatedEntry{
		located(1, "accept", journal.KindJobAccepted, journal.JobAccepted{Job: model.Job{ID: "j"}}),
		located(2, "cancel", journal.KindJobCancelled, journal.JobCancelled{Job: "j"}),
		located(RetentionOffsets+3, "again", journal.KindJobCancelled, journal.JobCancelled{Job: "j"}),
		located(RetentionOffsets+4, "accept", journal.KindJobAccepted, journal.JobAccepted{Job: model.Job{ID: "j"}}),
	}
	single, batch := New(config.NewState()), New(config.NewState())
	for _, l := range entries {
		want := single.Apply(l)
		single.Advance(l.Offset + 1)
		assert.DeepEqual(t, batch.Apply(l), want)
	}
	batch.Advance(RetentionOffsets + 5)
	a, err := single.Encode()
	assert.NilError(t, err)
	b, err := batch.Encode()
	assert.NilError(t, err)
	assert.Equal(t, string(a), string(b))
}

// TestVerdicts checks that verdicts depend on offsets, revisions and open attempts.
func TestVerdicts(t *testing.T) {
	s := New(config.NewState())
	claim := func(attempt model.AttemptID, number int, term int64) journal.AttemptClaimed {
		return journal.AttemptClaimed{Job: "j", Attempt: attempt, Number: number, Term: model.Token{Offset: term}}
	}
	accept := journal.JobAccepted{Job: model.Job{ID: "j", HomeAZ: "a"}}
	end := journal.JobEnded{Job: "j", Attempt: "one", Result: string(ResultRetry)}
	moved := journal.JobMoved{Job: "j", Home: "b", ExpectedRevision: 1}
	steps := []struct {
		name string
		kind journal.Kind
		body any
		want journal.Verdict
	}{
		{"job", journal.KindJobAccepted, accept, journal.VerdictAccepted},
		{"the same job", journal.KindJobAccepted, accept, journal.VerdictConflict},
		{"first term", journal.KindTerm, journal.TermClaimed{AZ: "a", Holder: "x"}, journal.VerdictAccepted},
		{"race for the first term", journal.KindTerm, journal.TermClaimed{AZ: "a", Holder: "y"}, journal.VerdictConflict},
		{"claim without the term", journal.KindAttempt, claim("zero", 1, 0), journal.VerdictConflict},
		{"claim", journal.KindAttempt, claim("one", 1, 3), journal.VerdictAccepted},
		{"race for the attempt", journal.KindAttempt, claim("other", 1, 3), journal.VerdictConflict},
		{"claim while one is open", journal.KindAttempt, claim("two", 2, 3), journal.VerdictConflict},
		{"move while one is open", journal.KindJobMoved, moved, journal.VerdictConflict},
		{"end", journal.KindJobEnded, end, journal.VerdictAccepted},
		{"end again", journal.KindJobEnded, end, journal.VerdictConflict},
		{"next term", journal.KindTerm, journal.TermClaimed{AZ: "a", Holder: "y", Previous: 3}, journal.VerdictAccepted},
		{"claim of the old term", journal.KindAttempt, claim("two", 2, 3), journal.VerdictConflict},
		{"move", journal.KindJobMoved, moved, journal.VerdictAccepted},
		{"move against the old home", journal.KindJobMoved, moved, journal.VerdictConflict},
		{"cancellation", journal.KindJobCancelled, journal.JobCancelled{Job: "j"}, journal.VerdictAccepted},
		{"cancellation again", journal.KindJobCancelled, journal.JobCancelled{Job: "j"}, journal.VerdictAccepted},
	}
	for i, st := range steps {
		d := s.Apply(located(int64(i+1), st.name, st.kind, st.body))
		assert.Equal(t, d.Verdict, st.want, st.name)
	}
	assert.Equal(t, s.Job("j").Result, ResultCancelled)
}

// TestQueuedAt checks that a job whose attempt ended is queued again as of the time that
// the log stored with the entry.
func TestQueuedAt(t *testing.T) {
	s := New(config.NewState())
	s.Apply(located(1, "t", journal.KindTerm, journal.TermClaimed{AZ: "a", Holder: "h"}))
	s.Apply(located(2, "a", journal.KindJobAccepted, journal.JobAccepted{Job: model.Job{ID: "j", HomeAZ: "a"}}))
	claim := journal.AttemptClaimed{Job: "j", Attempt: "1", Number: 1, Term: model.Token{Offset: 1}}
	assert.Equal(t, s.Apply(located(3, "c", journal.KindAttempt, claim)).Verdict, journal.VerdictAccepted)
	assert.Assert(t, s.Job("j").QueuedAt.IsZero())
	ended := located(4, "e", journal.KindJobEnded, journal.JobEnded{Job: "j", Attempt: "1"})
	ended.Time = time.Unix(100, 0)
	s.Apply(ended)
	assert.Assert(t, s.Job("j").QueuedAt.Equal(ended.Time))
}
