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

// TB has the methods of testing.T and rapid.T that the tests need.
type TB interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	Log(args ...any)
	FailNow()
	Fail()
}

// replica applies entries to a list of IDs and a configuration. It checks that
// nothing is applied out of order and that the configuration never goes back.
type replica struct {
	t         TB
	publisher *journal.Publisher

	mu             sync.Mutex
	decisions      *journal.RecentDecisions
	config         *config.State
	applied        []string
	next           int64
	revision       int64 // the highest revision that was in force
	newestSnapshot int64 // the offset of the newest record with a snapshot
	snapshots      int
	reachable      []bool
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
	r.decisions.Advance(next - 1)
	r.publisher.Observe(entries, next)
}

func (r *replica) apply(e journal.LocatedEntry) {
	if e.Entry.Kind == journal.KindSnapshot {
		r.newestSnapshot = e.Offset
		return
	}
	if _, rejected := r.decisions.Reject(e); rejected {
		return
	}
	decision := journal.Decision{EntryID: e.Entry.ID, Offset: e.Offset, Verdict: journal.VerdictAccepted}
	if e.Entry.Kind == journal.KindConfig {
		decision = r.config.Apply(e)
	}
	r.decisions.Record(decision)
	r.applied = append(r.applied, e.Entry.ID)
}

func (r *replica) checkRevision() {
	revision := r.config.Current().Revision
	if revision < r.revision {
		r.t.Errorf("the configuration went back from revision %d to %d", r.revision, revision)
	}
	r.revision = revision
}

// replicaState is the state in a snapshot of a replica.
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
	decisions, err := journal.RestoreRecentDecisions(state.Decided)
	assert.NilError(r.t, err)
	assert.NilError(r.t, r.config.Restore(state.Config))
	r.applied, r.decisions, r.next = state.Applied, decisions, s.Offset+1
	r.snapshots++
	r.checkRevision()
	r.publisher.ObserveSnapshot(s.Offset, decisions.Lookup)
}

func (r *replica) LogReachabilityChanged(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachable = append(r.reachable, ok)
}

// encode returns a snapshot of the replica.
func (r *replica) encode() journal.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	decisions, err := r.decisions.Encode()
	assert.NilError(r.t, err)
	configuration, err := r.config.Encode()
	assert.NilError(r.t, err)
	state, err := json.Marshal(replicaState{Applied: append([]string{}, r.applied...), Decided: decisions, Config: configuration})
	assert.NilError(r.t, err)
	return journal.Snapshot{Offset: r.next - 1, State: state}
}

// applyCount returns how often an entry was applied.
func (r *replica) applyCount(id string) int {
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

// status returns the number of snapshots delivered and the arguments of the calls of
// LogReachabilityChanged.
func (r *replica) status() (snapshots int, reachable []bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshots, append([]bool{}, r.reachable...)
}

// snapshotState returns the input of the snapshot rule.
func (r *replica) snapshotState(first int64) journal.SnapshotState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return journal.SnapshotState{Applied: r.next - 1, Snapshot: r.newestSnapshot, First: first, Now: time.Now()}
}

// decision returns the replica's decision on an entry.
func (r *replica) decision(id string) (journal.Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decisions.Lookup(id)
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

	// flooded is set when the log may have advanced by more than DecisionWindow
	// offsets, so that an entry may stay in doubt.
	flooded bool
	// readLimit is the largest number of records in one read; less than 16 counts as 16.
	readLimit int

	mu  sync.Mutex
	vms []*vm // killed ones included
}

// all returns all VMs that were started.
func (c *cluster) all() []*vm {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*vm(nil), c.vms...)
}

// vm is a follower, a publisher and a replica that share one port of the log.
type vm struct {
	cluster   *cluster
	port      *journaltest.Port
	replica   *replica
	publisher *journal.Publisher
	follower  *journal.Follower
	stop      func() // ends the VM's goroutines; may be called more than once

	mu         sync.Mutex
	killed     bool
	isolated   bool // the VM and its peers cannot reach each other
	stalePeers bool // only dead peers are known
	results    map[string][]journal.AppendState
}

