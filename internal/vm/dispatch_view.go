package vm

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/dispatch"
)

// convertedView holds a control view and the dispatch view built from it.
type convertedView struct {
	source *control.View
	view   *dispatch.View
}

// dispatchView returns a function that converts the latest control view for the
// dispatcher. It caches the result per control view, and the list of backend servers per
// BackendsVersion.
func (n *node) dispatchView() func() *dispatch.View {
	var cached atomic.Pointer[convertedView]
	return func() *dispatch.View {
		source := n.control.View()
		last := cached.Load()
		if last != nil && last.source == source {
			return last.view
		}
		c := &convertedView{source: source, view: n.convertView(source, last)}
		if last != nil && sameForDispatch(last, c) {
			c.view = last.view
		}
		cached.Store(c)
		return c.view
	}
}

// sameForDispatch reports whether two views do not differ for the dispatcher. If so,
// it gets the older view again and sees no change.
func sameForDispatch(a, b *convertedView) bool {
	return a.source.BackendsVersion == b.source.BackendsVersion &&
		a.view.Config == b.view.Config &&
		slices.Equal(a.view.Peers, b.view.Peers)
}

func (n *node) convertView(v *control.View, last *convertedView) *dispatch.View {
	out := &dispatch.View{
		AZ:     n.identity.AZ,
		Region: n.identity.Region,
		Config: v.Config,
		Peers:  make([]dispatch.PeerView, 0, len(v.Peers)),
	}
	if last != nil && last.source.BackendsVersion == v.BackendsVersion {
		out.Backends = last.view.Backends
	} else {
		out.Backends = convertBackends(v)
	}
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

// convertBackends returns the dispatcher's view of the backend servers, ordered by ID.
func convertBackends(v *control.View) []dispatch.BackendView {
	list := make([]dispatch.BackendView, 0, len(v.Backends))
	for _, b := range v.Backends {
		list = append(list, dispatch.BackendView{
			Server:      b.Server,
			Live:        b.Live,
			Leaving:     b.Leaving,
			Quarantined: b.Quarantined,
			FreeSlots:   b.FreeSlots,
			Incarnation: b.Incarnation,
		})
	}
	slices.SortFunc(list, func(a, b dispatch.BackendView) int {
		return cmp.Compare(a.Server.ID, b.Server.ID)
	})
	return list
}
