package journal_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/journal/journaltest"
)

// runCluster runs f with a new cluster in virtual time.
func runCluster(t *testing.T, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, log: journaltest.NewLog()}
		defer c.stop()
		f(t, c)
	})
}

// appendMany submits count plain entries slowly enough that each becomes a record of
// its own.
func appendMany(v *vm, prefix string, count int) {
	for i := range count {
		v.submit(plainEntry(fmt.Sprintf("%s-%02d", prefix, i)))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
}

// checkCaughtUp checks that the follower of a VM reports that it caught up.
func checkCaughtUp(t *testing.T, v *vm) {
	t.Helper()
	select {
	case <-v.follower.CaughtUp():
	default:
		t.Errorf("VM has not caught up: next offset %d, want %d", v.follower.Next(), v.cluster.log.Next())
	}
}

func TestBurstIsCoalescedWithinBudget(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		v := c.start(journaltest.Faults{Latency: 2 * time.Millisecond})
		time.Sleep(time.Second)
		for i := range 2000 {
			v.submit(plainEntry(fmt.Sprintf("e%04d", i)))
		}
		time.Sleep(time.Second)
		assert.Equal(t, v.replica.size(), 2000)
		stats := v.publisher.Stats()
		assert.Assert(t, stats.Appends <= journal.DefaultAppendsPerSecond, "%d appends in a second", stats.Appends)
		assert.Equal(t, stats.Pending, 0)
	})
}

// Large entries are appended in packets of bounded size, and a VM whose client only
// accepts small answers can still read them.
func TestLargePackets(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.start(journaltest.Faults{})
		time.Sleep(time.Second)
		for i := range 40 {
			e := plainEntry(fmt.Sprintf("large-%02d", i))
			e.Body = json.RawMessage(`"` + strings.Repeat("x", 100<<10) + `"`)
			a.submit(e)
		}
		time.Sleep(3 * time.Second)
		for _, r := range c.log.History() {
			assert.Assert(t, len(r.Data) <= journal.DefaultPacketBytes, "%d bytes", len(r.Data))
		}
		late := c.start(journaltest.Faults{AnswerBytes: journal.DefaultPacketBytes})
		late.setIsolated(true) // it can only read from the log
		time.Sleep(10 * time.Second)
		c.checkConverged()
	})
}

func TestBackpressureIsReported(t *testing.T) {
	p := journal.NewPublisher(journaltest.NewLog().Port(), journal.PublisherOptions{QueueEntries: 2, EntryBytes: 500})
	entry := func(id string, size int) journal.Entry {
		return journal.Entry{ID: id, Body: make(json.RawMessage, size)}
	}
	assert.NilError(t, p.Submit(entry("a", 1), nil))
	assert.NilError(t, p.Submit(entry("b", 1), nil))
	assert.ErrorIs(t, p.Submit(entry("c", 1), nil), journal.ErrBackpressure)
	assert.ErrorIs(t, p.Submit(entry("d", 500), nil), journal.ErrTooLarge)
	assert.Equal(t, p.Stats().Rejected, int64(1))
}

func TestStartFromSnapshotOrPeer(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.start(journaltest.Faults{})
		time.Sleep(time.Second)
		appendMany(a, "first", 40)
		a.snapshot()
		time.Sleep(time.Second)
		appendMany(a, "second", 60)
		c.log.Trim(c.log.Next() - 62)

		b := c.start(journaltest.Faults{})
		b.setIsolated(true)
		time.Sleep(time.Second)
		snapshots, _ := b.replica.status()
		assert.Equal(t, snapshots, 1)
		checkCaughtUp(t, b)

		// While the log is down, a third VM gets the same from a peer.
		d := c.start(journaltest.Faults{Read: journaltest.FaultDown})
		time.Sleep(3 * time.Second)
		_, reachable := d.replica.status()
		assert.DeepEqual(t, reachable, []bool{false})
		checkCaughtUp(t, d)
		c.checkConverged()
	})
}

