package journal

import (
	"context"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// FetchResult is a peer's answer to a fetch: records, or a snapshot when the peer no
// longer keeps the records requested.
type FetchResult struct {
	Records  []ports.Record
	Snapshot *Snapshot
	Next     int64 // the next offset that the peer itself will deliver
}

// Peers fetches log records from another VM. The error wraps
// ports.ErrUnavailable when no peer could answer.
type Peers interface {
	Fetch(ctx context.Context, from int64, limit int) (FetchResult, error)
}

// Sink receives what the follower reads, in order of offset and without gaps except
// those that a snapshot covers. All calls are from one goroutine.
type Sink interface {
	// Records delivers the entries since the previous call and before offset next.
	Records(entries []LocatedEntry, next int64)
	// Snapshot delivers a whole state. It is called only with a snapshot that is
	// newer than all records delivered so far.
	Snapshot(s Snapshot)
	// LogReachabilityChanged tells whether the platform's log answers. It is called once
	// this is known, and then at each change.
	LogReachabilityChanged(reachable bool)
}

// AppendState is what the publisher knows about a submitted entry.
type AppendState string

// The states of an append.
const (
	AppendStored  AppendState = "stored"   // the log holds the entry
	AppendNotSent AppendState = "not sent" // certain: the entry has no effect and never will
	AppendInDoubt AppendState = "in doubt" // sent without an answer; replay will show the outcome
)

// AppendResult reports the state of an append. For one entry, AppendInDoubt may be
// followed by AppendStored or AppendNotSent.
type AppendResult struct {
	EntryID string
	State   AppendState
	Offset  int64 // set when stored
	Err     error // set when not stored
}
