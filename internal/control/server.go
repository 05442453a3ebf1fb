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
	info          model.BackendServer
	lastSeen      time.Time
	holderSawLive time.Time // when the term holder last reported it live
	freeSlots     int
	incarnation   string // of the latest report
	leaving       bool
	// listed is set once the server has been in the VM list, missingSince is since when it
	// has not been in it, and gone is set if it certainly does not run.
	listed       bool
	missingSince time.Time
	gone         bool
	// confirmedToken is the newest token of this VM that the server has confirmed.
	confirmedToken model.Token
	// confirmedAt is when the server confirmed it. The answer to a poll sent earlier may miss
	// commands under older tokens that arrived after the poll.
	confirmedAt time.Time
	// surveyed is set once a poll sent after confirmedAt has been answered. A change of the
	// confirmed token clears it, unless the old one is termState.previousToken: this VM then
	// went from it to the current token without stepping down in between.
	surveyed bool
	// restarted is set from when the server was found to have lost the confirmed token until it has
	// been surveyed anew.
	restarted bool
	// reportSent is when the poll was sent that the latest report under this VM's token answered.
	reportSent time.Time
	tasks      []ports.TaskReport // of the latest report
	health     serverHealth

	outbox   []ports.TaskCommand
	inflight bool
	polling  bool
	pollSent time.Time
	// pollNow requests a poll as soon as none is in flight.
	pollNow bool
}

func (s *State) live(v *server) bool {
	return !v.lastSeen.IsZero() && s.now.Sub(v.lastSeen) <= s.settings.LiveTimeout
}

// liveInView reports whether the view shows the server as live. VMs that do not hold the term
// poll less often, so they also rely on the holder's heartbeats.
func (s *State) liveInView(v *server) bool {
	heard := !s.acting() && !v.holderSawLive.IsZero() && s.now.Sub(v.holderSawLive) <= s.settings.LiveTimeout
	return (s.live(v) || heard) && !v.gone
}

// usable reports whether the server may be sent new work.
func (s *State) usable(v *server) bool {
	return s.live(v) && !v.leaving && !v.gone && !v.health.quarantined && v.surveyed && v.confirmedToken == s.term.token
}

// syncServers updates servers when the configuration has changed.
func (s *State) syncServers() {
	cfg := s.replica.Config().Current()
	if cfg == s.syncedConfig {
		return
	}
	s.syncedConfig = cfg
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

// pollServers polls the servers whose status reports are due.
func (s *State) pollServers() {
	interval := s.settings.IdlePollInterval
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
	v.freeSlots = e.Status.FreeSlots
	v.incarnation = e.Status.Incarnation
	s.setLeaving(v, e.Status.Leaving)
	v.tasks = e.Status.Tasks
	s.observeToken(e.Status.Token)
	if !s.acting() {
		return
	}
	if e.Status.Token.Less(v.confirmedToken) && !e.Sent.Before(v.confirmedAt) {
		s.serverRestarted(v)
	}
	if v.confirmedToken == s.term.token && !e.Sent.Before(v.confirmedAt) && !v.surveyed {
		v.surveyed, v.restarted = true, false
		s.placement.dirty = true
	}
	if !wasLive {
		s.placement.dirty = true
	}
	if v.surveyed && e.Status.Token == s.term.token {
		v.reportSent = e.Sent
	}
	if v.surveyed || v.restarted {
		s.reconcile(e.Server, v, e)
	}
}

// serverRestarted handles a backend server that has lost the token which it had confirmed: it has
// started again under its ID, and would carry out the commands of any earlier holder. It gets the
// token again, also if there is no other command for it.
func (s *State) serverRestarted(v *server) {
	v.confirmedToken = model.Token{}
	v.surveyed = false
	v.restarted = true
	s.placement.dirty = true
}

func (s *State) setLeaving(v *server, leaving bool) {
	if v.leaving != leaving {
		v.leaving = leaving
		s.placement.dirty = true
	}
}

// vmsListed updates peers and backend servers from the platform's VM list.
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
		s.updateGone(v, listed)
		if state == ports.VMLeaving {
			s.setLeaving(v, true)
		}
	}
}

// unlistedTimeout is how long a server that does not answer and was never listed may still
// appear in the list before it is taken as gone.
const unlistedTimeout = 30 * time.Second

// updateGone decides whether a server is gone: it does not answer and is no longer in the VM list,
// or has never been in it and unlistedTimeout is over.
func (s *State) updateGone(v *server, listed bool) {
	switch {
	case listed:
		v.listed = true
		v.missingSince = time.Time{}
	case v.missingSince.IsZero():
		v.missingSince = s.now
	}
	gone := !listed && !s.live(v) && (v.listed || s.now.Sub(v.missingSince) >= unlistedTimeout)
	if gone != v.gone {
		v.gone = gone
		s.placement.dirty = true
	}
}

func (s *State) heartbeatReceived(h membership.Heartbeat) {
	s.peers.Observe(h, s.now)
	if h.AZ != s.self.AZ {
		s.updateRemoteZone(h)
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
			v.freeSlots = free
			v.holderSawLive = s.now
		}
	}
	s.applyPeerCancels(h.Cancelled)
}

// sendHeartbeats sends this VM's heartbeat to its peers when it is due.
func (s *State) sendHeartbeats() {
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
		Cancelled:    eventloop.SortedKeys(s.pendingCancels),
	}
	if !s.acting() {
		return h
	}
	h.Token = s.term.token
	h.FreeSlots = make(map[model.BackendServerID]int, len(s.servers))
	for _, id := range s.serverIDs {
		v := s.servers[id]
		if s.live(v) {
			h.FreeSlots[id] = v.freeSlots
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
