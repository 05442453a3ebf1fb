package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/straggler"
)

// Identity is who this VM is.
type Identity struct {
	Node        string
	Incarnation model.Incarnation
	// Address takes heartbeats, IP:port.
	Address string
	// Forward takes passed-on calls, IP:port.
	Forward string
	// MilliCPU is the processor time that the VM has; the strongest take the term first.
	MilliCPU int
}

// Clock is a moment on the clock that is neither stepped nor stopped, and the time of day.
type Clock struct {
	Now  time.Time
	Wall time.Time
	// Lag is how long the oldest event of the step has waited.
	Lag time.Duration
}

// noted is the newest end of a backend server's incarnation that is recorded.
type noted struct {
	Born   int64 `json:"born"`
	Number int64 `json:"n"`
}

// replicated is what the stored records say.
type replicated struct {
	jobs  *job.Table
	noted map[model.BackendServerID]noted
	peers map[string]Peer
	claim claim
}

func newReplicated() *replicated {
	return &replicated{
		jobs:  job.NewTable(),
		noted: make(map[model.BackendServerID]noted),
		peers: make(map[string]Peer),
		claim: claim{Offset: -1},
	}
}

// State is what one VM knows. It is owned by one goroutine and changed by Step alone.
type State struct {
	self   Identity
	bounds Bounds
	log    *zap.Logger
	count  Counters

	now, wall, previous time.Time
	config              *Config

	*replicated
	// incoming is built by a read from the start and replaces replicated once synced.
	incoming   *replicated
	generation int
	unsynced   map[Partition]bool
	nextOf     map[Partition]int64 // up to where each partition has been read
	// readAsOf is the time up to which everything stored in a partition has been read.
	readAsOf  map[Partition]time.Time
	storeSeen time.Time // the newest answer of the store
	// refusedSince is when the store began to refuse records of this VM; zero when it does not.
	refusedSince time.Time
	// laggingSince is when events began to wait too long; zero when they do not.
	laggingSince time.Time

	term    termState
	servers map[model.BackendServerID]*server
	// strays counts the runs that should not be there, by task; it waits for their end.
	strays map[string]int
	// avoid names the backend servers where tasks of a step failed.
	avoid map[job.GroupKey]map[model.BackendServerID]bool
	// steps compares the progress of the tasks of each step.
	steps   map[job.GroupKey]*straggler.StepRates
	writer  writer
	advice  map[string]*advice
	replan  bool
	planned time.Time
	// touched are the backend servers that events of this step were about.
	touched  map[model.BackendServerID]*server
	lastPass time.Time
	dropped  time.Time
	leaving  bool

	actions []Action
}

// NewState returns the state of a VM that has read nothing yet.
func NewState(self Identity, bounds Bounds, log *zap.Logger, count Counters) *State {
	s := &State{
		self:       self,
		bounds:     bounds,
		log:        log,
		count:      count,
		replicated: newReplicated(),
		servers:    make(map[model.BackendServerID]*server),
		advice:     make(map[string]*advice),
		nextOf:     make(map[Partition]int64),
		readAsOf:   make(map[Partition]time.Time),
		touched:    make(map[model.BackendServerID]*server),
		strays:     make(map[string]int),
		avoid:      make(map[job.GroupKey]map[model.BackendServerID]bool),
		steps:      make(map[job.GroupKey]*straggler.StepRates),
	}
	s.resync()
	return s
}

// resync starts to build the replicated state anew.
func (s *State) resync() {
	s.generation++
	s.incoming = newReplicated()
	s.unsynced = make(map[Partition]bool)
	for _, p := range Partitions() {
		s.unsynced[p] = true
	}
	s.emit(Resync{Generation: s.generation})
}

// synced reports whether the whole of the stored records has been read.
func (s *State) synced() bool { return s.incoming == nil }

// Step applies events and returns the actions that follow.
func (s *State) Step(events []Event, c Clock) []Action {
	s.previous, s.now, s.wall = s.now, c.Now, c.Wall
	if s.previous.IsZero() {
		s.previous, s.term.heard, s.storeSeen = s.now, s.now, s.now
	}
	s.checkPause()
	s.observeLag(c.Lag)
	for _, e := range events {
		s.handle(e)
	}
	s.settle()
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) handle(e Event) {
	switch e := e.(type) {
	case RecordsRead:
		s.recordsRead(e)
	case StoreAnswered:
		s.observeStore(e.Err)
	case ConfigChanged:
		s.configChanged(e.Config)
	case ServersListed:
		s.serversListed(e.Servers)
	case AppendAnswered:
		s.appendAnswered(e)
	case ClaimAnswered:
		s.claimAnswered(e)
	case StartAnswered:
		s.startAnswered(e)
	case StopAnswered:
		s.stopAnswered(e)
	case HoldAnswered:
		s.holdAnswered(e)
	case HeartbeatReceived:
		s.heartbeatHeard(e.Heartbeat)
	case AdviceAnswered:
		s.adviceAnswered(e)
	case DrainStarted:
		s.leaving = true
		s.term.beatAt = time.Time{} // peers are told at once
		s.log.Info("planned stop begun", zap.Bool("holds_term", s.acting()))
	case QueryRequested:
		e.Query(s)
	case Ticked:
	}
}

// settle makes the decisions that follow from the events. What depends on time alone
// goes through all backend servers, but only at intervals; else only those that events
// have touched are gone through.
func (s *State) settle() {
	s.superviseTerm()
	s.sendHeartbeats()
	if !s.acting() {
		return
	}
	due := s.touched
	if s.now.Sub(s.lastPass) >= passInterval {
		s.lastPass = s.now
		due = s.servers
		s.dropJobs()
	}
	ids := eventloop.SortedKeys(due)
	for _, id := range ids {
		s.expireLeases(id, due[id])
		s.superviseRuns(due[id])
	}
	s.plan()
	s.flush()
	for _, id := range ids {
		s.poll(id, due[id])
	}
	clear(s.touched)
}

// touch has a backend server gone through after the events.
func (s *State) touch(v *server) { s.touched[v.entry.ID] = v }

// checkPause handles that this VM did not run for a while: what it believes of peers
// may be old, and it has to hear from the holder anew before it challenges it.
func (s *State) checkPause() {
	gap := s.now.Sub(s.previous)
	if gap <= pauseLimit {
		return
	}
	s.log.Warn("the process was paused", zap.Duration("gap", gap), zap.Bool("holds_term", s.acting()))
	s.term.heard = s.now
	s.storeSeen = s.now
}

func (s *State) configChanged(c *Config) {
	if s.config != nil && c.Version <= s.config.Version {
		return
	}
	s.config = c
	s.replan = true
	s.log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)))
}
