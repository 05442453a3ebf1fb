package control

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// maxDelivery is how long after its sender gave up a command may still arrive.
const maxDelivery = 30 * time.Second

// leased extends the bound on a member's life after an answered lease command.
func (s *State) leased(m *member) {
	m.proved = s.now
	m.until = s.now.Add(s.settings.Lease)
	if !m.doubted.IsZero() && s.now.Sub(m.doubted) < maxDelivery {
		m.until = m.until.Add(s.settings.Lease)
	}
}

// doubtful extends the bound after a lease command without an answer. Such a
// command has an effect only while the task still has its lease, so it arrives
// before the old bound, if at all.
func (s *State) doubtful(m *member) {
	m.doubted = s.now
	if m.until.Before(s.now) {
		m.until = s.now
	}
	m.until = m.until.Add(s.settings.Lease)
}

// memberAnswered follows up a backend server's answer about one task.
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
		s.leased(m)
	case ports.VerbCheckpoint:
		m.saved = true
	case ports.VerbStop:
		if state.Active() || state == "" {
			state = ports.TaskStopped
		}
	}
	s.memberChanged(g, m, state)
}

func (s *State) memberRefused(g *gang, m *member, verb ports.Verb, r ports.TaskResult) {
	ended := r.State
	if ended == "" || ended.Active() {
		ended = ports.TaskLeaseExpired
	}
	switch verb {
	case ports.VerbHold:
		m.state = ports.TaskStopped
		if r.Refused == ports.RefusedLeaving {
			s.setLeaving(s.servers[m.server], true)
		}
		s.stop(g, ending{result: replica.ResultRetry, reason: ReasonHoldRefused})
	case ports.VerbStart, ports.VerbRenew:
		if r.Refused == ports.RefusedNoTask {
			s.memberForgotten(g, m)
			return
		}
		s.memberChanged(g, m, ended)
	case ports.VerbCheckpoint:
		m.saved = true
	case ports.VerbStop:
		// A hold in doubt may arrive after the stop; its bound decides.
		if m.state == "" && s.now.Before(m.until) {
			return
		}
		if r.Refused == ports.RefusedNoTask {
			s.memberForgotten(g, m)
			return
		}
		s.memberChanged(g, m, ended)
	}
}

// memberUnanswered follows up a command whose answer was lost or that was not sent.
func (s *State) memberUnanswered(g *gang, m *member, verb ports.Verb, inDoubt bool) {
	if extendsLease(verb) && inDoubt {
		s.doubtful(m)
	}
	switch verb {
	case ports.VerbHold:
		s.stop(g, ending{result: replica.ResultRetry, reason: ReasonHoldRefused})
	case ports.VerbCheckpoint:
		m.saved = true
	}
}

// memberChanged takes a task's state and ends the gang when it can no longer be whole.
func (s *State) memberChanged(g *gang, m *member, state ports.TaskState) {
	if state == "" || m.state == state || m.ended() {
		return
	}
	m.state = state
	s.touched[g.job.ID] = true
	s.placement.dirty = true
	switch state {
	case ports.TaskFailed:
		s.taskFailed(g, m)
	case ports.TaskStopped, ports.TaskLeaseExpired:
		s.stop(g, ending{result: replica.ResultRetry, reason: ReasonMemberLost})
	case ports.TaskDone:
		s.taskSucceeded(g, m)
	}
}

// memberForgotten follows up a task that its backend server, restarted since, no
// longer knows.
func (s *State) memberForgotten(g *gang, m *member) {
	inDoubt := m.state == ports.TaskHeld && !m.doubted.IsZero()
	started := g.startSent && (m.state == ports.TaskRunning || inDoubt)
	m.forgotten = m.forgotten || started
	s.memberChanged(g, m, ports.TaskLeaseExpired)
}

// expireMembers stops a gang of which a member's lease may have lapsed or whose
// backend server is gone.
func (s *State) expireMembers(g *gang) {
	if g.phase == JobStopping {
		return
	}
	for _, m := range g.members {
		v := s.servers[m.server]
		lost := v == nil || v.gone || !s.now.Before(m.until)
		if m.state.Active() && lost {
			s.stop(g, ending{result: replica.ResultRetry, reason: ReasonServerLost})
			return
		}
	}
}

// lapsed reports whether a member certainly does not run, and has not run to its
// end unseen, although its backend server does not answer. Time alone tells so of a
// task that was never started; after a start only an idempotent job goes by time.
func (s *State) lapsed(g *gang, m *member) bool {
	v := s.servers[m.server]
	if v != nil && v.gone {
		return true
	}
	if s.now.Before(m.until) || m.leasing > 0 {
		return false
	}
	return v == nil || !g.startSent || g.job.Idempotent
}

// renew extends the leases of the gangs that are due, each as a whole: a gang with
// a member that is not known to be active is not renewed.
func (s *State) renew() {
	for _, id := range eventloop.SortedKeys(s.gangs) {
		g := s.gangs[id]
		if g.gathering || g.phase == JobStopping || s.now.Sub(g.renewed) < s.settings.RenewInterval {
			continue
		}
		if s.proved(g) {
			s.renewGang(g)
		}
	}
}

// proved reports whether every member was known to be active since the last
// renewal, and polls the backend servers of those that were not.
func (s *State) proved(g *gang) bool {
	ok := true
	for _, m := range g.members {
		if m.ended() {
			continue
		}
		if m.pending != "" {
			ok = false
			continue
		}
		if m.proved.Before(g.renewed) || !m.state.Active() {
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
			s.command(m, ports.TaskCommand{Verb: ports.VerbRenew, Task: m.task, Lease: s.settings.Lease})
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
			s.unexpected(id, r)
			continue
		}
		s.memberReported(g, m, r, e.Sent)
	}
	for _, task := range eventloop.SortedKeys(s.tasks[id]) {
		ref := s.tasks[id][task]
		m := ref.member
		if !listed[task] && m.state.Active() && m.pending == "" && e.Sent.After(m.sent) {
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
	m.proved = s.now
	if m.state == ports.TaskHeld || m.state == "" {
		s.memberChanged(g, m, r.State)
	}
}
