package standin

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// vmChange is one change of the VM list. A nil entry removes the address.
type vmChange struct {
	at      time.Time
	address string
	entry   *ports.VMEntry
}

// vmList is a list of VMs in which changes become visible after a delay.
type vmList struct {
	mu      sync.Mutex
	visible map[string]ports.VMEntry
	pending []vmChange // changes that are not visible yet, oldest first
}

func newVMList() *vmList {
	return &vmList{visible: make(map[string]ports.VMEntry)}
}

func (l *vmList) put(e ports.VMEntry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{at: now, address: e.Address, entry: &e})
}

func (l *vmList) remove(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{at: now, address: address})
}

// list returns the entries as they were lag ago, ordered by address.
func (l *vmList) list(now time.Time, lag time.Duration) []ports.VMEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].at.After(now.Add(-lag)) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
	byAddress := func(a, b ports.VMEntry) int { return cmp.Compare(a.Address, b.Address) }
	return slices.SortedFunc(maps.Values(l.visible), byAddress)
}

func (l *vmList) apply(c vmChange) {
	if c.entry == nil {
		delete(l.visible, c.address)
		return
	}
	l.visible[c.address] = *c.entry
}
