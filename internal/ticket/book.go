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

// Retention is how long after its expiry the use of a ticket is remembered. A
// ticket that is older and not remembered may have been used.
const Retention = 10 * time.Minute

// Bounds limit the memory of a Book.
type Bounds struct {
	Entries   int   // used tickets
	BodyBytes int64 // answer bodies kept for retries
}

// DefaultBounds are the bounds used for zero fields.
var DefaultBounds = Bounds{Entries: 200_000, BodyBytes: 64 << 20}

// Binding ties a ticket to the request that first used it: a digest of its kind,
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

// Answer is a settled outcome of a ticket.
type Answer struct {
	Outcome    model.Outcome
	Reason     model.Reason
	Body       []byte
	Digest     string
	RetryAfter time.Duration
}

// Verdict is what a Book decides on one use of a ticket.
type Verdict int

// The verdicts.
const (
	// Run: the first use; the caller runs the request and settles it.
	Run Verdict = iota
	// Wait: another use is in flight here; Entry.Settled closes at its end.
	Wait
	// Answered: Entry.Answer is the outcome.
	Answered
	// AskBackend: the request was sent to Entry.Backend and its outcome is not known here.
	AskBackend
	// BodyDropped: the request is done, its answer was too large to keep.
	BodyDropped
	// ExpiredUnused: the ticket expired and certainly was never used.
	ExpiredUnused
	// Forgotten: the ticket expired so long ago that a use may be forgotten.
	Forgotten
	// Mismatch: the ticket was first used for another request.
	Mismatch
	// NotArbiter: another incarnation decides.
	NotArbiter
	// HandedOver: the arbitration was given away or is being given away.
	HandedOver
	// Full: no memory is left for another used ticket.
	Full
)

type phase int

