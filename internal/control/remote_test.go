package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// remoteState returns a State of zone "a" that knows backend servers of zone "b".
func remoteState(t *testing.T, ids ...string) *State {
	t.Helper()
	var change journal.ConfigChange
	for i, id := range ids {
		change.Records = append(change.Records, json.RawMessage(fmt.Sprintf(`{"schemaVersion":2,"type":"backendServer",
			"id":%q,"address":"10.0.0.%d:1","location":{"az":"b","region":"r","rack":"k"},
			"capacity":{"accelerators":8,"slots":8,"connections":64,"cores":1,"memoryMB":1}}`, id, i+1)))
	}
	body, err := json.Marshal(change)
	assert.NilError(t, err)
	cfg := config.NewState()
	self := Identity{Incarnation: "me", Address: "10.0.1.1:1", AZ: "a", Region: "r"}
	s := NewState(self, DefaultSettings(), replica.New(cfg), placement.Reclaiming{}, model.RandomID)
	entry := journal.LocatedEntry{Offset: 1, Entry: journal.Entry{ID: "e", Kind: journal.KindConfig, Body: body}}
	s.Step([]Event{EntriesRead{Entries: []journal.LocatedEntry{entry}, Next: 2}}, time.Unix(1, 0))
	return s
}

// condition formats a backend server's condition in the view.
func condition(s *State, id model.BackendServerID) string {
	b := s.View().Backends[id]
	return fmt.Sprintf("live %v leaving %v quarantined %v", b.Live, b.Leaving, b.Quarantined)
}

// Backend servers of another zone are shown as its term holder reports them, until it has not
// been heard from for too long or a newer holder reports otherwise.
func TestBackendServersOfOtherZones(t *testing.T) {
	s := remoteState(t, "b1", "b2", "b3", "b4")
	now := time.Unix(2, 0)
	hear := func(h membership.Heartbeat) {
		h.Incarnation, h.Address, h.AZ = "other", "10.0.2.1:1", "b"
		s.Step([]Event{HeartbeatReceived{Heartbeat: h}}, now)
	}
	assert.Equal(t, condition(s, "b1"), "live false leaving false quarantined false")
	hear(membership.Heartbeat{})
	assert.Equal(t, condition(s, "b1"), "live false leaving false quarantined false", "a heartbeat without a token was applied")

	hear(membership.Heartbeat{
		Token:              model.Token{Offset: 7},
		DownServers:        []model.BackendServerID{"b2"},
		LeavingServers:     []model.BackendServerID{"b3"},
		QuarantinedServers: []model.BackendServerID{"b4"},
	})
	assert.Equal(t, condition(s, "b1"), "live true leaving false quarantined false")
	assert.Equal(t, condition(s, "b2"), "live false leaving false quarantined false")
	assert.Equal(t, condition(s, "b3"), "live true leaving true quarantined false")
	assert.Equal(t, condition(s, "b4"), "live true leaving false quarantined true")

	hear(membership.Heartbeat{Token: model.Token{Offset: 6}})
	assert.Equal(t, condition(s, "b2"), "live false leaving false quarantined false", "a heartbeat with an older token was applied")
	hear(membership.Heartbeat{Token: model.Token{Offset: 7, Rank: 1}})
	assert.Equal(t, condition(s, "b2"), "live true leaving false quarantined false")

	now = now.Add(time.Minute)
	s.Step([]Event{Ticked{}}, now)
	assert.Equal(t, condition(s, "b1"), "live false leaving false quarantined false", "the zone was not heard from for a minute")
}
