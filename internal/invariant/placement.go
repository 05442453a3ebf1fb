package invariant

import (
	"fmt"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

// CheckNoOvercommit returns a violation for each server whose gangs hold more
// accelerators than it has. Members on servers that the zone does not list are ignored,
// because the capacity of those servers is unknown.
func CheckNoOvercommit(zone placement.Zone) []Violation {
	allocated := make(map[model.BackendServerID]int)
	for _, gang := range zone.Placed {
		for _, member := range gang.Members {
			allocated[member.Server] += member.Accelerators
		}
	}
	var violations []Violation
	for _, server := range zone.Servers {
		if allocated[server.ID] <= server.Accelerators {
			continue
		}
		violations = append(violations, Violation{
			Invariant: NoOvercommit,
			Server:    server.ID,
			Detail:    fmt.Sprintf("gangs hold %d accelerators, the server has %d", allocated[server.ID], server.Accelerators),
		})
	}
	return violations
}

// CheckNoPartialGang returns a violation for each placed gang whose members do not match
// its shape exactly or are placed further apart than its adjacency allows.
func CheckNoPartialGang(zone placement.Zone) []Violation {
	racks := make(map[model.BackendServerID]model.RackID)
	for _, server := range zone.Servers {
		racks[server.ID] = server.Rack
	}
	var violations []Violation
	for _, gang := range zone.Placed {
		if defect := gangDefect(gang, racks); defect != "" {
			violations = append(violations, Violation{Invariant: NoPartialGang, Job: gang.Job, Detail: defect})
		}
	}
	return violations
}

// gangDefect describes how the gang's placement differs from its shape; "" if it does not.
func gangDefect(gang placement.PlacedGang, racks map[model.BackendServerID]model.RackID) string {
	if len(gang.Members) == 0 {
		return "no members placed"
	}
	if len(gang.Members) != gang.Shape.Tasks {
		return fmt.Sprintf("%d members placed of %d", len(gang.Members), gang.Shape.Tasks)
	}
	first := gang.Members[0]
	for _, member := range gang.Members {
		if member.Accelerators != gang.Shape.Accelerators {
			return fmt.Sprintf("a member has %d accelerators, the shape has %d",
				member.Accelerators, gang.Shape.Accelerators)
		}
		if gang.Shape.Adjacency == model.AdjacentServer && member.Server != first.Server {
			return fmt.Sprintf("members on %s and %s, adjacency is server", first.Server, member.Server)
		}
		if gang.Shape.Adjacency == model.AdjacentRack && racks[member.Server] != racks[first.Server] {
			return fmt.Sprintf("members in racks %s and %s, adjacency is rack",
				racks[first.Server], racks[member.Server])
		}
	}
	return ""
}
