package control

import (
	"fmt"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

type replicaTerm = replica.Term

// permit is the state of a gang's start permit, the right to start one attempt of its job.
type permit int

const (
	permitClaimed permit = iota // claim submitted to the log, not read back
	permitGranted               // the gang may start
)

// gang is one attempt to run a job, as its term holder sees it.
type gang struct {
	job      model.Job
	attempt  model.AttemptID
	number   int // of the attempt, counted from 1 for each job
	permit   permit
	claimID  string // entry ID of the claim; empty for a permit without one
	phase    JobState
	since    time.Time // when phase was entered
	members  []*member
	borrowed bool
	started  time.Time
	// startSent is set once any member may have been told to start.
	startSent  bool
	checkpoint string
	renewed    time.Time // when the leases were last renewed
	ending     ending
	adopted    bool // taken over: another VM, or this one in an earlier term, started it
	// recovering is set while it is not known whether all members of a gang that was taken over
	// have been found.
	recovering bool
	// size is the number of members of the complete gang.
	size int
}

// ending says how and why a gang ends.
type ending struct {
	final    bool
	result   replica.JobResult
	reason   model.Reason
	failedOn []model.BackendServerID
}

// member is one task of a gang.
type member struct {
	task         model.TaskID
	server       model.BackendServerID
	accelerators int
	state        ports.TaskState // empty: not held
	forgotten    bool            // started, but its backend server no longer knows it
	pending      ports.Verb      // latest command, while it has no answer
	sent         time.Time       // when the latest command was queued
	answered     time.Time       // when a command last was answered or failed
	// expiresBy is the time after which the task certainly does not run, even if commands
	// without an answer took effect.
	expiresBy time.Time
	// unansweredLeases counts the commands without an answer that grant or extend the lease.
	unansweredLeases int
	// leasesInDoubt is when the calls of such commands failed without an answer, as far as they may
	// still arrive; leaseWasInDoubt is set once any did.
	leasesInDoubt   []time.Time
	leaseWasInDoubt bool
	// lastActive is when the task was last known to be active.
	lastActive time.Time
	checkpoint string
	// checkpointResolved is set once a checkpoint command was answered, was refused or got no
	// answer; the stop of the gang no longer waits for it.
	checkpointResolved bool
}

// ended reports whether the member is known to occupy no accelerators.
func (m *member) ended() bool {
	return m.state != "" && !m.state.Active()
}

// newGang creates a gang from a placement decision.
func (s *State) newGang(job model.Job, attempt model.AttemptID, number int, members []placement.Member) *gang {
	g := &gang{job: job, attempt: attempt, number: number, phase: JobHolding, since: s.now, renewed: s.now, size: len(members)}
	prefix := s.newID()
	for i, p := range members {
		s.addMember(g, &member{
			task:         model.TaskID(fmt.Sprintf("%s-%d", prefix, i)),
			server:       p.Server,
			accelerators: p.Accelerators,
		})
	}
	s.gangs[job.ID] = g
	return g
}

func (s *State) addMember(g *gang, m *member) {
	g.members = append(g.members, m)
	s.indexMember(g, m)
}

// taskRef refers to a task's gang and member.
type taskRef struct {
	gang   *gang
	member *member
}

func (s *State) indexMember(g *gang, m *member) {
	tasks := s.taskIndex[m.server]
	if tasks == nil {
		tasks = make(map[model.TaskID]taskRef)
		s.taskIndex[m.server] = tasks
	}
	tasks[m.task] = taskRef{gang: g, member: m}
}

func (s *State) findMember(id model.BackendServerID, task model.TaskID) (*gang, *member) {
	ref := s.taskIndex[id][task]
	return ref.gang, ref.member
}

func (s *State) setPhase(g *gang, phase JobState) {
	g.phase = phase
	g.since = s.now
	s.changedGangs[g.job.ID] = true
	s.placement.dirty = true
}

// superviseGangs advances gangs as far as the states of their members allow: all gangs, or
// only the changed ones.
func (s *State) superviseGangs(full bool) {
	ids := eventloop.SortedKeys(s.changedGangs)
	if full {
		ids = eventloop.SortedKeys(s.gangs)
	}
	clear(s.changedGangs)
	for _, id := range ids {
		if g := s.gangs[id]; g != nil {
			s.superviseGang(g)
		}
	}
}

func (s *State) superviseGang(g *gang) {
	s.expireMembers(g)
	if g.recovering {
		s.superviseRecovering(g)
		return
	}
	if g.phase != JobStopping && s.cancelled(g.job.ID) {
		s.stopCancelled(g.job.ID)
	}
	switch g.phase {
	case JobHolding:
		s.superviseHolding(g)
	case JobStarting:
		s.superviseStarting(g)
	case JobRunning:
		s.superviseRunning(g)
	case JobCheckpointing:
		s.superviseCheckpoint(g)
	case JobStopping:
		s.superviseStopping(g)
	}
}

// holdGang asks every member's backend server to reserve accelerators.
func (s *State) holdGang(g *gang) {
	s.checkNoNewWorkOnLeaving(g)
	for _, m := range g.members {
		s.commandMember(m, ports.TaskCommand{
			Verb:         ports.VerbHold,
			Task:         m.task,
			Job:          g.job.ID,
			Attempt:      g.attempt,
			Organisation: g.job.Organisation,
			Accelerators: m.accelerators,
			Members:      len(g.members),
			Lease:        s.settings.Lease,
			Payload:      g.job.Payload,
			Checkpoint:   g.checkpoint,
		})
	}
}

// commandMember queues a command for a member.
func (s *State) commandMember(m *member, c ports.TaskCommand) {
	m.pending = c.Verb
	m.sent = s.now
	if extendsLease(c.Verb) {
		m.unansweredLeases++
	}
	s.queueCommand(m.server, c)
}

func (s *State) superviseHolding(g *gang) {
	if !allMembers(g, func(m *member) bool { return m.state == ports.TaskHeld }) {
		return
	}
	if g.permit != permitGranted {
		return
	}
	s.setPhase(g, JobStarting)
	g.startSent = true
	g.started = s.now
	for _, m := range g.members {
		s.startMember(m)
	}
}

func (s *State) startMember(m *member) {
	s.commandMember(m, ports.TaskCommand{Verb: ports.VerbStart, Task: m.task, Lease: s.settings.Lease})
}

func (s *State) superviseStarting(g *gang) {
	for _, m := range g.members {
		if m.state == ports.TaskHeld && m.pending == "" {
			s.startMember(m)
		}
	}
	if allMembers(g, func(m *member) bool { return m.state == ports.TaskRunning || m.state == ports.TaskDone }) {
		s.setPhase(g, JobRunning)
		g.renewed = s.now
	}
}

func (s *State) superviseRunning(g *gang) {
	if allMembers(g, isDone) {
		s.finishGang(g, ending{final: true, result: replica.ResultDone})
		return
	}
	for _, m := range g.members {
		if v := s.servers[m.server]; v != nil && v.leaving && !m.ended() {
			s.evictGang(g, ReasonServerLeaving)
			return
		}
	}
}

// evictGang checkpoints and stops a gang so that it can run again elsewhere.
func (s *State) evictGang(g *gang, reason model.Reason) {
	if g.phase != JobRunning {
		s.stopGang(g, ending{result: replica.ResultRetry, reason: reason})
		return
	}
	g.ending = ending{result: replica.ResultRetry, reason: reason}
	s.setPhase(g, JobCheckpointing)
	for _, m := range g.members {
		if !m.ended() {
			s.commandMember(m, ports.TaskCommand{Verb: ports.VerbCheckpoint, Task: m.task})
		}
	}
}

func (s *State) superviseCheckpoint(g *gang) {
	resolved := allMembers(g, func(m *member) bool { return m.checkpointResolved || m.ended() })
	if resolved || s.now.Sub(g.since) >= s.settings.CheckpointTimeout {
		s.stopGang(g, g.ending)
	}
}

// stopGang stops every member. The gang is finished when all have certainly ended.
func (s *State) stopGang(g *gang, why ending) {
	if g.phase == JobStopping {
		if why.final && !g.ending.final {
			g.ending = why
		}
		return
	}
	g.ending = why
	s.setPhase(g, JobStopping)
	for _, m := range g.members {
		s.stopMember(m)
	}
}

func (s *State) stopMember(m *member) {
	if !m.ended() {
		s.commandMember(m, ports.TaskCommand{Verb: ports.VerbStop, Task: m.task})
	}
}

func isDone(m *member) bool { return m.state == ports.TaskDone }

// superviseStopping waits until every member has ended. If all members turn out to be done,
// the job is recorded as done, whatever the reason for the stop.
func (s *State) superviseStopping(g *gang) {
	if len(g.members) == g.size && allMembers(g, isDone) {
		s.finishGang(g, ending{final: true, result: replica.ResultDone})
		return
	}
	if allMembers(g, func(m *member) bool { return m.ended() || s.certainlyEnded(g, m) }) {
		s.finishGang(g, s.finalEnding(g))
		return
	}
	for _, m := range g.members {
		if m.pending == "" && s.now.Sub(m.sent) >= s.settings.CommandTimeout {
			s.stopMember(m)
		}
	}
}

// finalEnding returns how a stopped gang ends. A gang of which every member is done or was
// forgotten by a restarted backend server may have run to its end: a job that must not run
// twice is then not retried.
func (s *State) finalEnding(g *gang) ending {
	if g.ending.final || g.job.Idempotent {
		return g.ending
	}
	if len(g.members) != g.size && !s.missingForgotten(g) {
		return g.ending
	}
	if !allMembers(g, func(m *member) bool { return m.forgotten || isDone(m) }) {
		return g.ending
	}
	return ending{final: true, result: replica.ResultFailed, reason: ReasonMayHaveRun}
}

// missingForgotten reports whether the members that were not found when a gang was taken over may have
// run on a backend server that has started again since.
func (s *State) missingForgotten(g *gang) bool {
	j := s.replica.Job(g.job.ID)
	if j == nil || j.Attempt.ID != g.attempt || len(g.members) > g.size {
		return false
	}
	return len(s.restartedSinceClaim(j)) > 0
}

// finishGang removes a gang whose members have all ended and records the outcome.
func (s *State) finishGang(g *gang, why ending) {
	delete(s.gangs, g.job.ID)
	for _, m := range g.members {
		delete(s.taskIndex[m.server], m.task)
	}
	s.placement.dirty = true
	if why.result == replica.ResultRetry {
		s.retryAt[g.job.ID] = s.now.Add(s.retryDelay(g, why))
	}
	s.recordOutcome(g, why)
}

// retryDelay returns the delay before the next attempt. It doubles with each attempt of a
// job that fails.
func (s *State) retryDelay(g *gang, why ending) time.Duration {
	if len(why.failedOn) == 0 {
		return s.settings.RetryDelay
	}
	return s.settings.RetryDelay << min(g.number, maxRetryDoublings)
}

// maxRetryDoublings limits the delay of a job that fails.
const maxRetryDoublings = 7

func allMembers(g *gang, ok func(*member) bool) bool {
	for _, m := range g.members {
		if !ok(m) {
			return false
		}
	}
	return true
}
