package control

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// maxDeliveryDelay is how long a command may still arrive after its sender gave up on it.
const maxDeliveryDelay = 30 * time.Second

// leaseAnswered updates expiresBy after an answered command that grants or extends the lease.
func (s *State) leaseAnswered(m *member) {
	m.lastActive = s.now
	m.expiresBy = s.now.Add(s.settings.Lease)
	// Each earlier command without an answer may still arrive, and extend the lease once more.
	s.forgetOldLeases(m)
	m.expiresBy = m.expiresBy.Add(time.Duration(len(m.leasesInDoubt)) * s.settings.Lease)
}

// forgetOldLeases removes the commands in doubt that can no longer arrive.
func (s *State) forgetOldLeases(m *member) {
	m.leasesInDoubt = slices.DeleteFunc(m.leasesInDoubt, func(at time.Time) bool { return s.now.Sub(at) >= maxDeliveryDelay })
}

// leaseInDoubt extends expiresBy after a command that grants or extends the lease was left
// without an answer. The command has an effect only while the task still has its lease, so it
// takes effect before the old expiresBy, if at all.
func (s *State) leaseInDoubt(m *member) {
	m.leaseWasInDoubt = true
	s.forgetOldLeases(m)
	m.leasesInDoubt = append(m.leasesInDoubt, s.now)
	if m.expiresBy.Before(s.now) {
		m.expiresBy = s.now
	}
	m.expiresBy = m.expiresBy.Add(s.settings.Lease)
}

// memberAnswered handles a backend server's answer about one task.
func (s *State) memberAnswered(g *gang, m *member, verb ports.Verb, r ports.TaskResult) {
	if r.Refused != "" {
		s.memberRefused(g, m, verb, r)
		return
	}
	if r.Checkpoint != "" {
		m.checkpoint = r.Checkpoint
	}
	state := r.State
	switch verb {
	case ports.VerbHold, ports.VerbStart, ports.VerbRenew:
		s.leaseAnswered(m)
	case ports.VerbCheckpoint:
		m.checkpointResolved = true
	case ports.VerbStop:
		if state.Active() || state == "" {
			state = ports.TaskStopped
		}
	}
	s.memberChanged(g, m, state)
}

func (s *State) memberRefused(g *gang, m *member, verb ports.Verb, r ports.TaskResult) {
	ended := r.State
	if ended == "" {
		ended = ports.TaskLeaseExpired
	}
	if r.State.Active() && verb != ports.VerbHold && verb != ports.VerbCheckpoint {
		// The backend server still has the task: it ends by a stop that takes effect, or with its lease.
		s.stopGang(g, ending{result: replica.ResultRetry, reason: ReasonMemberLost})
		return
	}
	switch verb {
	case ports.VerbHold:
		m.state = ports.TaskStopped
		if v := s.servers[m.server]; v != nil && r.Refused == ports.RefusedLeaving {
			s.setLeaving(v, true)
		}
		s.stopGang(g, ending{result: replica.ResultRetry, reason: ReasonHoldRefused})
	case ports.VerbStart, ports.VerbRenew:
		if r.Refused == ports.RefusedNoTask {
			s.memberForgotten(g, m)
			return
		}
		s.memberChanged(g, m, ended)
	case ports.VerbCheckpoint:
		m.checkpointResolved = true
	case ports.VerbStop:
		// A hold in doubt may arrive after the stop; the member counts as ended only after expiresBy.
		if m.state == "" && s.now.Before(m.expiresBy) {
			return
		}
		if r.Refused == ports.RefusedNoTask {
			s.memberForgotten(g, m)
			return
		}
		s.memberChanged(g, m, ended)
	}
}

// memberUnanswered handles a command whose answer was lost or that was not sent.
func (s *State) memberUnanswered(g *gang, m *member, verb ports.Verb, inDoubt bool) {
	if extendsLease(verb) && inDoubt {
		s.leaseInDoubt(m)
	}
	switch verb {
	case ports.VerbHold:
		s.stopGang(g, ending{result: replica.ResultRetry, reason: ReasonHoldRefused})
	case ports.VerbCheckpoint:
		m.checkpointResolved = true
	}
}

// memberChanged applies a task's new state and stops the gang if the member ended early.
func (s *State) memberChanged(g *gang, m *member, state ports.TaskState) {
	if state == "" || m.state == state || m.ended() {
		return
	}
	m.state = state
	s.changedGangs[g.job.ID] = true
	s.placement.dirty = true
	switch state {
	case ports.TaskFailed:
		s.taskFailed(g, m)
	case ports.TaskStopped, ports.TaskLeaseExpired:
		s.stopGang(g, ending{result: replica.ResultRetry, reason: ReasonMemberLost})
	case ports.TaskDone:
		s.taskSucceeded(g, m)
	}
}

