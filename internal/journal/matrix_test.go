package journal_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/faultmatrix"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/journal/journaltest"
)

const (
	faultDuration   = 9 * time.Second  // how long an injected fault lasts by default
	longerThanLease = 30 * time.Second // longer than any lease
	applyTimeout    = 4 * time.Second  // bound on the time from accepted to in force on a reachable VM
)

// injection describes a fault to inject at a VM. Its heal function ends the fault.
type injection struct {
	fault  faultmatrix.Fault
	inject func(c *cluster, v *vm) (heal func())
	lasts  time.Duration // 0 means faultDuration
}

// portFault returns an injection function that sets the faults of the VM's port.
func portFault(f journaltest.Faults) func(*cluster, *vm) func() {
	return func(_ *cluster, v *vm) func() {
		v.port.SetFaults(f)
		return func() { v.port.SetFaults(journaltest.Faults{}) }
	}
}

// logFault returns an injection function that sets the faults of all ports.
func logFault(f journaltest.Faults) func(*cluster, *vm) func() {
	set := func(c *cluster, f journaltest.Faults) {
		for _, v := range c.all() {
			v.port.SetFaults(f)
		}
	}
	return func(c *cluster, _ *vm) func() {
		set(c, f)
		return func() { set(c, journaltest.Faults{}) }
	}
}

// kill kills the VM; heal starts another one.
func kill(c *cluster, v *vm) func() {
	v.kill()
	return func() { c.start(journaltest.Faults{}) }
}

// freeze blocks the VM's calls to the log and cuts it off from its peers.
func freeze(_ *cluster, v *vm) func() {
	v.port.Freeze()
	v.setIsolated(true)
	return func() {
		v.setIsolated(false)
		v.port.Thaw()
	}
}

// cutZone cuts the VM off from the platform and from its peers.
func cutZone(_ *cluster, v *vm) func() {
	v.port.SetFaults(journaltest.Faults{Append: journaltest.FaultSilent, Read: journaltest.FaultSilent})
	v.setIsolated(true)
	return func() {
		v.setIsolated(false)
		v.port.SetFaults(journaltest.Faults{})
	}
}

// loseAnswers lets the VM's appends take effect without an answer, and keeps the VM
// from reading them back until healed.
func loseAnswers(_ *cluster, v *vm) func() {
	v.port.SetFaults(journaltest.Faults{Append: journaltest.FaultSilentAfter, Read: journaltest.FaultDown})
	v.setIsolated(true)
	return func() {
		v.setIsolated(false)
		v.port.SetFaults(journaltest.Faults{})
	}
}

// staleList makes the VM know only a dead peer, and cuts it off from the platform.
func staleList(_ *cluster, v *vm) func() {
	v.setStalePeers(true)
	v.port.SetFaults(journaltest.Faults{Append: journaltest.FaultDown, Read: journaltest.FaultDown})
	return func() {
		v.setStalePeers(false)
		v.port.SetFaults(journaltest.Faults{})
	}
}

// Injection functions for faults of the log or of the VM's link to it.
var (
	cutBefore = portFault(journaltest.Faults{Append: journaltest.FaultCutBefore, Read: journaltest.FaultDown})
	cutAfter  = portFault(journaltest.Faults{Append: journaltest.FaultCutAfter, Read: journaltest.FaultDown})
	silent    = portFault(journaltest.Faults{Append: journaltest.FaultSilent, Read: journaltest.FaultSilent})
	logDown   = logFault(journaltest.Faults{Append: journaltest.FaultDown, Read: journaltest.FaultDown})
	logSlow   = logFault(journaltest.Faults{Latency: 2 * time.Second})
)

// checkCell runs the test of one cell of the fault matrix.
func checkCell(t *testing.T, step faultmatrix.Step, in injection, check func(t *testing.T, c *cluster, in injection)) {
	if in.lasts == 0 {
		in.lasts = faultDuration
	}
	faultmatrix.RunCell(t, step, in.fault, func(t *testing.T) {
		runCluster(t, func(t *testing.T, c *cluster) { check(t, c, in) })
	})
}

// TestMatrixAppend checks that an entry is applied once or not at all, that its
// submitter learns which, and that one of two concurrent changes wins.
func TestMatrixAppend(t *testing.T) {
	inDoubt := []journal.AppendState{journal.AppendInDoubt, journal.AppendStored}
	notSent := []journal.AppendState{journal.AppendNotSent}
	for _, tc := range []struct {
		injection
		reported []journal.AppendState // the states reported for an entry; nil when the VM is killed
	}{
		{injection{faultmatrix.FaultKilled, kill, 0}, nil},
		{injection{faultmatrix.FaultFrozen, freeze, 0}, inDoubt},
		{injection{faultmatrix.FaultCutBefore, cutBefore, 0}, inDoubt},
		{injection{faultmatrix.FaultCutAfter, cutAfter, 0}, inDoubt},
		{injection{faultmatrix.FaultSilent, silent, 0}, inDoubt},
		{injection{faultmatrix.FaultLogDown, logDown, 0}, notSent},
		{injection{faultmatrix.FaultLogSlow, logSlow, 0}, inDoubt},
		{injection{faultmatrix.FaultAnswerLost, loseAnswers, 0}, inDoubt},
		{injection{faultmatrix.FaultLeaseLapsed, freeze, longerThanLease}, inDoubt},
		{injection{faultmatrix.FaultZoneCut, cutZone, 0}, inDoubt},
	} {
		checkCell(t, faultmatrix.StepAppend, tc.injection, func(t *testing.T, c *cluster, in injection) {
			checkAppend(t, c, in, tc.reported)
		})
	}
}

