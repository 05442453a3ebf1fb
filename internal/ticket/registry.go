package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Retention is how long after the expiry of a used ticket its entry is kept. A ticket
// that expired earlier and has no entry may have been used.
const Retention = 10 * time.Minute

// Bounds limit the memory that a Registry uses.
type Bounds struct {
	Entries   int   // used tickets
	BodyBytes int64 // answer bodies kept for retries
}

// DefaultBounds are the bounds used for zero fields.
var DefaultBounds = Bounds{Entries: 200_000, BodyBytes: 64 << 20}

// Binding identifies the request that first used a ticket: a digest of its kind,
// organisation, caller and body. See Bind.
type Binding string

// Bind returns the binding of a request.
func Bind(kind string, org model.OrganisationID, caller model.CallerID, body []byte) Binding {
	h := sha256.New()
	for _, field := range []string{kind, string(org), string(caller)} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	_, _ = h.Write(body)
	return Binding(hex.EncodeToString(h.Sum(nil)))
}

// Answer is the settled outcome of a ticket.
type Answer struct {
	Outcome    model.Outcome
	Reason     model.Reason
	Body       []byte
	Digest     string
	RetryAfter time.Duration
}

// Verdict is the decision of a Registry on one use of a ticket.
type Verdict int

// The values of Verdict.
const (
	// Run: the first use of the ticket; the caller has to run the request and call Settle.
	Run Verdict = iota
	// Wait: another use is in flight on this VM; Entry.Settled is closed when it ends.
	Wait
	// Answered: Entry.Answer is the outcome.
	Answered
	// AskBackend: the request was sent to Entry.Backend, which has to be asked for the
	// outcome.
	AskBackend
	// BodyDropped: the request is done, but the body of its answer is no longer kept.
	BodyDropped
	// ExpiredUnused: the ticket expired and was certainly never used.
	ExpiredUnused
	// Forgotten: the ticket expired so long ago that the entry of a use may have been
	// removed.
	Forgotten
	// Mismatch: the ticket was first used for another request.
	Mismatch
	// NotArbiter: another incarnation arbitrates the ticket.
	NotArbiter
	// HandedOver: the arbitration was handed over, or is being handed over, to another VM.
	HandedOver
	// Full: no memory is left for another used ticket.
	Full
)

type phase int

const (
	phaseBound   phase = iota // not sent, and no use waits: the next use runs
	phaseQueued               // not sent, a use waits on this VM
	phaseSent                 // sent to the backend server, this VM waits for the answer
	phaseInDoubt              // sent to the backend server, this VM no longer waits for the answer
	phaseSettled
)

// Entry is a snapshot of one used ticket.
type Entry struct {
	Ticket  string
	Request model.RequestID // of the first use
	Binding Binding
	Backend string // address of the backend server that it was last sent to
	Answer  *Answer
	// BodyDropped is set when the answer's body is no longer kept.
	BodyDropped bool
	// InFlight is set until the outcome is settled.
	InFlight bool
	// Settled is closed when the outcome is known or this VM no longer waits for it.
	Settled <-chan struct{}
}

type entry struct {
	ticket      Ticket
	request     model.RequestID
	binding     Binding
	phase       phase
	backend     string
	answer      Answer
	bodyDropped bool
	settled     chan struct{}
}

// ErrRefused means that the receiver of a hand-over refused it; the state of the sender
// is unchanged.
var ErrRefused = errors.New("hand-over refused")

// Registry holds the used tickets that a VM arbitrates. It is safe for concurrent use.
// A ticket of an incarnation that it arbitrates and that has no entry was never used,
// unless it is Forgotten.
type Registry struct {
	mu        sync.Mutex
	self      model.Incarnation
	bounds    Bounds
	adopted   map[model.Incarnation]time.Time // when their tickets were taken over
	entries   map[string]*entry               // by Ticket.ID
	bodies    []*entry                        // those with a kept body, oldest first
	bodyBytes int64
	frozen    bool
	lastSweep time.Time
}

