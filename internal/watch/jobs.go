package watch

import (
	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
)

// loggedJob is the last logged state of a job.
type loggedJob struct {
	state   control.JobState
	attempt string
	reason  string
}

// compareJobs logs changed jobs whose home is this VM's availability zone, but only while
// this VM holds the zone's term: other VMs know the states of the jobs only from the log.
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
		current := loggedJob{job.State, string(job.Attempt), string(job.Reason)}
		if w.jobs[id] == current {
			continue
		}
		before, known := w.jobs[id]
		w.jobs[id] = current
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

func (w *Watcher) logJob(before loggedJob, job control.JobStatus) {
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
