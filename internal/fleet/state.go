package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/interference"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
	"github.com/eelgrassreach/eelgrassreach/internal/straggler"
)

// Identity describes this VM.
type Identity struct {
	Node        string
	Incarnation model.Incarnation
	AZ          string
	// Address is where the VM receives heartbeats, as IP:port.
	Address string
	// Forward is where the VM receives calls that other VMs forward, as IP:port.
	Forward string
	// MilliCPU is the VM's processor capacity in thousandths of a core; VMs with more of it
	// claim the term first.
	MilliCPU int
	// Bootstrap is set at the first start of the whole system.
	Bootstrap bool
}

// Clock is one moment: Now on the boot-time clock, which is neither stepped nor stopped by a
// suspend, and Wall as the time of day.
type Clock struct {
	Now  time.Time
	Wall time.Time
	// Lag is how long the oldest event of the step has waited in the queue.
	Lag time.Duration
}

// endPosition is the number of the newest recorded end of a run on a backend server, and the
// incarnation that it belongs to.
type endPosition struct {
	IncarnationStart int64 `json:"born"`
	Number           int64 `json:"n"`
	// Reported is set once the incarnation has reported to a holder, and refuses calls for earlier ones.
	Reported bool `json:"r,omitempty"`
	// StartedAgain is set if an earlier incarnation had the same ID.
	StartedAgain bool `json:"again,omitempty"`
	// Clock is the highest reading of the incarnation's clock, milliseconds; 0 if none is known.
	Clock int64 `json:"clock,omitempty"`
}

// replicated is the state that a VM builds from the stored records: all of it on replicas, only the
// peers on other VMs.
type replicated struct {
	jobs         *job.Table
	recordedEnds map[model.BackendServerID]endPosition
	// arrivals holds until when start orders without an answer may arrive, by task.
	arrivals map[string]arrival
	// paceRecord is the newest record of a holder's paces; nil if there is none.
	paceRecord []byte
	// restartsSeen is set if a backend server has started again under its ID.
	restartsSeen bool
	peers        map[string]Peer
	// newestPeer is the offset of the newest announcement of a VM.
	newestPeer int64
	claim      claim
}

func newReplicated() *replicated {
	return &replicated{
		jobs:         job.NewTable(),
		recordedEnds: make(map[model.BackendServerID]endPosition),
		arrivals:     make(map[string]arrival),
		peers:        make(map[string]Peer),
		claim:        claim{Offset: -1},
	}
}

// State is the scheduling state of one VM. It is owned by one goroutine and changed only by
// Step.
type State struct {
	self    Identity
	bounds  Bounds
	log     *zap.Logger
	metrics Counters

	now, wall, previousStepAt time.Time
	config                    *Config

	*replicated
	// incoming is built while all partitions are read again and replaces replicated when every
	// partition has been read to its end; nil otherwise.
	incoming   *replicated
	generation int
	unsynced   map[Partition]bool
	begun      map[Partition]bool  // partitions of which records were read since
	nextOf     map[Partition]int64 // offset of the next record to read of each partition
	// readAsOf is the time up to which everything stored in a partition has been read.
	readAsOf        map[Partition]time.Time
	storeAnsweredAt time.Time // when the store last answered
	// storeRefusingSince is when the store began to refuse this VM's calls; zero while it
	// does not.
	storeRefusingSince time.Time
	// laggingSince is when the queueing delay of events exceeded overloadLag; zero while it
	// does not.
	laggingSince time.Time

	// ownDoubts are the submissions by this VM that have no answer from the store, heardDoubts those by other VMs.
	ownDoubts, heardDoubts doubtTable
	// doubtsUntold is set while some of ownDoubts are not told, doubtsToldAt is when they last were.
	doubtsUntold bool
	doubtsToldAt time.Time

	term    termState
	role    roleState
	servers map[model.BackendServerID]*server
	// tokens holds the newest token under which each backend server has reported, or will, in this term.
	tokens map[model.BackendServerID]int64
	// serversAsOf is the time up to which all entries of backend servers have been read.
	serversAsOf time.Time
	// serversAwayAt is when the store last failed to serve these entries.
	serversAwayAt time.Time
	evacuations   evacuations
	// losses are the backend servers that were lost recently.
	losses []loss
	// crashed are the backend servers whose loss is recorded with tasks.
	crashed map[model.BackendServerID]bool
	// orphans counts the runs of each task that are not its current run. The task is not placed
	// again before they end.
	orphans map[string]int
	// avoid holds the backend servers on which tasks of a step failed, with the time of the newest failure.
	avoid map[job.GroupKey]map[model.BackendServerID]time.Time
	// stepRates holds the progress rates of the tasks of each step.
	stepRates map[job.GroupKey]*straggler.StepRates
	// interference tells which kinds of work slow each other down.
	interference           *interference.Model
	interferenceReportedAt time.Time
	paces                  paceState
	writer                 writer
	// turns tells for jobs with occurrences which one waits first, and since when.
	turns  map[model.JobID]turn
	advice map[string]*advice
	// backlog collects the next backlog report, by priority.
	backlog           map[int]*priorityBacklog
	backlogReportedAt time.Time
	// urgentUse is the room that urgent work of each service used lately, madeRoomAt when a run was last stopped to
	// make room.
	urgentUse  map[string]*sched.UsedLately
	madeRoomAt time.Time
	// shapes are what the open jobs ask for, as counted at shapesAt.
	shapes   []sched.Shape
	shapesAt time.Time
	// organisationBacklog is the same by organisation.
	organisationBacklog map[model.OrganisationID]*organisationBacklog
	// startsUnderWay are the start orders of this term without an answer yet.
	startsUnderWay int
	load           loadState
	replan         bool
	lastPlan       time.Time
	lastRoundTook  time.Duration
	// stopwatch tells how long rounds take. It stands still unless the loop sets it, so that a
	// transition depends on its events and clock alone.
	stopwatch func() time.Time
	// touched are the backend servers that the events of this step concern.
	touched       map[model.BackendServerID]*server
	lastFullCheck time.Time
	lastDrop      time.Time
	leaving       bool

	actions []Action
}

