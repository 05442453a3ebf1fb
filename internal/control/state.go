package control

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// State is the control state of one VM. It is owned by one goroutine and changed
// by Step alone.
type State struct {
	self     Identity
	settings Settings
	newID    func() string
	policy   placement.Policy
	replica  *replica.State
	peers    *membership.Table

	log       logState
	term      termState
	servers   map[model.BackendServerID]*server
	remotes   map[model.AZ]*remoteZone
	backends  backendsView
	serverIDs []model.BackendServerID // the keys of servers, sorted
	gangs     map[model.JobID]*gang
	tasks     map[model.BackendServerID]map[model.TaskID]taskRef
	local     map[model.JobID]*localJob
	outcomes  map[model.JobID]*outcome
	cancels   map[model.JobID]string // entry IDs of cancellations that are not read back
	entries   map[string]*pendingEntry
	waiters   map[string][]waiter
	delayed   map[model.JobID]time.Time // a refused gang is not placed before
	// touched holds the gangs to supervise in a step that does not go through all.
	touched   map[model.JobID]bool
	placement placementState
	drain     drainState

	synced        *config.Current // the configuration that servers follows
	now           time.Time
	started       time.Time
	lastHeartbeat time.Time
	actions       []Action
	violations    int64
}

// logState is what the VM knows of the platform's log.
type logState struct {
	known     bool
	reachable bool
	since     time.Time
	read      bool  // something was delivered
	first     int64 // the oldest offset kept; 0 when not known
}

// NewState returns the state of a VM that has seen nothing yet. newID makes unique IDs.
func NewState(self Identity, settings Settings, r *replica.State, policy placement.Policy, newID func() string) *State {
	return &State{
		self:     self,
		settings: settings,
		newID:    newID,
		policy:   policy,
		replica:  r,
		peers: membership.NewTable(self.Address, self.AZ, membership.Settings{
			Timeout:       settings.HolderTimeout,
			RemoteTimeout: remoteTimeoutFactor * settings.HolderTimeout,
			ForgetAfter:   forgetPeer,
		}),
		servers:  make(map[model.BackendServerID]*server),
		remotes:  make(map[model.AZ]*remoteZone),
		gangs:    make(map[model.JobID]*gang),
		tasks:    make(map[model.BackendServerID]map[model.TaskID]taskRef),
		local:    make(map[model.JobID]*localJob),
		outcomes: make(map[model.JobID]*outcome),
		cancels:  make(map[model.JobID]string),
		entries:  make(map[string]*pendingEntry),
		waiters:  make(map[string][]waiter),
		delayed:  make(map[model.JobID]time.Time),
		touched:  make(map[model.JobID]bool),
	}
}

const (
	// remoteTimeoutFactor allows for the turns in which VMs of other availability
	// zones are sent heartbeats.
	remoteTimeoutFactor = 10
	forgetPeer          = 2 * time.Minute
)

// Step applies events at time now and returns the actions that follow. Decisions
// that depend on the whole state are made once, after the last event.
func (s *State) Step(events []Event, now time.Time) []Action {
	s.advance(now)
	full := false
	for _, e := range events {
		s.handle(e)
		full = full || !isAnswer(e)
	}
	s.settle(full)
	actions := s.actions
	s.actions = nil
	return actions
}

// advance moves the clock and drops the authority that lapsed during a pause.
func (s *State) advance(now time.Time) {
	if s.started.IsZero() {
		s.started = now
		s.log.since = now
		s.term.heard = now
	} else if now.Sub(s.now) > s.settings.HolderTimeout {
		s.pauseEnded(now)
	}
	s.now = now
}

func (s *State) handle(e Event) {
	switch e := e.(type) {
	case EntriesRead:
		s.entriesRead(e)
	case SnapshotRead:
		s.snapshotRead(e)
	case LogReachable:
		s.logReachable(e.OK)
	case LogTrimmed:
		s.log.first = max(s.log.first, e.First)
	case EntryAppended:
		s.entryAppended(e)
	case CommandAnswered:
		s.commandAnswered(e)
	case StatusAnswered:
		s.statusAnswered(e)
	case HeartbeatReceived:
		s.heartbeatReceived(e.Heartbeat)
	case VMsListed:
		s.vmsListed(e)
	case JobSubmitted:
		s.jobSubmitted(e)
	case JobsCancelled:
		s.jobsCancelled(e)
	case ChangePublished:
		s.changePublished(e)
	case DecisionAsked:
		s.decisionAsked(e)
	case JobOffered:
		s.jobOffered(e)
	case OfferAnswered:
		s.offerAnswered(e)
	case TermOffered:
		s.termOffered(e)
	case TermOfferAnswered:
		s.termOfferAnswered(e)
	case DrainRequested:
		s.drainRequested(e)
	case ReplyAbandoned:
		s.abandon(e.Reply)
	case Ticked:
	}
}

// isAnswer reports whether an event concerns only the gangs that it touches. These
// are the many; what depends on time waits for the next tick.
func isAnswer(e Event) bool {
	switch e.(type) {
	case CommandAnswered, StatusAnswered, HeartbeatReceived:
		return true
	default:
		return false
	}
}

// settle makes the decisions that depend on the whole state; full tells to go
// through all gangs.
func (s *State) settle(full bool) {
	s.syncServers()
	s.heartbeat()
	s.pollServers()
	s.superviseTerm()
	s.retryEntries()
	s.grantLocal()
	s.recordOutcomes()
	s.expireWaiters()
	if s.acting() {
		s.schedule(full)
	}
	s.superviseDrain()
	s.flushCommands()
}

// schedule moves the gangs of the availability zone on.
func (s *State) schedule(full bool) {
	s.superviseGangs(full)
	s.place()
	if !full {
		return
	}
	s.probeQuarantined()
	s.renew()
	s.closeLostAttempts()
	s.moveJobs()
	s.snapshot()
	s.checkInvariants()
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) violated(v invariant.Violation) {
	s.violations++
	s.emit(Report{Violation: v})
}
