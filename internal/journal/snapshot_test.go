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

// publisherInDoubt returns a running publisher with one entry in doubt, and a
// function that returns the states reported for the entry.
func publisherInDoubt(t *testing.T) (*journal.Publisher, func() []journal.AppendState) {
	t.Helper()
	port := journaltest.NewLog().Port()
	port.SetFaults(journaltest.Faults{Append: journaltest.FaultCutBefore})
	p := journal.NewPublisher(port, journal.PublisherOptions{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	p.Observe(nil, 1)
	v := &vm{results: make(map[string][]journal.AppendState)}
	assert.NilError(t, p.Submit(plainEntry("x"), v.done))
	time.Sleep(time.Second)
	assert.DeepEqual(t, v.reportedStates("x"), []journal.AppendState{journal.AppendInDoubt})
	return p, func() []journal.AppendState {
		time.Sleep(100 * time.Millisecond) // several times the interval between appends
		return v.reportedStates("x")
	}
}

// A snapshot resolves an entry in doubt unless the decision may no longer be kept.
func TestSnapshotResolvesDoubt(t *testing.T) {
	notAfter := 1 + journal.SendWindow // NotAfter of the entry
	for name, tc := range map[string]struct {
		offset  int64
		verdict journal.Verdict // empty: not decided
		want    []journal.AppendState
	}{
		"decided":                    {100, journal.VerdictConflict, []journal.AppendState{journal.AppendInDoubt, journal.AppendStored}},
		"expired":                    {notAfter + 5, journal.VerdictExpired, []journal.AppendState{journal.AppendInDoubt, journal.AppendNotSent}},
		"copy possible":              {notAfter - 1, "", []journal.AppendState{journal.AppendInDoubt}},
		"absent":                     {notAfter, "", []journal.AppendState{journal.AppendInDoubt, journal.AppendNotSent}},
		"absent, decision just kept": {notAfter + journal.SendWindow - 1, "", []journal.AppendState{journal.AppendInDoubt, journal.AppendNotSent}},
		"decision may be dropped":    {notAfter + journal.SendWindow, "", []journal.AppendState{journal.AppendInDoubt}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, reported := publisherInDoubt(t)
				p.ObserveSnapshot(tc.offset, func(id string) (journal.Decision, bool) {
					return journal.Decision{EntryID: id, Offset: 50, Verdict: tc.verdict}, tc.verdict != ""
				})
				assert.DeepEqual(t, reported(), tc.want)
			})
		})
	}
}

// Records that follow a snapshot may be observed before the snapshot's decisions
// are. Until then no entry may be reported as absent from the log.
func TestSkippedEntriesAreNotAbsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, reported := publisherInDoubt(t)
		after := 2 * journal.SendWindow
		p.Skip()
		p.Observe(nil, after)
		assert.DeepEqual(t, reported(), []journal.AppendState{journal.AppendInDoubt})
		p.ObserveSnapshot(after-100, func(id string) (journal.Decision, bool) {
			return journal.Decision{EntryID: id, Offset: 50, Verdict: journal.VerdictAccepted}, true
		})
		assert.DeepEqual(t, reported(), []journal.AppendState{journal.AppendInDoubt, journal.AppendStored})
	})
}

// The lookup may wait for a goroutine that calls Submit, because the control loop
// answers lookups and submits. A lock held during the lookup would deadlock them.
func TestLookupMayWaitForSubmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, reported := publisherInDoubt(t)
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			p.ObserveSnapshot(100, func(string) (journal.Decision, bool) {
				submitted := make(chan error)
				go func() { submitted <- p.Submit(plainEntry("y"), nil) }()
				assert.Check(t, <-submitted)
				return journal.Decision{Offset: 50, Verdict: journal.VerdictAccepted}, true
			})
		}()
		synctest.Wait()
		select {
		case <-finished:
		default:
			t.Fatal("deadlock between the lookup and Submit")
		}
		assert.DeepEqual(t, reported(), []journal.AppendState{journal.AppendInDoubt, journal.AppendStored})
	})
}

// scriptedPeers answers fetches with the given results in order, and then with an
// error.
type scriptedPeers []journal.FetchResult

func (p *scriptedPeers) Fetch(context.Context, int64, int) (journal.FetchResult, error) {
	if len(*p) == 0 {
		return journal.FetchResult{}, fmt.Errorf("fetch: %w", ports.ErrUnavailable)
	}
	next := (*p)[0]
	*p = (*p)[1:]
	return next, nil
}

// orderSink checks the order of delivered records and snapshots.
type orderSink struct {
	t         *testing.T
	next      int64
	snapshots int
}

func (s *orderSink) Records(entries []journal.LocatedEntry, next int64) {
	for _, e := range entries {
		assert.Check(s.t, e.Offset == s.next, "got offset %d, want %d", e.Offset, s.next)
		s.next = e.Offset + 1
	}
	assert.Check(s.t, next == s.next, "got next offset %d, want %d", next, s.next)
}

func (s *orderSink) Snapshot(snapshot journal.Snapshot) {
	assert.Check(s.t, snapshot.Offset >= s.next, "snapshot of offset %d was delivered after offset %d", snapshot.Offset, s.next-1)
	s.next = snapshot.Offset + 1
	s.snapshots++
}

func (s *orderSink) LogReachabilityChanged(bool) {}

// Whatever peers answer, a follower delivers no old snapshot, no record twice and no
// record after a gap.
func TestPeerAnswersAreChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := func(offsets ...int64) []ports.Record {
			var all []ports.Record
			for _, offset := range offsets {
				data, err := journal.EncodePacket([]journal.Entry{plainEntry(fmt.Sprint(offset))})
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