// NewState returns the state of a VM that has not read any records yet.
func NewState(self Identity, bounds Bounds, log *zap.Logger, metrics Counters) *State {
	s := &State{
		self:                self,
		bounds:              bounds,
		log:                 log,
		metrics:             metrics,
		replicated:          newReplicated(),
		servers:             make(map[model.BackendServerID]*server),
		tokens:              make(map[model.BackendServerID]int64),
		crashed:             make(map[model.BackendServerID]bool),
		advice:              make(map[string]*advice),
		backlog:             make(map[int]*priorityBacklog),
		organisationBacklog: make(map[model.OrganisationID]*organisationBacklog),
		nextOf:              make(map[Partition]int64),
		readAsOf:            make(map[Partition]time.Time),
		touched:             make(map[model.BackendServerID]*server),
		orphans:             make(map[string]int),
		turns:               make(map[model.JobID]turn),
		avoid:               make(map[job.GroupKey]map[model.BackendServerID]time.Time),
		stepRates:           make(map[job.GroupKey]*straggler.StepRates),
		paces:               newPaceState(),

		interference: interference.New(),
		evacuations:  evacuations{zones: make(map[model.AZ]*evacuation)},
	}
	s.stopwatch = func() time.Time { return s.now }
	s.role.namedSince, s.role.silentUntil, s.role.answersAsReplica = make(map[string]time.Time), make(map[string]time.Time), make(map[string]bool)
	s.resync()
	return s
}

// resync starts to rebuild the replicated state from the store, as far as this VM's role needs it.
func (s *State) resync() {
	s.generation++
	s.incoming = newReplicated()
	s.unsynced, s.begun = make(map[Partition]bool), make(map[Partition]bool)
	for _, p := range s.partitions() {
		s.unsynced[p] = true
	}
	s.emit(Resync{Generation: s.generation, Partitions: s.partitions()})
}

// synced reports whether all stored records have been read.
func (s *State) synced() bool { return s.incoming == nil }

// Step applies events and returns the resulting actions.
func (s *State) Step(events []Event, c Clock) []Action {
	s.previousStepAt, s.now, s.wall = s.now, c.Now, c.Wall
	if s.previousStepAt.IsZero() {
		s.previousStepAt, s.term.holderHeardAt, s.storeAnsweredAt = s.now, s.now, s.now
		s.role.since, s.role.heardAt = s.now, s.now
	}
	s.detectPause()
	s.observeLag(c.Lag)
	for _, e := range events {
		s.handle(e)
	}
	s.decide()
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
		s.serversListed(e)
	case ServersUnread:
		s.serversUnread(e.Err)
	case EvacuationsRead:
		s.evacuationsRead(e.Evacuations)
	case EvacuationsUnread:
		s.evacuationsUnread(e.Err)
	case AppendAnswered:
		s.appendAnswered(e)
	case SubmissionUnanswered:
		s.submissionUnanswered(e.Job)
	case ClaimAnswered:
		s.claimAnswered(e)
	case StartAnswered:
		s.startAnswered(e)
	case StopAnswered:
		s.stopAnswered(e)
	case HoldAnswered:
		s.holdAnswered(e)
	case HeartbeatReceived:
		s.handleHeartbeat(e.Heartbeat)
	case AdviceAnswered:
		s.adviceAnswered(e)
	case DrainStarted:
		s.leaving = true
		s.term.heartbeatSentAt = time.Time{} // the next heartbeat is due at once
		s.log.Info("planned stop begun", zap.Bool("holds_term", s.holdsTerm()))
	case QueryRequested:
		e.Query(s)
	case Ticked:
	}
}

// decide makes the decisions that follow from the events. It checks all backend servers
// once per fullCheckInterval, for what depends on time alone, and otherwise only those that
// events have touched.
func (s *State) decide() {
	s.superviseRole()
	s.superviseTerm()
	s.sendHeartbeats()
	s.relayHeartbeat()
	s.tellDoubts()
	if !s.holdsTerm() {
		return
	}
	due := s.touched
	if s.now.Sub(s.lastFullCheck) >= fullCheckInterval {
		s.lastFullCheck = s.now
		due = s.servers
		if s.now.Sub(s.lastDrop) >= dropInterval {
			s.lastDrop = s.now
			s.dropJobs()
			s.dropEarlyCancels()
		}
		s.reportAfterArrivals()
		s.reportEvacuations()
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

// touch marks a backend server to be checked at the end of the step.
func (s *State) touch(v *server) {
	s.touched[v.entry.ID] = v
	v.load = nil
}

// detectPause handles a pause of this VM's process: its knowledge of peers may be stale, so it
// waits a full holderTimeout for the holder's heartbeat before it claims the term.
func (s *State) detectPause() {
	gap := s.now.Sub(s.previousStepAt)
	if gap <= pauseThreshold {
		return
	}
	s.log.Warn("the process was paused", zap.Duration("gap", gap), zap.Bool("holds_term", s.holdsTerm()))
	s.term.holderHeardAt = s.now
	s.storeAnsweredAt = s.now
	s.role.heardAt = s.now
}

func (s *State) configChanged(c *Config) {
	if s.config != nil && c.Version <= s.config.Version {
		return
	}
	s.config = c
	s.replan = true
	s.log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)))
}
