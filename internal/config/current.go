// Package config holds the configuration that operators publish: the schema
// versions of its records, the checks on a change, and the state in force.
package config

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// Current is the configuration in force. It is immutable: a change makes a new one.
type Current struct {
	// Revision is the log offset of the newest accepted change; 0 when there is none.
	Revision       int64
	Organisations  map[model.OrganisationID]model.Organisation
	BackendServers map[model.BackendServerID]model.BackendServer
	RequestKinds   map[string]model.RequestKind
	Limits         model.Limits
}

// Finding is one fault in a configuration record, with its place.
type Finding struct {
	File    string `json:"file,omitempty"`
	Record  int    `json:"record"` // position in the file, from 1
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Findings is the list of faults of a change. It is an error when not empty.
type Findings []Finding