const (
	phaseBound   phase = iota // nothing was sent, and no use waits: the next one runs
	phaseQueued               // nothing was sent, a use waits here
	phaseSent                 // sent to backend, its exchange is watched here
	phaseInDoubt              // sent to backend, nobody watches
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
	// InFlight is set while the outcome is open.
	InFlight bool
	// Settled closes when the outcome is known or no longer awaited.
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

// ErrRefused means that a hand-over was refused; the giver's state is as before.
var ErrRefused = errors.New("hand-over refused")

// Registry is the arbiter's memory of used tickets. It is safe for concurrent use.
// A ticket of a known incarnation that is not in the Registry was never used.
type Registry struct {
	mu        sync.Mutex
	self      model.Incarnation
	bounds    Bounds
	adopted   map[model.Incarnation]time.Time // when
	entries   map[string]*entry               // by Ticket.ID
	bodies    []*entry                        // with a kept body, oldest first
	bodyBytes int64
	frozen    bool
	swept     time.Time
}

// NewRegistry returns the Book of an incarnation. Zero bounds mean DefaultBounds.
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

// Use decides on a use of t for a request.
func (b *Registry) Use(t Ticket, request model.RequestID, binding Binding, now time.Time) (Verdict, Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	if !b.arbitrates(t.Incarnation) {
		return NotArbiter, Entry{}
	}
	if e := b.entries[t.ID]; e != nil {
		if e.binding != binding {
			return Mismatch, Entry{}
		}
		if e.phase == phaseBound && !b.frozen && now.Before(t.Expiry) {
			e.phase = phaseQueued
			e.settled = make(chan struct{})
			return Run, e.snapshot()
		}
		return b.recall(e, now)
	}
	if b.frozen {
		return HandedOver, Entry{}
	}
	if v := unusedVerdict(t, now); v != Run {
		return v, Entry{}
	}
	if len(b.entries) >= b.bounds.Entries {
		return Full, Entry{}
	}
	e := &entry{
		ticket:  t,
		request: request,
		binding: binding,
		phase:   phaseQueued,
		settled: make(chan struct{}),
	}
	b.entries[t.ID] = e
	return Run, e.snapshot()
}

// Lookup returns what is known of t without using it.
func (b *Registry) Lookup(t Ticket, now time.Time) (Verdict, Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.arbitrates(t.Incarnation) {
		return NotArbiter, Entry{}
	}
	if e := b.entries[t.ID]; e != nil {
		return b.recall(e, now)
	}
	if b.frozen {
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

func (b *Registry) recall(e *entry, now time.Time) (Verdict, Entry) {
	switch {
	case b.frozen && e.phase <= phaseQueued:
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

func (b *Registry) arbitrates(i model.Incarnation) bool {
	if i == b.self {
		return true
	}
	_, ok := b.adopted[i]
	return ok
}

// BeginSend records that the request of t is about to be sent to a backend server. It
// reports false when it must not be sent: the arbitration was given away, or it was
// sent before and not shown unsent.
func (b *Registry) BeginSend(t Ticket, backend string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[t.ID]
	if b.frozen || e == nil || e.phase != phaseQueued {
		return false
	}
	e.phase = phaseSent
	e.backend = backend
	return true
}

// MarkUnsent records that the backend server certainly did not and will not execute
// what Send announced.
func (b *Registry) MarkUnsent(t Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[t.ID]; e != nil && e.phase == phaseSent {
		e.phase = phaseQueued
		e.backend = ""
	}
}

// Settle records the outcome of t, once: a later one is ignored. The outcome that
// is in force is returned. It reports false, and records nothing, for a request
// that was given away before anything was sent: its new arbiter may run it.
func (b *Registry) Settle(t Ticket, a Answer) (Answer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[t.ID]
	if e == nil {
		return a, true
	}
	if e.phase == phaseSettled {
		return e.answer, true
	}
	if b.frozen && e.phase <= phaseQueued {
		return Answer{}, false
	}
	wasOpen := e.phase == phaseQueued || e.phase == phaseSent
	e.phase = phaseSettled
	b.keep(e, a)
	if wasOpen {
		close(e.settled)
	}
	return a, true
}

// MarkInDoubt records that nobody watches the exchange of t any more and its outcome is
// open. Those that wait are released.
func (b *Registry) MarkInDoubt(t Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[t.ID]
	if e == nil || e.phase != phaseSent {
		return
	}
	e.phase = phaseInDoubt
	close(e.settled)
}

func (b *Registry) keep(e *entry, a Answer) {
	e.answer = a
	size := int64(len(a.Body))
	if size == 0 {
		return
	}
	if size > b.bounds.BodyBytes {
		b.dropBody(e)
		return
	}
	b.bodies = append(b.bodies, e)
	b.bodyBytes += size
	for b.bodyBytes > b.bounds.BodyBytes {
		oldest := b.bodies[0]
		b.bodies = b.bodies[1:]
		b.bodyBytes -= int64(len(oldest.answer.Body))
		b.dropBody(oldest)
	}
}

func (b *Registry) dropBody(e *entry) {
	e.answer.Body = nil
	e.bodyDropped = true
}

// sweepEvery spaces the removals of old entries.
const sweepEvery = 10 * time.Second

func (b *Registry) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepEvery {
		return
	}
	b.swept = now
	for id, e := range b.entries {
		if e.phase != phaseSent && now.After(e.ticket.Expiry.Add(Retention)) {
			delete(b.entries, id)
		}
	}
	kept := b.bodies[:0]
	for _, e := range b.bodies {
		if b.entries[e.ticket.ID] == e {
			kept = append(kept, e)
			continue
		}
		b.bodyBytes -= int64(len(e.answer.Body))
	}
	clear(b.bodies[len(kept):])
	b.bodies = kept
	for i, at := range b.adopted {
		if now.Sub(at) > MaxTTL+Retention {
			delete(b.adopted, i)
		}
	}
}

// Freeze ends the arbitration here, for good, and returns all used tickets by
// incarnation. The own incarnation and adopted ones are present even without entries.
func (b *Registry) Freeze() map[model.Incarnation][]Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frozen = true
	out := map[model.Incarnation][]Entry{b.self: nil}
	for i := range b.adopted {
		out[i] = nil
	}
	for _, e := range b.entries {
		i := e.ticket.Incarnation
		out[i] = append(out[i], e.snapshot())
	}
	return out
}

// Adopt takes over the arbitration of an incarnation's tickets. A repeat changes
// nothing. The error is ErrRefused when this Book is frozen itself.
func (b *Registry) Adopt(from model.Incarnation, entries []Entry, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.frozen || from == b.self {
		return ErrRefused
	}
	if _, ok := b.adopted[from]; ok {
		return nil
	}
	b.adopted[from] = now
	for _, in := range entries {
		b.adoptEntry(from, in)
	}
	return nil
}

func (b *Registry) adoptEntry(from model.Incarnation, in Entry) {
	t, err := Parse(in.Ticket)
	if err != nil || t.Incarnation != from || b.entries[t.ID] != nil {
		return
	}
	e := &entry{ticket: t, request: in.Request, binding: in.Binding, backend: in.Backend}
	e.settled = make(chan struct{})
	close(e.settled)
	b.entries[t.ID] = e
	switch {
	case in.Answer == nil && in.Backend == "":
		e.phase = phaseBound
	case in.Answer == nil:
		e.phase = phaseInDoubt
	default:
		e.phase = phaseSettled
		e.bodyDropped = in.BodyDropped
		b.keep(e, *in.Answer)
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
