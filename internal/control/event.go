package control

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// ReplyID identifies the caller that waits for a reply action.
type ReplyID uint64

// Event is an input of Step.
type Event interface{ event() }

// EntriesRead carries log entries up to, but not including, offset Next.
type EntriesRead struct {
	Entries []journal.LocatedEntry
	Next    int64
}

// SnapshotRead carries a whole replicated state.
type SnapshotRead struct{ Snapshot journal.Snapshot }

// LogReachable reports whether the platform's log answers.
type LogReachable struct{ OK bool }

// LogTrimmed carries the oldest offset that the platform's log keeps.
type LogTrimmed struct{ First int64 }

// EntryAppended carries the result of an Append action.
type EntryAppended struct{ Result journal.AppendResult }

// CommandAnswered carries the results of a Command action. Err wraps ports.ErrUnavailable
// if the commands certainly had no effect, and ports.ErrInDoubt otherwise.
type CommandAnswered struct {
	Server  model.BackendServerID
	Batch   ports.CommandBatch
	Results []ports.TaskResult
	Err     error
}

// StatusAnswered carries a backend server's answer to a status poll sent at Sent.
type StatusAnswered struct {
	Server model.BackendServerID
	Sent   time.Time
	Status ports.BackendStatus
	Err    error
}

// HeartbeatReceived carries a heartbeat or the answer to one.
type HeartbeatReceived struct{ Heartbeat membership.Heartbeat }

// VMsListed carries the platform's VM list.
type VMsListed struct{ VMs []ports.VMEntry }

// JobSubmitted asks to accept a job; SubmitReply answers.
type JobSubmitted struct {
	Reply ReplyID
	Job   model.Job
}

// JobsCancelled asks to cancel jobs; CancelReply answers.
type JobsCancelled struct {
	Reply ReplyID
	Jobs  []model.JobID
}

// ChangePublished asks to append a configuration change; PublishReply answers.
type ChangePublished struct {
	Reply   ReplyID
	EntryID string
	Change  journal.ConfigChange
}

// DecisionRequested requests the verdict on an entry; DecisionReply answers.
type DecisionRequested struct {
	Reply   ReplyID
	EntryID string
}

// JobOffer passes a job that is not in the log to a term holder, with the start permit
// for one attempt.
type JobOffer struct {
	Job      model.Job
	Acceptor model.Incarnation
	Attempt  model.AttemptID
}

// OfferAnswer answers a JobOffer. Reason explains a refusal, which returns the permit to the
// acceptor, unless the log has the job (ReasonRecorded) or an earlier offer is in doubt.
type OfferAnswer struct {
	Accepted bool
	Reason   model.Reason
}

// JobOffered carries an offer from a peer; OfferReply answers.
type JobOffered struct {
	Reply ReplyID
	Offer JobOffer
}

// OfferAnswered carries the answer to a SendOffer action.
type OfferAnswered struct {
	Job    model.JobID
	Answer OfferAnswer
	Err    error
}

// TermOffer asks a successor to take over a term during a planned stop.
type TermOffer struct {
	AZ    model.AZ
	Token model.Token
	From  model.Incarnation
}

// TermOffered carries an offer from the holder; TermOfferReply answers.
type TermOffered struct {
	Reply ReplyID
	Offer TermOffer
}

// TermOfferAnswered carries the answer to a SendTermOffer action.
type TermOfferAnswered struct {
	Accepted bool
	Err      error
}

// DrainRequested starts the planned stop; DrainReply answers when this VM may stop.
type DrainRequested struct{ Reply ReplyID }

// ReplyAbandoned reports that a caller no longer waits for its reply.
type ReplyAbandoned struct{ Reply ReplyID }

// Ticked is delivered at intervals, so that the state sees time pass without other events.
type Ticked struct{}

func (EntriesRead) event()       {}
func (SnapshotRead) event()      {}
func (LogReachable) event()      {}
func (LogTrimmed) event()        {}
func (EntryAppended) event()     {}
func (CommandAnswered) event()   {}
func (StatusAnswered) event()    {}
func (HeartbeatReceived) event() {}
func (VMsListed) event()         {}
func (JobSubmitted) event()      {}
func (JobsCancelled) event()     {}
func (ChangePublished) event()   {}
func (DecisionRequested) event() {}
func (JobOffered) event()        {}
func (OfferAnswered) event()     {}
func (TermOffered) event()       {}
func (TermOfferAnswered) event() {}
func (DrainRequested) event()    {}
func (ReplyAbandoned) event()    {}
func (Ticked) event()            {}
