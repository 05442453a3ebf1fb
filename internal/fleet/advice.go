package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

const (
	maxAdviceServers   = 30                     // per call; the policy's answer time grows with their number
	adviceRetry        = 500 * time.Millisecond // delay after a failed call, or when no backend server is left to ask about
	adviceExpiryMargin = 500 * time.Millisecond // tickets are not used in the last part of their validity
)

// advice holds the policy's answers for a step: the tickets and the backend servers that
// may run its tasks.
type advice struct {
	inFlight bool
	retryAt  time.Time
	expires  time.Time
	tickets  map[model.BackendServerID]string
	allowed  map[model.BackendServerID]bool
	asked    map[model.BackendServerID]bool
}

// applyAdvice restricts a pending step to the backend servers that the policy allows, and
// asks the policy about more if it has allowed too few. It returns false while no valid
// answer is known, so that the step has to wait.
func (s *State) applyAdvice(p *sched.PendingStep, g *job.Group) bool {
	key := g.Key().String()
	a := s.advice[key]
	if a == nil {
		a = &advice{asked: make(map[model.BackendServerID]bool)}
		s.advice[key] = a
	}
	valid := len(a.allowed) > 0 && s.now.Before(a.expires)
	if !a.inFlight && !s.now.Before(a.retryAt) && (!valid || len(a.allowed) < len(p.Tasks)) {
		s.requestAdvice(a, key, p)
	}
	p.Advised = a.allowed
	return valid
}

func (s *State) requestAdvice(a *advice, key string, p *sched.PendingStep) {
	var ask []model.BackendServerID
	for _, id := range eventloop.SortedKeys(s.servers) {
		v := s.servers[id]
		if len(ask) < maxAdviceServers && s.usable(v) && v.entry.Service == p.Service && !a.asked[id] {
			ask = append(ask, id)
		}
	}
	if len(ask) == 0 {
		a.asked = make(map[model.BackendServerID]bool) // all were asked about; start over, since tickets expire
		a.retryAt = s.now.Add(adviceRetry)
		return
	}
	a.inFlight = true
	s.emit(RequestAdvice{Step: key, Servers: ask})
}

func (s *State) adviceAnswered(e AdviceAnswered) {
	a := s.advice[e.Step]
	if a == nil {
		return
	}
	a.inFlight = false
	if e.Err != nil {
		a.retryAt = s.now.Add(adviceRetry)
		s.log.Info("advice request to the policy failed", zap.String("step", e.Step), zap.Error(e.Err))
		return
	}
	if a.tickets == nil || !s.now.Before(a.expires) {
		a.tickets = make(map[model.BackendServerID]string)
		a.allowed = make(map[model.BackendServerID]bool)
	}
	for _, id := range e.Asked {
		a.asked[id] = true
	}
	for id, ticket := range e.Tickets {
		a.tickets[id] = ticket
		a.allowed[id] = true
	}
	a.expires = s.now.Add(e.Valid - adviceExpiryMargin)
	s.replan = true
}

// ticketFor returns the policy's ticket for a run; empty if none is needed.
func (s *State) ticketFor(r *run) string {
	if a := s.advice[r.group.Key().String()]; a != nil {
		return a.tickets[r.server]
	}
	return ""
}
