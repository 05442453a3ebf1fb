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
	faultTime  = 9 * time.Second  // how long an injected fault lasts
	leaseTime  = 30 * time.Second // longer than any lease
	applyBound = 4 * time.Second  // from accepted to in force on a reachable VM
)

// injection injects a fault at a VM; heal ends it.
type injection struct {
	fault  faultmatrix.Fault
	inject func(c *cluster, v *vm) (heal func())
	lasts  time.Duration // 0 for faultTime
}

// portFault sets the faults of the VM's port.
func portFault(f journaltest.Faults) func(*cluster, *vm) func() {
	return func(_ *cluster, v *vm) func() {
		v.port.SetFaults(f)
		return func() { v.port.SetFaults(journaltest.Faults{}) }
	}
}

// logFault sets the faults of all ports.
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

// kill kills the VM, and starts another one as heal.
func kill(c *cluster, v *vm) func() {
	v.kill()
	return func() { c.start(journaltest.Faults{}) }
}

// freeze holds the VM, which neither answers peers.
func freeze(_ *cluster, v *vm) func() {
	v.port.Freeze()
	v.setCut(true)
	return func() {
		v.setCut(false)
		v.port.Thaw()
	}
}

// cutZone cuts the VM off from the platform and from its peers.
func cutZone(_ *cluster, v *vm) func() {
	v.port.SetFaults(journaltest.Faults{Append: journaltest.FaultSilent, Read: journaltest.FaultSilent})
	v.setCut(true)
	return func() {
		v.setCut(false)
		v.port.SetFaults(journaltest.Faults{})
	}
}

// loseAnswers lets appends take effect, and hides that from the VM until healed.
func loseAnswers(_ *cluster, v *vm) func() {
	v.port.SetFaults(journaltest.Faults{Append: journaltest.FaultSilentAfter, Read: journaltest.FaultDown})
	v.setCut(true)
	return func() {
		v.setCut(false)
		v.port.SetFaults(journaltest.Faults{})
	}
}

// staleList lists only a dead VM as a peer, with the platform down for the VM.
func staleList(_ *cluster, v *vm) func() {
	v.setStale(true)
	v.port.SetFaults(journaltest.Faults{Append: journaltest.FaultDown, Read: journaltest.FaultDown})
	return func() {
		v.setStale(false)
		v.port.SetFaults(journaltest.Faults{})
	}
}

// The faults of calls as seen by the VM.
var (
	cutBefore = portFault(journaltest.Faults{Append: journaltest.FaultCutBefore, Read: journaltest.FaultDown})
	cutAfter  = portFault(journaltest.Faults{Append: journaltest.FaultCutAfter, Read: journaltest.FaultDown})
	silent    = portFault(journaltest.Faults{Append: journaltest.FaultSilent, Read: journaltest.FaultSilent})
	logDown   = logFault(journaltest.Faults{Append: journaltest.FaultDown, Read: journaltest.FaultDown})
	logSlow   = logFault(journaltest.Faults{Latency: 2 * time.Second})
)

// prove runs the proof of one cell.
func prove(t *testing.T, step faultmatrix.Step, in injection, proof func(t *testing.T, c *cluster, in injection)) {
	if in.lasts == 0 {
		in.lasts = faultTime
	}
	faultmatrix.Cell(t, step, in.fault, func(t *testing.T) {
		run(t, func(t *testing.T, c *cluster) { proof(t, c, in) })
	})
}

// TestMatrixAppend: an entry is applied once or not at all, its submitter is told
// which, and of two racing changes one wins.
func TestMatrixAppend(t *testing.T) {
	inDoubt := []journal.AppendState{journal.AppendInDoubt, journal.AppendStored}
	notSent := []journal.AppendState{journal.AppendNotSent}
	for _, tc := range []struct {
		injection
		told []journal.AppendState // nil: the VM is gone
	}{
		{injection{faultmatrix.FaultKilled, kill, 0}, nil},
		{injection{faultmatrix.FaultFrozen, freeze, 0}, inDoubt},
		{injection{faultmatrix.FaultCutBefore, cutBefore, 0}, inDoubt},
		{injection{faultmatrix.FaultCutAfter, cutAfter, 0}, inDoubt},
		{injection{faultmatrix.FaultSilent, silent, 0}, inDoubt},
		{injection{faultmatrix.FaultLogDown, logDown, 0}, notSent},
		{injection{faultmatrix.FaultLogSlow, logSlow, 0}, inDoubt},
		{injection{faultmatrix.FaultAnswerLost, loseAnswers, 0}, inDoubt},
		{injection{faultmatrix.FaultLeaseLapsed, freeze, leaseTime}, inDoubt},
		{injection{faultmatrix.FaultZoneCut, cutZone, 0}, inDoubt},
	} {
		prove(t, faultmatrix.StepAppend, tc.injection, func(t *testing.T, c *cluster, in injection) {
			proveAppend(t, c, in, tc.told)
		})
	}
}

