package config

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// newCurrent returns an empty configuration.
func newCurrent() *Current {
	return &Current{
		Organisations:  make(map[model.OrganisationID]model.Organisation),
		BackendServers: make(map[model.BackendServerID]model.BackendServer),
		RequestKinds:   make(map[string]model.RequestKind),
	}
}

// build returns the configuration that consists of all records.
func (s *State) build() *Current {
	c := newCurrent()
	c.Revision = s.revision
	for _, r := range s.records {
		c.put(r.read)
	}
	return c
}

// put adds or replaces the value of a record, or removes it if the record says so.
// The record must have been read without findings.
func (c *Current) put(r record) {
	switch {
	case r.deleted:
		c.remove(r.key)
	case r.organisation != nil:
		c.Organisations[r.organisation.ID] = *r.organisation
	case r.backendServer != nil:
		c.BackendServers[r.backendServer.ID] = *r.backendServer
	case r.requestKind != nil:
		c.RequestKinds[r.requestKind.Name] = *r.requestKind
	case r.limits != nil:
		c.Limits = *r.limits
	}
}

// remove deletes the record with a key, if there is one.
func (c *Current) remove(k Key) {
	switch k.Type {
	case TypeOrganisation:
		delete(c.Organisations, model.OrganisationID(k.ID))
	case TypeBackendServer:
		delete(c.BackendServers, model.BackendServerID(k.ID))
	case TypeRequestKind:
		delete(c.RequestKinds, k.ID)
	case TypeLimits:
		c.Limits = model.Limits{}
	}
}

// has reports whether there is a record with a key.
func (c *Current) has(k Key) bool {
	ok := false
	switch k.Type {
	case TypeOrganisation:
		_, ok = c.Organisations[model.OrganisationID(k.ID)]
	case TypeBackendServer:
		_, ok = c.BackendServers[model.BackendServerID(k.ID)]
	case TypeRequestKind:
		_, ok = c.RequestKinds[k.ID]
	case TypeLimits:
		ok = c.Limits != model.Limits{}
	}
	return ok
}

// clone returns a copy with maps of its own. For a nil receiver the copy is empty.
func (c *Current) clone() *Current {
	copied := newCurrent()
	if c == nil {
		return copied
	}
	copied.Revision = c.Revision
	copied.Limits = c.Limits
	for id, organisation := range c.Organisations {
		copied.Organisations[id] = organisation
	}
	for id, server := range c.BackendServers {
		copied.BackendServers[id] = server
	}
	for name, kind := range c.RequestKinds {
		copied.RequestKinds[name] = kind
	}
	return copied
}