func checkAppend(t *testing.T, c *cluster, in injection, want []journal.AppendState) {
	a, b := c.start(journaltest.Faults{}), c.start(journaltest.Faults{})
	time.Sleep(time.Second)
	a.submit(plainEntry("first"))
	if want != nil {
		time.Sleep(time.Second)
	}
	heal := in.inject(c, a)
	if want != nil {
		a.submit(plainEntry("x"))
		a.submit(configEntry("from-a", 0, "quote", 1))
	}
	b.submit(configEntry("from-b", 0, "quote", 2))
	time.Sleep(in.lasts)
	heal()
	time.Sleep(settleTime)
	c.checkConverged()
	if want == nil {
		return
	}
	assert.DeepEqual(t, a.reportedStates("x"), want)
	if want[len(want)-1] == journal.AppendNotSent {
		return
	}
	fromA, _ := a.replica.decision("from-a")
	fromB, _ := a.replica.decision("from-b")
	winners := 0
	for _, d := range []journal.Decision{fromA, fromB} {
		if d.Verdict == journal.VerdictAccepted {
			winners++
		}
	}
	assert.Equal(t, winners, 1, "from a: %+v, from b: %+v", fromA, fromB)
}

// TestMatrixReadBack checks that a change read back by one VM is applied within
// applyTimeout by another VM that reaches a peer, whatever fault affects that VM's
// own link to the platform.
func TestMatrixReadBack(t *testing.T) {
	for _, tc := range []struct {
		injection
		reachable bool // the VM reaches a peer
	}{
		{injection{faultmatrix.FaultKilled, kill, 0}, false},
		{injection{faultmatrix.FaultFrozen, freeze, 0}, false},
		{injection{faultmatrix.FaultCutBefore, cutBefore, 0}, true},
		{injection{faultmatrix.FaultCutAfter, cutAfter, 0}, true},
		{injection{faultmatrix.FaultSilent, silent, 0}, true},
		{injection{faultmatrix.FaultLogDown, logDown, 0}, true},
		{injection{faultmatrix.FaultLogSlow, portFault(journaltest.Faults{Latency: 5 * time.Second}), 0}, true},
		{injection{faultmatrix.FaultListStale, staleList, 0}, false},
		{injection{faultmatrix.FaultLeaseLapsed, freeze, longerThanLease}, false},
		{injection{faultmatrix.FaultZoneCut, cutZone, 0}, false},
	} {
		checkCell(t, faultmatrix.StepReadBack, tc.injection, func(t *testing.T, c *cluster, in injection) {
			a, b := c.start(journaltest.Faults{}), c.start(journaltest.Faults{})
			time.Sleep(time.Second)
			a.port.SetFaults(journaltest.Faults{Read: journaltest.FaultDown})
			a.setIsolated(true)
			a.submit(configEntry("change", 0, "quote", 1))
			time.Sleep(time.Second) // stored, and read only by b
			assert.Equal(t, b.replica.applyCount("change"), 1)
			a.setIsolated(false)
			heal := in.inject(c, a)
			time.Sleep(applyTimeout)
			if tc.reachable {
				assert.Equal(t, a.replica.applyCount("change"), 1, "the change is not in force within applyTimeout")
			}
			time.Sleep(in.lasts)
			heal()
			time.Sleep(settleTime)
			c.checkConverged()
		})
	}
}

// TestMatrixReplay checks that a starting VM reaches the state of the others from a
// snapshot and the records after it, although a fault interrupts it.
func TestMatrixReplay(t *testing.T) {
	for _, in := range []injection{
		{faultmatrix.FaultKilled, kill, 0},
		{faultmatrix.FaultFrozen, freeze, 0},
		{faultmatrix.FaultLogDown, logDown, 0},
		{faultmatrix.FaultLogSlow, logSlow, 0},
		{faultmatrix.FaultListStale, staleList, 0},
		{faultmatrix.FaultLeaseLapsed, freeze, longerThanLease},
		{faultmatrix.FaultZoneCut, cutZone, 0},
	} {
		checkCell(t, faultmatrix.StepReplay, in, func(t *testing.T, c *cluster, in injection) {
			a := c.start(journaltest.Faults{})
			time.Sleep(time.Second)
			appendAndTrim(c, a)
			d := c.start(journaltest.Faults{Latency: 20 * time.Millisecond})
			checkInterruptedCatchUp(t, c, d, in)
		})
	}
}

