package fleet

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Event is an input of State.Step.
type Event interface{ event() }

// RecordsRead carries the result of one read of a followed partition; Records may be empty.
// Initial is set for the first read, which returns the newest record of each key. Synced
// is set if the read has reached the partition's end: everything stored before AsOf has
// then been read. Reads of an older Generation belong to an earlier resync and are ignored.
type RecordsRead struct {
	Generation int
	Partition  Partition
	Records    []StoredRecord
	Initial    bool
	Synced     bool
	Next       int64
	AsOf       time.Time
}

// StoreAnswered reports that the store has answered a read, or the error of a failed read.
type StoreAnswered struct{ Err error }

// ConfigChanged carries a new version of the configuration.
type ConfigChanged struct{ Config *Config }

// ServersListed carries the entries of all backend servers. All that was stored about them
// before AsOf has been read.
type ServersListed struct {
	Servers []ServerEntry
	AsOf    time.Time
}

// ServersUnread carries the error of a failed read of the entries of the backend servers.
type ServersUnread struct{ Err error }

// EvacuationsRead carries all availability zones that are to be evacuated.
type EvacuationsRead struct{ Evacuations }

// EvacuationsUnread carries the error of a failed read of the requests to evacuate availability zones.
type EvacuationsUnread struct{ Err error }

// AppendAnswered carries the outcome of the Append action with this number and epoch: each term numbers its
// own.
type AppendAnswered struct {
	Number int64
	Epoch  int64
	Offset int64
	Err    error
}

// SubmissionUnanswered reports that the store has not answered an append of a job's submission by this VM.
type SubmissionUnanswered struct{ Job model.JobID }

// ClaimAnswered carries the outcome of a Claim action with this epoch.
type ClaimAnswered struct {
	Epoch int64
	Err   error
}

// StartAnswered carries the outcome of an OrderStart action.
type StartAnswered struct {
	Order Start
	Clock int64
	Err   error
}

// StopAnswered carries the outcome of an OrderStop action.
type StopAnswered struct {
	Order Stop
	Clock int64
	Err   error
}

// HoldAnswered carries the outcome of an OrderHold action sent at Sent.
type HoldAnswered struct {
	Order  Hold
	Sent   time.Time
	Report Report
	Err    error
}

// HeartbeatReceived carries a heartbeat from a peer.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// DrainStarted reports that this VM's planned stop has begun.
type DrainStarted struct{}

// QueryRequested asks for a read-only function to be called with the state; see Loop.Query.
type QueryRequested struct{ Query func(*State) }

// AdviceAnswered carries the outcome of a RequestAdvice action.
type AdviceAnswered struct {
	Step    string
	Asked   []model.BackendServerID
	Tickets map[model.BackendServerID]string
	Valid   time.Duration
	Err     error
}

// Ticked makes Step check what depends on time alone.
type Ticked struct{}

func (RecordsRead) event()          {}
func (StoreAnswered) event()        {}
func (ConfigChanged) event()        {}
func (ServersListed) event()        {}
func (ServersUnread) event()        {}
func (EvacuationsRead) event()      {}
func (EvacuationsUnread) event()    {}
func (AppendAnswered) event()       {}
func (ClaimAnswered) event()        {}
func (SubmissionUnanswered) event() {}
func (StartAnswered) event()        {}
func (StopAnswered) event()         {}
func (HoldAnswered) event()         {}
func (HeartbeatReceived) event()    {}
func (DrainStarted) event()         {}
func (QueryRequested) event()       {}
func (AdviceAnswered) event()       {}
func (Ticked) event()               {}

// Action is an output of State.Step.
type Action interface{ action() }

// Append stores records; AppendAnswered carries the outcome with the same Number.
type Append struct {
	Number  int64
	Request AppendRequest
}

// Claim stores a claim of the term; ClaimAnswered carries the outcome.
type Claim struct{ Request AppendRequest }

// OrderStart, OrderStop and OrderHold send orders to a backend server.
type (
	OrderStart struct{ Start }
	OrderStop  struct{ Stop }
	OrderHold  struct{ Hold }
)

// SendHeartbeat sends a heartbeat to peers.
type SendHeartbeat struct {
	Heartbeat Heartbeat
	To        []string
}

// RequestAdvice asks the queue's policy which of Servers may run a step.
type RequestAdvice struct {
	Step    string
	Servers []model.BackendServerID
}

// ReadServers makes the loop read the entries of the backend servers now.
type ReadServers struct{}

// Resync restarts the reads of these partitions: at the start, when this VM's role changes, and
// after the term was lost, since the state may then hold changes that were not stored.
type Resync struct {
	Generation int
	Partitions []Partition
}

// FollowServers starts or ends the reads of the backend servers' entries.
type FollowServers struct{ On bool }

func (Append) action()        {}
func (Claim) action()         {}
func (OrderStart) action()    {}
func (OrderStop) action()     {}
func (OrderHold) action()     {}
func (SendHeartbeat) action() {}
func (RequestAdvice) action() {}
func (ReadServers) action()   {}
func (Resync) action()        {}
func (FollowServers) action() {}
