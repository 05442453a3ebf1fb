package journal_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/journal/journaltest"
	"github.com/eelgrassreach/eelgrassreach/internal/platform"
)

// race is one randomised run of racing operators over a faulty log.
type race struct {
	*cluster
	rt      *rapid.T
	changes map[string]int64 // expected revision by entry ID
	trimmed int64            // the horizon of the log
}

// TestRacingOperators: whatever the links, the VMs and the retention do, all VMs
// end with equal states, none goes back, one change wins against each revision,
// and each operator is told the truth.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			r := &race{
				cluster: &cluster{t: rt, log: journaltest.NewLog()},
				rt:      rt,
				changes: make(map[string]int64),
				trimmed: 1,
			}
			defer r.stop()
			for range 3 {
				r.start(journaltest.Faults{})
			}
			time.Sleep(time.Second)
			steps := rapid.IntRange(5, 40).Draw(rt, "steps")
			for step := range steps {
				r.step(step)
			}
			r.healAll()
			time.Sleep(settleTime)
			r.agree()
			r.checkWinners()
		})
	})
}

// noDeadline hides the deadline of a test, which cannot be asked for in a bubble of
// synctest.
type noDeadline struct{ rapid.TB }

// live returns the VMs that were not killed.
func (r *race) live() []*vm {
	var live []*vm
	for _, v := range r.all() {
		if !v.isGone() {
			live = append(live, v)
		}
	}
	return live
}

// step makes one random move and lets some time pass.
func (r *race) step(step int) {
	v := rapid.SampledFrom(r.live()).Draw(r.rt, "vm")
	id := fmt.Sprintf("%d", step)
	switch rapid.SampledFrom(moves).Draw(r.rt, "move") {
	case "publish":
		r.publish(v, "change-"+id)
	case "race":
		for i, rival := range r.live() {
			r.publish(rival, fmt.Sprintf("change-%s-%d", id, i))
		}
	case "plain":
		_ = v.publisher.Submit(plain("plain-"+id), v.done)
	case "port":
		v.port.Set(drawFaults(r.rt))
	case "cut":
		v.setCut(rapid.Bool().Draw(r.rt, "cut"))
	case "freeze":
		v.port.Freeze()
	case "thaw":
		v.port.Thaw()
	case "replace":
		v.kill()
		r.start(drawFaults(r.rt))
	case "snapshot":
		v.snapshot()
	case "trim":
		r.trim()
	}
	time.Sleep(time.Duration(rapid.IntRange(0, 6000).Draw(r.rt, "ms")) * time.Millisecond)
}

// moves lists the moves; frequent ones stand twice.
var moves = []string{
	"publish", "publish", "race", "race", "plain", "port", "port", "cut", "freeze", "thaw",
	"replace", "snapshot", "trim",
}

// drawFaults draws the faults of a port.
func drawFaults(rt *rapid.T) journaltest.Faults {
	return journaltest.Faults{
		Append: rapid.SampledFrom([]journaltest.Fault{
			journaltest.FaultNone, journaltest.FaultNone, journaltest.FaultDown, journaltest.FaultCutBefore,
			journaltest.FaultCutAfter, journaltest.FaultSilent, journaltest.FaultSilentSet,
		}).Draw(rt, "append"),
		Read: rapid.SampledFrom([]journaltest.Fault{
			journaltest.FaultNone, journaltest.FaultNone, journaltest.FaultDown, journaltest.FaultSilent,
		}).Draw(rt, "read"),
		Latency: time.Duration(rapid.SampledFrom([]int{0, 5, 500, 4000}).Draw(rt, "latency")) * time.Millisecond,
	}
}

// publish submits a change that expects the revision that the VM has in force.
func (r *race) publish(v *vm, id string) {
	expected := v.replica.revisionInForce()
	r.changes[id] = expected
	_ = v.publisher.Submit(configEntry(id, expected, "quote", len(r.changes)), v.done)
}

// trim drops records up to the newest snapshot in the log, as a platform does
// whose retention is longer than the interval of snapshots.
func (r *race) trim() {
	for _, record := range r.log.History() {
		for _, e := range journal.Locate(record) {
			if s, ok := journal.SnapshotOf(e.Entry); ok {
				r.trimmed = max(r.trimmed, s.Offset+1)
			}
		}
	}
	r.log.Trim(r.trimmed)
}

// healAll ends all faults.
func (r *race) healAll() {
	for _, v := range r.live() {
		v.setCut(false)
		v.port.Set(journaltest.Faults{})
		v.port.Thaw()
	}
}

// checkWinners replays the whole log by the plainest rule and compares the verdict
// on each change with what the VMs decided.
func (r *race) checkWinners() {
	verdicts := winners(r.rt, r.log.History())
	for _, v := range r.live() {
		for id := range r.changes {
			decision, decided := v.replica.decision(id)
			want, stored := verdicts[id]
			assert.Equal(r.rt, decided, stored, id)
			assert.Equal(r.rt, decision.Verdict, want, id)
		}
	}
}

// winners returns the verdict on each change by entry ID.
func winners(t TB, history []platform.Record) map[string]journal.Verdict {
	verdicts := make(map[string]journal.Verdict)
	var revision int64
	for _, record := range history {
		for _, e := range journal.Locate(record) {
			if _, seen := verdicts[e.Entry.ID]; seen || e.Entry.Kind != journal.KindConfig {
				continue
			}
			var change journal.ConfigChange
			assert.NilError(t, json.Unmarshal(e.Entry.Body, &change))
			verdicts[e.Entry.ID] = journal.VerdictConflict
			if change.ExpectedRevision == revision {
				verdicts[e.Entry.ID] = journal.VerdictAccepted
				revision = record.Offset
			}
		}
	}
	return verdicts
}
