package control

import (
	"maps"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// remoteZone is what the term holder of another availability zone last said of its
// backend servers: only the exceptions travel.
type remoteZone struct {
	token       model.Token
	heard       time.Time
	down        map[model.BackendServerID]bool
	leaving     map[model.BackendServerID]bool
	quarantined map[model.BackendServerID]bool
}

// remoteHeard takes the word of a VM that acts for another availability zone.
func (s *State) remoteHeard(h membership.Heartbeat) {
	if h.Token == (model.Token{}) {
		return
	}
	if known := s.remotes[h.AZ]; known != nil && h.Token.Less(known.token) {
		return
	}
	z := &remoteZone{
		token:       h.Token,
		heard:       s.now,
		down:        idSet(h.DownServers),
		leaving:     idSet(h.LeavingServers),
		quarantined: idSet(h.QuarantinedServers),
	}
	if !z.saysSame(s.remotes[h.AZ]) {
		s.backends.list = nil // shown at once
	}
	s.remotes[h.AZ] = z
}

// saysSame reports whether two words name the same exceptions; nil says nothing.
func (z *remoteZone) saysSame(other *remoteZone) bool {
	return other != nil && maps.Equal(z.down, other.down) && maps.Equal(z.leaving, other.leaving) &&
		maps.Equal(z.quarantined, other.quarantined)
}

func idSet(ids []model.BackendServerID) map[model.BackendServerID]bool {
	set := make(map[model.BackendServerID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// remoteBackend describes a backend server of another availability zone. Its free
// slots are not known here and taken as all.
func (s *State) remoteBackend(info model.BackendServer) BackendState {
	z := s.remotes[info.AZ]
	if z == nil {
		return BackendState{Server: info}
	}
	fresh := s.now.Sub(z.heard) <= remoteTimeoutFactor*s.settings.HolderTimeout
	return BackendState{
		Server:      info,
		Live:        fresh && !z.down[info.ID],
		Leaving:     z.leaving[info.ID],
		Quarantined: z.quarantined[info.ID],
		FreeSlots:   info.Slots,
		LastSeen:    z.heard,
	}
}
