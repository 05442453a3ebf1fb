// Package standin plays the platform and a backend server in tests and the demo:
// it keeps its state in memory, fails on command, and records what it did, so that
// a test can compare the record with what callers were told.
package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Silence says when a call goes unanswered for good.
type Silence string

// The kinds of silence.
const (
	SilentNever  Silence = ""
	SilentBefore Silence = "before" // the call has no effect
	SilentAfter  Silence = "after"  // the call takes effect
)

// Fault is a set of failures that a stand-in shows until the next one is set. The
// zero value is a healthy stand-in.
type Fault struct {
	// Down closes each connection before the call has an effect.
	Down bool `json:"down,omitempty"`
	// SlowMS delays each call before its effect, in milliseconds. The effect comes
	// also when the caller is gone by then.
	SlowMS int `json:"slowMS,omitempty"`
	// AnswerLost closes the connection after the effect, without an answer.
	AnswerLost bool `json:"answerLost,omitempty"`
	// Silent leaves the connection open and the call unanswered.
	Silent Silence `json:"silent,omitempty"`
	// Refuse answers each call with status 503 and no effect.
	Refuse bool `json:"refuse,omitempty"`
	// Freeze holds each call until the next fault is set; it takes effect then.
	Freeze bool `json:"freeze,omitempty"`
	// Paths limits the faults above to calls whose path starts with one of these;
	// empty means every call.
	Paths []string `json:"paths,omitempty"`
	// Times limits the faults above to this number of calls; 0 means no limit.
	Times int `json:"times,omitempty"`

	// Restart makes a backend server start anew, once: connections are cut, and it
	// forgets its tasks and requests, which stay in its record.
	Restart bool `json:"restart,omitempty"`
	// FailAll makes a backend server fail each task and request that it runs.
	FailAll bool `json:"failAll,omitempty"`
	// Leaving makes a backend server report that it leaves and refuse new work.
	Leaving bool `json:"leaving,omitempty"`
	// LeavingAccepts makes a leaving backend server take new work all the same.
	LeavingAccepts bool `json:"leavingAccepts,omitempty"`
	// ListLagMS is the age of the VM list that the platform shows, in milliseconds.
	ListLagMS int `json:"listLagMS,omitempty"`
}

// affects reports whether the call faults apply to a path.
func (f Fault) affects(path string) bool {
	if len(f.Paths) == 0 {
		return true
	}
	return slices.ContainsFunc(f.Paths, func(p string) bool { return strings.HasPrefix(path, p) })
}

// switches holds the fault in force.
type switches struct {
	mu      sync.Mutex
	fault   Fault
	left    int           // calls that the fault still applies to, when Times is set
	calls   int           // all calls so far
	changed chan struct{} // closed when the next fault is set
}

func newSwitches() *switches {
	return &switches{changed: make(chan struct{})}
}

// set puts a fault in force and lets frozen calls go on.
func (s *switches) set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.left = f.Times
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the fault in force.
func (s *switches) current() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// count returns the number of calls so far.
func (s *switches) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// take returns the fault for one call and a channel that is closed when the next
// fault is set.
func (s *switches) take(path string) (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if !s.fault.affects(path) {
		return Fault{}, s.changed
	}
	if s.fault.Times > 0 {
		if s.left == 0 {
			return Fault{}, s.changed
		}
		s.left--
	}
	return s.fault, s.changed
}

// wrap applies the call faults to a handler. The body must have been read before,
// see buffered, so that the effect doesn't depend on the connection.
func (s *switches) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, changed := s.take(r.URL.Path)
		if f.Freeze {
			<-changed
		}
		if f.Down {
			abort()
		}
		if f.Refuse {
			refuse(w, "the stand-in refuses all calls")
			return
		}
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		if f.Silent == SilentBefore {
			<-r.Context().Done()
			abort()
		}
		if f.AnswerLost || f.Silent == SilentAfter {
			next.ServeHTTP(&discarded{header: http.Header{}}, r.WithContext(context.WithoutCancel(r.Context())))
			if f.Silent == SilentAfter {
				<-r.Context().Done()
			}
			abort()
		}
		next.ServeHTTP(w, r)
	})
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

// discarded is the writer of an answer that is lost.
type discarded struct{ header http.Header }

func (d *discarded) Header() http.Header         { return d.header }
func (d *discarded) Write(b []byte) (int, error) { return len(b), nil }
func (d *discarded) WriteHeader(int)             {}
