package fleet

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Cancellation is what acknowledging the cancellation of a job takes.
type Cancellation int

// The cases of a cancellation.
const (
	CancellationUndecided Cancellation = iota // this VM has not read all jobs, or leaves them to replicas
	CancellationHolds                         // the job has ended, or its cancellation is stored
	CancellationDue                           // it has to be stored first
	CancellationRefused                       // too many jobs without a submission are cancelled
)

const (
	// maxEarlyCancels bounds the cancellations of jobs without a submission. From half of it on, they are kept only
	// for as long as a submission may arrive late.
	maxEarlyCancels = 20000
	// maxEarlyCancelDrops bounds the records of one append that deletes such cancellations.
	maxEarlyCancelDrops = 1000
)

// Cancellation returns what the cancellation of a job takes. That of a job that is not known has to be stored like any
// other: its submission may still be under way to the store, also from a VM that is gone.
func (s *State) Cancellation(id model.JobID) Cancellation {
	if !s.role.active || !s.synced() {
		return CancellationUndecided
	}
	if st := s.jobs.Job(id); st != nil {
		if st.Cancelled || st.Recorded.Final() {
			return CancellationHolds
		}
		return CancellationDue
	}
	if _, stored := s.jobs.EarlyCancel(id); stored {
		return CancellationHolds
	}
	if s.jobs.EarlyCancels() >= maxEarlyCancels {
		return CancellationRefused
	}
	return CancellationDue
}

// dropEarlyCancels deletes the cancellations of jobs that were never submitted, once they are kept for as long as the
// state of a job. The appends are conditional: none may follow a submission that this VM has not read, since that
// would run after the next restart.
func (s *State) dropEarlyCancels() {
	keep := s.bounds.FinalStateRetention + dropDelay
	if s.jobs.EarlyCancels() > maxEarlyCancels/2 {
		keep = min(keep, StoreDoubt+dropInterval)
	}
	due := make(map[Partition][]job.Record)
	s.jobs.ForEachEarlyCancel(func(id model.JobID, at time.Time) {
		if p := SubmissionPartition(id); s.now.Sub(at) > keep && len(due[p]) < maxEarlyCancelDrops {
			due[p] = append(due[p], job.CancellationTombstone(id))
		}
	})
	for _, p := range Partitions() {
		if records := due[p]; len(records) > 0 {
			slices.SortFunc(records, func(a, b job.Record) int { return strings.Compare(a.Key, b.Key) })
			s.log.Info("cancellations of jobs that were never submitted are deleted", zap.Int("partition", p.Number), zap.Int("jobs", len(records)),
				zap.Int("kept", s.jobs.EarlyCancels()))
			s.emit(Append{Number: 0, Request: AppendRequest{Partition: p, Records: records, At: s.nextOf[p]}})
		}
	}
}