// NewRegistry returns the Registry of an incarnation. Zero bounds mean DefaultBounds.
func NewRegistry(self model.Incarnation, bounds Bounds) *Registry {
	if bounds.Entries == 0 {
		bounds.Entries = DefaultBounds.Entries
	}
	if bounds.BodyBytes == 0 {
		bounds.BodyBytes = DefaultBounds.BodyBytes
	}
	return &Registry{
		self:    self,
		bounds:  bounds,
		adopted: map[model.Incarnation]time.Time{},
		entries: map[string]*entry{},
	}
}

// Use decides whether a request that presents ticket t is to be run. If so, it records the
// use of the ticket and returns Run. Otherwise the verdict says why not, for example because
// an earlier use is in flight or settled.
func (r *Registry) Use(t Ticket, request model.RequestID, binding Binding, now time.Time) (Verdict, Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if !r.arbitrates(t.Incarnation) {
		return NotArbiter, Entry{}
	}
	if e := r.entries[t.ID]; e != nil {
		if e.binding != binding {
			return Mismatch, Entry{}
		}
		if e.phase == phaseBound && !r.frozen && now.Before(t.Expiry) {
			e.phase = phaseQueued
			e.settled = make(chan struct{})
			return Run, e.snapshot()
		}
		return r.entryVerdict(e, now)
	}
	if r.frozen {
		return HandedOver, Entry{}
	}
	if v := unusedVerdict(t, now); v != Run {
		return v, Entry{}
	}
	if len(r.entries) >= r.bounds.Entries {
		return Full, Entry{}
	}
	e := &entry{
		ticket:  t,
		request: request,
		binding: binding,
		phase:   phaseQueued,
		settled: make(chan struct{}),
	}
	r.entries[t.ID] = e
	return Run, e.snapshot()
}

// Lookup returns the state of t without using it.
func (r *Registry) Lookup(t Ticket, now time.Time) (Verdict, Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.arbitrates(t.Incarnation) {
		return NotArbiter, Entry{}
	}
	if e := r.entries[t.ID]; e != nil {
		return r.entryVerdict(e, now)
	}
	if r.frozen {
		return HandedOver, Entry{}
	}
	return unusedVerdict(t, now), Entry{}
}

func unusedVerdict(t Ticket, now time.Time) Verdict {
	if now.After(t.Expiry.Add(Retention)) {
		return Forgotten
	}
	if !now.Before(t.Expiry) {
		return ExpiredUnused
	}
	return Run
}

func (r *Registry) entryVerdict(e *entry, now time.Time) (Verdict, Entry) {
	switch {
	case r.frozen && e.phase <= phaseQueued:
		return HandedOver, e.snapshot()
	case e.phase == phaseBound:
		return unusedVerdict(e.ticket, now), e.snapshot()
	case e.phase == phaseSettled && e.bodyDropped:
		return BodyDropped, e.snapshot()
	case e.phase == phaseSettled:
		return Answered, e.snapshot()
	case e.phase == phaseInDoubt:
		return AskBackend, e.snapshot()
	default:
		return Wait, e.snapshot()
	}
}

func (r *Registry) arbitrates(i model.Incarnation) bool {
	if i == r.self {
		return true
	}
	_, ok := r.adopted[i]
	return ok
}

// BeginSend records that the request of t is about to be sent to a backend server. It
// reports false when the request must not be sent: the arbitration was handed over, or
// the request was sent before and MarkUnsent was not called for it.
func (r *Registry) BeginSend(t Ticket, backend string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[t.ID]
	if r.frozen || e == nil || e.phase != phaseQueued {
		return false
	}
	e.phase = phaseSent
	e.backend = backend
	return true
}

// MarkUnsent records that the backend server certainly did not and will not execute
// the request for which BeginSend was called.
func (r *Registry) MarkUnsent(t Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[t.ID]; e != nil && e.phase == phaseSent {
		e.phase = phaseQueued
		e.backend = ""
	}
}

// Settle records the outcome of t once and returns the recorded one; later outcomes are
// ignored. It reports false, and records nothing, for a request that was handed over
// before it was sent: its new arbiter may run it.
func (r *Registry) Settle(t Ticket, a Answer) (Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[t.ID]
	if e == nil {
		return a, true
	}
	if e.phase == phaseSettled {
		return e.answer, true
	}
	if r.frozen && e.phase <= phaseQueued {
		return Answer{}, false
	}
	wasOpen := e.phase == phaseQueued || e.phase == phaseSent
	e.phase = phaseSettled
	r.storeAnswer(e, a)
	if wasOpen {
		close(e.settled)
	}
	return a, true
}

