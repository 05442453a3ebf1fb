package vm

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/dispatch"
)

// convertedView is a control view with the dispatch view made from it.
type convertedView struct {
	source *control.View
	view   *dispatch.View
}

// trafficView returns a function that converts the newest control view for the
// request path, once per view.
func (n *node) trafficView() func() *dispatch.View {
	var cached atomic.Pointer[convertedView]
	return func() *dispatch.View {
		source := n.control.View()
		if c := cached.Load(); c != nil && c.source == source {
			return c.view
		}
		c := &convertedView{source: source, view: n.convert(source)}
		cached.Store(c)
		return c.view
	}
}

func (n *node) convert(v *control.View) *dispatch.View {
	out := &dispatch.View{
		AZ:       n.identity.AZ,
		Region:   n.identity.Region,
		Config:   v.Config,
		Backends: make([]dispatch.BackendView, 0, len(v.Backends)),
		Peers:    make([]dispatch.PeerView, 0, len(v.Peers)),
	}
	for _, b := range v.Backends {
		out.Backends = append(out.Backends, dispatch.BackendView{
			Server:      b.Server,
			Live:        b.Live,
			Leaving:     b.Leaving,
			Quarantined: b.Quarantined,
			FreeSlots:   b.FreeSlots,
		})
	}
	slices.SortFunc(out.Backends, func(a, b dispatch.BackendView) int {
		return cmp.Compare(a.Server.ID, b.Server.ID)
	})
	for _, p := range v.Peers {
		out.Peers = append(out.Peers, dispatch.PeerView{
			Address:     p.Address,
			Incarnation: p.Incarnation,
			AZ:          p.AZ,
			Alive:       p.Alive,
			Leaving:     p.Leaving,
		})
	}
	return out
}