func proveAppend(t *testing.T, c *cluster, in injection, told []journal.AppendState) {
	a, b := c.start(journaltest.Faults{}), c.start(journaltest.Faults{})
	time.Sleep(time.Second)
	a.submit(plain("first"))
	if told != nil {
		time.Sleep(time.Second)
	}
	heal := in.inject(c, a)
	if told != nil {
		a.submit(plain("x"))
		a.submit(configEntry("from-a", 0, "quote", 1))
	}
	b.submit(configEntry("from-b", 0, "quote", 2))
	time.Sleep(in.lasts)
	heal()
	time.Sleep(settleTime)
	c.agree()
	if told == nil {
		return
	}
	assert.DeepEqual(t, a.told("x"), told)
	if told[len(told)-1] == journal.AppendNotSent {
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

// TestMatrixReadBack: what one VM read back is applied by each VM that reaches a
// peer within the bound, whatever its own link to the platform does.
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
		{injection{faultmatrix.FaultLeaseLapsed, freeze, leaseTime}, false},
		{injection{faultmatrix.FaultZoneCut, cutZone, 0}, false},
	} {
		prove(t, faultmatrix.StepReadBack, tc.injection, func(t *testing.T, c *cluster, in injection) {
			a, b := c.start(journaltest.Faults{}), c.start(journaltest.Faults{})
			time.Sleep(time.Second)
			a.port.SetFaults(journaltest.Faults{Read: journaltest.FaultDown})
			a.setCut(true)
			a.submit(configEntry("change", 0, "quote", 1))
			time.Sleep(time.Second) // stored, and read by b alone
			assert.Equal(t, b.replica.has("change"), 1)
			a.setCut(false)
			heal := in.inject(c, a)
			time.Sleep(applyBound)
			if tc.reachable {
				assert.Equal(t, a.replica.has("change"), 1, "not in force in time")
			}
			time.Sleep(in.lasts)
			heal()
			time.Sleep(settleTime)
			c.agree()
		})
	}
}

// TestMatrixReplay: a VM that starts reaches the state of the others from a
// snapshot and what follows, wherever the fault interrupts it.
func TestMatrixReplay(t *testing.T) {
	for _, in := range []injection{
		{faultmatrix.FaultKilled, kill, 0},
		{faultmatrix.FaultFrozen, freeze, 0},
		{faultmatrix.FaultLogDown, logDown, 0},
		{faultmatrix.FaultLogSlow, logSlow, 0},
		{faultmatrix.FaultListStale, staleList, 0},
		{faultmatrix.FaultLeaseLapsed, freeze, leaseTime},
		{faultmatrix.FaultZoneCut, cutZone, 0},
	} {
		prove(t, faultmatrix.StepReplay, in, func(t *testing.T, c *cluster, in injection) {
			a := c.start(journaltest.Faults{})
			time.Sleep(time.Second)
			history(c, a)
			d := c.start(journaltest.Faults{Latency: 20 * time.Millisecond})
			interrupt(t, c, d, in)
		})
	}
}

// TestMatrixCatchUp: a VM that fell behind the log's retention goes on from a
// snapshot and never goes back, wherever the fault interrupts it.
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
		{faultmatrix.FaultLeaseLapsed, freeze, leaseTime},
		{faultmatrix.FaultZoneCut, cutZone, 0},
	} {
		prove(t, faultmatrix.StepCatchUp, in, func(t *testing.T, c *cluster, in injection) {
			a, d := c.start(journaltest.Faults{}), c.start(journaltest.Faults{})
			time.Sleep(time.Second)
			appendMany(a, "before", 5)
			backOn := cutZone(c, d)
			time.Sleep(time.Second)
			history(c, a)
			backOn()
			d.port.SetFaults(journaltest.Faults{Latency: 20 * time.Millisecond})
			interrupt(t, c, d, in)
		})
	}
}

// history appends 60 records, a snapshot and 40 more, and trims the log near the snapshot.
func history(c *cluster, v *vm) {
	appendMany(v, "old", 60)
	v.submit(configEntry("kind", 0, "quote", 3))
	time.Sleep(time.Second)
	horizon := v.follower.Next()
	v.snapshot()
	time.Sleep(time.Second)
	appendMany(v, "new", 40)
	c.log.Trim(horizon)
}

// interrupt injects a fault into a VM that is catching up, heals it, and checks
// that all VMs end equal.
func interrupt(t *testing.T, c *cluster, v *vm, in injection) {
	t.Helper()
	time.Sleep(90 * time.Millisecond)
	heal := in.inject(c, v)
	assert.Assert(t, v.follower.Next() < c.log.Next(), "caught up before the fault")
	time.Sleep(in.lasts)
	heal()
	time.Sleep(settleTime)
	c.agree()
	for _, v := range c.all() {
		if !v.unreachable() {
			caughtUp(t, v)
		}
	}
}

// TestMatrixSnapshot: whatever happens to the writer of a snapshot, a VM that
// starts after it, from a log trimmed to the newest usable snapshot, reaches the
// state of the others.
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
		{faultmatrix.FaultLeaseLapsed, freeze, leaseTime},
		{faultmatrix.FaultZoneCut, cutZone, 0},
	} {
		prove(t, faultmatrix.StepSnapshot, in, func(t *testing.T, c *cluster, in injection) {
			a, b := c.start(journaltest.Faults{}), c.start(journaltest.Faults{})
			time.Sleep(time.Second)
			appendMany(a, "old", 30)
			stale, err := journal.NewSnapshotEntry(a.replica.encode())
			assert.NilError(t, err)
			a.snapshot()
			heal := in.inject(c, a)
			for i := range 10 {
				if e := plain(fmt.Sprintf("new-%d", i)); in.fault != faultmatrix.FaultLogDown {
					b.submit(e)
				}
				time.Sleep(in.lasts / 10)
			}
			horizon := b.follower.Next()
			if in.fault != faultmatrix.FaultLogDown {
				b.snapshot()
				time.Sleep(time.Second)
			}
			heal()
			time.Sleep(settleTime)
			b.snapshot()
			time.Sleep(time.Second)
			appendMany(b, "tail", 20)
			stale.ID = "snapshot-copy" // a late copy of the first one ends the log
			b.submit(stale)
			time.Sleep(time.Second)
			c.log.Trim(horizon)
			late := c.start(journaltest.Faults{})
			late.setCut(true) // it has the log alone
			time.Sleep(5 * time.Second)
			c.agree()
			snapshots, _ := late.replica.status()
			assert.Equal(t, snapshots, 1)
		})
	}
}
