package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ticket"
)

// Lookup returns the known outcome of a request, by ticket when there is one, else by
// ID. If another VM arbitrates the ticket, that VM is asked.
func (d *Dispatcher) Lookup(ctx context.Context, id model.RequestID, ticketText string) (Result, bool) {
	if res, ok := d.LookupLocal(ctx, id, ticketText); ok {
		return res, true
	}
	t, err := ticket.Parse(ticketText)
	if err != nil {
		return Result{}, false
	}
	r := Request{ID: id, Ticket: ticketText}
	for _, address := range d.arbiterCandidates(d.ports.View(), r, t) {
		res, err := d.lookupAt(ctx, address, r)
		if err == nil && !isNotArbiter(res) && res.Outcome != "" {
			return d.checkPeerResult(r, res), true
		}
	}
	return Result{}, false
}

// LookupLocal returns the known outcome of a request without asking another VM.
func (d *Dispatcher) LookupLocal(ctx context.Context, id model.RequestID, ticketText string) (Result, bool) {
	if ticketText == "" {
		return d.recent.get(id, time.Now())
	}
	t, err := ticket.Parse(ticketText)
	if err != nil {
		return Result{}, false
	}
	verdict, entry := d.registry.Lookup(t, time.Now())
	switch verdict {
	case ticket.Answered:
		return resultOfAnswer(id, *entry.Answer), true
	case ticket.BodyDropped:
		return d.fetchBody(ctx, id, entry), true
	case ticket.Wait:
		return unknownResult(id, ReasonInFlight), true
	case ticket.AskBackend:
		return d.resolveOnce(ctx, id, t, entry), true
	case ticket.ExpiredUnused:
		return refusedUseResult(id, verdict), true
	default:
		return Result{}, false
	}
}

// resolveOnce looks up the outcome of a request in doubt once, and settles it when it is
// certain.
func (d *Dispatcher) resolveOnce(ctx context.Context, id model.RequestID, t ticket.Ticket, e ticket.Entry) Result {
	res, ok := d.lookupExecution(ctx, id, t, e)
	if !ok {
		return unknownResult(id, ReasonInDoubt)
	}
	a, _ := d.registry.Settle(t, answerOf(res))
	return resultOfAnswer(id, a)
}

const (
	maxRecentOutcomes = 4096
	maxRecentBytes    = 16 << 20
	recentTTL         = 10 * time.Minute
)

// recentOutcomes holds the newest outcomes by request ID, bounded in number, bytes and
// time. It returns no outcome for an ID that different requests used.
type recentOutcomes struct {
	mu      sync.Mutex
	entries map[model.RequestID]*recentOutcome
	order   []model.RequestID // oldest first
	bytes   int
}

// recentOutcome is what is known of all attempts of a request.
type recentOutcome struct {
	binding    ticket.Binding
	ticket     string
	result     Result // of the attempts that have ended; no outcome before the first of them
	open       int    // attempts without an outcome
	recordedAt time.Time
	ambiguous  bool // different requests used the ID
	oneTicket  bool // all attempts have the same ticket
}

func newRecentOutcomes() *recentOutcomes {
	return &recentOutcomes{entries: map[model.RequestID]*recentOutcome{}}
}

// begin records that an attempt of a request has begun.
func (o *recentOutcomes) begin(r Request, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.entry(r)
	e.open++
	e.recordedAt = now
	o.bound()
}

// end records the outcome of an attempt. One that did not run proves nothing of an earlier one.
func (o *recentOutcomes) end(r Request, res Result, now time.Time) {
	if len(res.Body) > maxRecentBytes {
		res = unknownResult(r.ID, ReasonBodyDropped)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.entry(r)
	e.open = max(e.open-1, 0)
	e.recordedAt = now
	known := e.result.Outcome
	if known == "" || known == model.OutcomeNotRun || res.Outcome != model.OutcomeNotRun || e.oneTicket && coversAllAttempts(r, res) {
		o.bytes += len(res.Body) - len(e.result.Body)
		e.result = res
	}
	o.bound()
}

// entry returns the entry of a request, and notes what differs from its earlier attempts.
func (o *recentOutcomes) entry(r Request) *recentOutcome {
	binding := ticket.Bind(r.Kind, r.Organisation, r.Caller, r.Body)
	e := o.entries[r.ID]
	if e == nil {
		e = &recentOutcome{binding: binding, ticket: r.Ticket, oneTicket: true}
		o.entries[r.ID] = e
		o.order = append(o.order, r.ID)
	}
	e.ambiguous = e.ambiguous || e.binding != binding
	e.oneTicket = e.oneTicket && e.ticket == r.Ticket
	return e
}

// bound drops the oldest entries.
func (o *recentOutcomes) bound() {
	for len(o.order) > maxRecentOutcomes || o.bytes > maxRecentBytes {
		o.drop(o.order[0])
		o.order = o.order[1:]
	}
}

func (o *recentOutcomes) drop(id model.RequestID) {
	o.bytes -= len(o.entries[id].result.Body)
	delete(o.entries, id)
}

func (o *recentOutcomes) get(id model.RequestID, now time.Time) (Result, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.entries[id]
	switch {
	case e == nil || e.ambiguous || now.Sub(e.recordedAt) > recentTTL:
		return Result{}, false
	case e.open > 0 && e.result.Outcome != model.OutcomeDone:
		return unknownResult(id, ReasonInFlight), true
	default:
		return e.result, true
	}
}
