package e2e

import (
	"context"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/standin/prepared"
)

// TestFleetEvacuations empties one zone after the other while VMs are killed, stopped, or turned away by the store, first
// the one that holds the term, and while backend servers are lost. No run begins in an evacuated zone after the bound; once
// it is taken back, runs do.
func TestFleetEvacuations(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 5))
		f := startFleet(t, 3, vmsPerZone(seed), serversPerZone)
		defer f.keepLogs(t.Name())
		ctx, stop := context.WithCancel(t.Context())
		clients := f.load(ctx, 12, seed)
		time.Sleep(4 * time.Second)
		beside := []func(){
			func() { f.restart(f.holder(), syscall.SIGKILL) },
			func() { f.restart(f.holder(), syscall.SIGTERM) },
			func() {
				v := f.holder()
				f.Store.SetFault(v.Node, prepared.StoreFault{Refuse: true})
				time.Sleep(between(rng, 2000, 7000))
				f.Store.SetFault(v.Node, prepared.StoreFault{})
			},
			func() {
				if s := anyServer(f, rng); f.mayLoseServer() {
					s.Restart()
				}
			},
		}
		first := rng.IntN(len(beside))
		for i, zone := range f.Zones {
			f.Evacuate(zone)
			requested := time.Now()
			time.Sleep(between(rng, 0, 1500))
			beside[(first+i)%len(beside)]()
			time.Sleep(time.Until(requested.Add(prepared.EvacuationBound + 3*time.Second)))
			takenBack := time.Now()
			f.TakeBack(zone)
			for _, r := range f.Record.BegunIn(zone, requested.Add(prepared.EvacuationBound), takenBack) {
				t.Errorf("%v began %v after the evacuation of its zone", r, r.Began.Sub(requested))
			}
			t.Logf("zone %s: %d runs began within the bound", zone, len(f.Record.BegunIn(zone, requested, takenBack)))
			time.Sleep(3 * time.Second)
			if len(f.Record.BegunIn(zone, takenBack, time.Now())) == 0 {
				t.Errorf("zone %s was taken back, and nothing was started there for 3 s", zone)
			}
		}
		stop()
		clients.Wait()
		f.checkJobs()
	})
}
