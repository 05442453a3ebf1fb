// Package fleet schedules the jobs of whole services over all their backend servers.
//
// Every VM runs the same loop: it follows the stored records and answers for any job.
// One VM holds the term; it alone places tasks, and records each placement before it
// orders the start. State.Step is a pure transition from events to actions; Loop runs
// it in one goroutine and carries the actions out in others.
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
	// ErrNoEffect tells that a call certainly had no effect.
	ErrNoEffect = ports.ErrUnavailable
	// ErrInDoubt tells that a call may have had its effect, or may still have it.
	ErrInDoubt = ports.ErrInDoubt
	// ErrFenced tells that a newer token or epoch is in use.
	ErrFenced = errors.New("fenced by a newer token")
	// ErrConflict tells that a conditional append found another end.
	ErrConflict = errors.New("the partition has another end")
)

// Partition names a partition of a topic in the store.
type Partition struct {
	Topic  string
	Number int
}

// AppendRequest adds records to a partition, all or nothing.
type AppendRequest struct {
	Partition Partition
	Records   []job.Record
	// At is the end that the partition must have; negative for any.
	At int64
	// Producer, with Epoch and Sequence, fences older epochs and drops repeats; empty for none.
	Producer string
	Epoch    int64
	Sequence int64
}

// StoredRecord is a record with its offset.
type StoredRecord struct {
	job.Record
	Offset int64
}

// ReadResult is what a read returned. First is the oldest offset that is kept, End one
// past the newest.
type ReadResult struct {
	Records    []StoredRecord
	Next       int64 // where to read on
	First, End int64
	Trimmed    bool // the wanted records are gone
}

// NewestPage is one page of the newest record of each key.
type NewestPage struct {
	Records []StoredRecord
	More    bool
	End     int64
}

// Store is the platform's log of keyed records.
type Store interface {
	// Append returns the offset of the first record; errors wrap ErrNothingDone,
	// ErrInDoubt, ErrFenced or ErrConflict.
	Append(ctx context.Context, a AppendRequest) (int64, error)
	// Read waits up to wait for records from an offset on.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (ReadResult, error)
	// Newest returns the newest records of the keys after a key.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// Start orders a run of a task.
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
}

// Stop ends a run of a task, or keeps it from being started later.
type Stop struct {
	Server  model.BackendServerID
	Address string
	Task    string
	Run     int64
	Token   int64
}

// Hold extends the lease of all that runs on a backend server and asks for a report.
type Hold struct {
	Server   model.BackendServerID
	Address  string
	Token    int64
	Deadline int64 // on the backend server's clock, milliseconds; 0 extends nothing
	// AcknowledgedEnd is the number of the newest end that needs no further report.
	AcknowledgedEnd int64
	Wait            time.Duration
}

// Refusal is why a backend server did not start a task.
type Refusal string

// The refusals.
const (
	RefusedFenced           Refusal = "fence"    // a newer token was seen
	RefusedOldRun           Refusal = "old"      // this run or a newer one has ended or was stopped
	RefusedDeadlinePassed   Refusal = "late"     // the deadline has passed
	RefusedNoCapacity       Refusal = "room"     // the capacity is taken
	RefusedNoTicket         Refusal = "ticket"   // no valid ticket of the queue's policy
	RefusedUnhealthy        Refusal = "busy"     // the backend server is not healthy
	RefusedOtherIncarnation Refusal = "instance" // another incarnation answers at this address
	RefusedMalformed        Refusal = "invalid"  // the order could not be read
)

// RefusedError tells that an order had no effect.
type RefusedError struct {
	Reason Refusal
	// Clock is the backend server's clock in milliseconds, 0 when not told.
	Clock int64
}

// Error returns the reason.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// RunOutcome is how a run ended.
type RunOutcome string

// The endings.
const (
	EndedDone           RunOutcome = "done"
	EndedFailed         RunOutcome = "failed"
	EndedStopped        RunOutcome = "stopped"
	EndedLeaseExpired   RunOutcome = "lapsed" // its lease ran out
	EndedGangBroken     RunOutcome = "broken" // another member of the gang ended
	EndedGangIncomplete RunOutcome = "alone"  // the other members did not come
)

// RunReport is a run that a backend server lists as running.
type RunReport struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int // of the work that is done; 100 for a long-running task at work
}

// EndReport is an ended run. Number counts the ends of one incarnation.
type EndReport struct {
	Number     int64
	Task       string
	Run        int64
	Outcome    RunOutcome
	Checkpoint string
}

// Report is a backend server's answer to Hold. Born is the start of its incarnation
// in Unix milliseconds.
type Report struct {
	IncarnationStart int64
	Clock            int64 // milliseconds
	Running          []RunReport
	Ended            []EndReport
}

// BackendServers sends orders. Errors are a *RefusedError or wrap ErrInDoubt. Start
// and Stop return the backend server's clock.
type BackendServers interface {
	Start(ctx context.Context, o Start) (clock int64, err error)
	Stop(ctx context.Context, o Stop) (clock int64, err error)
	Hold(ctx context.Context, o Hold) (Report, error)
}

// ServerEntry is what a backend server says of itself in the store.
type ServerEntry struct {
	ID       model.BackendServerID
	Service  string
	Address  string
	AZ       model.AZ
	Rack     model.RackID
	Labels   []string
	Capacity job.Resources
	Draining bool
	// Remaining is the least time left to a draining backend server; 0 when not told.
	Remaining        time.Duration
	IncarnationStart int64 // Unix milliseconds
	Clock            int64 // milliseconds
	Sequence         int64
}
