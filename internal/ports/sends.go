package ports

import (
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// sendTimeRetention is how long the send time of a request without a definite answer is kept.
const sendTimeRetention = 15 * time.Minute

// sendTimes records when requests without a definite answer were first sent. It is
// safe for concurrent use.
type sendTimes struct {
	mu        sync.Mutex
	firstSent map[model.RequestID]time.Time
	lastSweep time.Time
}

// add records that a request is about to be sent.
func (s *sendTimes) add(id model.RequestID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstSent == nil {
		s.firstSent = make(map[model.RequestID]time.Time)
	}
	s.sweep(now)
	if _, ok := s.firstSent[id]; !ok {
		s.firstSent[id] = now
	}
}

// remove deletes a request that has a definite answer.
func (s *sendTimes) remove(id model.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.firstSent, id)
}

// sentWithin reports whether the request was first sent at most period before now. It
// returns false if the send time is not known.
func (s *sendTimes) sentWithin(id model.RequestID, period time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.firstSent[id]
	return ok && !now.Add(-period).After(first)
}

// sweep deletes expired send times. It runs at most once per sendTimeRetention.
func (s *sendTimes) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sendTimeRetention {
		return
	}
	s.lastSweep = now
	for id, first := range s.firstSent {
		if now.Sub(first) > sendTimeRetention {
			delete(s.firstSent, id)
		}
	}
}
