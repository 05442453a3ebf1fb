// Package config implements the configuration that operators publish: the schema
// versions of its records, the checks on a change, and the replicated state.
package config

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// Current is the configuration in force. It is immutable; each change creates a new
// one.
type Current struct {
	// Revision is the log offset of the newest accepted change; 0 when there is none.
	Revision       int64
	Organisations  map[model.OrganisationID]model.Organisation
	BackendServers map[model.BackendServerID]model.BackendServer
	RequestKinds   map[string]model.RequestKind
	Limits         model.Limits
}

// Finding is an error in a configuration file or record, with its position.
type Finding struct {
	File    string `json:"file,omitempty"`
	Record  int    `json:"record"` // position in the file or change, from 1; 0 for none
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Findings is the list of errors in a change. It implements error; Err returns nil
// for an empty list.
type Findings []Finding
