package gangs

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

// variant is a policy with its name in the printed tables.
type variant struct {
	name   string
	policy placement.Policy
}

func variants() []variant {
	never := 10 * replayLimit
	return []variant{
		{"first fit", placement.FirstFit{}},
		{"tightest cell", placement.BestFit{}},
		{"reclaiming (chosen)", placement.Reclaiming{}},
		{"  never reserve", reclaiming(never, never)},
		{"  reserve 10m, evict 30m", reclaiming(10*time.Minute, 30*time.Minute)},
		{"  reserve 1h, evict 2h", reclaiming(time.Hour, 2*time.Hour)},
		{"  reserve 1h, evict 12h", reclaiming(time.Hour, 12*time.Hour)},
		{"  reserve 1h, never evict", reclaiming(time.Hour, never)},
	}
}

func reclaiming(reserveAfter, evictAfter time.Duration) placement.Policy {
	options := placement.Options{ReserveAfter: reserveAfter, EvictAfter: evictAfter}
	options.StarvedAfter = max(evictAfter, placement.DefaultStarvedAfter)
	return placement.Reclaiming{Options: options}
}

// Run measures and prints the placement tables of both deployments and the cost of a decision.
func Run(w io.Writer, seed uint64) error {
	for _, d := range deployments() {
		if err := printDeployment(w, d, seed); err != nil {
			return err
		}
	}
	return printDecisionCost(w, seed)
}

func printDeployment(w io.Writer, d deployment, seed uint64) error {
	fmt.Fprintf(w, "placement, %s, seed %d: %d zones of %d servers of %d accelerators, %.0f%% load over %s\n",
		d.name, seed, len(d.zones), serversPerZone, acceleratorsPerServer, 100*d.load, workloadSpan)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tsmall p50\tp95\tserver p50\tp95\tlarge p50\tp95\tlargest wait p50\tmax"+
		"\turgent wait p50\tp95\treclaim p50\tp95\tmax\tfragm.\tevictions\tunended\t")
	for _, v := range variants() {
		printRow(table, v.name, replayDeployment(d, v.policy, seed))
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// replayDeployment replays each zone and combines the results.
func replayDeployment(d deployment, policy placement.Policy, seed uint64) result {
	var joined result
	for i, az := range d.zones {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		jobs := d.drawJobs(random)
		zone := emptyZone(az, serversPerZone, acceleratorsPerServer, d.organisations)
		zoneResult := replayZone(zone, jobs, policy, seed)
		joined.records = append(joined.records, zoneResult.records...)
		joined.fragmentation += zoneResult.fragmentation / float64(len(d.zones))
		joined.evictions += zoneResult.evictions
		joined.unfinished += zoneResult.unfinished
	}
	return joined
}

// Bounds of the size classes, in accelerators of a whole gang.
const (
	wholeServerSize = 8
	largestSize     = 32
)

func printRow(w io.Writer, name string, r result) {
	small := completionTimes(r, func(total int) bool { return total < wholeServerSize })
	server := completionTimes(r, func(total int) bool { return total == wholeServerSize })
	large := completionTimes(r, func(total int) bool { return total > wholeServerSize })
	largestWaits := waitTimes(r, func(rec *record) bool { return rec.shape.Total() >= largestSize && !rec.guaranteed })
	guaranteedWaits := waitTimes(r, func(rec *record) bool { return rec.guaranteed })
	urgentWaits := waitTimes(r, func(rec *record) bool { return rec.class == model.ClassUrgent })
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%d\t%d\t\n", name,
		quantile(small, 0.5), quantile(small, 0.95),
		quantile(server, 0.5), quantile(server, 0.95),
		quantile(large, 0.5), quantile(large, 0.95),
		quantile(largestWaits, 0.5), quantile(largestWaits, 1),
		quantile(urgentWaits, 0.5), quantile(urgentWaits, 0.95),
		quantile(guaranteedWaits, 0.5), quantile(guaranteedWaits, 0.95), quantile(guaranteedWaits, 1),
		r.fragmentation, r.evictions, r.unfinished)
}

// completionTimes returns the times from submission to end.
func completionTimes(r result, include func(total int) bool) []time.Duration {
	var times []time.Duration
	for _, rec := range r.records {
		if include(rec.shape.Total()) && !rec.ended.IsZero() {
			times = append(times, rec.ended.Sub(rec.submitted))
		}
	}
	return times
}

// waitTimes returns the times from submission to the first start.
func waitTimes(r result, include func(*record) bool) []time.Duration {
	var times []time.Duration
	for _, rec := range r.records {
		if include(rec) && !rec.started.IsZero() {
			times = append(times, rec.started.Sub(rec.submitted))
		}
	}
	return times
}

// quantile returns the q-quantile by nearest rank, rounded for printing.
func quantile(times []time.Duration, q float64) string {
	if len(times) == 0 {
		return "-"
	}
	slices.Sort(times)
	value := times[min(len(times)-1, int(q*float64(len(times))))]
	switch {
	case value < time.Second:
		return value.Round(time.Millisecond).String()
	case value < time.Minute:
		return value.Round(100 * time.Millisecond).String()
	default:
		return fmt.Sprintf("%.1fm", value.Minutes())
	}
}
