package control

import (
	"context"
	"fmt"
	"sync"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// replyTable routes Reply actions to the callers that wait for them.
type replyTable struct {
	mu      sync.Mutex
	waiting map[ReplyID]chan Action
}

func (t *replyTable) add(id ReplyID) <-chan Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = make(map[ReplyID]chan Action)
	}
	c := make(chan Action, 1)
	t.waiting[id] = c
	return c
}

func (t *replyTable) remove(id ReplyID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
}

// deliver passes a reply to its caller, or drops it if the caller no longer waits.
func (t *replyTable) deliver(a Action) {
	r, ok := a.(replier)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.waiting[r.replyTo()]; c != nil {
		c <- a
		delete(t.waiting, r.replyTo())
	}
}

// replier is an action that answers a caller.
type replier interface{ replyTo() ReplyID }

func isReply(a Action) bool {
	_, ok := a.(replier)
	return ok
}

func (a SubmitReply) replyTo() ReplyID    { return a.Reply }
func (a CancelReply) replyTo() ReplyID    { return a.Reply }
func (a PublishReply) replyTo() ReplyID   { return a.Reply }
func (a DecisionReply) replyTo() ReplyID  { return a.Reply }
func (a OfferReply) replyTo() ReplyID     { return a.Reply }
func (a TermOfferReply) replyTo() ReplyID { return a.Reply }
func (a DrainReply) replyTo() ReplyID     { return a.Reply }

// call posts an event and waits for its reply. An error wraps ports.ErrUnavailable if the
// event was not posted, and ports.ErrInDoubt otherwise.
func call[R Action](ctx context.Context, l *Loop, event func(ReplyID) Event) (reply R, err error) {
	id := ReplyID(l.nextReply.Add(1))
	c := l.replies.add(id)
	defer l.replies.remove(id)
	if !l.post(ctx, event(id)) {
		return reply, fmt.Errorf("control loop took no event: %w", ports.ErrUnavailable)
	}
	select {
	case a := <-c:
		reply, _ = a.(R)
		return reply, nil
	case <-l.stopped:
		return reply, fmt.Errorf("control loop stopped: %w", ports.ErrInDoubt)
	case <-ctx.Done():
		l.post(context.WithoutCancel(ctx), ReplyAbandoned{Reply: id})
		return reply, fmt.Errorf("%w: %w", ctx.Err(), ports.ErrInDoubt)
	}
}

// Submit implements Service.
func (l *Loop) Submit(ctx context.Context, job model.Job) (JobReceipt, error) {
	r, err := call[SubmitReply](ctx, l, func(id ReplyID) Event { return JobSubmitted{Reply: id, Job: job} })
	if err != nil {
		return JobReceipt{}, err
	}
	if r.Refusal != nil {
		return JobReceipt{}, r.Refusal
	}
	return r.Receipt, nil
}

// Cancel implements Service.
func (l *Loop) Cancel(ctx context.Context, ids []model.JobID) ([]CancelReceipt, error) {
	r, err := call[CancelReply](ctx, l, func(id ReplyID) Event { return JobsCancelled{Reply: id, Jobs: ids} })
	return r.Receipts, err
}

// Publish implements Service.
func (l *Loop) Publish(ctx context.Context, entryID string, change journal.ConfigChange) (journal.Decision, error) {
	r, err := call[PublishReply](ctx, l, func(id ReplyID) Event {
		return ChangePublished{Reply: id, EntryID: entryID, Change: change}
	})
	if err != nil {
		return journal.Decision{EntryID: entryID, Verdict: journal.VerdictUnknown}, err
	}
	if r.Refusal != nil {
		return journal.Decision{EntryID: entryID}, r.Refusal
	}
	return r.Decision, nil
}

// Decision implements Service.
func (l *Loop) Decision(ctx context.Context, entryID string) (journal.Decision, bool) {
	r, err := call[DecisionReply](ctx, l, func(id ReplyID) Event {
		return DecisionRequested{Reply: id, EntryID: entryID}
	})
	return r.Decision, err == nil && r.Known
}

// HandleJobOffer handles a peer's offer of a job.
func (l *Loop) HandleJobOffer(ctx context.Context, o JobOffer) (OfferAnswer, error) {
	r, err := call[OfferReply](ctx, l, func(id ReplyID) Event { return JobOffered{Reply: id, Offer: o} })
	return r.Answer, err
}

// HandleTermOffer handles a term holder's offer to hand its term over.
func (l *Loop) HandleTermOffer(ctx context.Context, o TermOffer) (accepted bool, err error) {
	r, err := call[TermOfferReply](ctx, l, func(id ReplyID) Event { return TermOffered{Reply: id, Offer: o} })
	return r.Accepted, err
}

// Drain hands the term over and returns when this VM may stop.
func (l *Loop) Drain(ctx context.Context) error {
	_, err := call[DrainReply](ctx, l, func(id ReplyID) Event { return DrainRequested{Reply: id} })
	return err
}
