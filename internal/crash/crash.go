// Package crash decides which runs the loss of a backend server is blamed on.
//
// A task may crash each backend server that starts it. Many tasks share a backend server, and
// backend servers are also lost for other reasons: they crash by themselves, several at once, or are
// merely cut off. What tells the tasks apart is time: a task that crashes its server does so
// right after its start.
package crash

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// Run is a run that was on the lost backend server.
type Run struct {
	Step job.GroupKey
	// StartUnknown is set if it is not known whether it started before the loss: the order has no
	// answer, or a previous holder has sent it.
	StartUnknown bool
	// Unseen is set if it may have run for a while before the loss, on a backend server that was silent.
	Unseen bool
	// Proven is set if it had been seen running for a while.
	Proven bool
}

// Loss is a backend server that was lost with the runs on it.
type Loss struct {
	Runs []Run
	// Ended is set if the backend server's process has ended for certain, rather than being silent.
	Ended bool
	// OthersLost is set if other backend servers were lost at about the same time, or may have been.
	OthersLost bool
}

// Assess returns the blame of each run for the loss.
func Assess(l Loss) []job.Blame {
	blame := make([]job.Blame, len(l.Runs))
	culprit, single := l.suspectedStep()
	explained := l.Ended && slices.ContainsFunc(l.Runs, func(r Run) bool { return !r.Proven && !r.StartUnknown })
	for i, r := range l.Runs {
		switch {
		case r.Proven && explained:
			blame[i] = job.Unblamed
		case !l.Ended || r.StartUnknown || r.Unseen || r.Proven:
			blame[i] = job.Bystander
		case single && !l.OthersLost && r.Step == culprit:
			blame[i] = job.Alone
		default:
			blame[i] = job.Suspect
		}
	}
	return blame
}

// suspectedStep returns the step of the runs that had not proven themselves; single is false if
// there are several such steps or none.
func (l Loss) suspectedStep() (step job.GroupKey, single bool) {
	found := 0
	for _, r := range l.Runs {
		if r.Proven {
			continue
		}
		if found == 0 || r.Step != step {
			found++
		}
		step = r.Step
	}
	return step, found == 1
}
