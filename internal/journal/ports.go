package journal

import (
	"context"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// FetchResult is what a peer returns: records, or a snapshot when it no longer keeps
// the records asked for.
type FetchResult struct {
	Records  []ports.Record
	Snapshot *Snapshot
	Next     int64
}

// Peers fetches log records from another VM. The error wraps
// ports.ErrUnavailable when no peer could answer.
type Peers interface {
	Fetch(ctx context.Context, from int64, limit int) (FetchResult, error)
}

// Sink receives what the follower read, in order of offset and without gaps. It is
// called from one goroutine.
type Sink interface {
	// Records delivers entries up to, not including, offset next.
	Records(entries []LocatedEntry, next int64)
	// Snapshot delivers a whole state; it is called only when it is newer than
	// all records delivered so far.
	Snapshot(s Snapshot)
	// Reachable tells whether the platform's log answers. It is called on changes.
	Reachable(ok bool)
}

// AppendState is what the publisher knows about an entry it was given.
type AppendState string

// The states of an append.
const (
	AppendStored  AppendState = "stored"   // the log answered with an offset
	AppendNotSent AppendState = "not sent" // certain: the log holds no such entry and never will
	AppendInDoubt AppendState = "in doubt" // sent, no answer; replay will tell
)

// AppendResult reports the state of an append. For one entry, AppendInDoubt may
// be followed by one of the other two.
type AppendResult struct {
	EntryID string
	State   AppendState
	Offset  int64 // set when stored
	Err     error // set when not stored
}
