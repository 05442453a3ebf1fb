package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// FitCheck returns the guarantees that do not fit on the backend servers together with
// the others.
type FitCheck func(servers []model.BackendServer, organisations []model.Organisation) []UnplacedGuarantee

// UnplacedGuarantee is a guarantee that does not fit on the backend servers together
// with the others.
type UnplacedGuarantee struct {
	Organisation model.OrganisationID
	Index        int // position in the organisation's guarantees, from 0
	Guarantee    model.Guarantee
	Fits         int // how many of Guarantee.Count gangs fit
}

// Check returns all findings about a change to the current configuration. A nil
// current is an empty configuration. When fit is nil, it does not check whether the
// guarantees fit.
func Check(current *Current, records []json.RawMessage, fit FitCheck) Findings {
	c := &checker{next: current.clone(), positions: make(map[Key]int)}
	for i, raw := range records {
		c.checkRecord(i+1, raw)
	}
	if len(c.findings) > 0 {
		return c.findings
	}
	c.checkAddresses()
	c.checkZones()
	c.checkBounds()
	if fit != nil {
		c.checkGuarantees(fit)
	}
	return c.findings
}

// checker applies a change record by record and collects findings.
type checker struct {
	next      *Current
	positions map[Key]int // the position of each record in the change, from 1
	findings  Findings
}

// add collects a finding about the record at a position of the change. If the position
// is 0, the finding is about a record already in force.
func (c *checker) add(position int, field, format string, args ...any) {
	finding := Finding{Record: position, Field: field, Message: fmt.Sprintf(format, args...)}
	c.findings = append(c.findings, finding)
}

// checkRecord checks one record on its own and applies it.
func (c *checker) checkRecord(position int, raw json.RawMessage) {
	r, findings := readRecord(raw)
	for _, field := range duplicateFields(raw) {
		findings = append(findings, Finding{Field: field, Message: "occurs twice"})
	}
	for _, finding := range findings {
		finding.Record = position
		c.findings = append(c.findings, finding)
	}
	if len(findings) > 0 {
		return
	}
	if first, duplicate := c.positions[r.key]; duplicate {
		c.add(position, "id", "%s is already in record %d of this change", r.key, first)
		return
	}
	c.positions[r.key] = position
	if r.deleted && !c.next.has(r.key) {
		c.add(position, "deleted", "%s is not in force", r.key)
	}
	c.next.put(r)
}

// checkAddresses checks that no two backend servers have the same address.
func (c *checker) checkAddresses() {
	owner := make(map[string]model.BackendServerID)
	for _, server := range c.next.Servers() {
		first, shared := owner[server.Address]
		if !shared {
			owner[server.Address] = server.ID
			continue
		}
		position := c.positions[Key{TypeBackendServer, string(server.ID)}]
		if position == 0 {
			position = c.positions[Key{TypeBackendServer, string(first)}]
		}
		c.add(position, "address", "%s is the address of both %s and %s", server.Address, first, server.ID)
	}
}

// checkZones checks that each availability zone is in one region.
func (c *checker) checkZones() {
	regions := make(map[model.AZ]model.BackendServer)
	for _, server := range c.next.Servers() {
		first, seen := regions[server.AZ]
		if !seen {
			regions[server.AZ] = server
			continue
		}
		if first.Region != server.Region {
			position := c.positions[Key{TypeBackendServer, string(server.ID)}]
			c.add(position, "region", "%s puts %s in region %s, but %s puts it in %s",
				server.ID, server.AZ, server.Region, first.ID, first.Region)
		}
	}
}

// checkBounds checks that no organisation's accelerator bound is below its
// guarantees in an availability zone. A bound of 0 means no bound.
func (c *checker) checkBounds() {
	for _, organisation := range c.next.OrganisationList() {
		if organisation.MaxAccelerators == 0 {
			continue
		}
		position := c.positions[Key{TypeOrganisation, string(organisation.ID)}]
		totals := guaranteedTotals(organisation)
		for _, az := range slices.Sorted(maps.Keys(totals)) {
			if totals[az] > organisation.MaxAccelerators {
				c.add(position, "maxAccelerators", "%s: bound of %d accelerators is below the %d guaranteed in %s",
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

// checkGuarantees checks that the backend servers can honour all guarantees together.
func (c *checker) checkGuarantees(fit FitCheck) {
	for _, unplaced := range fit(c.next.Servers(), c.next.OrganisationList()) {
		position := c.positions[Key{TypeOrganisation, string(unplaced.Organisation)}]
		shape := unplaced.Guarantee.Shape
		c.add(position, fmt.Sprintf("guarantees[%d]", unplaced.Index),
			"%s: only %d of %d gangs of %dx%d (%s) fit in %s beside the other guarantees",
			unplaced.Organisation, unplaced.Fits, unplaced.Guarantee.Count,
			shape.Tasks, shape.Accelerators, shape.Adjacency, unplaced.Guarantee.AZ)
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
