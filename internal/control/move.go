package control

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// moveDelay is how long a job must fit no healthy cell of its home before it is moved.
const moveDelay = 10 * time.Second

// moveJobs moves jobs that fit no healthy cell here to another home. Only the home's term
// holder moves a job, with the home revision that it expects.
func (s *State) moveJobs() {
	if !s.log.reachable {
		return
	}
	for _, id := range eventloop.SortedKeys(s.placement.noCellSince) {
		if s.placement.waiting[id] != model.Reason(placement.WaitNoHealthyCell) {
			delete(s.placement.noCellSince, id)
			continue
		}
		j := s.replica.Job(id)
		if j != nil && s.waitsForPlacement(j) && s.now.Sub(s.placement.noCellSince[id]) >= moveDelay {
			s.moveJob(j)
		}
	}
}

// recordNoCell records since when a job fits no healthy cell.
func (s *State) recordNoCell(id model.JobID) {
	if s.placement.noCellSince == nil {
		s.placement.noCellSince = make(map[model.JobID]time.Time)
	}
	if _, ok := s.placement.noCellSince[id]; !ok {
		s.placement.noCellSince[id] = s.now
	}
}

func (s *State) moveJob(j *replica.Job) {
	cfg := s.replica.Config().Current()
	fits, err := fittingZones(cfg, cfg.Organisations[j.Job.Organisation], j.Job.Shape, s.self.AZ)
	if err != nil {
		return
	}
	covered := coveredZones(cfg.Organisations[j.Job.Organisation], j.Job.Shape)
	var target model.AZ
	for _, az := range fits {
		if az == s.self.AZ || s.holderOf(az) == nil {
			continue
		}
		if target == "" || (covered[az] && !covered[target]) {
			target = az
		}
	}
	if target == "" {
		return
	}
	delete(s.placement.noCellSince, j.Job.ID)
	s.submitEntry("move-"+s.newID(), journal.KindJobMoved, journal.JobMoved{
		Job:              j.Job.ID,
		Home:             target,
		ExpectedRevision: j.HomeRevision,
	}, false)
}
