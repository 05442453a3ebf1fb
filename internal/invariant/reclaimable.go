package invariant

import (
	"fmt"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

// CheckReclaimable returns a violation for each guarantee in the zone that could not be
// met by evicting only borrowed gangs. The zone is the state after the plan was applied.
// The plan's backing is not trusted but verified: each cell has its full shape on usable
// servers, the cells and the guaranteed gangs together fit on every server, and each
// guarantee has as many cells and running gangs as its count, less the shortfall that the
// plan reports as a risk.
func CheckReclaimable(zone placement.Zone, plan placement.Plan) []Violation {
	servers := make(map[model.BackendServerID]placement.Server, len(zone.Servers))
	for _, server := range zone.Servers {
		servers[server.ID] = server
	}
	violations := checkCells(servers, plan.Backing)
	violations = append(violations, checkCapacity(zone, plan.Backing)...)
	return append(violations, checkGuaranteeCounts(zone, servers, plan)...)
}

// checkCells verifies the shape and the servers of each backing cell.
func checkCells(servers map[model.BackendServerID]placement.Server, backing []placement.Backing) []Violation {
	racks := make(map[model.BackendServerID]model.RackID, len(servers))
	for id, server := range servers {
		racks[id] = server.Rack
	}
	var violations []Violation
	for _, b := range backing {
		cell := placement.PlacedGang{Members: b.Members}
		cell.Shape = b.Shape
		if defect := gangDefect(cell, racks); defect != "" {
			violations = append(violations, reclaimViolation(b.Organisation, "", defect))
		}
		for _, member := range b.Members {
			if !servers[member.Server].Usable {
				violations = append(violations, reclaimViolation(b.Organisation, member.Server, "cell on an unusable server"))
			}
		}
	}
	return violations
}

// checkCapacity verifies that the cells and the guaranteed gangs together fit on each server.
func checkCapacity(zone placement.Zone, backing []placement.Backing) []Violation {
	allocated := make(map[model.BackendServerID]int)
	reserved := make(map[model.BackendServerID]int)
	for _, gang := range zone.Placed {
		if gang.Borrowed {
			continue
		}
		for _, member := range gang.Members {
			allocated[member.Server] += member.Accelerators
		}
	}
	for _, b := range backing {
		for _, member := range b.Members {
			reserved[member.Server] += member.Accelerators
		}
	}
	var violations []Violation
	for _, server := range zone.Servers {
		if reserved[server.ID] == 0 || allocated[server.ID]+reserved[server.ID] <= server.Accelerators {
			continue
		}
		detail := fmt.Sprintf("cells reserved for guarantees (%d accelerators) and guaranteed gangs (%d) together do not fit on the server's %d accelerators",
			reserved[server.ID], allocated[server.ID], server.Accelerators)
		violations = append(violations, reclaimViolation("", server.ID, detail))
	}
	return violations
}

// guaranteeCount compares the guarantees of one organisation and shape with the gangs
// and cells that back them.
type guaranteeCount struct {
	organisation model.OrganisationID
	shape        model.GangShape
	guaranteed   int
	running      int // running gangs that use the guarantee
	backed       int // cells, and running gangs on usable servers
	atRisk       int // shortfall reported by the plan
}

// checkGuaranteeCounts verifies that each guarantee is backed up to its count, less the
// reported shortfall.
func checkGuaranteeCounts(zone placement.Zone, servers map[model.BackendServerID]placement.Server, plan placement.Plan) []Violation {
	counts := mergeGuarantees(zone)
	countRunning(zone, servers, counts)
	for _, b := range plan.Backing {
		if c := findCount(counts, b.Organisation, b.Shape); c != nil {
			c.backed++
		}
	}
	for _, risk := range plan.Risks {
		if c := findCount(counts, risk.Organisation, risk.Guarantee.Shape); c != nil {
			c.atRisk += risk.Guarantee.Count - risk.Honoured
		}
	}
	var violations []Violation
	for _, c := range counts {
		if c.backed+c.atRisk >= c.guaranteed {
			continue
		}
		detail := fmt.Sprintf("only %d of %d gangs of %d tasks x %d accelerators (adjacency %s) have a cell or run on usable servers, and only %d are reported at risk",
			c.backed, c.guaranteed, c.shape.Tasks, c.shape.Accelerators, c.shape.Adjacency, c.atRisk)
		violations = append(violations, reclaimViolation(c.organisation, "", detail))
	}
	return violations
}

// mergeGuarantees merges the guarantees of the same organisation and shape.
func mergeGuarantees(zone placement.Zone) []*guaranteeCount {
	var counts []*guaranteeCount
	for _, organisation := range zone.Organisations {
		for _, guarantee := range organisation.Guarantees {
			if guarantee.AZ != zone.AZ {
				continue
			}
			c := findCount(counts, organisation.ID, guarantee.Shape)
			if c == nil {
				c = &guaranteeCount{organisation: organisation.ID, shape: guarantee.Shape}
				counts = append(counts, c)
			}
			c.guaranteed += guarantee.Count
		}
	}
	return counts
}

// findCount returns the entry of the organisation and shape, or nil.
func findCount(counts []*guaranteeCount, organisation model.OrganisationID, shape model.GangShape) *guaranteeCount {
	for _, c := range counts {
		if c.organisation == organisation && c.shape == shape {
			return c
		}
	}
	return nil
}

// countRunning counts each guaranteed gang against the loosest guarantee that covers it,
// starting with the gangs of the tightest adjacency.
func countRunning(zone placement.Zone, servers map[model.BackendServerID]placement.Server, counts []*guaranteeCount) {
	tightestFirst := []model.Adjacency{model.AdjacentServer, model.AdjacentRack, model.AdjacentAny}
	for _, adjacency := range tightestFirst {
		for _, gang := range zone.Placed {
			if gang.Borrowed || gang.Shape.Adjacency != adjacency {
				continue
			}
			c := loosestCovering(counts, gang)
			if c == nil {
				continue
			}
			c.running++
			onUnusable := slices.ContainsFunc(gang.Members, func(m placement.Member) bool { return !servers[m.Server].Usable })
			if !onUnusable {
				c.backed++
			}
		}
	}
}

// loosestCovering returns the loosest unused guarantee that covers the gang, or nil.
func loosestCovering(counts []*guaranteeCount, gang placement.PlacedGang) *guaranteeCount {
	var best *guaranteeCount
	for _, c := range counts {
		covers := c.organisation == gang.Organisation && placement.Covers(c.shape, gang.Shape)
		if !covers || c.running >= c.guaranteed {
			continue
		}
		if best == nil || placement.Covers(best.shape, c.shape) {
			best = c
		}
	}
	return best
}

func reclaimViolation(organisation model.OrganisationID, server model.BackendServerID, detail string) Violation {
	if organisation != "" {
		detail = fmt.Sprintf("organisation %s: %s", organisation, detail)
	}
	return Violation{Invariant: GuaranteeReclaimable, Server: server, Detail: detail}
}
