package control

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Action is an output of Step, executed by the loop.
type Action interface{ action() }

// Append submits an entry to the log; EntryAppended carries the result.
type Append struct{ Entry journal.Entry }

// Command sends a batch to a backend server; CommandAnswered carries the results. It must
// not be sent after NotAfter, and waits up to Timeout for an answer.
type Command struct {
	Server   model.BackendServerID
	Address  string
	Batch    ports.CommandBatch
	NotAfter time.Time
	Timeout  time.Duration
}

// PollStatus requests a backend server's status report; StatusAnswered carries it.
type PollStatus struct {
	Server  model.BackendServerID
	Address string
	Sent    time.Time
	Timeout time.Duration
}

// SendHeartbeat sends a heartbeat to a peer; HeartbeatReceived carries its answer.
type SendHeartbeat struct {
	Address   string
	Heartbeat membership.Heartbeat
}

// SendOffer offers a job to a term holder; OfferAnswered carries the answer.
type SendOffer struct {
	Address string
	Offer   JobOffer
}

// SendTermOffer offers a term to a successor; TermOfferAnswered carries the answer.
type SendTermOffer struct {
	Address string
	Offer   TermOffer
}

// SnapshotRestored tells the publisher that the replica was restored from a snapshot.
type SnapshotRestored struct{ Offset int64 }

// ReportViolation passes an invariant violation to the invariant reporter.
type ReportViolation struct{ Violation invariant.Violation }

// SubmitReply answers JobSubmitted. Refusal is nil when the job was accepted.
type SubmitReply struct {
	Reply   ReplyID
	Receipt JobReceipt
	Refusal *Refusal
}

// CancelReply answers JobsCancelled.
type CancelReply struct {
	Reply    ReplyID
	Receipts []CancelReceipt
}

// PublishReply answers ChangePublished. Refusal is nil if Decision holds the verdict.
type PublishReply struct {
	Reply    ReplyID
	Decision journal.Decision
	Refusal  *Refusal
}

// DecisionReply answers DecisionRequested.
type DecisionReply struct {
	Reply    ReplyID
	Decision journal.Decision
	Known    bool
}

// OfferReply answers JobOffered.
type OfferReply struct {
	Reply  ReplyID
	Answer OfferAnswer
}

// TermOfferReply answers TermOffered.
type TermOfferReply struct {
	Reply    ReplyID
	Accepted bool
}

// DrainReply answers DrainRequested.
type DrainReply struct{ Reply ReplyID }

func (Append) action()           {}
func (Command) action()          {}
func (PollStatus) action()       {}
func (SendHeartbeat) action()    {}
func (SendOffer) action()        {}
func (SendTermOffer) action()    {}
func (SnapshotRestored) action() {}
func (ReportViolation) action()  {}
func (SubmitReply) action()      {}
func (CancelReply) action()      {}
func (PublishReply) action()     {}
func (DecisionReply) action()    {}
func (OfferReply) action()       {}
func (TermOfferReply) action()   {}
func (DrainReply) action()       {}
