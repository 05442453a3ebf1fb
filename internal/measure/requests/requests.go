// Package requests measures how requests fare during floods, in virtual time: the
// product's scheduler against first come, first served without limits.
package requests

import (
	"fmt"
	"io"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Print writes the measurement at the sizes of both deployments. Both policies get
// the same arrivals. Hedged sends, tickets and faults are not part of it.
func Print(w io.Writer, seed uint64) error {
	for _, site := range sites {
		for _, scene := range scenes {
			if err := printScene(w, site, scene, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

// deployment is the size of one deployment.
type deployment struct {
	name  string
	zones []zoneSize
	local time.Duration // one-way latency inside a zone
	far   time.Duration // one-way latency between regions
}

type zoneSize struct {
	vms     int
	servers int
}

const slotsPerServer = 8

var sites = []deployment{
	{"palvehelmed", []zoneSize{{3, 17}, {2, 17}, {2, 16}}, time.Millisecond, 8 * time.Millisecond},
	{"swanbank", []zoneSize{{2, 17}, {2, 17}, {2, 16}}, 500 * time.Microsecond, 8 * time.Millisecond},
}

func (s deployment) slots() int {
	n := 0
	for _, z := range s.zones {
		n += z.servers * slotsPerServer
	}
	return n
}

// workload is one kind of request.
type workload struct {
	kind     string
	class    model.Class
	service  time.Duration // median
	deadline time.Duration
	bytes    int64
	share    float64 // of the capacity, without a flood
}

const (
	workQuote = iota
	workPlan
	workMatch
)

var workloads = []workload{
	workQuote: {"quote", model.ClassUrgent, 200 * time.Millisecond, 5 * time.Second, 4 << 10, 0.20},
	workPlan:  {"plan", model.ClassNormal, 800 * time.Millisecond, 20 * time.Second, 64 << 10, 0.25},
	workMatch: {"match", model.ClassBatch, 2 * time.Second, 10 * time.Minute, 16 << 10, 0.15},
}

const (
	serviceSigma  = 0.5  // of the log-normal service time
	floodFactor   = 10.0 // of the capacity
	organisations = 4
	callersPerOrg = 25
	largeFactor   = 100 // requests of the large caller for each of a small one
)

// situation is one situation to measure.
type situation struct {
	name  string
	flood int // index of the flooding workload; -1: none
	// large gives one caller largeFactor times the requests of each other caller.
	large  bool
	length time.Duration
}

const (
	sceneWarmUp = 4 * time.Second // not measured; a flood starts at its end
	noFlood     = -1
)

var scenes = []situation{
	{"no flood", noFlood, false, 24 * time.Second},
	{"flood of the least urgent kind", workMatch, false, 24 * time.Second},
	{"flood of the most urgent kind", workQuote, false, 16 * time.Second},
	{"one caller sends 100 times the others, at 1.5 times the capacity", noFlood, true, 24 * time.Second},
}

const largeOverload = 1.5 // of the capacity

func printScene(w io.Writer, site deployment, scene situation, seed uint64) error {
	vms := 0
	for _, z := range site.zones {
		vms += z.vms
	}
	if _, err := fmt.Fprintf(w, "\nrequests, %s (%d backend servers of %d slots, %d VMs): %s\n",
		site.name, site.slots()/slotsPerServer, slotsPerServer, vms, scene.name); err != nil {
		return err
	}
	for _, p := range []struct {
		name string
		new  func(*simulation) entry
	}{
		{"fifo", newFIFO},
		{"scheduler", newScheduled},
	} {
		result := newSimulation(site, scene, seed, p.new).run()
		if err := result.print(w, p.name, scene); err != nil {
			return err
		}
	}
	return nil
}
