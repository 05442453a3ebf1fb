package standin

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/platform"
)

// vmChange is one change of the VM list. A nil Entry removes the address.
type vmChange struct {
	at      time.Time
	address string
	entry   *platform.VMEntry
}

// vmList is a list of VMs that shows each change after a lag.
type vmList struct {
	mu      sync.Mutex
	shown   map[string]platform.VMEntry
	pending []vmChange // in order of time
}

func newVMList() *vmList {
	return &vmList{shown: make(map[string]platform.VMEntry)}
}

func (l *vmList) put(e platform.VMEntry, now time.Time) {
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
func (l *vmList) list(now time.Time, lag time.Duration) []platform.VMEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].at.After(now.Add(-lag)) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
	byAddress := func(a, b platform.VMEntry) int { return cmp.Compare(a.Address, b.Address) }
	return slices.SortedFunc(maps.Values(l.shown), byAddress)
}

func (l *vmList) apply(c vmChange) {
	if c.entry == nil {
		delete(l.shown, c.address)
		return
	}
	l.shown[c.address] = *c.entry
}
