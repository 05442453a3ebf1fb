package job

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Blame is how likely a task has crashed a backend server that was lost with a run of it.
type Blame int

// The degrees of blame. They are stored, so that their values must not change.
const (
	// Unblamed: the run had worked there for a while, and other runs explain the crash.
	Unblamed Blame = iota
	// Bystander: the run had worked there for a while, or it is not known whether it had started.
	Bystander
	// Suspect: the crash came right after the run had started, but other starts or losses of
	// backend servers came at the same time.
	Suspect
	// Alone: the crash came right after the run had started, and nothing else explains it.
	Alone
)

// String returns the name of the degree.
func (b Blame) String() string {
	switch b {
	case Alone:
		return "alone"
	case Suspect:
		return "suspect"
	case Bystander:
		return "bystander"
	case Unblamed:
	}
	return "unblamed"
}

// points weighs one crash against others.
func (b Blame) points() int {
	switch b {
	case Alone:
		return 3
	case Suspect:
		return 2
	case Unblamed, Bystander:
	}
	return 0
}

const (
	// pointLimit is reached by two crashes that came right after a start, if nothing else
	// explains one of them, or by three.
	pointLimit = 5
	// crashLimit bounds the crashes whatever is known of them: a task that crashes its backend
	// servers must not be started three times more after three crashes.
	crashLimit = 5
	// suspicion is the number of points from which a task is isolated, that of one crash right after
	// a start.
	suspicion = 2
)

// Crash is the loss of a backend server with a run of the task.
type Crash struct {
	Server model.BackendServerID `json:"s"`
	// IncarnationStart tells the lost incarnation, Unix milliseconds; 0 if it is not known.
	IncarnationStart int64 `json:"b,omitempty"`
	Blame            Blame `json:"w"`
}

// blamePoints returns the points of all crashes.
func (t *Task) blamePoints() int {
	sum := 0
	for _, c := range t.Crashes {
		sum += c.Blame.points()
	}
	return sum
}

// GivenUp reports whether the task has crashed so many backend servers that it is not started again.
func (t *Task) GivenUp() bool {
	return t.Phase != Done && (t.blamePoints() >= pointLimit || len(t.Crashes) >= crashLimit)
}

// Suspected reports whether the task may well crash its backend servers, so that it has to be
// started where a crash can be told from others.
func (t *Task) Suspected() bool { return t.blamePoints() >= suspicion }

// AddCrash records the loss of a backend server's incarnation, once.
func (t *Task) AddCrash(c Crash) {
	for _, known := range t.Crashes {
		if known.Server == c.Server && known.IncarnationStart == c.IncarnationStart {
			return
		}
	}
	t.Crashes = append(t.Crashes, c)
}

// Exonerate takes from earlier crashes the suspicion that the task's start has caused them, and
// reports whether there was any. They count among all crashes on.
func (t *Task) Exonerate() bool {
	if t.blamePoints() == 0 {
		return false
	}
	t.Crashes = slices.Clone(t.Crashes) // copies of the task share them
	for i := range t.Crashes {
		t.Crashes[i].Blame = Bystander
	}
	return true
}

// RemoveCrash forgets the loss of an incarnation that turns out to be alive, and reports whether
// there was one.
func (t *Task) RemoveCrash(id model.BackendServerID, incarnationStart int64) bool {
	for i, c := range t.Crashes {
		if c.Server == id && c.IncarnationStart == incarnationStart {
			t.Crashes = append(t.Crashes[:i:i], t.Crashes[i+1:]...)
			return true
		}
	}
	return false
}
