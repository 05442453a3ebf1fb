// Package standin simulates the platform and a backend server for tests and the demo. Such a
// stand-in keeps its state in memory, injects faults on request, and records what it did, so
// that a test can compare the record with the answers that callers got.
package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Silence is the point at which a call stops and is never answered.
type Silence string

// The kinds of silence.
const (
	SilentNever  Silence = ""
	SilentBefore Silence = "before" // the call has no effect
	SilentAfter  Silence = "after"  // the call takes effect
)

// Fault is a set of failures that a stand-in injects until another Fault is set. The
// zero value injects none.
type Fault struct {
	// Down closes each connection before the call has an effect.
	Down bool `json:"down,omitempty"`
	// SlowMS delays each call before its effect, in milliseconds. The call takes effect
	// even if the caller has disconnected by then.
	SlowMS int `json:"slowMS,omitempty"`
	// AnswerLost closes the connection after the effect, without an answer.
	AnswerLost bool `json:"answerLost,omitempty"`
	// Silent leaves the connection open and the call unanswered.
	Silent Silence `json:"silent,omitempty"`
	// Refuse answers each call with status 503 and no effect.
	Refuse bool `json:"refuse,omitempty"`
	// Freeze blocks each call until the next fault is set; then the call takes effect.
	Freeze bool `json:"freeze,omitempty"`
	// Paths limits the faults above to calls whose path starts with one of these;
	// empty means every call.
	Paths []string `json:"paths,omitempty"`
	// Times limits the faults above to this number of calls; 0 means no limit.
	Times int `json:"times,omitempty"`

	// Restart restarts a backend server once, when the fault is set: the server forgets its
	// tasks and requests, which stay in its record. A request that was running gets no answer;
	// its connection is closed when its run time is over.
	Restart bool `json:"restart,omitempty"`
	// FailAll makes every task and request on a backend server fail.
	FailAll bool `json:"failAll,omitempty"`
	// Leaving makes a backend server announce that it is leaving, and refuse new work.
	Leaving bool `json:"leaving,omitempty"`
	// LeavingAccepts makes a leaving backend server accept new work anyway.
	LeavingAccepts bool `json:"leavingAccepts,omitempty"`
	// ListLagMS is the delay after which the platform's VM list shows a change, in milliseconds.
	ListLagMS int `json:"listLagMS,omitempty"`
}

// affects reports whether the faults that apply to calls include calls of this path.
func (f Fault) affects(path string) bool {
	if len(f.Paths) == 0 {
		return true
	}
	return slices.ContainsFunc(f.Paths, func(p string) bool { return strings.HasPrefix(path, p) })
}

// faultInjector holds the active fault and applies it to calls.
type faultInjector struct {
	mu        sync.Mutex
	fault     Fault
	remaining int           // number of calls that the fault still applies to, if Times is set
	calls     int           // all calls so far
	changed   chan struct{} // closed when the next fault is set
}

func newFaultInjector() *faultInjector {
	return &faultInjector{changed: make(chan struct{})}
}

// set replaces the active fault and resumes frozen calls.
func (i *faultInjector) set(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = f
	i.remaining = f.Times
	close(i.changed)
	i.changed = make(chan struct{})
}

// current returns the active fault.
func (i *faultInjector) current() Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault
}

// callCount returns the number of calls so far.
func (i *faultInjector) callCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.calls
}

// faultFor returns the fault for one call and a channel that is closed when the next
// fault is set.
func (i *faultInjector) faultFor(path string) (Fault, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.calls++
	if !i.fault.affects(path) {
		return Fault{}, i.changed
	}
	if i.fault.Times > 0 {
		if i.remaining == 0 {
			return Fault{}, i.changed
		}
		i.remaining--
	}
	return i.fault, i.changed
}

// injectFaults returns a handler that applies the active fault to calls of next. The
// body must have been read before (see buffered), so that the effect of a call does not
// depend on the connection.
func (i *faultInjector) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, changed := i.faultFor(r.URL.Path)
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
			next.ServeHTTP(&discardingWriter{header: http.Header{}}, r.WithContext(context.WithoutCancel(r.Context())))
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

// discardingWriter discards the response of a call whose answer is lost.
type discardingWriter struct{ header http.Header }

func (d *discardingWriter) Header() http.Header         { return d.header }
func (d *discardingWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardingWriter) WriteHeader(int)             {}
