package control

import (
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// snapshot appends the replicated state when the newest snapshot is far behind.
// The term holder of the lowest-named availability zone does; the others follow by
// name, each later, when those before them cannot.
func (s *State) snapshot() {
	applied := s.replica.Applied()
	due := s.settings.Snapshot.ForRank(s.zoneRank()).SnapshotDue(journal.SnapshotState{
		Applied:    applied,
		Snapshot:   s.replica.SnapshotOffset(),
		SnapshotAt: s.replica.SnapshotTime(),
		First:      s.log.first,
		Now:        s.now,
	})
	if !s.log.reachable || !due {
		return
	}
	if s.snapshotPending() {
		return
	}
	data, err := s.replica.Encode()
	if err != nil {
		s.violated(invariant.Violation{Promise: invariant.ConfigNeverReverts, Detail: err.Error()})
		return
	}
	s.submitEntry("snapshot-"+s.newID(), journal.KindSnapshot, journal.Snapshot{Offset: applied, State: data}, false)
}

func (s *State) snapshotPending() bool {
	for _, e := range s.entries {
		if e.entry.Kind == journal.KindSnapshot {
			return true
		}
	}
	return false
}

// zoneRank returns the number of availability zones with terms and lower names.
func (s *State) zoneRank() int {
	rank := 0
	s.replica.Terms(func(az model.AZ, _ replica.Term) {
		if az < s.self.AZ {
			rank++
		}
	})
	return rank
}
