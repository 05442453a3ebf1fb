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

type recentOutcome struct {
	binding    ticket.Binding
	result     Result
	recordedAt time.Time
	ambiguous  bool // different requests used the ID
}

func newRecentOutcomes() *recentOutcomes {
	return &recentOutcomes{entries: map[model.RequestID]*recentOutcome{}}
}

func (o *recentOutcomes) add(r Request, res Result, now time.Time) {
	if len(res.Body) > maxRecentBytes {
		return
	}
	binding := ticket.Bind(r.Kind, r.Organisation, r.Caller, r.Body)
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.entries[r.ID]
	if e == nil {
		e = &recentOutcome{binding: binding}
		o.entries[r.ID] = e
		o.order = append(o.order, r.ID)
	}
	o.bytes += len(res.Body) - len(e.result.Body)
	e.ambiguous = e.ambiguous || e.binding != binding
	e.result = res
	e.recordedAt = now
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
	if e == nil || e.ambiguous || now.Sub(e.recordedAt) > recentTTL {
		return Result{}, false
	}
	return e.result, true
}
