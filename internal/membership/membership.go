// Package membership tracks the other VMs of the system: their heartbeats and the
// platform's lagging list. It is pure: every call carries the time.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Heartbeat is what VMs tell each other.
type Heartbeat struct {
	Incarnation  model.Incarnation
	Address      string
	AZ           model.AZ
	Applied      int64 // offset of the last log record applied
	LogReachable bool
	Leaving      bool
	// Token is the fencing token under which the sender schedules its availability
	// zone; zero when it does not.
	Token model.Token
	// LeavingServers lists the backend servers that the sender saw leaving.
	LeavingServers []model.BackendServerID
	// FreeSlots holds the free slots of the live backend servers. It is left out
	// towards other availability zones.
	FreeSlots map[model.BackendServerID]int
	// DownServers and QuarantinedServers list the backend servers of the zone that a
	// sender with a token cannot reach or keeps from new work.
	DownServers        []model.BackendServerID
	QuarantinedServers []model.BackendServerID
	// Cancelled lists jobs whose cancellation is not in the log yet.
	Cancelled []model.JobID
}

// Abridged returns the heartbeat as other availability zones get it: without what
// grows with the number of backend servers.
func (h Heartbeat) Abridged() Heartbeat {
	h.FreeSlots = nil
	return h
}

// Peer is another VM.
type Peer struct {
	Heartbeat
	LastSeen time.Time // zero: listed but not heard from
	Listed   bool
	// ListedLeaving is set while the platform lists the VM as leaving.
	ListedLeaving bool
}

// IsLeaving reports whether the VM or the platform says that it leaves.
func (p *Peer) IsLeaving() bool { return p.Leaving || p.ListedLeaving }

// Settings are the durations of the table.
type Settings struct {
	// Timeout is how long a VM of the same availability zone stays alive without a heartbeat.
	Timeout time.Duration
	// RemoteTimeout is the same for VMs of other availability zones.
	RemoteTimeout time.Duration
	// Forget is how long an unlisted VM is kept without a heartbeat.
	Forget time.Duration
}

// Table is the set of known VMs other than the owner.
type Table struct {
	self     string
	az       model.AZ
	settings Settings
	peers    map[string]*Peer
	vms      []ports.VMEntry
	listed   time.Time
	next     int
}

// NewTable returns an empty table for the VM at address self.
func NewTable(self string, az model.AZ, settings Settings) *Table {
	return &Table{self: self, az: az, settings: settings, peers: make(map[string]*Peer)}
}

// Observe records a heartbeat. One from the owner is ignored.
func (t *Table) Observe(h Heartbeat, now time.Time) {
	if h.Address == t.self || h.Address == "" {
		return
	}
	p := t.peer(h.Address)
	p.Heartbeat = h
	p.LastSeen = now
}

// SetList replaces the platform's list.
func (t *Table) SetList(vms []ports.VMEntry, now time.Time) {
	t.vms = vms
	t.listed = now
	for _, p := range t.peers {
		p.Listed = false
	}
	for _, vm := range vms {
		if vm.Role != ports.RoleVM || vm.Address == t.self {
			continue
		}
		p := t.peer(vm.Address)
		p.Listed = true
		p.AZ = vm.AZ
		p.ListedLeaving = vm.State == ports.VMLeaving
	}
}

// VMs returns the platform's list and when it was read; zero when it never was.
func (t *Table) VMs() ([]ports.VMEntry, time.Time) { return t.vms, t.listed }

// Expire forgets VMs that are neither listed nor heard from.
func (t *Table) Expire(now time.Time) {
	for address, p := range t.peers {
		if !p.Listed && now.Sub(p.LastSeen) > t.settings.Forget {
			delete(t.peers, address)
		}
	}
}

// Alive reports whether the VM was heard from in time.
func (t *Table) Alive(p *Peer, now time.Time) bool {
	if p.LastSeen.IsZero() {
		return false
	}
	timeout := t.settings.RemoteTimeout
	if p.AZ == t.az {
		timeout = t.settings.Timeout
	}
	return now.Sub(p.LastSeen) <= timeout
}

// Peers returns all known VMs ordered by address.
func (t *Table) Peers() []*Peer {
	list := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Peer) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// IsLeaving reports whether the VM at an address is known to leave.
func (t *Table) IsLeaving(address string) bool {
	p := t.peers[address]
	return p != nil && p.IsLeaving()
}

// ZonePeers returns the VMs of the owner's availability zone ordered by address.
func (t *Table) ZonePeers() []*Peer {
	return slices.DeleteFunc(t.Peers(), func(p *Peer) bool { return p.AZ != t.az })
}

// Targets returns the addresses for one round of heartbeats: all VMs of the
// availability zone and, in turn, one of the others.
func (t *Table) Targets() []string {
	var zone, remote []string
	for _, p := range t.Peers() {
		if p.AZ == t.az {
			zone = append(zone, p.Address)
		} else {
			remote = append(remote, p.Address)
		}
	}
	if len(remote) > 0 {
		t.next++
		zone = append(zone, remote[t.next%len(remote)])
	}
	return zone
}

// Remote reports whether the VM at address is in another availability zone, as far
// as is known.
func (t *Table) Remote(address string) bool {
	p := t.peers[address]
	return p != nil && p.AZ != t.az
}

func (t *Table) peer(address string) *Peer {
	p := t.peers[address]
	if p == nil {
		p = &Peer{Heartbeat: Heartbeat{Address: address}}
		t.peers[address] = p
	}
	return p
}
