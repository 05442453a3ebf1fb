// Package journal defines the records that the system stores in the platform's log.
// A follower reads them in order. A publisher appends them at a limited rate and,
// when the answer to an append is lost, finds out by entry ID whether the entry
// was stored.
package journal

import (
	"encoding/json"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Kind names the type of an entry's body.
type Kind string

// The kinds of entries. A configuration record that a release cannot read is never
// skipped: it keeps the new configuration from taking effect there, see config.State.
const (
	KindConfig       Kind = "config"        // ConfigChange
	KindJobAccepted  Kind = "job-accepted"  // JobAccepted
	KindJobCancelled Kind = "job-cancelled" // JobCancelled
	KindJobMoved     Kind = "job-moved"     // JobMoved
	KindAttempt      Kind = "attempt"       // AttemptClaimed
	KindJobEnded     Kind = "job-ended"     // JobEnded
	KindTerm         Kind = "term"          // TermClaimed
	KindSnapshot     Kind = "snapshot"      // Snapshot
)

// Entry is one change proposed to the replicated state.
type Entry struct {
	// ID is unique and makes the append idempotent: a second entry with the same
	// ID has no effect in replay.
	ID     string            `json:"id"`
	Kind   Kind              `json:"kind"`
	Author model.Incarnation `json:"author"`
	// NotAfter is the last log offset at which the entry may take effect; 0 sets
	// no bound. The publisher sets it before it first sends the entry.
	NotAfter int64           `json:"notAfter,omitempty"`
	Body     json.RawMessage `json:"body"`
}

// Packet is the content of one log record: the entries batched into one append.
type Packet struct {
	Entries []Entry `json:"entries"`
}

// LocatedEntry is an entry with its position in the log. Entries of one packet share
// an offset and differ in Index.
type LocatedEntry struct {
	Offset int64
	Index  int
	Time   time.Time
	Entry  Entry
}

// Verdict is the result of replaying an entry. It is the same on every VM.
type Verdict string

// The verdicts.
const (
	VerdictAccepted  Verdict = "accepted"
	VerdictConflict  Verdict = "conflict"  // another entry won against the same expected revision
	VerdictDuplicate Verdict = "duplicate" // an entry with this ID was decided before
	VerdictMalformed Verdict = "malformed" // the body cannot be decoded or lacks a required field
	VerdictExpired   Verdict = "expired"   // stored after its NotAfter offset, so it has no effect
	VerdictUnknown   Verdict = "unknown"   // appended in doubt and not yet read back
)

// Decision is the verdict on one entry and, for a conflict, the entry that won.
type Decision struct {
	EntryID string  `json:"entryID"`
	Offset  int64   `json:"offset"`
	Verdict Verdict `json:"verdict"`
	// Winner is the offset of the entry that holds the current revision after a conflict.
	Winner int64 `json:"winner,omitempty"`
	// Detail explains a conflict or a malformed entry.
	Detail string `json:"detail,omitempty"`
}

// JobAccepted records a job that a VM accepted.
type JobAccepted struct {
	Job model.Job `json:"job"`
	// Acceptor is the only VM that grants start permits for attempts made before
	// this record was sent.
	Acceptor model.Incarnation `json:"acceptor"`
	// Attempt is set when the acceptor granted an attempt before the record was sent.
	Attempt model.AttemptID `json:"attempt,omitempty"`
	// Incarnations are those of the home's backend servers when the attempt was granted, as far as
	// the acceptor knew them.
	Incarnations map[model.BackendServerID]string `json:"incarnations,omitempty"`
	// GivenTo is the VM that may have got the permit for the attempt from the acceptor.
	GivenTo model.Incarnation `json:"givenTo,omitempty"`
}

// JobCancelled records a cancellation. It is idempotent.
type JobCancelled struct {
	Job model.JobID `json:"job"`
}

// JobMoved gives a job a new home availability zone. It is accepted only if
// ExpectedRevision is the current home revision of the job.
type JobMoved struct {
	Job              model.JobID `json:"job"`
	Home             model.AZ    `json:"home"`
	ExpectedRevision int64       `json:"expectedRevision"`
}

// AttemptClaimed is the start permit for one attempt. It is accepted only when the
// job has no open attempt and Number is one more than the last.
type AttemptClaimed struct {
	Job        model.JobID     `json:"job"`
	Attempt    model.AttemptID `json:"attempt"`
	Number     int             `json:"number"`
	Term       model.Token     `json:"term"`
	Checkpoint string          `json:"checkpoint,omitempty"`
	// Servers are the only backend servers that the attempt may run on.
	Servers []model.BackendServerID `json:"servers,omitempty"`
	// Incarnations are those of the servers at the time of the claim, as far as they are known.
	Incarnations map[model.BackendServerID]string `json:"incarnations,omitempty"`
}

// JobEnded closes an attempt. When Final is set it closes the job too.
type JobEnded struct {
	Job        model.JobID     `json:"job"`
	Attempt    model.AttemptID `json:"attempt,omitempty"`
	Final      bool            `json:"final"`
	Result     string          `json:"result"` // a replica.JobResult
	Reason     model.Reason    `json:"reason,omitempty"`
	Checkpoint string          `json:"checkpoint,omitempty"`
	// FailedOn lists the backend servers on which members of the attempt failed.
	FailedOn []model.BackendServerID `json:"failedOn,omitempty"`
}

// TermClaimed claims the term of an availability zone; the entry's offset is the
// fencing token. It is accepted only when Previous is the offset of the current term.
type TermClaimed struct {
	AZ       model.AZ          `json:"az"`
	Holder   model.Incarnation `json:"holder"`
	Address  string            `json:"address"`
	Previous int64             `json:"previous"`
	// Successors may act for the holder while the log is unreachable, in this
	// order, with ranks from 1.
	Successors []Successor `json:"successors"`
}

// Successor is a VM that may act for a term holder.
type Successor struct {
	Incarnation model.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
}

// ConfigChange is a set of configuration records published as one change.
type ConfigChange struct {
	// ExpectedRevision is the offset of the newest accepted change that the
	// publisher saw.
	ExpectedRevision int64             `json:"expectedRevision"`
	Records          []json.RawMessage `json:"records"` // each with schemaVersion and type
	Comment          string            `json:"comment,omitempty"`
}

// Snapshot holds the whole replicated state as it was after Offset.
type Snapshot struct {
	Offset int64           `json:"offset"`
	State  json.RawMessage `json:"state"`
}