// start adds a VM.
func (c *cluster) start(faults journaltest.Faults) *vm {
	v := &vm{cluster: c, port: c.log.Port(), results: make(map[string][]journal.AppendState)}
	v.port.SetFaults(faults)
	v.publisher = journal.NewPublisher(v.port, journal.PublisherOptions{})
	v.replica = &replica{t: c.t, publisher: v.publisher, decisions: journal.NewRecentDecisions(), config: config.NewState()}
	limit := max(c.readLimit, 16)
	v.follower = journal.NewFollower(v.port, v, v.replica, journal.FollowerOptions{ReadLimit: limit, WindowKept: 16})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { v.publisher.Run(ctx) })
	running.Go(func() { v.follower.Run(ctx) })
	running.Go(func() { v.followPeers(ctx) })
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
	v.killed = true
	v.mu.Unlock()
	v.port.Kill()
	v.stop()
}

// setIsolated cuts the VM off from all peers, or reconnects it.
func (v *vm) setIsolated(isolated bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isolated = isolated
}

// setStalePeers makes the VM know only dead peers, or all peers again.
func (v *vm) setStalePeers(stale bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stalePeers = stale
}

// hasStalePeers reports whether the VM knows only dead peers.
func (v *vm) hasStalePeers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stalePeers
}

// isKilled reports whether the VM was killed.
func (v *vm) isKilled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.killed
}

// unreachable reports whether no peer reaches the VM.
func (v *vm) unreachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.killed || v.isolated
}

// peerCheckInterval is how often a VM compares its offset with that of its peers.
const peerCheckInterval = 500 * time.Millisecond

// followPeers triggers a fetch at each interval while a peer is ahead.
func (v *vm) followPeers(ctx context.Context) {
	ticker := time.NewTicker(peerCheckInterval)
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
	if v.unreachable() || v.hasStalePeers() {
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
	if v.hasStalePeers() {
		<-ctx.Done() // a dead VM does not answer
	}
	peer := v.bestPeer()
	if peer == nil {
		return journal.FetchResult{}, fmt.Errorf("fetch: %w", ports.ErrUnavailable)
	}
	return peer.follower.Serve(from, limit), nil
}

// submit submits an entry to the publisher, which must accept it.
func (v *vm) submit(e journal.Entry) {
	v.cluster.t.Helper()
	assert.NilError(v.cluster.t, v.publisher.Submit(e, v.done))
}

// plainEntry returns an entry that is accepted unless it is a duplicate or expired.
func plainEntry(id string) journal.Entry {
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

// reportedStates returns the states that the publisher reported for an entry, in
// order.
func (v *vm) reportedStates(id string) []journal.AppendState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]journal.AppendState{}, v.results[id]...)
}

// settleTime is more than twice the longest delay before a copy is sent.
const settleTime = 150 * time.Second

// checkConverged checks that all live VMs have equal states, have read the whole
// log, and have reported true states to their submitters.
func (c *cluster) checkConverged() {
	c.t.Helper()
	var first *vm
	for _, v := range c.all() {
		if v.isKilled() {
			continue
		}
		if first == nil {
			first = v
		}
		assert.Equal(c.t, v.follower.Next(), c.log.Next(), "blocked: %q", v.follower.Blocked())
		assert.Equal(c.t, string(v.replica.encode().State), string(first.replica.encode().State))
		v.checkReports()
	}
}

// checkReports checks the last state reported for each entry against the replica. A
// stored entry is applied once unless its verdict is expired.
func (v *vm) checkReports() {
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
			continue // an expired verdict may have been dropped
		}
		if states[len(states)-1] == journal.AppendStored && decision.Verdict != journal.VerdictExpired {
			want = 1
		}
		if states[len(states)-1] == journal.AppendInDoubt {
			if !v.cluster.flooded {
				v.cluster.t.Errorf("entry %s is still in doubt", id)
			}
			continue
		}
		if got := v.replica.applyCount(id); got != want {
			v.cluster.t.Errorf("entry %s: reported states %v, but applied %d times", id, states, got)
		}
	}
}
