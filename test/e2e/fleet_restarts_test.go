package e2e

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/standin/prepared"
)

var (
	fleetAcross = flag.Bool("fleet.across", false,
		"late starts also reach the next incarnation of their backend server (TestLateStartReachesRestartedServer is a known fault)")
	fleetFromArrival = flag.Bool("fleet.fromarrival", false,
		"leases of late holds count from their arrival (stricter than the platform's protocol, where a deadline is absolute)")
	fleetZones = flag.Int("fleet.zones", 3, "availability zones of the runs with restarts of backend servers")
	fleetVMs   = flag.Int("fleet.vms", 0, "VMs per zone of these runs; 0 lets the seed decide")
)

// cutSide cuts an availability zone off, both ways or one way, until heal is called.
func (f *fleetRun) cutSide(zone string, rng *rand.Rand) (heal func()) {
	switch rng.IntN(5) {
	case 0:
		return f.cutPaths(zone, f.Network.CutOneWay) // what it sends stays away
	case 1, 2:
		return f.cutPaths(zone, f.Network.Cut)
	default:
		return f.cutPaths(zone, func(zone, other string) func() { return f.Network.CutOneWay(other, zone) })
	}
}

// restartServers restarts backend servers at once under their IDs, up to three times in series. A task loses at
// most its first run like this: after two such losses, a sound task may be taken for one that crashes its servers
// (review/3).
func (f *fleetRun) restartServers(servers []*prepared.Server, rng *rand.Rand) {
	for n := 1 + rng.IntN(3); n > 0; n-- {
		for _, s := range servers {
			if s.RestartSparing() {
				f.restarts.Add(1)
			}
		}
		if n > 1 {
			time.Sleep(between(rng, 50, 1000))
		}
	}
}

func (f *fleetRun) serversOf(zone string) (servers []*prepared.Server) {
	for _, s := range f.Servers {
		if s.Zone == zone {
			servers = append(servers, s)
		}
	}
	return servers
}

// restartThenCut cuts a zone off right after restarts of backend servers, for longer than the longest lease.
func (f *fleetRun) restartThenCut(rng *rand.Rand) {
	zone := f.Zones[rng.IntN(len(f.Zones))]
	servers := f.serversOf(zone)
	if rng.IntN(2) == 0 {
		for _, i := range rng.Perm(len(f.Servers))[:len(f.Servers)/3] {
			if f.Servers[i].Zone != zone {
				servers = append(servers, f.Servers[i])
			}
		}
	}
	for _, s := range servers {
		s.SetFault(prepared.ServerFault{LateHolds: between(rng, 4000, 9000), LateHoldShare: 0.6, FromArrival: *fleetFromArrival})
	}
	time.Sleep(between(rng, 1500, 3000))
	f.restartServers(servers, rng)
	for _, s := range servers {
		s.SetFault(prepared.ServerFault{LateHolds: 4 * time.Second, LateHoldShare: 0.1, FromArrival: *fleetFromArrival}) // so that work gets there
	}
	time.Sleep(between(rng, 500, 2500))
	heal := f.cutSide(zone, rng)
	defer heal()
	time.Sleep(between(rng, 8500, 10000))
}

// cutThenRestart restarts the backend servers of a zone that is cut off.
func (f *fleetRun) cutThenRestart(rng *rand.Rand) {
	zone := f.Zones[rng.IntN(len(f.Zones))]
	heal := f.cutSide(zone, rng)
	defer heal()
	time.Sleep(between(rng, 200, 2500))
	f.restartServers(f.serversOf(zone), rng)
	time.Sleep(between(rng, 200, 3000))
}

// lateCalls lets calls to backend servers be carried out late, until ctx ends.
func (f *fleetRun) lateCalls(ctx context.Context, rng *rand.Rand) {
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for ctx.Err() == nil {
		s := anyServer(f, rng)
		s.SetFault(prepared.ServerFault{
			LateHolds: between(rng, 2000, 8000), LateHoldShare: 0.1 + 0.4*rng.Float64(), FromArrival: *fleetFromArrival,
		})
		pause(between(rng, 500, 2000))
		s = anyServer(f, rng)
		s.SetFault(prepared.ServerFault{
			LateStarts: between(rng, 500, 5000), AcrossRestarts: *fleetAcross, LateHolds: between(rng, 2000, 8000), LateHoldShare: 0.3,
			FromArrival: *fleetFromArrival,
		})
		pause(between(rng, 500, 3000))
		s = anyServer(f, rng)
		s.SetFault(prepared.ServerFault{SlowAnswers: between(rng, 200, 1500)})
		pause(between(rng, 500, 3000))
	}
	for _, s := range f.Servers {
		s.SetFault(prepared.ServerFault{})
	}
}

// besideRestarts are disruptions beside restarts of backend servers.
var besideRestarts = []fault{
	func(f *fleetRun, rng *rand.Rand) {
		heal := f.Network.CutOneWay(f.Zones[rng.IntN(len(f.Zones))], prepared.StoreSite)
		defer heal()
		time.Sleep(between(rng, 500, 6000))
	},
	func(f *fleetRun, rng *rand.Rand) {
		heal := f.Network.CutOneWay(prepared.StoreSite, anyVM(f, rng).Node)
		defer heal()
		time.Sleep(between(rng, 500, 6000))
	},
	func(f *fleetRun, rng *rand.Rand) {
		i := rng.Perm(len(f.Zones))
		heal := f.Network.CutOneWay(f.Zones[i[0]], f.Zones[i[1]])
		defer heal()
		time.Sleep(between(rng, 500, 8000))
	},
	func(f *fleetRun, rng *rand.Rand) { f.restart(anyVM(f, rng), syscall.SIGKILL) },
	func(f *fleetRun, rng *rand.Rand) { f.restart(anyVM(f, rng), syscall.SIGTERM) },
	func(f *fleetRun, rng *rand.Rand) { f.pause(anyVM(f, rng), between(rng, 500, 4000)) },
	func(f *fleetRun, rng *rand.Rand) {
		v := anyVM(f, rng)
		for range 1 + rng.IntN(4) {
			v.signal(syscall.SIGHUP)
			time.Sleep(between(rng, 1, 300))
		}
	},
}

// Backend servers restarted under their IDs while calls for the earlier incarnations were under way. Reports
// with deadlines of the old clock extended leases in the next incarnations by more than the holder counted on
// (issue 37, TWICE on the grown deployments).
func TestFleetServersRestartBesideLateCalls(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		perZone := *fleetVMs
		if perZone == 0 {
			perZone = vmsPerZone(seed)
		}
		f := startFleet(t, *fleetZones, perZone, serversPerZone)
		f.longest = 12000 // runs outlast leases
		defer f.keepLogs(t.Name())
		ctx, stop := context.WithCancel(t.Context())
		clients := f.load(ctx, 8, seed)
		time.Sleep(2 * time.Second)
		disrupted, calm := context.WithCancel(ctx)
		var beside sync.WaitGroup
		beside.Go(func() { f.lateCalls(disrupted, rand.New(rand.NewPCG(seed, 30))) })
		beside.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 31))
			for disrupted.Err() == nil {
				besideRestarts[rng.IntN(len(besideRestarts))](f, rng)
				time.Sleep(between(rng, 200, 2000))
			}
		})
		rng := rand.New(rand.NewPCG(seed, 32))
		f.restartThenCut(rng)
		f.cutThenRestart(rng)
		f.restartThenCut(rng)
		calm()
		beside.Wait()
		stop()
		clients.Wait()
		t.Logf("%d restarts of backend servers", f.restarts.Load())
		f.checkJobs()
	})
}
