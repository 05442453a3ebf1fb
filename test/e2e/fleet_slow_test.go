package e2e

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/standin/prepared"
)

const (
	settingsLink = "limits.linkMbps=1000.0"
	// thinLink lets few start orders be under way at once, so that those of a burst wait in the holder's process.
	thinLink = "limits.linkMbps=40.0"
	// slowServersPerZone takes bursts of start orders.
	slowServersPerZone = 8
	// slowRounds is how often processes are slow in a run.
	slowRounds = 2
)

// slow lets the process run for a few percent of the time only, in turns that are too short to count as pauses.
func (f *fleetRun) slow(v *fleetVM, d time.Duration, rng *rand.Rand) {
	longest := 40 + rng.IntN(160)
	for until := time.Now().Add(d); time.Now().Before(until); {
		f.pause(v, between(rng, longest/2, longest))
		time.Sleep(between(rng, 1, 6))
	}
}

// slowVMs draws the VMs that are slow together: mostly all of them, since a holder that is slow alone is replaced.
func (f *fleetRun) slowVMs(rng *rand.Rand) []*fleetVM {
	switch rng.IntN(4) {
	case 0:
		return []*fleetVM{f.holder()}
	case 1:
		return f.vmsOf(f.holder().Zone)
	default:
		return f.vms
	}
}

// unsureStarts lets backend servers carry start orders out without an answer, answer late or refuse what they are
// asked again, for a while.
func (f *fleetRun) unsureStarts(d time.Duration, rng *rand.Rand) {
	for _, s := range f.Servers {
		fault := prepared.ServerFault{LateStarts: between(rng, 1, 300), LateStartShare: 0.3 + 0.6*rng.Float64(), SlowAnswers: between(rng, 1, 800)}
		if rng.IntN(2) == 0 {
			fault.RefusedStarts = 0.5 * rng.Float64()
		}
		s.SetFault(fault)
	}
	time.Sleep(d)
	for _, s := range f.Servers {
		s.SetFault(prepared.ServerFault{})
	}
}

// burstOf submits jobs of short and long tasks and gangs at once.
func (f *fleetRun) burstOf(jobs int, rng *rand.Rand) {
	for range jobs {
		c, r := f.client(rng.Uint64()), f.request(rng, 500)
		f.bursts.Go(func() { c.submit(r) })
	}
}

// logLines counts the lines with a text in the logs of all VMs, also of processes that have ended.
func (f *fleetRun) logLines(text string) (n int) {
	for _, v := range f.vms {
		matches, _ := filepath.Glob(filepath.Join(filepath.Dir(v.SettingsPath), "..", "*", v.Node+"-*.log"))
		for _, m := range matches {
			data, _ := os.ReadFile(m)
			n += strings.Count(string(data), text)
		}
	}
	return n
}

// Processes were short of processor time while start orders of bursts got no answer. Start orders then waited in the
// holder's process, and one that was not sent in time, or was refused, ended a run that a report had listed meanwhile: its task
// was started again beside it (issue 43, TWICE).
func TestFleetSlowHolders(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := prepareFleet(t, 3, vmsPerZone(seed), slowServersPerZone)
		f.setAll(settingsLink, thinLink)
		f.startAll()
		f.longest = 4000
		defer f.keepLogs(t.Name())
		ctx, stop := context.WithCancel(t.Context())
		clients := f.load(ctx, 6, seed)
		time.Sleep(time.Second)
		rng := rand.New(rand.NewPCG(seed, 60))
		for range slowRounds {
			lasts := between(rng, 3000, 5000)
			var round sync.WaitGroup
			for _, v := range f.slowVMs(rng) {
				own := rand.New(rand.NewPCG(rng.Uint64(), 61))
				round.Go(func() { f.slow(v, lasts, own) })
			}
			servers := rand.New(rand.NewPCG(rng.Uint64(), 62))
			round.Go(func() { f.unsureStarts(lasts+between(servers, 0, 1500), servers) })
			f.burstOf(50, rng)
			time.Sleep(lasts / 3)
			f.burstOf(30, rng)
			if rng.IntN(3) == 0 {
				f.restart(f.holder(), []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[rng.IntN(2)])
			}
			round.Wait()
			time.Sleep(between(rng, 500, 2000))
		}
		f.bursts.Wait()
		stop()
		clients.Wait()
		t.Logf("%d start orders not answered, %d not sent in time, %d refused, %d old; late starts: %v", f.logLines("start order was not answered"),
			f.logLines("its start order could not be sent in time"), f.logLines("start refused"), f.logLines("start order sent on old knowledge"), f.Record.LateStarts())
		f.checkJobs()
	})
}
