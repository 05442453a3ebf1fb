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

// State is the control state of one VM. It is owned by one goroutine and changed only by
// Step.
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
	taskIndex map[model.BackendServerID]map[model.TaskID]taskRef
	localJobs map[model.JobID]*localJob
	outcomes  map[model.JobID]*outcome
	// openSince is when the attempts that are open in the log and have no gang were first seen so.
	openSince      map[model.AttemptID]time.Time
	pendingCancels map[model.JobID]string // entry IDs of cancellations not yet read back
	entries        map[string]*pendingEntry
	waiters        map[string][]waiter
	retryAt        map[model.JobID]time.Time // when a job may be placed again after an attempt that is to be retried
	// changedGangs holds the gangs to supervise in a step that does not visit all gangs.
	changedGangs map[model.JobID]bool
	placement    placementState
	drain        drainState

	syncedConfig  *config.Current // the configuration that servers was built from
	now           time.Time
	started       time.Time
	lastHeartbeat time.Time
	actions       []Action
	violations    int64
}

// logState is what the VM knows of the platform's log.
type logState struct {
	reachabilityKnown bool
	reachable         bool
	reachableSince    time.Time // when reachable last changed
	everRead          bool      // at least one read or snapshot was delivered
	firstOffset       int64     // the oldest offset kept; 0 when not known
}

// NewState returns the initial state of a VM. newID generates unique IDs.
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
		servers:        make(map[model.BackendServerID]*server),
		remotes:        make(map[model.AZ]*remoteZone),
		gangs:          make(map[model.JobID]*gang),
		taskIndex:      make(map[model.BackendServerID]map[model.TaskID]taskRef),
		localJobs:      make(map[model.JobID]*localJob),
		outcomes:       make(map[model.JobID]*outcome),
		pendingCancels: make(map[model.JobID]string),
		entries:        make(map[string]*pendingEntry),
		waiters:        make(map[string][]waiter),
		retryAt:        make(map[model.JobID]time.Time),
		changedGangs:   make(map[model.JobID]bool),
	}
}

const (
	// remoteTimeoutFactor extends the timeout for VMs of other availability zones: heartbeats
	// are sent to them in turns, so each is heard from less often.
	remoteTimeoutFactor = 10
	forgetPeer          = 2 * time.Minute // after which a silent VM is no longer tracked
)

// Step applies events at time now and returns the resulting actions. Decisions that
// depend on the whole state are made once, after the last event.
func (s *State) Step(events []Event, now time.Time) []Action {
	s.advanceClock(now)
	full := false
	for _, e := range events {
		s.handle(e)
		full = full || !hasLimitedScope(e)
	}
	s.makeDecisions(full)
	actions := s.actions
	s.actions = nil
	return actions
}

// advanceClock advances the clock. After a pause longer than HolderTimeout this VM steps down,
// since its authority as term holder has lapsed.
func (s *State) advanceClock(now time.Time) {
	if s.started.IsZero() {
		s.started = now
		s.log.reachableSince = now
		s.term.holderHeardAt = now
	} else if now.Sub(s.now) > s.settings.HolderTimeout {
		s.resumeAfterPause(now)
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
		s.log.firstOffset = max(s.log.firstOffset, e.First)
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
	case DecisionRequested:
		s.decisionRequested(e)
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
		s.abandonReply(e.Reply)
	case Ticked:
	}
}

// hasLimitedScope reports whether an event concerns only the gangs that it names. Most
// events are of this kind; decisions that depend on time wait for the next tick.
func hasLimitedScope(e Event) bool {
	switch e.(type) {
	case CommandAnswered, StatusAnswered, HeartbeatReceived:
		return true
	default:
		return false
	}
}

// makeDecisions makes the decisions that depend on the whole state. If full is set, it
// supervises all gangs, otherwise only the changed ones.
func (s *State) makeDecisions(full bool) {
	s.syncServers()
	s.sendHeartbeats()
	s.pollServers()
	s.superviseTerm()
	s.retryEntries()
	s.grantLocalPermits()
	s.recordOutcomes()
	s.expireWaiters()
	if s.acting() {
		s.schedule(full)
	}
	s.superviseDrain()
	s.flushCommands()
}

// schedule supervises the gangs of the availability zone and places pending jobs.
func (s *State) schedule(full bool) {
	s.superviseGangs(full)
	s.placeJobs()
	if !full {
		return
	}
	s.probeQuarantined()
	s.renewLeases()
	s.closeLostAttempts()
	s.moveJobs()
	s.appendSnapshot()
	s.checkInvariants()
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) reportViolation(v invariant.Violation) {
	s.violations++
	s.emit(ReportViolation{Violation: v})
}
