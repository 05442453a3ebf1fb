package journal_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/journal/journaltest"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// TB is what both testing.T and rapid.T offer.
type TB interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	Log(args ...any)
	FailNow()
	Fail()
}

// replica applies entries: a list of IDs and the configuration. It checks that
// nothing is applied out of order and that the configuration never goes back.
type replica struct {
	t         TB
	publisher *journal.Publisher

	mu        sync.Mutex
	decided   *journal.RecentDecisions
	config    *config.State
	applied   []string
	next      int64
	revision  int64 // the highest revision that was in force
	newest    int64 // the offset of the newest snapshot record
	snapshots int
	reachable []bool
}

func (r *replica) Records(entries []journal.LocatedEntry, next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if e.Offset < r.next {
			r.t.Errorf("offset %d was delivered after offset %d", e.Offset, r.next-1)
		}
		r.apply(e)
		r.checkRevision()
	}
	if next < r.next {
		r.t.Errorf("the next offset fell from %d to %d", r.next, next)
	}
	r.next = next
	r.decided.Advance(next - 1)
	r.publisher.Observe(entries, next)
}

func (r *replica) apply(e journal.LocatedEntry) {
	if e.Entry.Kind == journal.KindSnapshot {
		r.newest = e.Offset
		return
	}
	if _, void := r.decided.Reject(e); void {
		return
	}
	decision := journal.Decision{EntryID: e.Entry.ID, Offset: e.Offset, Verdict: journal.VerdictAccepted}
	if e.Entry.Kind == journal.KindConfig {
		decision = r.config.Apply(e)
	}
	r.decided.Record(decision)
	r.applied = append(r.applied, e.Entry.ID)
}

func (r *replica) checkRevision() {
	revision := r.config.Current().Revision
	if revision < r.revision {
		r.t.Errorf("the configuration went back from revision %d to %d", r.revision, revision)
	}
	r.revision = revision
}

// replicaState is what a snapshot of a replica holds.
type replicaState struct {
	Applied []string        `json:"applied"`
	Decided json.RawMessage `json:"decided"`
	Config  json.RawMessage `json:"config"`
}

func (r *replica) Snapshot(s journal.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Offset < r.next {
		r.t.Errorf("a snapshot of offset %d was delivered after offset %d", s.Offset, r.next-1)
	}
	var state replicaState
	assert.NilError(r.t, json.Unmarshal(s.State, &state))
	decided, err := journal.RestoreRecentDecisions(state.Decided)
	assert.NilError(r.t, err)
	assert.NilError(r.t, r.config.Restore(state.Config))
	r.applied, r.decided, r.next = state.Applied, decided, s.Offset+1
	r.snapshots++
	r.checkRevision()
	r.publisher.ObserveSnapshot(s.Offset, decided.Lookup)
}

func (r *replica) Reachable(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachable = append(r.reachable, ok)
}

// encode returns a snapshot of the replica.
func (r *replica) encode() journal.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	decided, err := r.decided.Encode()
	assert.NilError(r.t, err)
	configuration, err := r.config.Encode()
	assert.NilError(r.t, err)
	state, err := json.Marshal(replicaState{Applied: append([]string{}, r.applied...), Decided: decided, Config: configuration})
	assert.NilError(r.t, err)
	return journal.Snapshot{Offset: r.next - 1, State: state}
}

// has reports how often an entry was applied.
func (r *replica) has(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, applied := range r.applied {
		if applied == id {
			count++
		}
	}
	return count
}

// size returns the number of entries applied.
func (r *replica) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.applied)
}

// status returns how many snapshots were delivered and the changes of Reachable.
func (r *replica) status() (snapshots int, reachable []bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshots, append([]bool{}, r.reachable...)
}

// snapshotState returns what the snapshot rule decides on.
func (r *replica) snapshotState(first int64) journal.SnapshotState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return journal.SnapshotState{Applied: r.next - 1, Snapshot: r.newest, First: first, Now: time.Now()}
}

// decision returns the replica's decision on an entry.
func (r *replica) decision(id string) (journal.Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decided.Lookup(id)
}

// revisionInForce returns the revision of the configuration in force.
func (r *replica) revisionInForce() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Current().Revision
}

// cluster is a set of VMs on one log.
type cluster struct {
	t   TB
	log *journaltest.Log

	// flooded is set when the log may have moved on by more than replay remembers:
	// then an entry may stay in doubt.
	flooded bool
	// readLimit is the largest number of records in one read; 0 for a small one.
	readLimit int

	mu  sync.Mutex
	vms []*vm // killed ones stay listed
}

// all returns all VMs that were started.
func (c *cluster) all() []*vm {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*vm(nil), c.vms...)
}

// vm is a follower, a publisher and a replica on one port of the log.
type vm struct {
	cluster   *cluster
	port      *journaltest.Port
	replica   *replica
	publisher *journal.Publisher
	follower  *journal.Follower
	stop      func() // ends the VM's goroutines; it may be called again

	mu      sync.Mutex
	gone    bool
	cut     bool // no peer is reached, nor reaches this VM
	stale   bool // only dead peers are known
	results map[string][]journal.AppendState
}

// start adds a VM.
func (c *cluster) start(faults journaltest.Faults) *vm {
	v := &vm{cluster: c, port: c.log.Port(), results: make(map[string][]journal.AppendState)}
	v.port.SetFaults(faults)
	v.publisher = journal.NewPublisher(v.port, journal.PublisherOptions{})
	v.replica = &replica{t: c.t, publisher: v.publisher, decided: journal.NewRecentDecisions(), config: config.NewState()}
	limit := max(c.readLimit, 16)
	v.follower = journal.NewFollower(v.port, v, v.replica, journal.FollowerOptions{ReadLimit: limit, WindowKept: 16})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { v.publisher.Run(ctx) })
	running.Go(func() { v.follower.Run(ctx) })
	running.Go(func() { v.heartbeats(ctx) })
	v.stop = func() { cancel(); running.Wait() }
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = append(c.vms, v)
	return v
}

