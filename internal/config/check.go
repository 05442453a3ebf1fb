package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// FitCheck returns the guarantees that do not fit together on the backend servers.
type FitCheck func(servers []model.BackendServer, organisations []model.Organisation) []UnfitGuarantee

// UnfitGuarantee is a guarantee that does not fit together with the others.
type UnfitGuarantee struct {
	Organisation model.OrganisationID
	Index        int // position in the organisation's guarantees, from 0
	Guarantee    model.Guarantee
	Fits         int // of Guarantee.Count
}

// Check returns all findings about a change of the configuration in force, nil for
// an empty one. The check of guarantees is left out when fit is nil.
func Check(current *Current, records []json.RawMessage, fit FitCheck) Findings {
	c := &checker{next: current.clone(), places: make(map[Key]int)}
	for i, raw := range records {
		c.record(i+1, raw)
	}
	if len(c.findings) > 0 {
		return c.findings
	}
	c.addresses()
	c.zones()
	c.bounds()
	if fit != nil {
		c.guarantees(fit)
	}
	return c.findings
}

// checker applies a change record by record and collects findings.
type checker struct {
	next     *Current
	places   map[Key]int // the position of each record in the change, from 1
	findings Findings
}

// add collects a finding about a record of the change; 0 for one already in force.
func (c *checker) add(place int, field, format string, args ...any) {
	finding := Finding{Record: place, Field: field, Message: fmt.Sprintf(format, args...)}
	c.findings = append(c.findings, finding)
}

// record checks one record by itself and applies it.
func (c *checker) record(place int, raw json.RawMessage) {
	r, findings := readRecord(raw)
	for _, field := range duplicateFields(raw) {
		findings = append(findings, Finding{Field: field, Message: "occurs twice"})
	}
	for _, finding := range findings {
		finding.Record = place
		c.findings = append(c.findings, finding)
	}
	if len(findings) > 0 {
		return
	}
	if first, twice := c.places[r.key]; twice {
		c.add(place, "id", "%s is already in record %d of this change", r.key, first)
		return
	}
	c.places[r.key] = place
	if r.deleted && !c.next.has(r.key) {
		c.add(place, "deleted", "%s is not in force", r.key)
	}
	c.next.put(r)
}

// addresses finds backend servers that share an address.
func (c *checker) addresses() {
	owner := make(map[string]model.BackendServerID)
	for _, server := range c.next.Servers() {
		first, taken := owner[server.Address]
		if !taken {
			owner[server.Address] = server.ID
			continue
		}
		place := c.places[Key{TypeBackendServer, string(server.ID)}]
		if place == 0 {
			place = c.places[Key{TypeBackendServer, string(first)}]
		}
		c.add(place, "address", "%s is the address of both %s and %s", server.Address, first, server.ID)
	}
}

// zones finds availability zones that lie in two regions and racks in two zones.
func (c *checker) zones() {
	regions := make(map[model.AZ]model.BackendServer)
	for _, server := range c.next.Servers() {
		first, seen := regions[server.AZ]
		if !seen {
			regions[server.AZ] = server
			continue
		}
		if first.Region != server.Region {
			place := c.places[Key{TypeBackendServer, string(server.ID)}]
			c.add(place, "region", "%s puts %s in region %s, but %s puts it in %s",
				server.ID, server.AZ, server.Region, first.ID, first.Region)
		}
	}
}

// bounds finds organisations whose accelerator bound is below their guarantees in
// one availability zone. A bound of 0 bounds nothing.
func (c *checker) bounds() {
	for _, organisation := range c.next.OrganisationList() {
		if organisation.MaxAccelerators == 0 {
			continue
		}
		place := c.places[Key{TypeOrganisation, string(organisation.ID)}]
		totals := guaranteedTotals(organisation)
		for _, az := range slices.Sorted(maps.Keys(totals)) {
			if totals[az] > organisation.MaxAccelerators {
				c.add(place, "maxAccelerators", "%s: bound of %d accelerators is below the %d guaranteed in %s",
					organisation.ID, organisation.MaxAccelerators, totals[az], az)
			}
		}
	}
}

// guaranteedTotals returns the guaranteed accelerators by availability zone.
func guaranteedTotals(organisation model.Organisation) map[model.AZ]int {
	totals := make(map[model.AZ]int)
	for _, g := range organisation.Guarantees {
		totals[g.AZ] += g.Shape.Total() * g.Count
	}
	return totals
}

// guarantees finds guarantees that the backend servers cannot honour together.
func (c *checker) guarantees(fit FitCheck) {
	for _, misfit := range fit(c.next.Servers(), c.next.OrganisationList()) {
		place := c.places[Key{TypeOrganisation, string(misfit.Organisation)}]
		shape := misfit.Guarantee.Shape
		c.add(place, fmt.Sprintf("guarantees[%d]", misfit.Index),
			"%s: only %d of %d gangs of %dx%d (%s) fit in %s beside the other guarantees",
			misfit.Organisation, misfit.Fits, misfit.Guarantee.Count,
			shape.Tasks, shape.Accelerators, shape.Adjacency, misfit.Guarantee.AZ)
	}
}

// Servers returns the backend servers ordered by ID.
func (c *Current) Servers() []model.BackendServer {
	servers := make([]model.BackendServer, 0, len(c.BackendServers))
	for _, server := range c.BackendServers {
		servers = append(servers, server)
	}
	slices.SortFunc(servers, func(a, b model.BackendServer) int {
		return Key{ID: string(a.ID)}.compare(Key{ID: string(b.ID)})
	})
	return servers
}

// OrganisationList returns the organisations ordered by ID.
func (c *Current) OrganisationList() []model.Organisation {
	organisations := make([]model.Organisation, 0, len(c.Organisations))
	for _, organisation := range c.Organisations {
		organisations = append(organisations, organisation)
	}
	slices.SortFunc(organisations, func(a, b model.Organisation) int {
		return Key{ID: string(a.ID)}.compare(Key{ID: string(b.ID)})
	})
	return organisations
}
