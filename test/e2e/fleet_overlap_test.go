package e2e

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/standin/prepared"
)

// overlapTime is how long faults begin in a run with faults that overlap.
const overlapTime = 22 * time.Second

// holder returns the VM that claimed the term last.
func (f *fleetRun) holder() *fleetVM {
	var claim struct {
		Node string `json:"node"`
	}
	if json.Unmarshal(f.Store.Newest("progress", "term"), &claim) == nil {
		for _, v := range f.vms {
			if v.Node == claim.Node {
				return v
			}
		}
	}
	return f.vms[0]
}

func (f *fleetRun) vmsOf(zone string) (vms []*fleetVM) {
	for _, v := range f.vms {
		if v.Zone == zone {
			vms = append(vms, v)
		}
	}
	return vms
}

// restartUnderSignals ends the process with SIGTERM while further signals come, and starts it again.
func (f *fleetRun) restartUnderSignals(v *fleetVM, rng *rand.Rand) {
	var all sync.WaitGroup
	all.Go(func() { f.restart(v, syscall.SIGTERM) })
	for n := rng.IntN(5); n > 0; n-- {
		time.Sleep(between(rng, 1, 600))
		switch rng.IntN(4) {
		case 0:
			v.signal(syscall.SIGTERM)
			all.Go(func() { f.restart(v, syscall.SIGTERM) }) // in case that the next process got it
		case 1:
			f.pause(v, between(rng, 50, 1500))
		default:
			v.signal(syscall.SIGHUP)
		}
	}
	if rng.IntN(3) == 0 {
		f.restart(v, syscall.SIGKILL)
	}
	all.Wait()
}

// together lets a disruption hit several VMs, one soon after the other.
func together(vms []*fleetVM, rng *rand.Rand, disrupt func(v *fleetVM, rng *rand.Rand)) {
	var all sync.WaitGroup
	for _, v := range vms {
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		all.Go(func() { disrupt(v, own) })
		time.Sleep(between(rng, 1, 400))
	}
	all.Wait()
}

// signalFaults are signals in series.
var signalFaults = []fault{
	func(f *fleetRun, rng *rand.Rand) { f.restartUnderSignals(anyVM(f, rng), rng) },
	func(f *fleetRun, rng *rand.Rand) { f.restartUnderSignals(f.holder(), rng) },
	func(f *fleetRun, rng *rand.Rand) {
		together(f.vmsOf(f.Zones[rng.IntN(len(f.Zones))]), rng, f.restartUnderSignals)
	},
	func(f *fleetRun, rng *rand.Rand) {
		together(f.vmsOf(f.Zones[rng.IntN(len(f.Zones))]), rng, func(v *fleetVM, rng *rand.Rand) { f.pause(v, between(rng, 500, 8000)) })
	},
	func(f *fleetRun, rng *rand.Rand) {
		for n := 1 + rng.IntN(3); n > 0; n-- {
			f.restart(f.holder(), []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[rng.IntN(2)])
			time.Sleep(between(rng, 200, 2500))
		}
	},
	func(f *fleetRun, rng *rand.Rand) {
		v := f.holder()
		for n := 1 + rng.IntN(3); n > 0; n-- {
			f.pause(v, between(rng, 200, 8000))
			v.signal(syscall.SIGHUP)
			time.Sleep(between(rng, 1, 500))
		}
	},
	func(f *fleetRun, rng *rand.Rand) { f.moveStore(anyVM(f, rng), rng) },
	func(f *fleetRun, rng *rand.Rand) { f.moveStore(f.holder(), rng) },
}

// linkFaults cut the holder off from the store, or zones from each other.
var linkFaults = []fault{
	func(f *fleetRun, rng *rand.Rand) {
		cut := []func(a, b string) func(){f.Network.Cut, f.Network.CutOneWay}[rng.IntN(2)]
		node, store := f.holder().Node, prepared.StoreSite
		if rng.IntN(2) == 0 {
			node, store = store, node
		}
		heal := cut(node, store)
		defer heal()
		time.Sleep(between(rng, 1000, 9000))
	},
	func(f *fleetRun, rng *rand.Rand) {
		heal := f.cutSide(f.Zones[rng.IntN(len(f.Zones))], rng)
		defer heal()
		time.Sleep(between(rng, 1000, 11000))
	},
	func(f *fleetRun, rng *rand.Rand) {
		heal := f.cutSide(f.holder().Zone, rng)
		defer heal()
		time.Sleep(between(rng, 1000, 9000))
	},
}

// serverFaults restart backend servers beside cuts.
var serverFaults = []fault{
	(*fleetRun).restartThenCut,
	(*fleetRun).cutThenRestart,
	(*fleetRun).replaceHolderBesideRestarts,
	(*fleetRun).replaceHolderBesideRestarts,
	(*fleetRun).restartBeforeLateStarts,
	(*fleetRun).restartBeforeLateStarts,
	func(f *fleetRun, rng *rand.Rand) {
		i := rng.Perm(len(f.Servers))[:1+rng.IntN(len(f.Servers)/2)]
		for _, n := range i {
			f.restartSeries([]*prepared.Server{f.Servers[n]}, rng)
		}
	},
}

// burst submits jobs at once, so that starts are under way.
func (f *fleetRun) burst(rng *rand.Rand) {
	for range 8 {
		c, r := f.client(rng.Uint64()), f.request(rng, 3000)
		f.bursts.Go(func() { c.submit(r) })
	}
}

