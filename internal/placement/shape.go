package placement

import (
	"fmt"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// ShapeReason says why a shape can never run.
type ShapeReason string

// The reasons of a ShapeError.
const (
	ShapeInvalid   ShapeReason = "shape is invalid"
	ShapeOverBound ShapeReason = "shape exceeds the organisation's accelerator bound"
	ShapeNoCell    ShapeReason = "no cell of the availability zone can ever hold the shape"
)

// ShapeError reports a shape that can never run in an availability zone on the
// configured backend servers.
type ShapeError struct {
	AZ     model.AZ
	Shape  model.GangShape
	Reason ShapeReason
}

// Error names the reason, the shape and the availability zone.
func (e *ShapeError) Error() string {
	return fmt.Sprintf("%s: %d tasks of %d accelerators, adjacency %q, in %s",
		e.Reason, e.Shape.Tasks, e.Shape.Accelerators, e.Shape.Adjacency, e.AZ)
}

// CheckShape returns a *ShapeError when the shape can never run in the availability
// zone, even with every configured server usable and empty, and nil otherwise.
// Servers of other availability zones are ignored.
func CheckShape(az model.AZ, servers []model.BackendServer, organisation model.Organisation, shape model.GangShape) error {
	if !validShape(shape) {
		return &ShapeError{AZ: az, Shape: shape, Reason: ShapeInvalid}
	}
	bound := organisation.MaxAccelerators
	if bound > 0 && shape.Total() > bound {
		return &ShapeError{AZ: az, Shape: shape, Reason: ShapeOverBound}
	}
	t := newTopology(usableServers(az, servers))
	empty := finder{topology: t, room: t.capacity, prefer: preferFirstFit}
	if _, ok := empty.find(shape); !ok {
		return &ShapeError{AZ: az, Shape: shape, Reason: ShapeNoCell}
	}
	return nil
}

// maxShapeDimension bounds tasks and accelerators per task, so that their product
// cannot overflow.
const maxShapeDimension = 1 << 20

func validShape(shape model.GangShape) bool {
	return shape.Tasks >= 1 && shape.Tasks <= maxShapeDimension &&
		shape.Accelerators >= 1 && shape.Accelerators <= maxShapeDimension &&
		shape.Adjacency.Valid()
}

// usableServers returns the servers of the availability zone, all marked usable and
// sorted by ID.
func usableServers(az model.AZ, servers []model.BackendServer) []Server {
	var usable []Server
	for _, server := range servers {
		if server.AZ == az {
			usable = append(usable, Server{BackendServer: server, Usable: true})
		}
	}
	sortServers(usable)
	return usable
}