// MarkInDoubt records that this VM no longer waits for the answer to t and does not know
// its outcome. It closes Entry.Settled.
func (r *Registry) MarkInDoubt(t Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[t.ID]
	if e == nil || e.phase != phaseSent {
		return
	}
	e.phase = phaseInDoubt
	close(e.settled)
}

func (r *Registry) storeAnswer(e *entry, a Answer) {
	e.answer = a
	size := int64(len(a.Body))
	if size == 0 {
		return
	}
	if size > r.bounds.BodyBytes {
		r.dropBody(e)
		return
	}
	r.bodies = append(r.bodies, e)
	r.bodyBytes += size
	for r.bodyBytes > r.bounds.BodyBytes {
		oldest := r.bodies[0]
		r.bodies = r.bodies[1:]
		r.bodyBytes -= int64(len(oldest.answer.Body))
		r.dropBody(oldest)
	}
}

func (r *Registry) dropBody(e *entry) {
	e.answer.Body = nil
	e.bodyDropped = true
}

// sweepInterval is the least time between two removals of old entries.
const sweepInterval = 10 * time.Second

func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for id, e := range r.entries {
		if e.phase != phaseSent && now.After(e.ticket.Expiry.Add(Retention)) {
			delete(r.entries, id)
		}
	}
	kept := r.bodies[:0]
	for _, e := range r.bodies {
		if r.entries[e.ticket.ID] == e {
			kept = append(kept, e)
			continue
		}
		r.bodyBytes -= int64(len(e.answer.Body))
	}
	clear(r.bodies[len(kept):])
	r.bodies = kept
	for i, at := range r.adopted {
		if now.Sub(at) > MaxTTL+Retention {
			delete(r.adopted, i)
		}
	}
}

// Freeze permanently ends the arbitration by this Registry and returns all used tickets
// by incarnation. The own incarnation and adopted ones are present even without entries.
func (r *Registry) Freeze() map[model.Incarnation][]Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = true
	out := map[model.Incarnation][]Entry{r.self: nil}
	for i := range r.adopted {
		out[i] = nil
	}
	for _, e := range r.entries {
		i := e.ticket.Incarnation
		out[i] = append(out[i], e.snapshot())
	}
	return out
}

// Adopt takes over the arbitration of an incarnation's tickets. Repeated calls have no
// effect. The error is ErrRefused when this Registry is frozen or from is its own
// incarnation.
func (r *Registry) Adopt(from model.Incarnation, entries []Entry, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen || from == r.self {
		return ErrRefused
	}
	if _, ok := r.adopted[from]; ok {
		return nil
	}
	r.adopted[from] = now
	for _, in := range entries {
		r.adoptEntry(from, in)
	}
	return nil
}

func (r *Registry) adoptEntry(from model.Incarnation, in Entry) {
	t, err := Parse(in.Ticket)
	if err != nil || t.Incarnation != from || r.entries[t.ID] != nil {
		return
	}
	e := &entry{ticket: t, request: in.Request, binding: in.Binding, backend: in.Backend}
	e.settled = make(chan struct{})
	close(e.settled)
	r.entries[t.ID] = e
	switch {
	case in.Answer == nil && in.Backend == "":
		e.phase = phaseBound
	case in.Answer == nil:
		e.phase = phaseInDoubt
	default:
		e.phase = phaseSettled
		e.bodyDropped = in.BodyDropped
		r.storeAnswer(e, *in.Answer)
	}
}

func (e *entry) snapshot() Entry {
	out := Entry{
		Ticket:   e.ticket.String(),
		Request:  e.request,
		Binding:  e.binding,
		Backend:  e.backend,
		InFlight: e.phase != phaseSettled,
		Settled:  e.settled,
	}
	if e.phase == phaseSettled {
		answer := e.answer
		out.Answer = &answer
		out.BodyDropped = e.bodyDropped
	}
	return out
}
