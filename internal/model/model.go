// Package model holds the identifiers and values that the other packages share.
package model

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

// AZ names an availability zone.
type AZ string

// Region names a region, which groups availability zones.
type Region string

// RackID names a rack inside an availability zone.
type RackID string

// BackendServerID names a backend server.
type BackendServerID string

// OrganisationID names an organisation.
type OrganisationID string

// CallerID names a caller inside an organisation.
type CallerID string

// JobID identifies a job.
type JobID string

// AttemptID identifies one attempt to run a job as a gang.
type AttemptID string

// TaskID identifies one member of a gang attempt on a backend server.
type TaskID string

// RequestID identifies a request.
type RequestID string

// Incarnation identifies one run of a VM process. A restarted process has a new one.
type Incarnation string

// Token is a fencing token. Tokens are ordered by the log offset of the term claim,
// then by the rank of the successor that acts under it; the claimant itself has rank 0.
type Token struct {
	Offset int64 `json:"offset"`
	Rank   int   `json:"rank"`
}

// Less reports whether t is older than u.
func (t Token) Less(u Token) bool {
	if t.Offset != u.Offset {
		return t.Offset < u.Offset
	}
	return t.Rank < u.Rank
}

// Class is the priority class of requests and jobs. A lower value is more urgent.
type Class int

// The priority classes.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBatch
	ClassCount
)

// String returns the name used in records and in the API.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassNormal:
		return "normal"
	case ClassBatch:
		return "batch"
	default:
		return "invalid"
	}
}

// ParseClass returns the class with the given name; ok is false for an unknown name.
func ParseClass(name string) (c Class, ok bool) {
	for c := ClassUrgent; c < ClassCount; c++ {
		if c.String() == name {
			return c, true
		}
	}
	return 0, false
}

// Adjacency states how close the members of a gang must be.
type Adjacency string

// The adjacency levels, from the tightest to the loosest. No gang spans availability zones.
const (
	AdjacentServer Adjacency = "server"
	AdjacentRack   Adjacency = "rack"
	AdjacentAny    Adjacency = "any"
)

// Valid reports whether a is one of the known levels.
func (a Adjacency) Valid() bool {
	return a == AdjacentServer || a == AdjacentRack || a == AdjacentAny
}

// GangShape is the accelerator shape of a gang: Tasks members of Accelerators each.
type GangShape struct {
	Tasks        int       `json:"tasks"`
	Accelerators int       `json:"accelerators"`
	Adjacency    Adjacency `json:"adjacency"`
}

// Total returns the number of accelerators of the whole gang.
func (s GangShape) Total() int { return s.Tasks * s.Accelerators }

// Guarantee entitles an organisation to Count gangs of Shape in one availability zone.
type Guarantee struct {
	AZ    AZ        `json:"az"`
	Shape GangShape `json:"shape"`
	Count int       `json:"count"`
}

// Organisation is a tenant with guaranteed shapes.
type Organisation struct {
	ID         OrganisationID `json:"id"`
	Guarantees []Guarantee    `json:"guarantees"`
	// MaxAccelerators bounds guaranteed plus borrowed accelerators; 0 means no bound.
	MaxAccelerators int `json:"maxAccelerators"`
	// Weight is the organisation's weight in the fair queueing of requests; at least 1.
	Weight int `json:"weight"`
}

// BackendServer is a host in a rack that runs tasks and requests.
type BackendServer struct {
	ID           BackendServerID `json:"id"`
	Address      string          `json:"address"` // IP:port
	AZ           AZ              `json:"az"`
	Region       Region          `json:"region"`
	Rack         RackID          `json:"rack"`
	Accelerators int             `json:"accelerators"`
	Slots        int             `json:"slots"`
	Connections  int             `json:"connections"`
	Cores        int             `json:"cores"`
	MemoryMB     int             `json:"memoryMB"`
}

// RequestKind describes one kind of request.
type RequestKind struct {
	Name       string        `json:"name"`
	Class      Class         `json:"class"`
	Deadline   time.Duration `json:"deadline"` // nanoseconds
	Idempotent bool          `json:"idempotent"`
}

// Limits are the settings of the request path that operators publish.
type Limits struct {
	QueueRequests   int   `json:"queueRequests"`   // per VM
	QueueBytes      int64 `json:"queueBytes"`      // per VM
	CrossRegionRate int64 `json:"crossRegionRate"` // bytes per second per VM
	// MinSharePercent is the share of slots reserved for each class while another class
	// floods the queues.
	MinSharePercent [ClassCount]int `json:"minSharePercent"`
	// RetryPercent bounds retries as a percentage of first attempts.
	RetryPercent int `json:"retryPercent"`
}

// Job is a gang submitted by an organisation.
type Job struct {
	ID           JobID          `json:"id"`
	Organisation OrganisationID `json:"organisation"`
	Shape        GangShape      `json:"shape"`
	Class        Class          `json:"class"`
	// HomeAZ is the availability zone whose term holder schedules the job.
	HomeAZ AZ `json:"homeAZ"`
	// DeclaredRuntime is a hint and may be far off.
	DeclaredRuntime time.Duration `json:"declaredRuntime"`
	// Idempotent permits a new attempt although an earlier one may have run.
	Idempotent bool `json:"idempotent"`
	// Payload is passed to every task without being interpreted.
	Payload string `json:"payload,omitempty"`
}

// RandomID returns 128 random bits in hexadecimal.
func RandomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	return hex.EncodeToString(b[:])
}
