package job

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// Blame is how likely a task has crashed a backend server that was lost with a run of it.
type Blame int

// The blame for one crash, as points that add up.
const (
	// Bystander: the run had worked there for a while, or little is known of the crash.
	Bystander Blame = 1
	// Suspect: the crash came right after the run had started, but so did other runs or crashes.
	Suspect Blame = 2
	// Alone: the crash came right after the run had started, and nothing else explains it.
	Alone Blame = 3
)

const (
	// blameLimit is reached by two crashes that came right after a start, if nothing else
	// explains one of them, or by three.
	blameLimit = Alone + Suspect
	// crashLimit bounds the crashes whatever is known of them: a task that crashes its backend
	// servers must not be started three more times after three crashes.
	crashLimit = 5
)

// Crash is the loss of a backend server with a run of the task.
type Crash struct {
	Server model.BackendServerID `json:"s"`
	// IncarnationStart tells the lost incarnation, Unix milliseconds; 0 if it is not known.
	IncarnationStart int64 `json:"b,omitempty"`
	Blame            Blame `json:"w"`
}

// Blame returns the task's blame for all crashes.
func (t *Task) Blame() Blame {
	var sum Blame
	for _, c := range t.Crashes {
		sum += c.Blame
	}
	return sum
}

// GivenUp reports whether the task has crashed so many backend servers that it is not started again.
func (t *Task) GivenUp() bool { return t.Blame() >= blameLimit || len(t.Crashes) >= crashLimit }

// Suspected reports whether the task may well crash its backend servers, so that it has to be
// started where a crash can be told from others.
func (t *Task) Suspected() bool { return t.Blame() >= Suspect }

// AddCrash records the loss of a backend server's incarnation, once.
func (t *Task) AddCrash(c Crash) {
	for _, known := range t.Crashes {
		if known.Server == c.Server && known.IncarnationStart == c.IncarnationStart {
			return
		}
	}
	t.Crashes = append(t.Crashes, c)
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