// stop ends all VMs.
func (c *cluster) stop() {
	for _, v := range c.all() {
		v.stop()
	}
}

// kill ends a VM at once; what it had not sent is lost.
func (v *vm) kill() {
	v.mu.Lock()
	v.gone = true
	v.mu.Unlock()
	v.port.Kill()
	v.stop()
}

// setCut cuts a VM off from all peers, or heals that.
func (v *vm) setCut(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
}

// setStale leaves the VM with dead peers alone, or heals that.
func (v *vm) setStale(stale bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stale = stale
}

// isStale reports whether only dead peers are known.
func (v *vm) isStale() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stale
}

// isGone reports whether the VM was killed.
func (v *vm) isGone() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.gone
}

// unreachable reports whether no peer reaches the VM.
func (v *vm) unreachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.gone || v.cut
}

// heartbeatInterval is the time between looks at the peers' offsets.
const heartbeatInterval = 500 * time.Millisecond

// heartbeats kicks the follower while a peer is ahead.
func (v *vm) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if peer := v.bestPeer(); peer != nil && peer.follower.Next() > v.follower.Next() {
			v.follower.TriggerFetch()
		}
	}
}

// bestPeer returns the reachable peer that is furthest ahead; nil for none.
func (v *vm) bestPeer() *vm {
	if v.unreachable() || v.isStale() {
		return nil
	}
	var best *vm
	for _, peer := range v.cluster.all() {
		if peer == v || peer.unreachable() {
			continue
		}
		if best == nil || peer.follower.Next() > best.follower.Next() {
			best = peer
		}
	}
	return best
}

// Fetch implements journal.Peers.
func (v *vm) Fetch(ctx context.Context, from int64, limit int) (journal.FetchResult, error) {
	if v.isStale() {
		<-ctx.Done() // a dead VM does not answer
	}
	peer := v.bestPeer()
	if peer == nil {
		return journal.FetchResult{}, fmt.Errorf("fetch: %w", ports.ErrUnavailable)
	}
	return peer.follower.Serve(from, limit), nil
}

// submit gives the publisher an entry.
func (v *vm) submit(e journal.Entry) {
	v.cluster.t.Helper()
	assert.NilError(v.cluster.t, v.publisher.Submit(e, v.done))
}

// plain returns an entry that always applies.
func plain(id string) journal.Entry {
	return journal.Entry{ID: id, Kind: journal.KindJobCancelled, Body: json.RawMessage(`{}`)}
}

// configEntry returns an entry that sets the deadline of a request kind to a
// number of seconds.
func configEntry(id string, expected int64, kind string, seconds int) journal.Entry {
	record := fmt.Sprintf(`{"schemaVersion":1,"type":"requestKind","id":%q,"class":"normal","deadline":"%ds"}`, kind, seconds)
	change := journal.ConfigChange{ExpectedRevision: expected, Records: []json.RawMessage{json.RawMessage(record)}}
	body, _ := json.Marshal(change) // always encodes
	return journal.Entry{ID: id, Kind: journal.KindConfig, Body: body}
}

// snapshot appends a snapshot of the VM's replica.
func (v *vm) snapshot() {
	v.cluster.t.Helper()
	if v.follower.Next() <= 1 {
		return
	}
	e, err := journal.NewSnapshotEntry(v.replica.encode())
	assert.NilError(v.cluster.t, err)
	v.submit(e)
}

func (v *vm) done(r journal.AppendResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.results[r.EntryID] = append(v.results[r.EntryID], r.State)
}

// told returns the states reported for an entry, in order.
func (v *vm) told(id string) []journal.AppendState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]journal.AppendState{}, v.results[id]...)
}

// settleTime is enough for the longest delay before a copy is sent, twice.
const settleTime = 150 * time.Second

// agree checks that all live VMs have equal states, have read the whole log, and
// told their submitters the truth.
func (c *cluster) agree() {
	c.t.Helper()
	var first *vm
	for _, v := range c.all() {
		if v.isGone() {
			continue
		}
		if first == nil {
			first = v
		}
		assert.Equal(c.t, v.follower.Next(), c.log.Next(), "blocked: %q", v.follower.Blocked())
		assert.Equal(c.t, string(v.replica.encode().State), string(first.replica.encode().State))
		v.truthful()
	}
}

// truthful checks the last state told for each entry against the replica. A stored
// entry is applied unless replay found that it came too late.
func (v *vm) truthful() {
	v.cluster.t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, states := range v.results {
		if entry := (journal.Entry{ID: id}); len(entry.ID) > 9 && entry.ID[:9] == "snapshot-" {
			continue
		}
		want := 0
		decision, known := v.replica.decision(id)
		if !known && v.cluster.flooded && states[len(states)-1] == journal.AppendStored {
			continue // that it came too late may be forgotten
		}
		if states[len(states)-1] == journal.AppendStored && decision.Verdict != journal.VerdictExpired {
			want = 1
		}
		if states[len(states)-1] == journal.AppendInDoubt {
			if !v.cluster.flooded {
				v.cluster.t.Errorf("%s stays in doubt", id)
			}
			continue
		}
		if got := v.replica.has(id); got != want {
			v.cluster.t.Errorf("%s was told as %v and applied %d times", id, states, got)
		}
	}
}
