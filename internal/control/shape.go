package control

import (
	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// zonesThatFit returns the availability zones whose configured backend servers
// could hold the shape if all were idle and healthy.
func zonesThatFit(cfg *config.Current, shape model.GangShape) map[model.AZ]bool {
	byZone := make(map[model.AZ][]model.BackendServer)
	for _, b := range cfg.BackendServers {
		byZone[b.AZ] = append(byZone[b.AZ], b)
	}
	fits := make(map[model.AZ]bool)
	for az, servers := range byZone {
		if fitsServers(servers, shape) {
			fits[az] = true
		}
	}
	return fits
}

// fitsServers reports whether idle servers of one availability zone can hold the shape.
func fitsServers(servers []model.BackendServer, shape model.GangShape) bool {
	racks := make(map[model.RackID]int)
	whole := 0
	for _, b := range servers {
		n := b.Accelerators / shape.Accelerators
		whole += n
		racks[b.Rack] += n
		if n >= shape.Tasks {
			return true
		}
	}
	switch shape.Adjacency {
	case model.AdjacentServer:
		return false
	case model.AdjacentRack:
		for _, n := range racks {
			if n >= shape.Tasks {
				return true
			}
		}
		return false
	default:
		return whole >= shape.Tasks
	}
}
