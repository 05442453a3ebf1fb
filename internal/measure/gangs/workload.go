// Package gangs measures the placement of gangs. It replays seeded workloads against the
// placement policies alone, in virtual time. It does not model processes, the network or
// VMs.
package gangs

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

// Sizes of the deployments.
const (
	serversPerZone        = 17
	serversPerRack        = 8
	acceleratorsPerServer = 8
	workloadSpan          = 4 * 24 * time.Hour
)

// deployment is a set of availability zones and the mix of jobs that they receive.
type deployment struct {
	name          string
	zones         []model.AZ
	organisations []model.Organisation
	// largeShare is the share of large gangs among all jobs, from 0 to 1.
	largeShare float64
	// load is the offered work as a share of all accelerators.
	load float64
}

// deployments returns the two deployments. They have the same size, but the second one has
// more large jobs.
func deployments() []deployment {
	return []deployment{
		newDeployment("Palvehelmed", []model.AZ{"harju-a", "tartu-a", "parnu-a"}, 0.06),
		newDeployment("Swanbank", []model.AZ{"perth-a", "bunbury-a", "geraldton-a"}, 0.12),
	}
}

func newDeployment(name string, zones []model.AZ, largeShare float64) deployment {
	return deployment{
		name:          name,
		zones:         zones,
		organisations: sampleOrganisations(zones),
		largeShare:    largeShare,
		load:          0.85,
	}
}

// sampleOrganisations returns four organisations whose guarantees cover about 60 % of each
// zone, most of it for two large organisations.
func sampleOrganisations(zones []model.AZ) []model.Organisation {
	organisations := []model.Organisation{{ID: "org-1"}, {ID: "org-2"}, {ID: "org-3"}, {ID: "org-4"}}
	for _, az := range zones {
		add := func(i, count, tasks, accelerators int, adjacency model.Adjacency) {
			shape := model.GangShape{Tasks: tasks, Accelerators: accelerators, Adjacency: adjacency}
			guarantee := model.Guarantee{AZ: az, Shape: shape, Count: count}
			organisations[i].Guarantees = append(organisations[i].Guarantees, guarantee)
		}
		add(0, 2, 2, 8, model.AdjacentRack)
		add(1, 4, 1, 8, model.AdjacentServer)
		add(2, 2, 1, 4, model.AdjacentServer)
		add(3, 4, 1, 2, model.AdjacentServer)
	}
	return organisations
}

// job is a gang with its actual run time, which the policies do not know.
type job struct {
	gang    placement.Gang
	runtime time.Duration
}

var workloadStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// drawJobs draws the jobs of one zone until the offered load is reached: single jobs and
// bursts of jobs at random times, mostly small, some large.
func (d deployment) drawJobs(random *rand.Rand) []job {
	budget := d.load * serversPerZone * acceleratorsPerServer * workloadSpan.Hours()
	var jobs []job
	for budget > 0 {
		at := time.Duration(random.Float64() * float64(workloadSpan))
		size := 1
		if random.Float64() < 0.1 {
			size = 20 + random.IntN(40) // burst
		}
		for range size {
			j := d.drawJob(random, at+time.Duration(random.IntN(60))*time.Second)
			budget -= float64(j.gang.Shape.Total()) * j.runtime.Hours()
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b job) int { return a.gang.Submitted.Compare(b.gang.Submitted) })
	for i := range jobs {
		jobs[i].gang.Job = model.JobID(fmt.Sprintf("job-%05d", i))
	}
	return jobs
}

func (d deployment) drawJob(random *rand.Rand, at time.Duration) job {
	shapes, median := smallShapes, 40*time.Minute
	if random.Float64() < d.largeShare {
		shapes, median = largeShapes, 2*time.Hour
	}
	runtime := drawRuntime(random, median)
	return job{
		gang: placement.Gang{
			Organisation:    d.organisations[random.IntN(len(d.organisations))].ID,
			Shape:           shapes[random.IntN(len(shapes))],
			Class:           drawClass(random),
			Submitted:       workloadStart.Add(at),
			DeclaredRuntime: drawDeclaredRuntime(random, runtime),
		},
		runtime: runtime,
	}
}

var smallShapes = []model.GangShape{
	{Tasks: 1, Accelerators: 1, Adjacency: model.AdjacentServer},
	{Tasks: 1, Accelerators: 2, Adjacency: model.AdjacentServer},
	{Tasks: 1, Accelerators: 2, Adjacency: model.AdjacentServer},
	{Tasks: 1, Accelerators: 4, Adjacency: model.AdjacentServer},
	{Tasks: 1, Accelerators: 8, Adjacency: model.AdjacentServer},
	{Tasks: 3, Accelerators: 1, Adjacency: model.AdjacentRack},
}

var largeShapes = []model.GangShape{
	{Tasks: 2, Accelerators: 8, Adjacency: model.AdjacentRack},
	{Tasks: 2, Accelerators: 8, Adjacency: model.AdjacentRack},
	{Tasks: 4, Accelerators: 8, Adjacency: model.AdjacentRack},
	{Tasks: 16, Accelerators: 2, Adjacency: model.AdjacentAny},
	{Tasks: 8, Accelerators: 8, Adjacency: model.AdjacentRack},
}

func drawClass(random *rand.Rand) model.Class {
	switch x := random.Float64(); {
	case x < 0.1:
		return model.ClassUrgent
	case x < 0.6:
		return model.ClassNormal
	default:
		return model.ClassBatch
	}
}

// drawRuntime draws a run time of at most a day from a log-normal distribution with the
// given median.
func drawRuntime(random *rand.Rand, median time.Duration) time.Duration {
	drawn := time.Duration(float64(median) * math.Exp(random.NormFloat64()))
	return cmp.Or(min(drawn, 24*time.Hour), time.Minute)
}

// drawDeclaredRuntime returns the run time that the submitter declares: half of the time
// the actual one, else one that is wrong by a factor of up to ten either way.
func drawDeclaredRuntime(random *rand.Rand, runtime time.Duration) time.Duration {
	if random.Float64() < 0.5 {
		return runtime
	}
	factor := math.Pow(10, 2*random.Float64()-1)
	return time.Duration(float64(runtime) * factor)
}

// emptyZone returns a zone without gangs.
func emptyZone(az model.AZ, servers, perServer int, organisations []model.Organisation) placement.Zone {
	zone := placement.Zone{AZ: az, Organisations: organisations, Now: workloadStart}
	for i := range servers {
		zone.Servers = append(zone.Servers, placement.Server{
			BackendServer: model.BackendServer{
				ID:           model.BackendServerID(fmt.Sprintf("%s-%04d", az, i)),
				AZ:           az,
				Rack:         model.RackID(fmt.Sprintf("%s-r%03d", az, i/serversPerRack)),
				Accelerators: perServer,
			},
			Usable: true,
		})
	}
	return zone
}
