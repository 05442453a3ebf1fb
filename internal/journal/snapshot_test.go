package journal_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/journal/journaltest"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// inDoubtEntry returns a running publisher with one entry in doubt, and a function
// that returns the states told for it.
func inDoubtEntry(t *testing.T) (*journal.Publisher, func() []journal.AppendState) {
	t.Helper()
	port := journaltest.NewLog().Port()
	port.SetFaults(journaltest.Faults{Append: journaltest.FaultCutBefore})
	p := journal.NewPublisher(port, journal.PublisherOptions{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	p.Observe(nil, 1)
	v := &vm{results: make(map[string][]journal.AppendState)}
	assert.NilError(t, p.Submit(plain("x"), v.done))
	time.Sleep(time.Second)
	assert.DeepEqual(t, v.told("x"), []journal.AppendState{journal.AppendInDoubt})
	return p, func() []journal.AppendState {
		time.Sleep(100 * time.Millisecond) // several times the pace of appends
		return v.told("x")
	}
}

// A snapshot tells what became of an entry in doubt as long as it still can.
func TestSnapshotResolvesDoubt(t *testing.T) {
	last := 1 + journal.SendWindow // of the entry
	for name, tc := range map[string]struct {
		offset  int64
		verdict journal.Verdict // empty: not decided
		want    []journal.AppendState
	}{
		"decided":     {100, journal.VerdictConflict, []journal.AppendState{journal.AppendInDoubt, journal.AppendStored}},
		"expired":     {last + 5, journal.VerdictExpired, []journal.AppendState{journal.AppendInDoubt, journal.AppendNotSent}},
		"may come":    {last - 1, "", []journal.AppendState{journal.AppendInDoubt}},
		"never came":  {last, "", []journal.AppendState{journal.AppendInDoubt, journal.AppendNotSent}},
		"last to say": {last + journal.SendWindow - 1, "", []journal.AppendState{journal.AppendInDoubt, journal.AppendNotSent}},
		"forgotten":   {last + journal.SendWindow, "", []journal.AppendState{journal.AppendInDoubt}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, told := inDoubtEntry(t)
				p.ObserveSnapshot(tc.offset, func(id string) (journal.Decision, bool) {
					return journal.Decision{EntryID: id, Offset: 50, Verdict: tc.verdict}, tc.verdict != ""
				})
				assert.DeepEqual(t, told(), tc.want)
			})
		})
	}
}

// Records that follow a snapshot may be observed before its decisions are: until
// then no entry is taken as absent.
func TestSkippedEntriesAreNotAbsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, told := inDoubtEntry(t)
		after := 2 * journal.SendWindow
		p.Skip()
		p.Observe(nil, after)
		assert.DeepEqual(t, told(), []journal.AppendState{journal.AppendInDoubt})
		p.ObserveSnapshot(after-100, func(id string) (journal.Decision, bool) {
			return journal.Decision{EntryID: id, Offset: 50, Verdict: journal.VerdictAccepted}, true
		})
		assert.DeepEqual(t, told(), []journal.AppendState{journal.AppendInDoubt, journal.AppendStored})
	})
}

// The look-up may wait for a goroutine that submits: the control loop does both.
func TestLookupMayWaitForSubmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, told := inDoubtEntry(t)
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			p.ObserveSnapshot(100, func(string) (journal.Decision, bool) {
				submitted := make(chan error)
				go func() { submitted <- p.Submit(plain("y"), nil) }()
				assert.Check(t, <-submitted)
				return journal.Decision{Offset: 50, Verdict: journal.VerdictAccepted}, true
			})
		}()
		synctest.Wait()
		select {
		case <-finished:
		default:
			t.Fatal("the look-up and the submission wait for each other")
		}
		assert.DeepEqual(t, told(), []journal.AppendState{journal.AppendInDoubt, journal.AppendStored})
	})
}

// scriptedPeers answers fetches in turn, then nothing.
type scriptedPeers []journal.FetchResult

func (p *scriptedPeers) Fetch(context.Context, int64, int) (journal.FetchResult, error) {
	if len(*p) == 0 {
		return journal.FetchResult{}, fmt.Errorf("fetch: %w", ports.ErrUnavailable)
	}
	next := (*p)[0]
	*p = (*p)[1:]
	return next, nil
}

// orderSink checks the order of what is delivered.
type orderSink struct {
	t         *testing.T
	next      int64
	snapshots int
}

func (s *orderSink) Records(entries []journal.LocatedEntry, next int64) {
	for _, e := range entries {
		assert.Check(s.t, e.Offset == s.next, "offset %d instead of %d", e.Offset, s.next)
		s.next = e.Offset + 1
	}
	assert.Check(s.t, next == s.next, "next is %d instead of %d", next, s.next)
}

func (s *orderSink) Snapshot(snapshot journal.Snapshot) {
	assert.Check(s.t, snapshot.Offset >= s.next, "snapshot of offset %d after %d", snapshot.Offset, s.next-1)
	s.next = snapshot.Offset + 1
	s.snapshots++
}

func (s *orderSink) Reachable(bool) {}

// A follower delivers neither an old snapshot, nor a record twice, nor past a gap,
// whatever peers answer.
func TestPeerAnswersAreChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := func(offsets ...int64) []ports.Record {
			var all []ports.Record
			for _, offset := range offsets {
				data, err := journal.EncodePacket([]journal.Entry{plain(fmt.Sprint(offset))})
				assert.NilError(t, err)
				all = append(all, ports.Record{Offset: offset, Data: data})
			}
			return all
		}
		state := json.RawMessage(`{}`)
		peers := &scriptedPeers{
			{Snapshot: &journal.Snapshot{Offset: 10, State: state}, Records: records(11, 12), Next: 20},
			{Snapshot: &journal.Snapshot{Offset: 5, State: state}, Records: records(6, 7), Next: 20},
			{Records: records(12, 13, 15), Next: 20},
			{Records: records(15, 16), Next: 20},
		}
		port := journaltest.NewLog().Port()
		port.SetFaults(journaltest.Faults{Read: journaltest.FaultDown})
		sink := &orderSink{t: t, next: 1}
		f := journal.NewFollower(port, peers, sink, journal.FollowerOptions{})
		ctx, cancel := context.WithCancel(context.Background())
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			f.Run(ctx)
		}()
		time.Sleep(10 * time.Second)
		cancel()
		<-finished
		assert.Equal(t, sink.next, int64(14))
		assert.Equal(t, sink.snapshots, 1)
	})
}
