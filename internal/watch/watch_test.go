package watch

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// view returns a ready view of zone "a" with one live backend server.
func view(change func(*control.View)) *control.View {
	v := control.NewView()
	v.AZ = "a"
	v.Ready = true
	v.LogReachable = true
	v.Config = &config.Current{}
	v.Terms = map[model.AZ]control.TermState{}
	v.Backends = map[model.BackendServerID]control.BackendState{
		"s1": {Server: model.BackendServer{ID: "s1", AZ: "a"}, Live: true},
		"s2": {Server: model.BackendServer{ID: "s2", AZ: "b"}},
	}
	if change != nil {
		change(v)
	}
	return v
}

func TestEventsAreLoggedOnce(t *testing.T) {
	tests := []struct {
		name   string
		change func(*control.View)
		want   string
	}{
		{"log down", func(v *control.View) { v.LogReachable = false }, "platform log unreachable"},
		{"not ready", func(v *control.View) { v.Ready = false }, "readiness changed"},
		{"new configuration", func(v *control.View) { v.Config = &config.Current{Revision: 7} }, "configuration applied"},
		{"stalled", func(v *control.View) { v.ConfigStalled = "version 3" }, "configuration stalled"},
		{"term", func(v *control.View) {
			v.Terms = map[model.AZ]control.TermState{"b": {AZ: "b", Token: model.Token{Offset: 3}}}
		}, "term changed"},
		{"server lost", func(v *control.View) {
			v.Backends = map[model.BackendServerID]control.BackendState{"s1": {Server: model.BackendServer{ID: "s1", AZ: "a"}}}
		}, "backend server changed"},
		{"risk", func(v *control.View) { v.GuaranteesAtRisk = []control.GuaranteeState{{Organisation: "o"}} }, "guarantee at risk"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			core, logs := observer.New(zap.DebugLevel)
			current := view(nil)
			w := New(func() *control.View { return current }, zap.New(core), tally.NoopScope)
			w.Compare()
			logs.TakeAll()
			current = view(tc.change)
			w.Compare()
			current = view(tc.change)
			w.Compare()
			entries := logs.TakeAll()
			assert.Equal(t, len(entries), 1, "%v", entries)
			assert.Equal(t, entries[0].Message, tc.want)
		})
	}
}

func TestGaugesFollowTheView(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	w := New(func() *control.View { return view(nil) }, zap.NewNop(), scope)
	w.Compare()
	gauges := scope.Snapshot().Gauges()
	assert.Equal(t, gauges["ready+"].Value(), 1.0)
	assert.Equal(t, gauges["backend_servers+condition=live"].Value(), 1.0)
	assert.Equal(t, gauges["backend_servers+condition=lost"].Value(), 0.0, "other zones must not count")
}
