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

// move is one step of a randomised run. All moves are drawn before the run, because
// the run is in a synctest bubble and in a goroutine of its own.
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

// failureCollector collects the failures of a run instead of failing the test.
type failureCollector struct {
	testing.TB
	mu       sync.Mutex
	failures []string
}

// errRunFailed is the panic value with which FailNow ends a run.
var errRunFailed = errors.New("the run failed")

func (c *failureCollector) Errorf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

func (c *failureCollector) Log(args ...any) { c.Errorf("%s", fmt.Sprint(args...)) }
func (c *failureCollector) Fail()           {}
func (c *failureCollector) FailNow()        { panic(errRunFailed) }

// run runs f and returns the failures.
func (c *failureCollector) run(f func()) []string {
	func() {
		defer func() {
			if cause := recover(); cause != nil && cause != errRunFailed {
				panic(cause)
			}
		}()
		f()
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures
}

// race is one randomised run of concurrent operators over a faulty log.
type race struct {
	*cluster
	changes   map[string]int64 // expected revision by entry ID
	firstKept int64            // the offset to which the log was trimmed
}

// TestRacingOperators checks that under faults of the links and the VMs, and with a
// trimmed log, all VMs end with equal states, no configuration goes back, one change
// wins against each revision, and the reported states are true.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawMove), 5, 40).Draw(rt, "script")
		failures := inOwnGoroutine(func() (failures []string) {
			synctest.Test(t, func(t *testing.T) {
				c := &failureCollector{TB: t}
				failures = c.run(func() { runRace(c, script) })
			})
			return failures
		})
		if len(failures) > 0 {
			rt.Fatalf("%s", strings.Join(failures, "\n"))
		}
	})
}

// inOwnGoroutine runs f in a new goroutine and returns its result. With the race
// detector, the timers of a synctest bubble use up a stack of bounded size that
// belongs to the goroutine that runs the bubble.
func inOwnGoroutine[T any](f func() T) T {
	result := make(chan T)
	go func() { result <- f() }()
	return <-result
}

// runRace runs one script and checks the final state.
func runRace(t TB, script []move) {
	r := &race{cluster: &cluster{t: t, log: journaltest.NewLog(), readLimit: 1024}, changes: make(map[string]int64), firstKept: 1}
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
	r.checkConverged()
	r.checkVerdicts()
}

// live returns the VMs that were not killed.
func (r *race) live() []*vm {
	var live []*vm
	for _, v := range r.all() {
		if !v.isKilled() {
			live = append(live, v)
		}
	}
	return live
}

// step carries out one move.
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
		_ = v.publisher.Submit(plainEntry(fmt.Sprintf("plain-%d", i)), v.done)
	case "port":
		v.port.SetFaults(m.Faults)
	case "cut":
		v.setIsolated(m.Cut)
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

// moves lists the names of moves. Repeated names are drawn more often.
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

// publish submits a change that expects the revision in force on the VM.
func (r *race) publish(v *vm, id string) {
	expected := v.replica.revisionInForce()
	r.changes[id] = expected
	_ = v.publisher.Submit(configEntry(id, expected, "quote", len(r.changes)), v.done)
}

// trim drops the records that the newest snapshot in the log covers, as a platform
// does whose retention is longer than the interval between snapshots.
func (r *race) trim() {
	for _, record := range r.log.History() {
		for _, e := range journal.EntriesOf(record) {
			if s, ok := journal.SnapshotOf(e.Entry); ok {
				r.firstKept = max(r.firstKept, s.Offset+1)
			}
		}
	}
	r.log.Trim(r.firstKept)
}

// flood fills the log past the NotAfter offsets of all entries sent so far.
func (r *race) flood() {
	r.flooded = true
	for range journal.SendWindow + 1 {
		r.log.Append(nil)
	}
}

// healAll ends all faults.
func (r *race) healAll() {
	for _, v := range r.live() {
		v.setIsolated(false)
		v.port.SetFaults(journaltest.Faults{})
		v.port.Thaw()
	}
}

// checkVerdicts compares the verdicts of the VMs on each change with the expected ones.
func (r *race) checkVerdicts() {
	want := expectedVerdicts(r.t, r.log.History())
	for _, v := range r.live() {
		for id := range r.changes {
			decision, decided := v.replica.decision(id)
			verdict, stored := want[id]
			if !decided && r.flooded {
				continue // the decision may have been dropped
			}
			assert.Equal(r.t, decided, stored, id)
			assert.Equal(r.t, decision.Verdict, verdict, id)
		}
	}
}

// expectedVerdicts replays the whole log in the simplest way and returns the verdict
// on each change by entry ID.
func expectedVerdicts(t TB, history []ports.Record) map[string]journal.Verdict {
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
