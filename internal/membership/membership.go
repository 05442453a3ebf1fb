// Package membership tracks the other VMs of the system by their heartbeats and by
// the platform's list, which lags behind. It reads no clock: the time is a parameter.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Heartbeat is the status that a VM sends to other VMs.
type Heartbeat struct {
	Incarnation  model.Incarnation
	Address      string
	AZ           model.AZ
	Applied      int64 // offset of the last log record applied
	LogReachable bool
	Leaving      bool
	// Token is the fencing token under which the sender schedules its availability
	// zone; zero when the sender does not schedule it.
	Token model.Token
	// LeavingServers lists the backend servers that the sender knows to be leaving.
	LeavingServers []model.BackendServerID
	// FreeSlots holds the free slots of the live backend servers. It is not sent to
	// other availability zones.
	FreeSlots map[model.BackendServerID]int
	// DownServers and QuarantinedServers list the backend servers of the zone that a
	// sender with a token cannot reach, or gives no new work.
	DownServers        []model.BackendServerID
	QuarantinedServers []model.BackendServerID
	// Cancelled lists jobs whose cancellation is not in the log yet.
	Cancelled []model.JobID
}

// ForOtherZones returns the heartbeat as sent to other availability zones: without
// the free slots, whose size grows with the number of backend servers.
func (h Heartbeat) ForOtherZones() Heartbeat {
	h.FreeSlots = nil
	return h
}

// Peer is a VM other than the owner of the table.
type Peer struct {
	Heartbeat
	LastSeen time.Time // of the last heartbeat; zero when there was none
	Listed   bool      // by the platform
	// ListedLeaving is set while the platform lists the VM as leaving.
	ListedLeaving bool
}

// IsLeaving reports whether the VM is leaving according to its heartbeat or to the
// platform.
func (p *Peer) IsLeaving() bool { return p.Leaving || p.ListedLeaving }

// Settings holds the timeouts of a table.
type Settings struct {
	// Timeout is how long a VM of the same availability zone counts as alive without
	// a heartbeat.
	Timeout time.Duration
	// RemoteTimeout is the same for VMs of other availability zones.
	RemoteTimeout time.Duration
	// ForgetAfter is how long a VM that is not listed is kept without a heartbeat.
	ForgetAfter time.Duration
}

// Table is the set of known VMs other than the owner, the VM at address self.
type Table struct {
	self       string
	az         model.AZ
	settings   Settings
	peers      map[string]*Peer
	vms        []ports.VMEntry
	listedAt   time.Time
	nextRemote int
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

// SetList replaces the platform's list of VMs.
func (t *Table) SetList(vms []ports.VMEntry, now time.Time) {
	t.vms = vms
	t.listedAt = now
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

// VMs returns the platform's list and when it was set; a zero time when it never was.
func (t *Table) VMs() ([]ports.VMEntry, time.Time) { return t.vms, t.listedAt }

// Expire removes VMs that are not listed and have not sent a heartbeat for
// ForgetAfter.
func (t *Table) Expire(now time.Time) {
	for address, p := range t.peers {
		if !p.Listed && now.Sub(p.LastSeen) > t.settings.ForgetAfter {
			delete(t.peers, address)
		}
	}
}

// Alive reports whether the last heartbeat of the VM is within its timeout.
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

// IsLeaving reports whether the VM at an address is known to be leaving.
func (t *Table) IsLeaving(address string) bool {
	p := t.peers[address]
	return p != nil && p.IsLeaving()
}

// ZonePeers returns the VMs of the owner's availability zone ordered by address.
func (t *Table) ZonePeers() []*Peer {
	return slices.DeleteFunc(t.Peers(), func(p *Peer) bool { return p.AZ != t.az })
}

// Targets returns the addresses for one round of heartbeats: all VMs of the owner's
// availability zone and one VM of the other zones, which take turns.
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
		t.nextRemote++
		zone = append(zone, remote[t.nextRemote%len(remote)])
	}
	return zone
}

// InOtherZone reports whether the VM at address is known to be in another
// availability zone.
func (t *Table) InOtherZone(address string) bool {
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
