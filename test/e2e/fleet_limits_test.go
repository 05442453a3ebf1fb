package e2e

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	limitedDescriptors = 192 // of each process
	limitedMemoryMB    = 24
	settingsMemory     = "limits.memoryMb=284"
)

// limitsSeed lets the processes of some runs have low limits, up to which the clients go.
func limitsSeed(seed uint64) bool { return seed%3 == 1 }

// limit restarts the VMs with low limits.
func (f *fleetRun) limit() {
	f.t.Helper()
	f.descriptors = limitedDescriptors
	for _, v := range f.vms {
		settings, err := os.ReadFile(v.SettingsPath)
		assert.NilError(f.t, err)
		lower := bytes.Replace(settings, []byte(settingsMemory), fmt.Appendf(nil, "limits.memoryMb=%d", limitedMemoryMB), 1)
		assert.Assert(f.t, !bytes.Equal(lower, settings), "%s has no %s", v.SettingsPath, settingsMemory)
		assert.NilError(f.t, os.WriteFile(v.SettingsPath, lower, 0o600))
		v.process.kill()
		f.start(v)
	}
	for _, v := range f.vms {
		f.awaitReady(v)
	}
}

// limitDescriptors bounds the descriptors of a process that runs.
func (f *fleetRun) limitDescriptors(p *process) {
	if f.descriptors == 0 {
		return
	}
	limit := unix.Rlimit{Cur: f.descriptors, Max: f.descriptors}
	if err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil && p.running() {
		f.t.Errorf("limit of %s: %v", p.name, err)
	}
}

// holdConnections opens connections to a VM until it has no descriptors left, and keeps them open for a while.
func (f *fleetRun) holdConnections(v *fleetVM, lasts time.Duration) {
	until := time.Now().Add(lasts)
	var open []net.Conn
	for range f.descriptors {
		c, err := net.DialTimeout("tcp", v.Front, probeTimeout)
		if err != nil {
			break // the process has ended, or its queue of connections is full
		}
		open = append(open, c)
	}
	time.Sleep(time.Until(until))
	for _, c := range open {
		_ = c.Close()
	}
}

// limitFaults take the descriptors of VMs.
var limitFaults = []fault{
	func(f *fleetRun, rng *rand.Rand) { f.holdConnections(anyVM(f, rng), between(rng, 500, 8000)) },
	func(f *fleetRun, rng *rand.Rand) { f.holdConnections(f.holder(), between(rng, 500, 8000)) },
	func(f *fleetRun, rng *rand.Rand) {
		together(f.vmsOf(f.Zones[rng.IntN(len(f.Zones))]), rng, func(v *fleetVM, rng *rand.Rand) { f.holdConnections(v, between(rng, 500, 5000)) })
	},
}
