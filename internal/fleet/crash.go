package fleet

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
)

// provenAfter is how long a run has to have been seen running before a crash of its backend server
// no longer looks like an effect of its start.
const provenAfter = time.Second

// proven reports whether the run has been seen running for provenAfter.
func (r *run) proven() bool {
	return r.phase == runRunning && r.reportedAt.Sub(r.startedAt) >= provenAfter
}

// unprovenRuns returns the names of the runs that were not seen running for long.
func (v *server) unprovenRuns() []string {
	var names []string
	for _, name := range eventloop.SortedKeys(v.runs) {
		if !v.runs[name].proven() {
			names = append(names, name)
		}
	}
	return names
}
