package invariant

import (
	"fmt"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

// CheckReclaimable returns a violation for each guarantee of the zone's availability
// zone that evicting borrowed gangs alone would not free. The zone is the one after the
// plan was applied. The plan's backing is taken as a claim and verified: each cell is
// whole and on usable servers, all cells together with the gangs inside guarantees fit
// on every server, and each guarantee has a cell or a running gang for each unit of its
// count, less the shortfall that the plan reports as a risk.
func CheckReclaimable(zone placement.Zone, plan placement.Plan) []Violation {
	servers := make(map[model.BackendServerID]placement.Server, len(zone.Servers))
	for _, server := range zone.Servers {
		servers[server.ID] = server
	}
	violations := checkCells(servers, plan.Backing)
	violations = append(violations, checkRoom(zone, plan.Backing)...)
	return append(violations, checkCounts(zone, servers, plan)...)
}

// checkCells verifies the shape and the servers of each backing cell.
func checkCells(servers map[model.BackendServerID]placement.Server, backing []placement.Backing) []Violation {
	racks := make(map[model.BackendServerID]model.RackID, len(servers))
	for id, server := range servers {
		racks[id] = server.Rack
	}
	var violations []Violation
	for _, b := range backing {
		cell := placement.Placed{Members: b.Members}
		cell.Shape = b.Shape
		if fault := gangFault(cell, racks); fault != "" {
			violations = append(violations, unreclaimable(b.Organisation, "", fault))
		}
		for _, member := range b.Members {
			if !servers[member.Server].Usable {
				violations = append(violations, unreclaimable(b.Organisation, member.Server, "cell on an unusable server"))
			}
		}
	}
	return violations
}

// checkRoom verifies that the cells and the gangs inside guarantees fit together.
func checkRoom(zone placement.Zone, backing []placement.Backing) []Violation {
	promised := make(map[model.BackendServerID]int)
	backed := make(map[model.BackendServerID]int)
	for _, gang := range zone.Placed {
		if gang.Borrowed {
			continue
		}
		for _, member := range gang.Members {
			promised[member.Server] += member.Accelerators
		}
	}
	for _, b := range backing {
		for _, member := range b.Members {
			backed[member.Server] += member.Accelerators
		}
	}
	var violations []Violation
	for _, server := range zone.Servers {
		if backed[server.ID] == 0 || promised[server.ID]+backed[server.ID] <= server.Accelerators {
			continue
		}
		detail := fmt.Sprintf("cells of %d and guaranteed gangs of %d do not fit on %d accelerators",
			backed[server.ID], promised[server.ID], server.Accelerators)
		violations = append(violations, unreclaimable("", server.ID, detail))
	}
	return violations
}

// unit counts what stands behind the guarantees of one shape.
type unit struct {
	organisation model.OrganisationID
	shape        model.GangShape
	count        int
	running      int // gangs that take it up
	backed       int // cells and gangs on usable servers
	risk         int // reported shortfall
}

// checkCounts verifies that each guarantee is backed up to its count.
func checkCounts(zone placement.Zone, servers map[model.BackendServerID]placement.Server, plan placement.Plan) []Violation {
	units := unitsOf(zone)
	countRunning(zone, servers, units)
	for _, b := range plan.Backing {
		if u := unitOf(units, b.Organisation, b.Shape); u != nil {
			u.backed++
		}
	}
	for _, risk := range plan.Risks {
		if u := unitOf(units, risk.Organisation, risk.Guarantee.Shape); u != nil {
			u.risk += risk.Guarantee.Count - risk.Honoured
		}
	}
	var violations []Violation
	for _, u := range units {
		if u.backed+u.risk >= u.count {
			continue
		}
		detail := fmt.Sprintf("%d of %d gangs of %d x %d (%s) backed, %d reported at risk",
			u.backed, u.count, u.shape.Tasks, u.shape.Accelerators, u.shape.Adjacency, u.risk)
		violations = append(violations, unreclaimable(u.organisation, "", detail))
	}
	return violations
}

// unitsOf merges the guarantees of the same organisation and shape.
func unitsOf(zone placement.Zone) []*unit {
	var units []*unit
	for _, organisation := range zone.Organisations {
		for _, guarantee := range organisation.Guarantees {
			if guarantee.AZ != zone.AZ {
				continue
			}
			u := unitOf(units, organisation.ID, guarantee.Shape)
			if u == nil {
				u = &unit{organisation: organisation.ID, shape: guarantee.Shape}
				units = append(units, u)
			}
			u.count += guarantee.Count
		}
	}
	return units
}

// unitOf returns the unit of the organisation and shape, or nil.
func unitOf(units []*unit, organisation model.OrganisationID, shape model.GangShape) *unit {
	for _, u := range units {
		if u.organisation == organisation && u.shape == shape {
			return u
		}
	}
	return nil
}

// countRunning counts the gangs inside guarantees, those with the tightest adjacency
// first, each against the loosest guarantee that covers it.
func countRunning(zone placement.Zone, servers map[model.BackendServerID]placement.Server, units []*unit) {
	levels := []model.Adjacency{model.AdjacentServer, model.AdjacentRack, model.AdjacentAny}
	for _, level := range levels {
		for _, gang := range zone.Placed {
			if gang.Borrowed || gang.Shape.Adjacency != level {
				continue
			}
			u := loosestCovering(units, gang)
			if u == nil {
				continue
			}
			u.running++
			moving := slices.ContainsFunc(gang.Members, func(m placement.Member) bool { return !servers[m.Server].Usable })
			if !moving {
				u.backed++
			}
		}
	}
}

func loosestCovering(units []*unit, gang placement.Placed) *unit {
	var best *unit
	for _, u := range units {
		covers := u.organisation == gang.Organisation && placement.Covers(u.shape, gang.Shape)
		if !covers || u.running >= u.count {
			continue
		}
		if best == nil || placement.Covers(best.shape, u.shape) {
			best = u
		}
	}
	return best
}

func unreclaimable(organisation model.OrganisationID, server model.BackendServerID, detail string) Violation {
	if organisation != "" {
		detail = fmt.Sprintf("organisation %s: %s", organisation, detail)
	}
	return Violation{Invariant: GuaranteeReclaimable, Server: server, Detail: detail}
}
