// Package requests measures how many requests are done, and how fast, during floods. It
// compares the product's scheduler with first come, first served without limits, in
// virtual time.
package requests

import (
	"fmt"
	"io"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Run measures both policies at the sizes of both deployments and prints the results. Both
// policies get the same arrivals. Hedged sends, tickets and faults are not simulated.
func Run(w io.Writer, seed uint64) error {
	for _, d := range deployments {
		for _, scenario := range loadScenarios {
			if err := printScenario(w, d, scenario, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

// deployment is the size of one deployment.
type deployment struct {
	name          string
	zones         []zoneSize
	zoneLatency   time.Duration // one-way latency inside a zone
	regionLatency time.Duration // one-way latency between regions
}

type zoneSize struct {
	vms     int
	servers int
}

const slotsPerServer = 8

var deployments = []deployment{
	{"palvehelmed", []zoneSize{{3, 17}, {2, 17}, {2, 16}}, time.Millisecond, 8 * time.Millisecond},
	{"swanbank", []zoneSize{{2, 17}, {2, 17}, {2, 16}}, 500 * time.Microsecond, 8 * time.Millisecond},
}

func (d deployment) slots() int {
	n := 0
	for _, z := range d.zones {
		n += z.servers * slotsPerServer
	}
	return n
}

// workload is the stream of requests of one kind.
type workload struct {
	kind        string
	class       model.Class
	serviceTime time.Duration // median
	deadline    time.Duration
	bytes       int64
	loadShare   float64 // share of the capacity, without a flood
}

// Indexes into workloads.
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
	serviceSigma  = 0.5  // sigma of the log-normal service time
	floodLoad     = 10.0 // times the capacity
	organisations = 4
	callersPerOrg = 25
	largeFactor   = 100 // requests of the large caller per request of a small one
)

// loadScenario is one scenario to measure.
type loadScenario struct {
	name  string
	flood int // index of the flooding workload, or noFlood
	// largeCaller makes one caller send largeFactor times as many requests as each other
	// caller.
	largeCaller bool
	duration    time.Duration
}

const (
	warmUp  = 4 * time.Second // not measured; a flood starts at its end
	noFlood = -1
)

var loadScenarios = []loadScenario{
	{"no flood", noFlood, false, 24 * time.Second},
	{"flood of the least urgent kind", workMatch, false, 24 * time.Second},
	{"flood of the most urgent kind", workQuote, false, 16 * time.Second},
	{"one caller sends 100 times the others, at 1.5 times the capacity", noFlood, true, 24 * time.Second},
}

const largeCallerLoad = 1.5 // times the capacity, of all callers together

func printScenario(w io.Writer, d deployment, scenario loadScenario, seed uint64) error {
	vms := 0
	for _, z := range d.zones {
		vms += z.vms
	}
	if _, err := fmt.Fprintf(w, "\nrequests, %s (%d backend servers of %d slots, %d VMs): %s\n",
		d.name, d.slots()/slotsPerServer, slotsPerServer, vms, scenario.name); err != nil {
		return err
	}
	for _, p := range []struct {
		name string
		new  func(*simulation) simVM
	}{
		{"fifo", newFIFOVM},
		{"scheduler", newSchedulerVM},
	} {
		r := newSimulation(d, scenario, seed, p.new).run()
		if err := r.print(w, p.name, scenario); err != nil {
			return err
		}
	}
	return nil
}
