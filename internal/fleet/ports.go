// Package fleet schedules jobs on the backend servers of their services.
//
// Every VM runs the same loop: it follows the records in the store and answers queries
// about any job. One VM, the holder of the term, is the leader: it alone places tasks,
// and it stores each placement before it sends the start order. State.Step is a state
// transition function without I/O that turns events into actions; Loop calls it from one
// goroutine and executes the actions in others.
package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Errors of the store and of backend servers.
var (
	// ErrNoEffect means that a call certainly had no effect.
	ErrNoEffect = ports.ErrUnavailable
	// ErrInDoubt means that a call may have taken effect, or may still do so.
	ErrInDoubt = ports.ErrInDoubt
	// ErrTooManyCalls means that the store refused a call because of a limit on calls.
	ErrTooManyCalls = errors.New("too many calls")
	// ErrDisconnected means that the other side has closed or refused the connection.
	ErrDisconnected = errors.New("disconnected")
	// ErrFenced means that a newer token or epoch is in use.
	ErrFenced = errors.New("fenced by a newer token")
	// ErrExpired means that an order was not sent by its SendBefore, and will not be.
	ErrExpired = errors.New("the order was not sent in time")
	// ErrConflict means that the partition's end is not at the offset that a conditional
	// append expected.
	ErrConflict = errors.New("the partition's end offset is not the expected one")
)

// Partition identifies a partition of a topic in the store.
type Partition struct {
	Topic  string
	Number int
}

// AppendRequest adds records to a partition atomically.
type AppendRequest struct {
	Partition Partition
	Records   []job.Record
	// At is the end offset that the partition must have; negative accepts any.
	At int64
	// Producer, with Epoch and Sequence, makes the append idempotent and fences older epochs.
	// Empty switches both off.
	Producer string
	Epoch    int64
	Sequence int64
}

// StoredRecord is a record with its offset.
type StoredRecord struct {
	job.Record
	Offset int64
}

// ReadResult is the result of a read. First is the oldest offset that the store still keeps,
// End the offset after the newest record.
type ReadResult struct {
	Records    []StoredRecord
	Next       int64 // offset of the next read
	First, End int64
	Trimmed    bool // the store no longer keeps the requested records
}

// NewestPage is one page of the compacted partition: the newest record of each key.
type NewestPage struct {
	Records []StoredRecord
	More    bool
	End     int64
}

// Store is the platform's partitioned log of keyed records.
type Store interface {
	// Append returns the offset of the first record; errors wrap ErrNoEffect,
	// ErrInDoubt, ErrFenced or ErrConflict.
	Append(ctx context.Context, a AppendRequest) (int64, error)
	// Read returns the records from an offset on and waits up to wait for the first one.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (ReadResult, error)
	// Newest returns the newest record of each key beyond after, one page at a time.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// Start is an order to start a run of a task.
type Start struct {
	Server     model.BackendServerID
	Address    string
	Task       string
	Run        int64
	Payload    string
	Deadline   int64 // on the backend server's clock, milliseconds
	Token      int64
	Checkpoint string
	Ticket     string
	// Priority is that of the job, 0 for the most urgent.
	Priority int
	// SendBefore, on the boot-time clock, is when the knowledge that the order rests on gets too
	// old. The order is not sent from then on, whatever it has waited for.
	SendBefore time.Time
	// ServerClock is the newest reading of the backend server's clock when the order was given.
	ServerClock int64
	// DecidedAt is when the run was placed, and ListedAsOf the time up to which the entries of
	// backend servers were known when the order was given.
	DecidedAt, ListedAsOf time.Time
}

// Stop is an order to end a run of a task, or to refuse its start if that arrives later.
type Stop struct {
	Server  model.BackendServerID
	Address string
	Task    string
	Run     int64
	Token   int64
	// ServerClock is the newest reading of the backend server's clock when the order was given.
	ServerClock int64
}

// Hold extends the lease of all runs on a backend server and requests a report.
type Hold struct {
	Server   model.BackendServerID
	Address  string
	Token    int64
	Deadline int64 // on the backend server's clock, milliseconds; 0 does not extend the lease
	// AcknowledgedEnd is the number up to which ends are recorded; they are left out of reports.
	AcknowledgedEnd int64
	Wait            time.Duration
}

// Refusal is the reason for which a backend server rejected an order.
type Refusal string

// Reasons for a refusal.
const (
	RefusedFenced           Refusal = "fence"    // the backend server has seen a newer token
	RefusedOldRun           Refusal = "old"      // this run or a newer one of the task has ended or was stopped
	RefusedDeadlinePassed   Refusal = "late"     // the deadline has passed
	RefusedNoCapacity       Refusal = "room"     // not enough free capacity
	RefusedNoTicket         Refusal = "ticket"   // no valid ticket of the queue's policy
	RefusedUnhealthy        Refusal = "busy"     // the backend server is not healthy
	RefusedOtherIncarnation Refusal = "instance" // another incarnation answers at this address
	RefusedMalformed        Refusal = "invalid"  // the backend server could not parse the order
)

// RefusedError means that a backend server rejected an order, which had no effect.
type RefusedError struct {
	Reason Refusal
	// Clock is the backend server's clock in milliseconds; 0 if the answer had none.
	Clock int64
}

// Error returns the reason.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// RunOutcome is how a run ended.
type RunOutcome string

// Outcomes of a run.
const (
	EndedDone           RunOutcome = "done"
	EndedFailed         RunOutcome = "failed"
	EndedStopped        RunOutcome = "stopped"
	EndedLeaseExpired   RunOutcome = "lapsed" // its lease ran out
	EndedGangBroken     RunOutcome = "broken" // another member of the gang ended
	EndedGangIncomplete RunOutcome = "alone"  // not all members of the gang were started in time
)

// RunReport is a run that a backend server lists as running.
type RunReport struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int // share of the work that is done; 100 for a long-running task that is running
}

// EndReport is an ended run. Number numbers the ends of one incarnation consecutively.
type EndReport struct {
	Number     int64
	Task       string
	Run        int64
	Outcome    RunOutcome
	Checkpoint string
}

// Report is a backend server's answer to Hold. IncarnationStart is in Unix milliseconds.
type Report struct {
	IncarnationStart int64
	Clock            int64 // milliseconds
	Running          []RunReport
	Ended            []EndReport
}

// BackendServers sends orders to backend servers. An error is a *RefusedError or wraps
// ErrInDoubt, or ErrExpired for a start. Start and Stop return the backend server's clock.
type BackendServers interface {
	Start(ctx context.Context, o Start) (clock int64, err error)
	Stop(ctx context.Context, o Stop) (clock int64, err error)
	Hold(ctx context.Context, o Hold) (Report, error)
}

// ServerEntry is the record in which a backend server describes itself in the store.
type ServerEntry struct {
	ID       model.BackendServerID
	Service  string
	Address  string
	AZ       model.AZ
	Rack     model.RackID
	Labels   []string
	Capacity job.Resources
	Draining bool
	// Remaining is the minimum time until a draining backend server leaves; 0 if unknown.
	Remaining time.Duration
	// ColdFor is how much longer it works slowly after its start.
	ColdFor          time.Duration
	IncarnationStart int64 // Unix milliseconds
	Clock            int64 // milliseconds
	Sequence         int64
}
