package control

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

// resolveHome returns the home that the submitter requested, or chooses one. It returns an
// error if the requested zone, or every zone, can never hold the shape.
func (s *State) resolveHome(cfg *config.Current, org model.Organisation, job model.Job) (model.AZ, error) {
	if job.HomeAZ == "" {
		return s.chooseHome(cfg, org, job.Shape)
	}
	servers := slices.Collect(maps.Values(cfg.BackendServers))
	return job.HomeAZ, placement.CheckShape(job.HomeAZ, servers, org, job.Shape)
}

// chooseHome chooses the availability zone whose term holder schedules a job, in this order:
// one in which the organisation has a guarantee that covers the job, preferably this VM's
// own; this VM's own; any other that can ever hold the shape. A zone other than this VM's
// own is chosen without a reachable term holder only if no better one can hold the shape.
func (s *State) chooseHome(cfg *config.Current, org model.Organisation, shape model.GangShape) (model.AZ, error) {
	fits, err := fittingZones(cfg, org, shape, s.self.AZ)
	if err != nil {
		return "", err
	}
	covered := coveredZones(org, shape)
	rank := func(az model.AZ) int {
		own := az == s.self.AZ
		reachable := own || s.holderOf(az) != nil
		switch {
		case own && covered[az]:
			return 0
		case reachable && covered[az]:
			return 1
		case own:
			return 2
		case reachable:
			return 3
		default:
			return 4
		}
	}
	best := fits[0]
	for _, az := range fits {
		if rank(az) < rank(best) {
			best = az
		}
	}
	return best, nil
}

// coveredZones returns the availability zones in which a guarantee covers the shape.
func coveredZones(org model.Organisation, shape model.GangShape) map[model.AZ]bool {
	covered := make(map[model.AZ]bool)
	for _, g := range org.Guarantees {
		if placement.Covers(g.Shape, shape) {
			covered[g.AZ] = true
		}
	}
	return covered
}

// fittingZones lists the availability zones that can ever hold the shape, ordered by name.
// If there is none, it returns the error for the availability zone az.
func fittingZones(cfg *config.Current, org model.Organisation, shape model.GangShape, az model.AZ) ([]model.AZ, error) {
	byZone := make(map[model.AZ][]model.BackendServer)
	for _, id := range eventloop.SortedKeys(cfg.BackendServers) {
		b := cfg.BackendServers[id]
		byZone[b.AZ] = append(byZone[b.AZ], b)
	}
	var fits []model.AZ
	for _, az := range eventloop.SortedKeys(byZone) {
		if placement.CheckShape(az, byZone[az], org, shape) == nil {
			fits = append(fits, az)
		}
	}
	if len(fits) == 0 {
		return nil, placement.CheckShape(az, byZone[az], org, shape)
	}
	return fits, nil
}

// shapeRefusal explains why a job can never run.
func shapeRefusal(err error) *Refusal {
	r := &Refusal{Reason: ReasonNeverFits, Message: fmt.Sprintf("the job can never run: %v", err)}
	var shape *placement.ShapeError
	if errors.As(err, &shape) && shape.Reason != placement.ShapeNoCell {
		r.Reason = model.Reason(shape.Reason)
	}
	return r
}
