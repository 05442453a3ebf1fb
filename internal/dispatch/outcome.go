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
	ReasonArbiterUnreachable model.Reason = "the VM that arbitrates the ticket cannot be reached"
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

// NotRunProof states why it is certain that a request did not run and will not run.
type NotRunProof struct {
	kind       proofKind
	reason     model.Reason
	retryAfter time.Duration
}

type proofKind int

const (
	// proofNeverSent: only this VM could send the request; it did not and will not.
	proofNeverSent proofKind = iota + 1
	// proofRefused: every backend server that got the request refused it without executing
	// it.
	proofRefused
	// proofNeverSeen: the backend server did not get the request so far and refuses it from
	// now on.
	proofNeverSeen
	// proofExpiredUnused: the arbiter of the ticket knows that it expired unused.
	proofExpiredUnused
	// proofPeer: the VM that decides on the request returned `not run` on its own proof.
	proofPeer
	// proofSettled: the arbiter of the ticket settled the outcome `not run` on its own
	// proof.
	proofSettled
	// proofUnusable: the request can run on no VM, now or later.
	proofUnusable
)

// notRunResult is the only place that creates OutcomeNotRun. Without a proof the outcome
// is unknown.
func notRunResult(id model.RequestID, p NotRunProof) Result {
	if p.kind == 0 {
		return unknownResult(id, p.reason)
	}
	return Result{Request: id, Outcome: model.OutcomeNotRun, Reason: p.reason, RetryAfter: p.retryAfter}
}

// coversAllAttempts reports whether an outcome is that of all attempts of a request, and not only of
// the one that it answers. `not run` is so only as the outcome of a ticket, which its arbiter settles
// once; an arbiter without memory for the ticket settles nothing.
func coversAllAttempts(r Request, res Result) bool {
	return res.Outcome != model.OutcomeNotRun || r.Ticket != "" && res.Reason != ReasonTicketMemoryFull
}

func unknownResult(id model.RequestID, reason model.Reason) Result {
	return Result{Request: id, Outcome: model.OutcomeUnknown, Reason: reason}
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
