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

// variant is a policy under its name in the tables.
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

// Print prints the placement tables of both deployments and the cost of a decision.
func Print(w io.Writer, seed uint64) error {
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

// replayDeployment joins the results of all zones.
func replayDeployment(d deployment, policy placement.Policy, seed uint64) result {
	var joined result
	for i, az := range d.zones {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		jobs := d.jobsOf(random)
		zone := zoneOf(az, serversPerZone, acceleratorsPerServer, d.organisations)
		zoneResult := replayZone(zone, jobs, policy, seed)
		joined.records = append(joined.records, zoneResult.records...)
		joined.fragmentation += zoneResult.fragmentation / float64(len(d.zones))
		joined.evictions += zoneResult.evictions
		joined.unended += zoneResult.unended
	}
	return joined
}

// Size classes in accelerators of a whole gang.
const (
	serverSize  = 8
	largestSize = 32
)

func printRow(w io.Writer, name string, r result) {
	small := completions(r, func(total int) bool { return total < serverSize })
	server := completions(r, func(total int) bool { return total == serverSize })
	large := completions(r, func(total int) bool { return total > serverSize })
	waits := waitsOf(r, func(rec *record) bool { return rec.shape.Total() >= largestSize && !rec.guaranteed })
	reclaims := waitsOf(r, func(rec *record) bool { return rec.guaranteed })
	urgent := waitsOf(r, func(rec *record) bool { return rec.class == model.ClassUrgent })
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%d\t%d\t\n", name,
		quantile(small, 0.5), quantile(small, 0.95),
		quantile(server, 0.5), quantile(server, 0.95),
		quantile(large, 0.5), quantile(large, 0.95),
		quantile(waits, 0.5), quantile(waits, 1),
		quantile(urgent, 0.5), quantile(urgent, 0.95),
		quantile(reclaims, 0.5), quantile(reclaims, 0.95), quantile(reclaims, 1),
		r.fragmentation, r.evictions, r.unended)
}

// completions returns the times from submission to end.
func completions(r result, of func(total int) bool) []time.Duration {
	var times []time.Duration
	for _, rec := range r.records {
		if of(rec.shape.Total()) && !rec.ended.IsZero() {
			times = append(times, rec.ended.Sub(rec.submitted))
		}
	}
	return times
}

// waitsOf returns the times from submission to the first start.
func waitsOf(r result, of func(*record) bool) []time.Duration {
	var times []time.Duration
	for _, rec := range r.records {
		if of(rec) && !rec.started.IsZero() {
			times = append(times, rec.started.Sub(rec.submitted))
		}
	}
	return times
}

// quantile returns the q-quantile by nearest rank in a readable precision.
func quantile(times []time.Duration, q float64) string {
	if len(times) == 0 {
		return "-"
	}
	slices.Sort(times)
	at := times[min(len(times)-1, int(q*float64(len(times))))]
	switch {
	case at < time.Second:
		return at.Round(time.Millisecond).String()
	case at < time.Minute:
		return at.Round(100 * time.Millisecond).String()
	default:
		return fmt.Sprintf("%.1fm", at.Minutes())
	}
}