// TestMatrixCatchUp checks that a VM that fell behind the log's retention continues
// from a snapshot and never moves back, although a fault interrupts it.
func TestMatrixCatchUp(t *testing.T) {
	for _, in := range []injection{
		{faultmatrix.FaultKilled, kill, 0},
		{faultmatrix.FaultFrozen, freeze, 0},
		{faultmatrix.FaultCutBefore, cutBefore, 0},
		{faultmatrix.FaultCutAfter, cutAfter, 0},
		{faultmatrix.FaultSilent, silent, 0},
		{faultmatrix.FaultLogDown, logDown, 0},
		{faultmatrix.FaultLogSlow, logSlow, 0},
		{faultmatrix.FaultListStale, staleList, 0},
		{faultmatrix.FaultLeaseLapsed, freeze, longerThanLease},
		{faultmatrix.FaultZoneCut, cutZone, 0},
	} {
		checkCell(t, faultmatrix.StepCatchUp, in, func(t *testing.T, c *cluster, in injection) {
			a, d := c.start(journaltest.Faults{}), c.start(journaltest.Faults{})
			time.Sleep(time.Second)
			appendMany(a, "before", 5)
			reconnect := cutZone(c, d)
			time.Sleep(time.Second)
			appendAndTrim(c, a)
			reconnect()
			d.port.SetFaults(journaltest.Faults{Latency: 20 * time.Millisecond})
			checkInterruptedCatchUp(t, c, d, in)
		})
	}
}

// appendAndTrim appends 60 records, a configuration change, a snapshot and 40 more
// records, and trims the log to what follows the change.
func appendAndTrim(c *cluster, v *vm) {
	appendMany(v, "old", 60)
	v.submit(configEntry("kind", 0, "quote", 3))
	time.Sleep(time.Second)
	firstKept := v.follower.Next()
	v.snapshot()
	time.Sleep(time.Second)
	appendMany(v, "new", 40)
	c.log.Trim(firstKept)
}

// checkInterruptedCatchUp injects a fault into a VM that is catching up, heals it,
// and checks that all VMs end with equal states.
func checkInterruptedCatchUp(t *testing.T, c *cluster, v *vm, in injection) {
	t.Helper()
	time.Sleep(90 * time.Millisecond)
	heal := in.inject(c, v)
	assert.Assert(t, v.follower.Next() < c.log.Next(), "the VM caught up before the fault was injected")
	time.Sleep(in.lasts)
	heal()
	time.Sleep(settleTime)
	c.checkConverged()
	for _, v := range c.all() {
		if !v.unreachable() {
			checkCaughtUp(t, v)
		}
	}
}

// TestMatrixSnapshot checks that a VM that starts from a log trimmed to its newest
// usable snapshot reaches the state of the others, whatever fault the writer of a
// snapshot had.
func TestMatrixSnapshot(t *testing.T) {
	for _, in := range []injection{
		{faultmatrix.FaultKilled, kill, 0},
		{faultmatrix.FaultFrozen, freeze, 0},
		{faultmatrix.FaultCutBefore, cutBefore, 0},
		{faultmatrix.FaultCutAfter, cutAfter, 0},
		{faultmatrix.FaultSilent, silent, 0},
		{faultmatrix.FaultLogDown, logDown, 0},
		{faultmatrix.FaultLogSlow, logSlow, 0},
		{faultmatrix.FaultAnswerLost, loseAnswers, 0},
		{faultmatrix.FaultLeaseLapsed, freeze, longerThanLease},
		{faultmatrix.FaultZoneCut, cutZone, 0},
	} {
		checkCell(t, faultmatrix.StepSnapshot, in, func(t *testing.T, c *cluster, in injection) {
			a, b := c.start(journaltest.Faults{}), c.start(journaltest.Faults{})
			time.Sleep(time.Second)
			appendMany(a, "old", 30)
			lateSnapshot, err := journal.NewSnapshotEntry(a.replica.encode())
			assert.NilError(t, err)
			a.snapshot()
			heal := in.inject(c, a)
			for i := range 10 {
				if e := plainEntry(fmt.Sprintf("new-%d", i)); in.fault != faultmatrix.FaultLogDown {
					b.submit(e)
				}
				time.Sleep(in.lasts / 10)
			}
			firstKept := b.follower.Next()
			if in.fault != faultmatrix.FaultLogDown {
				b.snapshot()
				time.Sleep(time.Second)
			}
			heal()
			time.Sleep(settleTime)
			b.snapshot()
			time.Sleep(time.Second)
			appendMany(b, "tail", 20)
			lateSnapshot.ID = "snapshot-copy" // an old snapshot is stored last
			b.submit(lateSnapshot)
			time.Sleep(time.Second)
			c.log.Trim(firstKept)
			late := c.start(journaltest.Faults{})
			late.setIsolated(true) // it can only read from the log
			time.Sleep(5 * time.Second)
			c.checkConverged()
			snapshots, _ := late.replica.status()
			assert.Equal(t, snapshots, 1)
		})
	}
}
