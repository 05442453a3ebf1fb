package control

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// NewView returns a view without jobs.
func NewView() *View { return NewViewWithJobs(nil) }

// NewViewWithJobs returns a view of jobs ordered by ID, for tests of the packages that read views.
func NewViewWithJobs(jobs []JobStatus) *View {
	return &View{
		lookup: func(id model.JobID) (JobStatus, bool) {
			i := slices.IndexFunc(jobs, func(j JobStatus) bool { return j.Job.ID == id })
			if i < 0 {
				return JobStatus{}, false
			}
			return jobs[i], true
		},
		list: func(org model.OrganisationID) []JobStatus {
			if org == "" {
				return jobs
			}
			return slices.DeleteFunc(slices.Clone(jobs), func(j JobStatus) bool { return j.Job.Organisation != org })
		},
	}
}
