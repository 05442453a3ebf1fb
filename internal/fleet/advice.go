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
	adviceServers = 30                     // named in one call; its answer time grows with them
	adviceRetry   = 500 * time.Millisecond // after a call that failed
	adviceMargin  = 500 * time.Millisecond // before a ticket lapses
)

// advice is what the policy said of a step.
type advice struct {
	asking  bool
	retryAt time.Time
	expires time.Time
	tickets map[model.BackendServerID]string
	allowed map[model.BackendServerID]bool
	asked   map[model.BackendServerID]bool
}

// addAdvice limits a want to the backend servers that the policy allows, and asks the
// policy when that is not known. It returns false while the step has to wait.
func (s *State) addAdvice(w *sched.PendingStep, g *job.Group) bool {
	key := g.Key().String()
	a := s.advice[key]
	if a == nil {
		a = &advice{asked: make(map[model.BackendServerID]bool)}
		s.advice[key] = a
	}
	valid := len(a.allowed) > 0 && s.now.Before(a.expires)
	if !a.asking && !s.now.Before(a.retryAt) && (!valid || len(a.allowed) < len(w.Tasks)) {
		s.askAdvice(a, key, w)
	}
	w.Advised = a.allowed
	return valid
}

func (s *State) askAdvice(a *advice, key string, w *sched.PendingStep) {
	var ask []model.BackendServerID
	for _, id := range eventloop.SortedKeys(s.servers) {
		v := s.servers[id]
		if len(ask) < adviceServers && s.usable(v) && v.entry.Service == w.Service && !a.asked[id] {
			ask = append(ask, id)
		}
	}
	if len(ask) == 0 {
		a.asked = make(map[model.BackendServerID]bool) // all were asked; their tickets lapse
		a.retryAt = s.now.Add(adviceRetry)
		return
	}
	a.asking = true
	s.emit(AskAdvice{Step: key, Servers: ask})
}

func (s *State) adviceAnswered(e AdviceAnswered) {
	a := s.advice[e.Step]
	if a == nil {
		return
	}
	a.asking = false
	if e.Err != nil {
		a.retryAt = s.now.Add(adviceRetry)
		s.log.Info("no advice", zap.String("step", e.Step), zap.Error(e.Err))
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
	a.expires = s.now.Add(e.Valid - adviceMargin)
	s.replan = true
}

// ticketFor returns the policy's ticket for a run, or nothing when none is needed.
func (s *State) ticketFor(r *run) string {
	if a := s.advice[r.group.Key().String()]; a != nil {
		return a.tickets[r.server]
	}
	return ""
}