// A VM whose long poll is never answered reads a change from a peer within
// applyTimeout.
func TestSilentLongPollIsNoticed(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start(journaltest.Faults{}), c.start(journaltest.Faults{})
		time.Sleep(time.Second)
		a.port.SetFaults(journaltest.Faults{Read: journaltest.FaultSilent})
		b.submit(configEntry("change", 0, "quote", 1))
		time.Sleep(applyTimeout)
		assert.Equal(t, a.replica.applyCount("change"), 1, "the change is not in force within applyTimeout")
	})
}

// An entry in doubt that is not in the log up to its NotAfter offset is reported as
// not sent, and a copy stored later has no effect.
func TestEntryInDoubtExpires(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start(journaltest.Faults{}), c.start(journaltest.Faults{})
		time.Sleep(time.Second)
		a.port.SetFaults(journaltest.Faults{Append: journaltest.FaultCutBefore})
		a.submit(plainEntry("late"))
		time.Sleep(time.Second)
		for range journal.SendWindow + 1 {
			c.log.Append(nil)
		}
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, a.reportedStates("late"), []journal.AppendState{journal.AppendInDoubt, journal.AppendNotSent})

		late := plainEntry("late")
		late.NotAfter = 1 + journal.SendWindow
		data, err := journal.EncodePacket([]journal.Entry{late})
		assert.NilError(t, err)
		c.log.Append(data)
		time.Sleep(time.Second)
		decision, ok := b.replica.decision("late")
		assert.Assert(t, ok)
		assert.Equal(t, decision.Verdict, journal.VerdictExpired)
		c.checkConverged()
	})
}

// Even if the log keeps few records, it always holds a usable snapshot.
func TestSnapshotsPrecedeTheHorizon(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		const kept = 120
		a := c.start(journaltest.Faults{})
		time.Sleep(time.Second)
		for round := range 6 {
			for i := range 100 {
				a.submit(plainEntry(fmt.Sprintf("e-%d-%d", round, i)))
				time.Sleep(100 * time.Millisecond)
				c.log.Trim(c.log.Next() - kept)
				if (journal.SnapshotRule{}).SnapshotDue(a.replica.snapshotState(a.follower.First())) {
					a.snapshot()
				}
			}
			late := c.start(journaltest.Faults{})
			late.setIsolated(true) // it can only read from the log
			time.Sleep(5 * time.Second)
			c.checkConverged()
		}
	})
}

func TestSnapshotRule(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rule := journal.SnapshotRule{Records: 100, Age: time.Hour}
	for name, tc := range map[string]struct {
		state journal.SnapshotState
		due   bool
	}{
		"empty":              {journal.SnapshotState{Now: now}, false},
		"fresh":              {journal.SnapshotState{Applied: 150, Snapshot: 100, SnapshotAt: now, Now: now}, false},
		"many records":       {journal.SnapshotState{Applied: 200, Snapshot: 100, SnapshotAt: now, Now: now}, true},
		"older half":         {journal.SnapshotState{Applied: 150, Snapshot: 100, SnapshotAt: now, First: 80, Now: now}, true},
		"newer half":         {journal.SnapshotState{Applied: 150, Snapshot: 100, SnapshotAt: now, First: 40, Now: now}, false},
		"old without change": {journal.SnapshotState{Applied: 101, Snapshot: 100, SnapshotAt: now.Add(-time.Hour), Now: now}, true},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, rule.SnapshotDue(tc.state), tc.due) })
	}
	late := journal.SnapshotState{Applied: 250, Snapshot: 100, SnapshotAt: now.Add(-time.Hour), Now: now}
	assert.Assert(t, rule.ForRank(0).SnapshotDue(late))
	assert.Assert(t, !rule.ForRank(1).SnapshotDue(late), "the writer of rank 1 does not wait for that of rank 0")
	late.First = 50
	assert.Assert(t, rule.ForRank(0).SnapshotDue(late))
	assert.Assert(t, !rule.ForRank(1).SnapshotDue(late))
	late.Applied = 300
	assert.Assert(t, rule.ForRank(1).SnapshotDue(late))
}
