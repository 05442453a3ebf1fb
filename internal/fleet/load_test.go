package fleet

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/admission"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// lateJob cannot end in useful time while as much waits as in newOverloadedWorld.
func lateJob() *job.Job {
	return &job.Job{Service: service, Organisation: "o", Priority: 1, Stretch: 1, Steps: []job.Step{{Count: 1000, Gang: true, EstimatedRuntime: time.Second, Need: oneAccelerator}}}
}

func refuses(s *State) bool {
	digest, age := s.Load()
	return admission.Decide(admission.Picture{Digest: digest, Age: age}, admission.Request{Job: lateJob(), Service: service}).Refused
}

// newOverloadedWorld has 36 VMs in 6 zones and far more work than 8 backend servers can do.
func newOverloadedWorld(t failer) *world {
	w := newLargeWorldOf(t, 2*largeStrong, 8)
	for range 4 {
		w.submit(newJob(600, oneAccelerator, 8))
	}
	w.run(2*relayInterval + time.Second)
	return w
}

// The picture of the load must reach VMs that follow no records, also that of a new holder, and a VM that is cut
// off must not go by an old one.
func TestDigestReachesVMsThatFollowNothing(t *testing.T) {
	t.Parallel()
	w := newOverloadedWorld(t)
	var outsider *node
	for _, n := range w.nodes {
		digest, age := n.state.Load()
		assert.Assert(t, digest != nil && age <= relayInterval+digestInterval+2*heartbeatInterval, "%s: digest %v, age %v", n.name, digest, age)
		assert.Assert(t, refuses(n.state), n.name)
		if !n.state.IsReplica() {
			outsider = n
		}
	}
	old := w.holder()
	before, _ := outsider.state.Load()
	assert.Equal(t, before.Token, old.state.term.token)

	old.dead = true
	w.run(takeOverBound + 2*relayInterval + time.Second)
	holder := w.holder()
	for _, n := range w.nodes {
		if digest, _ := n.state.Load(); !n.dead {
			assert.Equal(t, digest.Token, holder.state.term.token, n.name)
		}
	}

	for _, n := range w.nodes {
		if n != outsider {
			w.cutLinks[link(n.name, outsider.name)] = true
		}
	}
	w.run(admission.MaxAge + time.Second)
	assert.Assert(t, !refuses(outsider.state), "a VM that is cut off refuses jobs")
	assert.Assert(t, refuses(holder.state))
}

// Once nothing waits any longer, no VM goes by the last picture of the backlog, and none is sent.
func TestDigestEndsWithTheBacklog(t *testing.T) {
	t.Parallel()
	w := newLargeWorldOf(t, 2*largeStrong, 8)
	j := w.submit(newJob(300, oneAccelerator, 3))
	w.run(2*relayInterval + time.Second)
	assert.Assert(t, refuses(w.holder().state))
	for range 60 {
		w.run(time.Second)
		if w.status(j.ID) == job.StatusDone {
			break
		}
	}
	assert.Equal(t, w.status(j.ID), job.StatusDone)
	w.run(2*relayInterval + time.Second)
	for _, n := range w.nodes {
		digest, age := n.state.Load()
		assert.Assert(t, digest == nil || len(digest.Services) == 0 || age > admission.MaxAge, n.name)
	}
	w.run(admission.MaxAge)
	digest, _ := w.holder().state.Load()
	assert.Assert(t, digest == nil)
}

func TestOddDigestChangesNothingElse(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	s := NewState(Identity{Node: "a", AZ: "z"}, Bounds{}, zap.NewNop(), NewCounters(scope))
	now := time.Unix(1000, 0)
	deliver := func(h Heartbeat) {
		h.Node, h.Relay, h.HolderHeard, h.HolderForward = "b", true, true, "holder"
		s.role.heardAt = time.Time{}
		now = now.Add(10 * time.Millisecond)
		s.Step([]Event{HeartbeatReceived{Heartbeat: h}}, Clock{Now: now, Wall: now})
		assert.Equal(t, s.role.heardAt, now)
	}
	digest := func(token, number string) json.RawMessage {
		return json.RawMessage(`{"t":` + token + `,"n":` + number + `}`)
	}
	deliver(Heartbeat{Load: digest("3", "5"), LoadAgeMs: 40})
	held, age := s.Load()
	assert.Assert(t, held != nil && held.Number == 5 && age == 40*time.Millisecond)
	for _, odd := range []Heartbeat{
		{Load: digest("3", "4")}, {Load: digest("2", "9")}, {Load: digest("0", "9")}, {Load: digest("4", `"x"`)}, {Load: digest("4", "1"), LoadAgeMs: -1},
		{Load: digest("4", "1"), LoadAgeMs: 1 << 60}, {Load: json.RawMessage(strings.Repeat("[", 3000))}, {Load: json.RawMessage("null")},
	} {
		deliver(odd)
		got, _ := s.Load()
		assert.Equal(t, got, held, string(odd.Load))
	}
	assert.Equal(t, scope.Snapshot().Counters()["digests_dropped+"].Value(), int64(8))
	deliver(Heartbeat{Load: digest("3", "5"), LoadAgeMs: 10}) // from another relay
	deliver(Heartbeat{Load: digest("9999", "1")})
	now = now.Add(admission.MaxAge + time.Second)
	deliver(Heartbeat{Load: digest("4", "1")}) // the term of the one held may be wrong, but it is old
	got, _ := s.Load()
	assert.Equal(t, got.Token, int64(4))
}

type keptDatagrams struct{ sent [][]byte }

func (d *keptDatagrams) Send(_ string, payload []byte) error {
	d.sent = append(d.sent, payload)
	return nil
}

func (*keptDatagrams) Receive([]byte) (int, error) { return 0, nil }

// A heartbeat that is too large with the digest goes without it.
func TestDigestGivesWayToTheHeartbeat(t *testing.T) {
	d := &keptDatagrams{}
	l := New(Options{Datagrams: d, Log: zap.NewNop(), Counters: NewCounters(tally.NoopScope)})
	h := Heartbeat{Load: json.RawMessage(`"` + strings.Repeat("x", admission.MaxDigestBytes) + `"`), LoadAgeMs: 1}
	l.sendHeartbeat(SendHeartbeat{Heartbeat: h, To: []string{"a"}})
	h.HolderForward = strings.Repeat("y", maxHeartbeat-admission.MaxDigestBytes)
	l.sendHeartbeat(SendHeartbeat{Heartbeat: h, To: []string{"a"}})
	assert.Equal(t, len(d.sent), 2)
	for i, with := range []bool{true, false} {
		assert.Assert(t, len(d.sent[i]) <= maxHeartbeat)
		assert.Equal(t, strings.Contains(string(d.sent[i]), `"load":`), with)
	}
}
