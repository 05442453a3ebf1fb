package placement

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// topology holds the servers, racks and capacities of one availability zone. Servers
// are identified by their position in the zone's list.
type topology struct {
	servers  []Server
	position map[model.BackendServerID]int
	racks    [][]int // server positions of each rack, in order of first appearance
	capacity []int   // accelerators of each server; 0 for an unusable one
}

// newTopology indexes the servers of a zone.
func newTopology(servers []Server) *topology {
	t := &topology{
		servers:  servers,
		position: make(map[model.BackendServerID]int, len(servers)),
		capacity: make([]int, len(servers)),
	}
	rackIndex := make(map[model.RackID]int)
	for i := range servers {
		server := &servers[i]
		t.position[server.ID] = i
		if server.Usable {
			t.capacity[i] = server.Accelerators
		}
		rack, known := rackIndex[server.Rack]
		if !known {
			rack = len(t.racks)
			rackIndex[server.Rack] = rack
			t.racks = append(t.racks, nil)
		}
		t.racks[rack] = append(t.racks[rack], i)
	}
	return t
}

// all returns the positions of all servers.
func (t *topology) all() []int {
	positions := make([]int, len(t.servers))
	for i := range positions {
		positions[i] = i
	}
	return positions
}

// members converts a cell to the member list of a gang.
func (t *topology) members(shape model.GangShape, c cell) []Member {
	members := make([]Member, 0, shape.Tasks)
	for _, p := range c {
		for range p.tasks {
			member := Member{Server: t.servers[p.server].ID, Accelerators: shape.Accelerators}
			members = append(members, member)
		}
	}
	return members
}
