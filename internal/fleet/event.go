package fleet

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Event is an input of the transition.
type Event interface{ event() }

// RecordsRead carries records of a followed partition, also when there are none. Initial
// is set for the records of the first read; Synced tells that they reach its end. Records
// of an older Generation come from a read that was given up. If Synced, everything that
// was stored up to AsOf has been read.
type RecordsRead struct {
	Generation int
	Partition  Partition
	Records    []StoredRecord
	Initial    bool
	Synced     bool
	Next       int64
	AsOf       time.Time
}

// StoreAnswered tells that the store has answered a read, or with Err how that failed.
type StoreAnswered struct{ Err error }

// ConfigChanged carries a configuration in force.
type ConfigChanged struct{ Config *Config }

// ServersListed carries the entries of all backend servers.
type ServersListed struct{ Servers []ServerEntry }

// AppendAnswered carries the outcome of the Append action with this number.
type AppendAnswered struct {
	Number int64
	Offset int64
	Err    error
}

// ClaimAnswered carries the outcome of a Claim action.
type ClaimAnswered struct{ Err error }

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

// HeartbeatReceived carries a peer's heartbeat.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// DrainStarted tells that a planned stop has begun.
type DrainStarted struct{}

// QueryRequested runs a read-only function on the state; the loop uses it for queries.
type QueryRequested struct{ Query func(*State) }

// AdviceAnswered carries the policy's answer for a step.
type AdviceAnswered struct {
	Step    string
	Asked   []model.BackendServerID
	Tickets map[model.BackendServerID]string
	Valid   time.Duration
	Err     error
}

// Ticked tells that time has passed.
type Ticked struct{}

func (RecordsRead) event()       {}
func (StoreAnswered) event()     {}
func (ConfigChanged) event()     {}
func (ServersListed) event()     {}
func (AppendAnswered) event()    {}
func (ClaimAnswered) event()     {}
func (StartAnswered) event()     {}
func (StopAnswered) event()      {}
func (HoldAnswered) event()      {}
func (HeartbeatReceived) event() {}
func (DrainStarted) event()      {}
func (QueryRequested) event()    {}
func (AdviceAnswered) event()    {}
func (Ticked) event()            {}

// Action is an output of the transition.
type Action interface{ action() }

// Append stores records; AppendAnswered reports back under Number.
type Append struct {
	Number  int64
	Request AppendRequest
}

// Claim stores a claim of the term; ClaimAnswered reports back.
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

// RequestAdvice asks the policy which backend servers may run a step.
type RequestAdvice struct {
	Step    string
	Servers []model.BackendServerID
}

// Resync has all partitions read anew, because own changes were not recorded.
type Resync struct{ Generation int }

func (Append) action()        {}
func (Claim) action()         {}
func (OrderStart) action()    {}
func (OrderStop) action()     {}
func (OrderHold) action()     {}
func (SendHeartbeat) action() {}
func (RequestAdvice) action() {}
func (Resync) action()        {}
