package ports

import (
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// sendsKept is how long the time of a send is remembered whose outcome stays open.
const sendsKept = 15 * time.Minute

// sends remembers when the requests without a definite answer were first sent. It
// is safe for concurrent use.
type sends struct {
	mu    sync.Mutex
	first map[model.RequestID]time.Time
	swept time.Time
}

// begin notes that a request is about to be sent.
func (s *sends) begin(id model.RequestID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first == nil {
		s.first = make(map[model.RequestID]time.Time)
	}
	s.sweep(now)
	if _, ok := s.first[id]; !ok {
		s.first[id] = now
	}
}

// end forgets a request whose answer is definite.
func (s *sends) end(id model.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.first, id)
}

// covers reports whether the other side, which at a time said that it had
// remembered requests for a while, has done so since before the request was sent.
func (s *sends) covers(id model.RequestID, kept time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.first[id]
	return ok && !now.Add(-kept).After(first)
}

// sweep forgets old sends, at most once in sendsKept.
func (s *sends) sweep(now time.Time) {
	if now.Sub(s.swept) < sendsKept {
		return
	}
	s.swept = now
	for id, first := range s.first {
		if now.Sub(first) > sendsKept {
			delete(s.first, id)
		}
	}
}
