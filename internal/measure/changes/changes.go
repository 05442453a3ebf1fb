// Package changes measures the journal: how fast configuration changes propagate, what
// load they put on the platform's log, and how long a start from the log takes.
package changes

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/journal/journaltest"
	"github.com/eelgrassreach/eelgrassreach/internal/measure/stats"
)

// Run measures and prints the times in which a change is accepted and in force on the
// last VM, its appends and bytes, the time of a burst of entries, and the time of the
// start-up replay. The VMs and the log run in this process, in real time.
func Run(w io.Writer, seed uint64) error {
	if err := printPropagation(w); err != nil {
		return err
	}
	if err := printBurst(w); err != nil {
		return err
	}
	return printReplay(w, seed)
}

// propagationScenario is a state of the links under which changes are published.
type propagationScenario struct {
	name    string
	changes int
	link    journaltest.Faults
	cutZone bool // the last zone reaches only its peers, not the log
}

var propagationScenarios = []propagationScenario{
	{"healthy", 20, journaltest.Faults{Latency: time.Millisecond}, false},
	{"slow log, 500 ms one way", 6, journaltest.Faults{Latency: 500 * time.Millisecond}, false},
	{"one zone cut off, peer only", 15, journaltest.Faults{Latency: time.Millisecond}, true},
}

const (
	logZones      = 3
	logVMsPerZone = 2
	// changeInterval is the pause between two changes. The heartbeat interval is not a
	// multiple of it, so that changes fall at varying points between heartbeats.
	changeInterval   = 170 * time.Millisecond
	conditionTimeout = 20 * time.Second
)

// propagationResult is the result of one scenario.
type propagationResult struct {
	accepted []time.Duration // sorted
	inForce  []time.Duration // sorted
	appends  int64
	bytes    int64
}

func printPropagation(w io.Writer) error {
	fmt.Fprintf(w, "configuration changes, %d VMs in %d zones, heartbeat every %v, wall time, medians\n",
		logZones*logVMsPerZone, logZones, heartbeatInterval)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "links\tchanges\tsubmitted to accepted\tlongest\taccepted to in force on last VM\tlongest\tappends per change\tbytes per change\t")
	for _, scenario := range propagationScenarios {
		result, err := measurePropagation(scenario)
		if err != nil {
			return fmt.Errorf("%s: %w", scenario.name, err)
		}
		fmt.Fprintf(table, "%s\t%d\t%v\t%v\t%v\t%v\t%.2f\t%d\t\n", scenario.name, scenario.changes,
			roundMS(stats.Quantile(result.accepted, 0.5)), roundMS(result.accepted[len(result.accepted)-1]),
			roundMS(stats.Quantile(result.inForce, 0.5)), roundMS(result.inForce[len(result.inForce)-1]),
			float64(result.appends)/float64(scenario.changes), result.bytes/int64(scenario.changes))
	}
	return table.Flush()
}

// roundMS rounds to a tenth of a millisecond.
func roundMS(d time.Duration) time.Duration { return d.Round(time.Millisecond / 10) }

// measurePropagation publishes changes one after another and times each.
func measurePropagation(scenario propagationScenario) (propagationResult, error) {
	c := newLogCluster(scenario.link)
	defer c.stop()
	if err := c.awaitFollowers(); err != nil {
		return propagationResult{}, err
	}
	if scenario.cutZone {
		c.cutZone(logZones - 1)
	}
	var result propagationResult
	before := c.publisherStats()
	for i := range scenario.changes {
		times, err := c.publish(i)
		if err != nil {
			return propagationResult{}, err
		}
		result.accepted = append(result.accepted, times.accepted)
		result.inForce = append(result.inForce, times.inForce)
		time.Sleep(changeInterval)
	}
	slices.Sort(result.accepted)
	slices.Sort(result.inForce)
	after := c.publisherStats()
	result.appends = after.Appends - before.Appends
	result.bytes = after.Bytes - before.Bytes
	return result, nil
}

const burstEntries = 1000 // per VM

func printBurst(w io.Writer) error {
	c := newLogCluster(journaltest.Faults{Latency: time.Millisecond})
	defer c.stop()
	if err := c.awaitFollowers(); err != nil {
		return err
	}
	duration, err := c.burst(burstEntries)
	if err != nil {
		return err
	}
	stats := c.publisherStats()
	fmt.Fprintf(w, "burst of %d entries on each of %d VMs: read back by all after %v, %d appends, %.1f entries per append\n",
		burstEntries, len(c.vms), duration.Round(time.Millisecond), stats.Appends, float64(stats.Entries)/float64(stats.Appends))
	return nil
}
