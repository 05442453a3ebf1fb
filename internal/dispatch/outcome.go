package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// The reasons of outcomes other than done.
const (
	ReasonNoTicket           model.Reason = "a request that is not idempotent needs a ticket"
	ReasonBadTicket          model.Reason = "the ticket is malformed"
	ReasonTicketReused       model.Reason = "the ticket belongs to another request"
	ReasonTicketExpired      model.Reason = "the ticket expired unused"
	ReasonTicketForgotten    model.Reason = "the ticket expired too long ago to know its use"
	ReasonTicketMemoryFull   model.Reason = "no memory for another ticket"
	ReasonNotArbiter         model.Reason = "another VM arbitrates the ticket"
	ReasonArbiterGone        model.Reason = "the VM that arbitrates the ticket cannot be reached"
	ReasonUnknownKind        model.Reason = "unknown request kind"
	ReasonDraining           model.Reason = "the VM is stopping"
	ReasonQueueFull          model.Reason = "the queue is full"
	ReasonShed               model.Reason = "shed for more urgent work"
	ReasonDeadlineUnmeetable model.Reason = "the deadline cannot be met"
	ReasonDeadlineQueued     model.Reason = "the deadline passed in the queue"
	ReasonCanceled           model.Reason = "the caller left"
	ReasonRefused            model.Reason = "refused by the backend server"
	ReasonNeverSeen          model.Reason = "the backend server never saw the request"
	ReasonNoBackend          model.Reason = "no backend server can be reached"
	ReasonInDoubt            model.Reason = "sent, and no outcome learned"
	ReasonFailed             model.Reason = "the request ran and failed"
	ReasonBodyDropped        model.Reason = "done, but the answer is no longer kept"
	ReasonInFlight           model.Reason = "in flight"
	ReasonNotKnown           model.Reason = "nothing is known of the request"
)

// NotRunProof says why it is certain that a request did not run and will not.
type NotRunProof struct {
	kind       proofKind
	reason     model.Reason
	retryAfter time.Duration
}

type proofKind int

const (
	// proofNeverSent: this VM alone could send the request, did not, and will not.
	proofNeverSent proofKind = iota + 1
	// proofRefused: every backend server that got it refused it unexecuted.
	proofRefused
	// proofNeverSeen: the backend server never saw it and refuses it from now on.
	proofNeverSeen
	// proofExpiredUnused: the arbiter holds that the ticket expired unused.
	proofExpiredUnused
	// proofPeer: the peer that decides answered with its own proof.
	proofPeer
	// proofSettled: the arbiter settled it with a proof of its own.
	proofSettled
	// proofUnusable: no VM can run it, now or later.
	proofUnusable
)

// notRun is the only place that makes OutcomeNotRun.
func notRun(id model.RequestID, p NotRunProof) Result {
	if p.kind == 0 {
		return unknown(id, p.reason)
	}
	return Result{Request: id, Outcome: model.OutcomeNotRun, Reason: p.reason, RetryAfter: p.retryAfter}
}

func unknown(id model.RequestID, reason model.Reason) Result {
	return Result{Request: id, Outcome: model.OutcomeUnknown, Reason: reason}
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
