// Package ports defines the interfaces (ports) to everything outside the system:
// the platform's append-only log, its VM list, and the backend servers. It also
// contains their HTTP clients. Fakes are defined in tests.
package ports

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

var (
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrInDoubt means that the call was sent but no valid answer arrived: it may have had an effect.
	ErrInDoubt = errors.New("in doubt")
	// ErrTrimmed means that the log no longer keeps the requested offset.
	ErrTrimmed = errors.New("offset is past retention")
	// ErrNotFound means that the server does not know the requested item.
	ErrNotFound = errors.New("not found")
)

// Record is one record of the platform's log.
type Record struct {
	Offset int64     `json:"offset"` // first offset is 1
	Time   time.Time `json:"time"`   // when the log stored it
	Data   []byte    `json:"data"`
}

// Batch is the answer to a read of the log.
type Batch struct {
	Records []Record `json:"records"` // in order of offset, without gaps
	First   int64    `json:"first"`   // the oldest offset still kept
	Next    int64    `json:"next"`    // the offset that the next append will get
}

// Log is the platform's append-only log.
type Log interface {
	// Append stores data as one record and returns its offset. The error wraps
	// ErrUnavailable if nothing was stored, ErrInDoubt if that is not known.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns up to limit records, starting at offset from, and waits up to wait
	// for the first one. A read from beyond the end returns no records, but sets First
	// and Next. The error wraps ErrTrimmed or ErrUnavailable.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (Batch, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM. A VM that is missing from the list no longer exists.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMEntry is one row of the platform's VM list, which contains the VMs of the
// system and the backend servers.
type VMEntry struct {
	Address string   `json:"address"` // IP:port
	Role    string   `json:"role"`    // RoleVM or RoleBackendServer
	AZ      model.AZ `json:"az"`
	State   VMState  `json:"state"`
}

// The roles in the VM list.
const (
	RoleVM            = "entry" // a VM of this system
	RoleBackendServer = "backend"
)

// VMList is the platform's list of VMs. Changes appear in it with a delay.
type VMList interface {
	List(ctx context.Context) ([]VMEntry, error)
}