// memberForgotten handles a task that its backend server no longer knows after a restart.
func (s *State) memberForgotten(g *gang, m *member) {
	inDoubt := m.state == ports.TaskHeld && m.leaseWasInDoubt
	started := g.startSent && (m.state == ports.TaskRunning || inDoubt)
	m.forgotten = m.forgotten || started
	s.memberChanged(g, m, ports.TaskLeaseExpired)
}

// expireMembers stops a gang with an active member whose lease has lapsed or whose backend
// server is gone.
func (s *State) expireMembers(g *gang) {
	if g.phase == JobStopping {
		return
	}
	for _, m := range g.members {
		v := s.servers[m.server]
		lost := v == nil || v.gone || !s.now.Before(m.expiresBy)
		if m.state.Active() && lost {
			s.stopGang(g, ending{result: replica.ResultRetry, reason: ReasonServerLost})
			return
		}
	}
}

// certainlyEnded reports whether a member whose backend server does not answer certainly does
// not run and cannot have run to its end unnoticed. A server that is gone is proof enough. The
// end of the lease is so for a task that was never started; after a start it is so only for an
// idempotent job, or if the server is no longer configured.
func (s *State) certainlyEnded(g *gang, m *member) bool {
	v := s.servers[m.server]
	if v != nil && v.gone {
		return true
	}
	if s.now.Before(m.expiresBy) || m.unansweredLeases > 0 {
		return false
	}
	return v == nil || !g.startSent || g.job.Idempotent
}

// renewLeases extends the leases of the gangs that are due, for all members of a gang or none: a
// gang with a member that is not known to be active is not renewed.
func (s *State) renewLeases() {
	for _, id := range eventloop.SortedKeys(s.gangs) {
		g := s.gangs[id]
		if g.recovering || g.phase == JobStopping || s.now.Sub(g.renewed) < s.settings.RenewInterval {
			continue
		}
		if s.confirmedActive(g) {
			s.renewGang(g)
		}
	}
}

// confirmedActive reports whether every member that has not ended was known to be active since
// the last renewal, and polls the backend servers of those that were not.
func (s *State) confirmedActive(g *gang) bool {
	ok := true
	for _, m := range g.members {
		if m.ended() {
			continue
		}
		if m.pending != "" {
			ok = false
			continue
		}
		if m.lastActive.Before(g.renewed) || !m.state.Active() {
			ok = false
			if v := s.servers[m.server]; v != nil {
				v.pollNow = true
			}
		}
	}
	return ok
}

func (s *State) renewGang(g *gang) {
	g.renewed = s.now
	for _, m := range g.members {
		if !m.ended() {
			s.commandMember(m, ports.TaskCommand{Verb: ports.VerbRenew, Task: m.task, Lease: s.settings.Lease})
		}
	}
}

// reconcile compares a backend server's report with what this VM expects.
func (s *State) reconcile(id model.BackendServerID, v *server, e StatusAnswered) {
	listed := make(map[model.TaskID]bool, len(v.tasks))
	for _, r := range v.tasks {
		listed[r.Task] = true
		g, m := s.findMember(id, r.Task)
		if g == nil {
			s.handleUnknownTask(id, r)
			continue
		}
		s.memberReported(g, m, r, e.Sent)
	}
	for _, task := range eventloop.SortedKeys(s.taskIndex[id]) {
		ref := s.taskIndex[id][task]
		m := ref.member
		if !listed[task] && m.state.Active() && m.pending == "" && e.Sent.After(m.sent) && e.Sent.After(m.answered) {
			s.memberForgotten(ref.gang, m)
		}
	}
}

func (s *State) memberReported(g *gang, m *member, r ports.TaskReport, sent time.Time) {
	if r.Checkpoint != "" {
		m.checkpoint = r.Checkpoint
	}
	if !r.State.Active() {
		s.memberChanged(g, m, r.State)
		return
	}
	if m.pending != "" || !sent.After(m.sent) {
		return
	}
	if m.state == "" && g.phase != JobStopping {
		return
	}
	m.lastActive = s.now
	if m.state == ports.TaskHeld || m.state == "" {
		s.memberChanged(g, m, r.State)
	}
}