// restartSeries restarts backend servers at once under their IDs, up to three times in series, and spares tasks that
// may have lost a run already (review/3).
func (f *fleetRun) restartSeries(servers []*prepared.Server, rng *rand.Rand) {
	for n := 1 + rng.IntN(3); n > 0; n-- {
		for _, s := range servers {
			if s.RestartSparingLost() {
				f.restarts.Add(1)
			} else {
				f.spared.Add(1)
			}
		}
		if n > 1 {
			time.Sleep(between(rng, 50, 1000))
		}
	}
}

// replaceHolderBesideRestarts restarts the backend servers of a zone while calls to them are under way and the
// term changes hands, so that the new holder has not heard of the restart from them, and cannot reach them.
func (f *fleetRun) replaceHolderBesideRestarts(rng *rand.Rand) {
	zone := f.Zones[rng.IntN(len(f.Zones))]
	servers := f.serversOf(zone)
	for _, s := range servers {
		s.SetFault(prepared.ServerFault{
			LateStarts: between(rng, 3000, 12000), AcrossRestarts: *fleetAcross, LateHolds: between(rng, 6000, 14000), LateHoldShare: 0.6,
			FromArrival: *fleetFromArrival,
		})
	}
	f.burst(rng)
	time.Sleep(between(rng, 300, 1500))
	if rng.IntN(2) == 0 {
		f.restartSeries(servers, rng)
	}
	old := f.holder()
	var all sync.WaitGroup
	switch rng.IntN(3) {
	case 0:
		all.Go(func() { f.restart(old, syscall.SIGKILL) })
	case 1:
		lasts := between(rng, 3000, 9000)
		all.Go(func() { f.pause(old, lasts) })
	default:
		heal, lasts := f.Network.Cut(old.Node, prepared.StoreSite), between(rng, 4000, 9000)
		all.Go(func() {
			time.Sleep(lasts)
			heal()
		})
	}
	time.Sleep(between(rng, 0, 1500))
	// Entries still arrive from the zone, calls do not get there.
	heal := f.cutPaths(zone, func(zone, other string) func() { return f.Network.CutOneWay(other, zone) })
	time.Sleep(between(rng, 0, 3000))
	f.restartSeries(servers, rng)
	for _, s := range servers {
		s.SetFault(prepared.ServerFault{})
	}
	time.Sleep(between(rng, 10000, 14000)) // until a new holder counts all leases there as ended
	heal()
	all.Wait()
}

// restartBeforeLateStarts restarts the backend servers of a zone after tasks whose starts there got no answer had time
// to be placed elsewhere, and cuts the zone off before these starts arrive.
func (f *fleetRun) restartBeforeLateStarts(rng *rand.Rand) {
	zone := f.Zones[rng.IntN(len(f.Zones))]
	servers := f.serversOf(zone)
	for _, s := range servers {
		s.SetFault(prepared.ServerFault{
			LateStarts: between(rng, 4000, 11000), AcrossRestarts: *fleetAcross, LateHolds: between(rng, 6000, 14000), LateHoldShare: 0.2,
			FromArrival: *fleetFromArrival,
		})
	}
	f.burst(rng)
	time.Sleep(between(rng, 1000, 3000))
	for _, s := range servers {
		s.SetFault(prepared.ServerFault{})
	}
	time.Sleep(between(rng, 500, 4000))
	heal := f.cutSide(zone, rng)
	defer heal()
	f.restartSeries(servers, rng)
	time.Sleep(between(rng, 3000, 8000))
}

// TestFleetOverlappingFaults has signals, cuts, restarts of backend servers, late calls and the faults of
// TestFleetRandomFaults come in series of their own, all at the same time. Many of them aim at the holder.
func TestFleetOverlappingFaults(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		perZone := *fleetVMs
		if perZone == 0 {
			perZone = vmsPerZone(seed)
		}
		f := startFleet(t, *fleetZones, perZone, serversPerZone)
		f.longest = 12000 // runs outlast leases
		if limitsSeed(seed) {
			f.limit()
		}
		f.losses.Store(maxLosses) // backend servers are lost by restarts that spare tasks only
		defer f.keepLogs(t.Name())
		ctx, stop := context.WithCancel(t.Context())
		clients := f.load(ctx, 10, seed)
		staying := f.stay(ctx, seed)
		time.Sleep(2 * time.Second)
		disrupted, calm := context.WithTimeout(ctx, overlapTime)
		defer calm()
		var beside sync.WaitGroup
		all := [][]fault{signalFaults, linkFaults, serverFaults, serverFaults, faults, besideRestarts}
		if limitsSeed(seed) {
			all = append(all, limitFaults)
		}
		for i, series := range all {
			rng := rand.New(rand.NewPCG(seed, 40+uint64(i)))
			beside.Go(func() {
				for disrupted.Err() == nil {
					series[rng.IntN(len(series))](f, rng)
					time.Sleep(between(rng, 100, 2000))
				}
			})
		}
		beside.Go(func() { f.lateCalls(disrupted, rand.New(rand.NewPCG(seed, 50))) })
		beside.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 51))
			for disrupted.Err() == nil {
				if err := f.Configure(); err != nil {
					t.Error(err)
				}
				time.Sleep(between(rng, 500, 4000))
			}
		})
		beside.Wait()
		f.bursts.Wait()
		for _, s := range f.Servers {
			s.SetFault(prepared.ServerFault{})
		}
		calmSince := time.Now()
		stop()
		clients.Wait()
		staying.Wait()
		t.Logf("%d restarts of backend servers, %d spared, late starts: %v", f.restarts.Load(), f.spared.Load(), f.Record.LateStarts())
		f.checkJobs()
		f.checkConfiguration(calmSince)
	})
}
