package watch

import (
	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

// jobMark is what was last logged of a job.
type jobMark struct {
	state   control.JobState
	attempt string
	reason  string
}

// compareJobs logs the jobs whose home is the own availability zone, when this VM
// schedules it: elsewhere the states are second-hand.
func (w *Watcher) compareJobs(next *control.View) {
	if !next.Terms[next.AZ].HeldLocally {
		clear(w.jobs)
		return
	}
	seen := make(map[string]bool)
	for _, job := range next.Jobs("") {
		if job.Job.HomeAZ != next.AZ {
			continue
		}
		id := string(job.Job.ID)
		seen[id] = true
		mark := jobMark{job.State, string(job.Attempt), string(job.Reason)}
		if w.jobs[id] == mark {
			continue
		}
		before, known := w.jobs[id]
		w.jobs[id] = mark
		if !known && job.State.Ended() {
			continue
		}
		w.logJob(before, job)
	}
	for id := range w.jobs {
		if !seen[id] {
			delete(w.jobs, id)
		}
	}
}

func (w *Watcher) logJob(before jobMark, job control.JobStatus) {
	w.logger.Info("job changed",
		zap.String("job", string(job.Job.ID)),
		zap.String("organisation", string(job.Job.Organisation)),
		zap.String("from", string(before.state)),
		zap.String("state", string(job.State)),
		zap.String("attempt", string(job.Attempt)),
		zap.Int("attempts", job.Attempts),
		zap.Bool("borrowed", job.Borrowed),
		zap.String("reason", string(job.Reason)))
}
