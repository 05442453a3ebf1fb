package journal_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/journal/journaltest"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// move is one step of a randomised run. It is drawn before the run, since the run
// is in a bubble and a goroutine of its own.
type move struct {
	Name   string
	VM     int // index among the live VMs, modulo their number
	Cut    bool
	Faults journaltest.Faults
	Pause  time.Duration
}

// drawMove draws a move.
func drawMove(rt *rapid.T) move {
	return move{
		Name:   rapid.SampledFrom(moves).Draw(rt, "move"),
		VM:     rapid.IntRange(0, 2).Draw(rt, "vm"),
		Cut:    rapid.Bool().Draw(rt, "cut"),
		Faults: drawFaults(rt),
		Pause:  time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms")) * time.Millisecond,
	}
}

// collector collects the failures of a run.
type collector struct {
	testing.TB
	mu       sync.Mutex
	failures []string
}

// errStop ends a run.
var errStop = errors.New("the run failed")

func (c *collector) Errorf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

func (c *collector) Log(args ...any) { c.Errorf("%s", fmt.Sprint(args...)) }
func (c *collector) Fail()           {}
func (c *collector) FailNow()        { panic(errStop) }

// run runs f and returns the failures.
func (c *collector) run(f func()) []string {
	func() {
		defer func() {
			if cause := recover(); cause != nil && cause != errStop {
				panic(cause)
			}
		}()
		f()
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures
}

// race is one randomised run of racing operators over a faulty log.
type race struct {
	*cluster
	changes map[string]int64 // expected revision by entry ID
	trimmed int64            // the horizon of the log
}

// TestRacingOperators: whatever the links, the VMs and the retention do, all VMs
// end with equal states, none goes back, one change wins against each revision,
// and each operator is told the truth.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawMove), 5, 40).Draw(rt, "script")
		failures := inOwnGoroutine(func() (failures []string) {
			synctest.Test(t, func(t *testing.T) {
				c := &collector{TB: t}
				failures = c.run(func() { runRace(c, script) })
			})
			return failures
		})
		if len(failures) > 0 {
			rt.Fatalf("%s", strings.Join(failures, "\n"))
		}
	})
}

// inOwnGoroutine returns what f returns in a new goroutine. With the race detector,
// the timers of a bubble use up a bounded stack of the goroutine that runs it.
func inOwnGoroutine[T any](f func() T) T {
	result := make(chan T)
	go func() { result <- f() }()
	return <-result
}

// runRace runs one script and checks the end.
func runRace(t TB, script []move) {
	r := &race{cluster: &cluster{t: t, log: journaltest.NewLog(), readLimit: 1024}, changes: make(map[string]int64), trimmed: 1}
	defer r.stop()
	for range 3 {
		r.start(journaltest.Faults{})
	}
	time.Sleep(time.Second)
	for i, m := range script {
		r.step(i, m)
		time.Sleep(m.Pause)
	}
	r.healAll()
	time.Sleep(settleTime)
	r.agree()
	r.checkWinners()
}

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

// step makes one move.
func (r *race) step(i int, m move) {
	live := r.live()
	v := live[m.VM%len(live)]
	switch m.Name {
	case "publish":
		r.publish(v, fmt.Sprintf("change-%d", i))
	case "race":
		for n, rival := range live {
			r.publish(rival, fmt.Sprintf("change-%d-%d", i, n))
		}
	case "plain":
		_ = v.publisher.Submit(plain(fmt.Sprintf("plain-%d", i)), v.done)
	case "port":
		v.port.SetFaults(m.Faults)
	case "cut":
		v.setCut(m.Cut)
	case "freeze":
		v.port.Freeze()
	case "thaw":
		v.port.Thaw()
	case "replace":
		v.kill()
		r.start(m.Faults)
	case "snapshot":
		v.snapshot()
	case "trim":
		r.trim()
	case "flood":
		r.flood()
	}
}

// moves lists the moves; frequent ones stand several times.
var moves = []string{
	"publish", "publish", "publish", "race", "race", "race", "plain", "plain", "port", "port", "port",
	"cut", "cut", "freeze", "freeze", "thaw", "thaw", "replace", "replace", "snapshot", "snapshot", "trim", "trim",
	"flood",
}

// drawFaults draws the faults of a port.
func drawFaults(rt *rapid.T) journaltest.Faults {
	return journaltest.Faults{
		Append: rapid.SampledFrom([]journaltest.Fault{
			journaltest.FaultNone, journaltest.FaultNone, journaltest.FaultDown, journaltest.FaultCutBefore,
			journaltest.FaultCutAfter, journaltest.FaultSilent, journaltest.FaultSilentAfter,
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
		for _, e := range journal.EntriesOf(record) {
			if s, ok := journal.SnapshotOf(e.Entry); ok {
				r.trimmed = max(r.trimmed, s.Offset+1)
			}
		}
	}
	r.log.Trim(r.trimmed)
}

// flood fills the log past the last offset of all entries sent so far.
func (r *race) flood() {
	r.flooded = true
	for range journal.SendWindow + 1 {
		r.log.Append(nil)
	}
}

// healAll ends all faults.
func (r *race) healAll() {
	for _, v := range r.live() {
		v.setCut(false)
		v.port.SetFaults(journaltest.Faults{})
		v.port.Thaw()
	}
}

// checkWinners replays the whole log by the plainest rule and compares the verdict
// on each change with what the VMs decided.
func (r *race) checkWinners() {
	verdicts := winners(r.t, r.log.History())
	for _, v := range r.live() {
		for id := range r.changes {
			decision, decided := v.replica.decision(id)
			want, stored := verdicts[id]
			if !decided && r.flooded {
				continue // forgotten, as it may be
			}
			assert.Equal(r.t, decided, stored, id)
			assert.Equal(r.t, decision.Verdict, want, id)
		}
	}
}

// winners returns the verdict on each change by entry ID.
func winners(t TB, history []ports.Record) map[string]journal.Verdict {
	verdicts := make(map[string]journal.Verdict)
	var revision int64
	for _, record := range history {
		for _, e := range journal.EntriesOf(record) {
			if _, seen := verdicts[e.Entry.ID]; seen || e.Entry.Kind != journal.KindConfig {
				continue
			}
			if e.Offset > e.Entry.NotAfter {
				verdicts[e.Entry.ID] = journal.VerdictExpired
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
