package journal_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/journal/journaltest"
	"github.com/eelgrassreach/eelgrassreach/internal/platform"
)

// replicaSink is a small replica: it applies each entry once and keeps the order.
type replicaSink struct {
	t         *testing.T
	publisher *journal.Publisher

	mu        sync.Mutex
	decided   *journal.Decided
	applied   []string
	next      int64
	snapshots int
	reachable []bool
}

func (s *replicaSink) Records(entries []journal.Located, next int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next < s.next {
		s.t.Errorf("offset fell from %d to %d", s.next, next)
	}
	for _, e := range entries {
		if e.Offset < s.next {
			s.t.Errorf("offset %d was delivered again", e.Offset)
		}
		if e.Entry.Kind == journal.KindSnapshot {
			continue
		}
		if _, void := s.decided.Screen(e); void {
			continue
		}
		s.decided.Record(journal.Decision{EntryID: e.Entry.ID, Offset: e.Offset, Verdict: journal.VerdictAccepted})
		s.applied = append(s.applied, e.Entry.ID)
	}
	s.next = next
	if s.publisher != nil {
		s.publisher.Observe(entries, next)
	}
}

// sinkState is the state that a snapshot of replicaSink holds.
type sinkState struct {
	Applied []string        `json:"applied"`
	Decided json.RawMessage `json:"decided"`
}

func (s *replicaSink) Snapshot(snapshot journal.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Offset < s.next {
		s.t.Errorf("snapshot of offset %d after offset %d", snapshot.Offset, s.next-1)
	}
	var state sinkState
	assert.Check(s.t, json.Unmarshal(snapshot.State, &state))
	decided, err := journal.RestoreDecided(state.Decided)
	assert.Check(s.t, err)
	s.applied, s.decided, s.next = state.Applied, decided, snapshot.Offset+1
	s.snapshots++
	if s.publisher != nil {
		s.publisher.ObserveSnapshot(snapshot.Offset, decided.Lookup)
	}
}

func (s *replicaSink) Reachable(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachable = append(s.reachable, ok)
}

func (s *replicaSink) encode() journal.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	decided, err := s.decided.Encode()
	assert.Check(s.t, err)
	state, err := json.Marshal(sinkState{Applied: s.applied, Decided: decided})
	assert.Check(s.t, err)
	return journal.Snapshot{Offset: s.next - 1, State: state}
}

func (s *replicaSink) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.applied...)
}

// vm is a follower, a publisher and a replica on one port of the log.
type vm struct {
	port      *journaltest.Port
	sink      *replicaSink
	publisher *journal.Publisher
	follower  *journal.Follower
	peer      *vm // fetched from; nil for none
	stop      func()

	mu      sync.Mutex
	results map[string][]journal.AppendState
}

// Fetch implements journal.Peers.
func (v *vm) Fetch(_ context.Context, from int64, limit int) (journal.Fetched, error) {
	if v.peer == nil {
		return journal.Fetched{}, fmt.Errorf("no peer: %w", platform.ErrUnavailable)
	}
	return v.peer.follower.Serve(from, limit), nil
}

// newVM starts a VM; it is stopped at the end of the test.
func newVM(t *testing.T, log *journaltest.Log, peer *vm, faults journaltest.Faults) *vm {
	t.Helper()
	v := &vm{port: log.Port(), peer: peer, results: make(map[string][]journal.AppendState)}
	v.port.Set(faults)
	v.publisher = journal.NewPublisher(v.port, journal.PublisherOptions{})
	v.sink = &replicaSink{t: t, publisher: v.publisher, decided: journal.NewDecided()}
	v.follower = journal.NewFollower(v.port, v, v.sink, journal.FollowerOptions{ReadLimit: 16, WindowKept: 16})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { v.publisher.Run(ctx) })
	running.Go(func() { v.follower.Run(ctx) })
	v.stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	t.Cleanup(v.stop)
	return v
}

// submit gives the publisher an entry with the ID.
func (v *vm) submit(t *testing.T, id string) {
	t.Helper()
	e := journal.Entry{ID: id, Kind: journal.KindJobCancelled, Body: json.RawMessage(`{}`)}
	assert.NilError(t, v.publisher.Submit(e, v.done))
}

func (v *vm) done(r journal.AppendResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.results[r.EntryID] = append(v.results[r.EntryID], r.State)
}

func TestBurstIsCoalescedWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		v := newVM(t, log, nil, journaltest.Faults{Latency: 2 * time.Millisecond})
		time.Sleep(time.Second)
		for i := range 2000 {
			v.submit(t, fmt.Sprintf("e%04d", i))
		}
		time.Sleep(time.Second)
		assert.Equal(t, len(v.sink.ids()), 2000)
		stats := v.publisher.Stats()
		assert.Assert(t, stats.Appends <= journal.DefaultAppendsPerSecond, "%d appends in a second", stats.Appends)
		assert.Equal(t, stats.Pending, 0)
		v.stop()
	})
}

func TestBackpressureIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := journal.NewPublisher(journaltest.NewLog().Port(), journal.PublisherOptions{QueueEntries: 2, EntryBytes: 500})
		entry := func(id string, size int) journal.Entry {
			return journal.Entry{ID: id, Body: json.RawMessage(`"` + string(make([]byte, size)) + `"`)}
		}
		assert.NilError(t, p.Submit(entry("a", 1), nil))
		assert.NilError(t, p.Submit(entry("b", 1), nil))
		assert.ErrorIs(t, p.Submit(entry("c", 1), nil), journal.ErrBackpressure)
		assert.ErrorIs(t, p.Submit(entry("d", 500), nil), journal.ErrTooLarge)
		assert.Equal(t, p.Stats().Rejected, int64(1))
	})
}

func TestStartFromSnapshotAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		a := newVM(t, log, nil, journaltest.Faults{})
		appendMany(t, a, "first", 40)
		e, err := journal.NewSnapshotEntry(a.sink.encode())
		assert.NilError(t, err)
		assert.NilError(t, a.publisher.Submit(e, nil))
		time.Sleep(time.Second)
		appendMany(t, a, "second", 60)
		log.Trim(log.Next() - 62)

		b := newVM(t, log, nil, journaltest.Faults{})
		time.Sleep(time.Second)
		assert.DeepEqual(t, b.sink.ids(), a.sink.ids())
		assert.Equal(t, b.sink.snapshots, 1)
		<-b.follower.CaughtUp()

		// With the platform down a third VM takes the same from a peer.
		c := newVM(t, log, b, journaltest.Faults{Read: journaltest.FaultDown})
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, c.sink.ids(), a.sink.ids())
		assert.DeepEqual(t, c.sink.reachable, []bool{false})
		for _, v := range []*vm{a, b, c} {
			v.stop()
		}
	})
}

// appendMany submits entries one record each and waits for them.
func appendMany(t *testing.T, v *vm, prefix string, count int) {
	t.Helper()
	time.Sleep(time.Second)
	for i := range count {
		v.submit(t, fmt.Sprintf("%s-%02d", prefix, i))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
}
