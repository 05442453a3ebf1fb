package control

import (
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// appendSnapshot appends the replicated state when the newest snapshot is far behind. The term
// holder of the availability zone whose name sorts first does so; those of the others act
// later, in the order of their names, in case the ones before them cannot.
func (s *State) appendSnapshot() {
	applied := s.replica.Applied()
	due := s.settings.Snapshot.ForRank(s.zoneRank()).SnapshotDue(journal.SnapshotState{
		Applied:    applied,
		Snapshot:   s.replica.SnapshotOffset(),
		SnapshotAt: s.replica.SnapshotTime(),
		First:      s.log.firstOffset,
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
		s.reportViolation(invariant.Violation{Invariant: invariant.ConfigNeverReverts, Detail: err.Error()})
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

// zoneRank returns the number of availability zones with a term whose names sort before
// this VM's.
func (s *State) zoneRank() int {
	rank := 0
	s.replica.Terms(func(az model.AZ, _ replica.Term) {
		if az < s.self.AZ {
			rank++
		}
	})
	return rank
}
