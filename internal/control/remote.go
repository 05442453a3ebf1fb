package control

import (
	"maps"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// remoteZone is what the term holder of another availability zone last reported about its
// backend servers. Heartbeats name only those that do not take new work.
type remoteZone struct {
	token       model.Token
	heardAt     time.Time
	down        map[model.BackendServerID]bool
	leaving     map[model.BackendServerID]bool
	quarantined map[model.BackendServerID]bool
}

// updateRemoteZone applies a heartbeat from the term holder of another availability zone.
func (s *State) updateRemoteZone(h membership.Heartbeat) {
	if h.Token == (model.Token{}) {
		return
	}
	if known := s.remotes[h.AZ]; known != nil && h.Token.Less(known.token) {
		return
	}
	z := &remoteZone{
		token:       h.Token,
		heardAt:     s.now,
		down:        idSet(h.DownServers),
		leaving:     idSet(h.LeavingServers),
		quarantined: idSet(h.QuarantinedServers),
	}
	if !z.sameExceptions(s.remotes[h.AZ]) {
		s.backends.list = nil // rebuild, so that the next view shows the change
	}
	s.remotes[h.AZ] = z
}

// sameExceptions reports whether both name the same backend servers; other may be nil.
func (z *remoteZone) sameExceptions(other *remoteZone) bool {
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
// slots are not known here; all are taken as free.
func (s *State) remoteBackend(info model.BackendServer) BackendState {
	z := s.remotes[info.AZ]
	if z == nil {
		return BackendState{Server: info}
	}
	fresh := s.now.Sub(z.heardAt) <= remoteTimeoutFactor*s.settings.HolderTimeout
	return BackendState{
		Server:      info,
		Live:        fresh && !z.down[info.ID],
		Leaving:     z.leaving[info.ID],
		Quarantined: z.quarantined[info.ID],
		FreeSlots:   info.Slots,
		LastSeen:    z.heardAt,
	}
}
