package placement

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// cellPart is the part of a cell on one server.
type cellPart struct {
	server int // position in the topology
	tasks  int
}

// cell is a set of accelerators that holds one gang. It gives amounts per server and
// does not name individual accelerators.
type cell []cellPart

// addTo adds the accelerators of the cell, multiplied by sign, to amounts per server.
func (c cell) addTo(amounts []int, perTask, sign int) {
	for _, p := range c {
		amounts[p.server] += sign * p.tasks * perTask
	}
}

// fitsIn reports whether each server has room for its part of the cell.
func (c cell) fitsIn(room []int, perTask int) bool {
	for _, p := range c {
		if room[p.server] < p.tasks*perTask {
			return false
		}
	}
	return true
}

// preference selects one of the cells that can hold a shape.
type preference int

const (
	preferFirstFit preference = iota // the one with the lowest position
	preferBestFit                    // the one that leaves the least room
)

// finder looks for a cell in the given room per server.
type finder struct {
	topology *topology
	room     []int // accelerators per server; may be negative
	prefer   preference
	avoid    map[int]bool // server positions to leave out; nil for none
	// skip is how many servers, or racks for a shape bound to a rack, at the start of
	// the list are known not to hold the shape. A search by first fit raises it.
	skip int
}

// find returns a cell for the shape; ok is false when there is none.
func (f *finder) find(shape model.GangShape) (c cell, ok bool) {
	if !validShape(shape) {
		return nil, false
	}
	if shape.Adjacency == model.AdjacentServer || shape.Tasks == 1 {
		return f.onServer(shape)
	}
	if shape.Adjacency == model.AdjacentRack {
		return f.inRack(shape)
	}
	return f.fill(f.topology.all(), shape)
}

func (f *finder) onServer(shape model.GangShape) (cell, bool) {
	total := shape.Total()
	best := -1
	for s := f.skip; s < len(f.room); s++ {
		room := f.room[s]
		if room < total || f.avoid[s] {
			continue
		}
		if f.prefer == preferFirstFit {
			best = s
			break
		}
		if best < 0 || room < f.room[best] {
			best = s
		}
	}
	if best < 0 {
		return nil, false
	}
	f.skipTo(best)
	return cell{{server: best, tasks: shape.Tasks}}, true
}

func (f *finder) inRack(shape model.GangShape) (cell, bool) {
	best := -1
	bestRoom := 0
	for r := f.skip; r < len(f.topology.racks); r++ {
		rack := f.topology.racks[r]
		tasks, room := f.countRoom(rack, shape.Accelerators)
		if tasks < shape.Tasks {
			continue
		}
		if best < 0 || room < bestRoom {
			best, bestRoom = r, room
		}
		if f.prefer == preferFirstFit {
			break
		}
	}
	if best < 0 {
		return nil, false
	}
	f.skipTo(best)
	return f.fill(f.topology.racks[best], shape)
}

// skipTo records that nothing before the position holds the shape.
func (f *finder) skipTo(position int) {
	if f.prefer == preferFirstFit {
		f.skip = position
	}
}

// countRoom returns how many tasks fit on the servers and their total room.
func (f *finder) countRoom(servers []int, perTask int) (tasks, room int) {
	for _, s := range servers {
		if f.room[s] <= 0 || f.avoid[s] {
			continue
		}
		tasks += f.room[s] / perTask
		room += f.room[s]
	}
	return tasks, room
}

// fill spreads the tasks over the servers, those with the least room first when the
// best fit is preferred.
func (f *finder) fill(servers []int, shape model.GangShape) (cell, bool) {
	if f.prefer == preferBestFit {
		servers = f.leastRoomFirst(servers)
	}
	var c cell
	left := shape.Tasks
	for _, s := range servers {
		if f.room[s] < shape.Accelerators || f.avoid[s] {
			continue
		}
		tasks := min(left, f.room[s]/shape.Accelerators)
		c = append(c, cellPart{server: s, tasks: tasks})
		left -= tasks
		if left == 0 {
			return c, true
		}
	}
	return nil, false
}

// leastRoomFirst returns the servers that have room, sorted by room and otherwise in
// the given order. It is a counting sort.
func (f *finder) leastRoomFirst(servers []int) []int {
	most := 0
	for _, s := range servers {
		most = max(most, f.room[s])
	}
	starts := make([]int, most+2)
	for _, s := range servers {
		if f.room[s] > 0 {
			starts[f.room[s]+1]++
		}
	}
	for room := 1; room < len(starts); room++ {
		starts[room] += starts[room-1]
	}
	sorted := make([]int, starts[most+1])
	for _, s := range servers {
		if room := f.room[s]; room > 0 {
			sorted[starts[room]] = s
			starts[room]++
		}
	}
	return sorted
}
