package e2e

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/eelgrassreach/eelgrassreach/internal/standin/prepared"
)

const (
	limitedDescriptors = 192 // of each process
	limitedMemoryMB    = 24
	memoryMB           = 284 // of a VM
	settingsMemory     = "limits.memoryMb=284"
	largestBody        = 256 << 10 // bytes; maxBodyBytes of a Deployment
)

// limitsSeed lets the processes of some runs have low limits, up to which the clients go.
func limitsSeed(seed uint64) bool { return seed%3 == 1 }

// limit restarts the VMs with low limits.
func (f *fleetRun) limit() {
	f.t.Helper()
	f.descriptors = limitedDescriptors
	f.setAll(settingsMemory, fmt.Sprintf("limits.memoryMb=%d", limitedMemoryMB))
	for _, v := range f.vms {
		v.process.kill()
	}
	f.startAll()
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

// holdConnections opens connections to a VM until it has no descriptors left, sends the same over each of them, and keeps them
// open for a while.
func (f *fleetRun) holdConnections(v *fleetVM, lasts time.Duration, text []byte) {
	until := time.Now().Add(lasts)
	var open []net.Conn
	for range f.descriptors {
		c, err := net.DialTimeout("tcp", v.Front, probeTimeout)
		if err != nil {
			break // the process has ended, or its queue of connections is full
		}
		open = append(open, c)
		_ = c.SetDeadline(until)
		go func() { _, _ = c.Write(text) }() // it may stop in the middle
	}
	time.Sleep(time.Until(until))
	for _, c := range open {
		_ = c.Close()
	}
}

// unfinishedBody is a submission of the largest size without its last byte.
func unfinishedBody() []byte {
	head := fmt.Appendf(nil, "POST /%s/%016x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		prepared.Queues[0], 1, prepared.Host, prepared.Key, largestBody)
	return append(head, bytes.Repeat([]byte{' '}, largestBody-1)...)
}

// peakMemory is the largest amount of memory that a process that runs has had, in MB; 0 if it has ended.
func peakMemory(p *process) (mb int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if kb, found := strings.CutPrefix(line, "VmHWM:"); found {
			if _, err := fmt.Sscan(kb, &mb); err != nil {
				return 0
			}
		}
	}
	return mb >> 10
}

// limitFaults take the descriptors and the memory of VMs.
var limitFaults = []fault{
	func(f *fleetRun, rng *rand.Rand) { f.holdConnections(anyVM(f, rng), between(rng, 500, 8000), nil) },
	func(f *fleetRun, rng *rand.Rand) { f.holdConnections(f.holder(), between(rng, 500, 8000), nil) },
	func(f *fleetRun, rng *rand.Rand) {
		f.holdConnections(f.holder(), between(rng, 500, 4000), unfinishedBody())
	},
	func(f *fleetRun, rng *rand.Rand) {
		together(f.vmsOf(f.Zones[rng.IntN(len(f.Zones))]), rng, func(v *fleetVM, rng *rand.Rand) { f.holdConnections(v, between(rng, 500, 5000), nil) })
	},
}
