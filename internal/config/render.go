package config

import (
	"encoding/json"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// header holds the first fields of each rendered record.
type header struct {
	SchemaVersion int    `json:"schemaVersion"`
	Type          Type   `json:"type"`
	ID            string `json:"id,omitempty"`
}

// newHeader returns the header of a record of schema version 2.
func newHeader(t Type, id string) header {
	return header{SchemaVersion: SchemaVersion2, Type: t, ID: id}
}

// The JSON forms of the records of schema version 2.
type (
	organisation2 struct {
		header
		Guarantees []model.Guarantee `json:"guarantees"`
		Quota      quota2            `json:"quota"`
		Weight     int               `json:"weight"`
	}
	quota2 struct {
		Accelerators int `json:"accelerators"`
	}
	backendServer2 struct {
		header
		Address  string    `json:"address"`
		Location location2 `json:"location"`
		Capacity capacity2 `json:"capacity"`
	}
	location2 struct {
		Region model.Region `json:"region"`
		AZ     model.AZ     `json:"az"`
		Rack   model.RackID `json:"rack"`
	}
	capacity2 struct {
		Accelerators int `json:"accelerators"`
		Slots        int `json:"slots"`
		Connections  int `json:"connections"`
		Cores        int `json:"cores"`
		MemoryMB     int `json:"memoryMB"`
	}
	requestKind2 struct {
		header
		PriorityClass string `json:"priorityClass"`
		Deadline      string `json:"deadline"`
		Idempotent    bool   `json:"idempotent"`
	}
	limits2 struct {
		header
		Queue       queue2            `json:"queue"`
		CrossRegion crossRegion2      `json:"crossRegion"`
		Retry       retry2            `json:"retry"`
		Classes     map[string]class2 `json:"classes"`
	}
	queue2 struct {
		Requests int   `json:"requests"`
		Bytes    int64 `json:"bytes"`
	}
	crossRegion2 struct {
		BytesPerSecond int64 `json:"bytesPerSecond"`
	}
	retry2 struct {
		Percent int `json:"percent"`
	}
	class2 struct {
		MinSharePercent int `json:"minSharePercent"`
	}
)

// Render returns the records of a configuration in schema version 2, ordered by type
// and ID. Publishing them to an empty configuration results in the same
// configuration.
func Render(current *Current) []json.RawMessage {
	rendered := renderByKey(current)
	records := make([]json.RawMessage, 0, len(rendered))
	for _, key := range sortKeys(rendered) {
		records = append(records, rendered[key])
	}
	return records
}

// renderByKey returns the rendered records by key.
func renderByKey(current *Current) map[Key]json.RawMessage {
	rendered := make(map[Key]json.RawMessage)
	if current == nil {
		return rendered
	}
	for id, organisation := range current.Organisations {
		rendered[Key{TypeOrganisation, string(id)}] = renderOrganisation(organisation)
	}
	for id, server := range current.BackendServers {
		rendered[Key{TypeBackendServer, string(id)}] = renderBackendServer(server)
	}
	for name, kind := range current.RequestKinds {
		rendered[Key{TypeRequestKind, name}] = renderRequestKind(kind)
	}
	if current.Limits != (model.Limits{}) {
		rendered[Key{Type: TypeLimits}] = renderLimits(current.Limits)
	}
	return rendered
}

// renderOrganisation returns an organisation as a record.
func renderOrganisation(o model.Organisation) json.RawMessage {
	return mustEncode(organisation2{
		header:     newHeader(TypeOrganisation, string(o.ID)),
		Guarantees: append([]model.Guarantee{}, o.Guarantees...),
		Quota:      quota2{o.MaxAccelerators},
		Weight:     o.Weight,
	})
}

// renderBackendServer returns a backend server as a record.
func renderBackendServer(s model.BackendServer) json.RawMessage {
	return mustEncode(backendServer2{
		header:   newHeader(TypeBackendServer, string(s.ID)),
		Address:  s.Address,
		Location: location2{Region: s.Region, AZ: s.AZ, Rack: s.Rack},
		Capacity: capacity2{
			Accelerators: s.Accelerators,
			Slots:        s.Slots,
			Connections:  s.Connections,
			Cores:        s.Cores,
			MemoryMB:     s.MemoryMB,
		},
	})
}

// renderRequestKind returns a request kind as a record.
func renderRequestKind(k model.RequestKind) json.RawMessage {
	return mustEncode(requestKind2{
		header:        newHeader(TypeRequestKind, k.Name),
		PriorityClass: k.Class.String(),
		Deadline:      k.Deadline.String(),
		Idempotent:    k.Idempotent,
	})
}

// renderLimits returns the limits as a record.
func renderLimits(l model.Limits) json.RawMessage {
	classes := make(map[string]class2)
	for class := model.ClassUrgent; class < model.ClassCount; class++ {
		classes[class.String()] = class2{l.MinSharePercent[class]}
	}
	return mustEncode(limits2{
		header:      newHeader(TypeLimits, ""),
		Queue:       queue2{Requests: l.QueueRequests, Bytes: l.QueueBytes},
		CrossRegion: crossRegion2{l.CrossRegionRate},
		Retry:       retry2{l.RetryPercent},
		Classes:     classes,
	})
}

// sortKeys returns the keys of a map in order.
func sortKeys[V any](m map[Key]V) []Key {
	keys := make([]Key, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}
