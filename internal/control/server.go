package control

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// server is a backend server of this VM's availability zone.
type server struct {
	info     model.BackendServer
	lastSeen time.Time
	vouched  time.Time // when the term holder last called it live
	free     int
	leaving  bool
	// listed is set once the VM list has shown the server, missing is since when it
	// does not, and gone tells that the server certainly does not run.
	listed  bool
	missing time.Time
	gone    bool
	// fenced is the newest own token that the server has confirmed.
	fenced model.Token
	// fencedAt is when it did; reports sent before say nothing about older commands.
	fencedAt time.Time
	// surveyed is set when a report sent after fencedAt has come in.
	surveyed bool
	tasks    []ports.TaskReport // of the newest report
	health   serverHealth

	outbox   []ports.TaskCommand
	inflight bool
	polling  bool
	pollSent time.Time
	// pollNow asks for a poll as soon as none is in flight.
	pollNow bool
}

func (s *State) live(v *server) bool {
	return !v.lastSeen.IsZero() && s.now.Sub(v.lastSeen) <= s.settings.LiveTimeout
}

// shownLive also counts what the term holder says, for the view of other VMs, which
// poll less often.
func (s *State) shownLive(v *server) bool {
	heard := !s.acting() && !v.vouched.IsZero() && s.now.Sub(v.vouched) <= s.settings.LiveTimeout
	return (s.live(v) || heard) && !v.gone
}

// usable reports whether new work may be sent.
func (s *State) usable(v *server) bool {
	return s.live(v) && !v.leaving && !v.gone && !v.health.quarantined && v.surveyed && v.fenced == s.term.token
}

// syncServers follows the configuration.
func (s *State) syncServers() {
	cfg := s.replica.Config().Current()
	if cfg == s.synced {
		return
	}
	s.synced = cfg
	for id, info := range cfg.BackendServers {
		if info.AZ != s.self.AZ {
			continue
		}
		v := s.servers[id]
		if v == nil {
			v = &server{}
			s.servers[id] = v
			s.placement.dirty = true
		}
		v.info = info
	}
	for id := range s.servers {
		if info, ok := cfg.BackendServers[id]; !ok || info.AZ != s.self.AZ {
			delete(s.servers, id)
			s.placement.dirty = true
		}
	}
	s.serverIDs = eventloop.SortedKeys(s.servers)
}

// pollServers asks for the reports that are due.
func (s *State) pollServers() {
	interval := s.settings.PollIdle
	if s.acting() {
		interval = s.settings.PollInterval
	}
	for _, id := range s.serverIDs {
		v := s.servers[id]
		due := v.pollNow || s.now.Sub(v.pollSent) >= interval
		if v.polling || !due {
			continue
		}
		v.polling = true
		v.pollNow = false
		v.pollSent = s.now
		s.emit(PollStatus{Server: id, Address: v.info.Address, Sent: s.now, Timeout: s.settings.CommandTimeout})
	}
}

func (s *State) statusAnswered(e StatusAnswered) {
	v := s.servers[e.Server]
	if v == nil {
		return
	}
	v.polling = false
	if e.Err != nil {
		s.placement.dirty = s.placement.dirty || !s.live(v)
		return
	}
	wasLive := s.live(v)
	v.lastSeen = s.now
	v.free = e.Status.FreeSlots
	s.setLeaving(v, e.Status.Leaving)
	v.tasks = e.Status.Tasks
	s.observeToken(e.Status.Token)
	if !s.acting() {
		return
	}
	if v.fenced == s.term.token && !e.Sent.Before(v.fencedAt) && !v.surveyed {
		v.surveyed = true
		s.placement.dirty = true
	}
	if !wasLive {
		s.placement.dirty = true
	}
	if v.surveyed {
		s.reconcile(e.Server, v, e)
	}
}

func (s *State) setLeaving(v *server, leaving bool) {
	if v.leaving != leaving {
		v.leaving = leaving
		s.placement.dirty = true
	}
}

// vmsListed follows the platform's list for peers and backend servers.
func (s *State) vmsListed(e VMsListed) {
	s.peers.SetList(e.VMs, s.now)
	states := make(map[string]ports.VMState, len(e.VMs))
	for _, vm := range e.VMs {
		if vm.Role == ports.RoleBackendServer {
			states[vm.Address] = vm.State
		}
	}
	for _, v := range s.servers {
		state, listed := states[v.info.Address]
		s.noteListed(v, listed)
		if state == ports.VMLeaving {
			s.setLeaving(v, true)
		}
	}
}

// unlistedGrace is how long a silent server that was never listed may still appear.
const unlistedGrace = 30 * time.Second

// noteListed decides whether a server is gone: it is silent, and vanished from the
// list or was never in it.
func (s *State) noteListed(v *server, listed bool) {
	switch {
	case listed:
		v.listed = true
		v.missing = time.Time{}
	case v.missing.IsZero():
		v.missing = s.now
	}
	gone := !listed && !s.live(v) && (v.listed || s.now.Sub(v.missing) >= unlistedGrace)
	if gone != v.gone {
		v.gone = gone
		s.placement.dirty = true
	}
}

func (s *State) heartbeatReceived(h membership.Heartbeat) {
	s.peers.Observe(h, s.now)
	if h.AZ != s.self.AZ {
		s.remoteHeard(h)
		return
	}
	s.observeHolder(h)
	for _, id := range h.LeavingServers {
		if v := s.servers[id]; v != nil {
			s.setLeaving(v, true)
		}
	}
	for id, free := range h.FreeSlots {
		if v := s.servers[id]; v != nil {
			v.free = free
			v.vouched = s.now
		}
	}
	s.cancelsHeard(h.Cancelled)
}

// heartbeat tells the peers about this VM.
func (s *State) heartbeat() {
	if s.now.Sub(s.lastHeartbeat) < s.settings.HeartbeatInterval {
		return
	}
	s.lastHeartbeat = s.now
	s.peers.Expire(s.now)
	h := s.ownHeartbeat()
	for _, address := range s.peers.Targets() {
		if s.peers.InOtherZone(address) {
			s.emit(SendHeartbeat{Address: address, Heartbeat: h.ForOtherZones()})
			continue
		}
		s.emit(SendHeartbeat{Address: address, Heartbeat: h})
	}
}

func (s *State) ownHeartbeat() membership.Heartbeat {
	h := membership.Heartbeat{
		Incarnation:  s.self.Incarnation,
		Address:      s.self.Address,
		AZ:           s.self.AZ,
		Applied:      s.replica.Applied(),
		LogReachable: s.log.reachable,
		Leaving:      s.drain.requested,
		Cancelled:    eventloop.SortedKeys(s.cancels),
	}
	if !s.acting() {
		return h
	}
	h.Token = s.term.token
	h.FreeSlots = make(map[model.BackendServerID]int, len(s.servers))
	for _, id := range s.serverIDs {
		v := s.servers[id]
		if s.live(v) {
			h.FreeSlots[id] = v.free
		} else {
			h.DownServers = append(h.DownServers, id)
		}
		if v.leaving {
			h.LeavingServers = append(h.LeavingServers, id)
		}
		if v.health.quarantined {
			h.QuarantinedServers = append(h.QuarantinedServers, id)
		}
	}
	return h
}
