package fleet

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// overdue is the state machine of a random run with jobs of many overdue occurrences, and with submissions that the
// store carries out late, some of them after the cancellation of their job.
type overdue struct {
	*machine
	jobs      int
	cancelled []model.JobID // of which the cancellation was acknowledged before the submission was carried out
}

// maxOverdueJobs bounds the work that is left when the faults end.
const maxOverdueJobs = 4

func (o *overdue) submitOverdue(*rapid.T) {
	if o.jobs++; o.jobs > maxOverdueJobs {
		return
	}
	step := job.Step{
		Count: 1 + o.draw("count", 2), Need: job.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1},
		EstimatedRuntime: time.Duration(100+o.draw("ms", 900)) * time.Millisecond,
	}
	step.Gang = step.Count > 1 && o.draw("gang", 2) == 0
	j := overdueJob(o.world, 20+o.draw("times", 300), step)
	if o.draw("steps", 2) == 0 {
		second := step
		second.DependsOn = []int{0}
		j.Steps = append(j.Steps, second)
	}
	j.Priority = o.draw("priority", 3)
	o.submit(j)
}

// submitLateAndCancel sends a submission that is carried out late, and mostly has the job cancelled before.
func (o *overdue) submitLateAndCancel(*rapid.T) {
	n := o.node()
	if n.dead || n.frozen {
		return
	}
	j := o.submitLate(n, newJob(1+o.draw("count", 3), oneAccelerator, 1+o.draw("seconds", 3)))
	if o.draw("cancels", 4) == 0 {
		return
	}
	o.at(time.Duration(o.draw("after", 5500))*time.Millisecond, func() {
		for _, n := range o.nodes {
			if !n.dead && !n.frozen && !o.store.down && o.reachesStore(n) && o.cancelAt(n, j.ID) {
				o.oracle.cancelled[j.ID] = o.now
				o.cancelled = append(o.cancelled, j.ID)
				return
			}
		}
	})
}

// TestRandomOverdue checks that all overdue occurrences are done once and in the order of their steps, and that no job
// runs that was cancelled before it was stored, beside VMs, backend servers and a store that fail.
func TestRandomOverdue(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		o := &overdue{machine: &machine{world: newWorld(t, uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")), 3, 6), t: t}}
		o.run(3 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"overdue": o.submitOverdue, "submit": o.submitJob, "cancel": o.cancelJob, "late": o.submitLateAndCancel, "late2": o.submitLateAndCancel,
			"kill": o.killVM, "killAll": o.killAllVMs, "drain": o.drainVM, "freeze": o.freezeVM, "cut": o.cutLink, "store": o.changeStore,
			"server": o.changeServer, "crash": o.crashServer, "orders": o.changeLateShare, "pass": o.passTime, "pass2": o.passTime, "pass3": o.passTime,
		})
		o.run(lateWrite)
		o.endFaults()
		o.run(settleTime)
		o.oracle.checkAllEnded()
		for name, starts := range o.oracle.startsOf {
			for _, id := range o.cancelled {
				if strings.HasPrefix(name, string(id)+".") {
					t.Fatalf("task %s was started %d times, but its job was cancelled before it was stored", name, starts)
				}
			}
		}
	})
}
