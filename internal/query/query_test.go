package query

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

// fakeControlView is a control service that implements only View.
type fakeControlView struct {
	control.Service
	view control.View
}

func (v fakeControlView) View() *control.View { return &v.view }

func TestReady(t *testing.T) {
	const stalled = "revision 7 has a record of a newer release"
	for name, tc := range map[string]struct {
		view     control.View
		caughtUp bool
		draining bool
		want     bool
	}{
		"all read":                  {control.View{Ready: true, Config: &config.Current{Revision: 7}}, true, false, true},
		"nothing published":         {control.View{Ready: true, Config: &config.Current{}}, true, false, true},
		"nothing read":              {control.View{Config: &config.Current{}}, false, false, false},
		"in the middle of the log":  {control.View{Ready: true, Config: &config.Current{Revision: 7}}, false, false, false},
		"planned stop":              {control.View{Ready: true, Config: &config.Current{Revision: 7}}, true, true, false},
		"stalled, last good state":  {control.View{Ready: true, Config: &config.Current{Revision: 5}, ConfigStalled: stalled}, true, false, true},
		"stalled before any config": {control.View{Ready: true, Config: &config.Current{}, ConfigStalled: stalled}, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := Handler{
				Control:  fakeControlView{view: tc.view},
				Draining: func() bool { return tc.draining },
				CaughtUp: func() bool { return tc.caughtUp },
			}
			assert.Equal(t, h.Ready(), tc.want)
		})
	}
}
