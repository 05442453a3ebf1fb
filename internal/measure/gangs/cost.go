package gangs

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/placement/replay"
)

// The decision cost is measured at sizes up to the target for growth over two years:
// 42,000 tasks on 2,900 servers. With one accelerator per task, this needs 16 accelerators
// per server.
const (
	costAccelerators   = 16
	costTasksPerServer = 42_000.0 / 2_900
	costRuns           = 31
	costOrganisations  = 63
)

var costSizes = []int{50, 150, 600, 2_900}

// costRow is the cost of decisions in a zone of one size.
type costRow struct {
	servers, gangs, tasks int
	borrowTime            time.Duration // one small gang that borrows
	reclaimTime           time.Duration // one guaranteed gang that evicts
	queuedTime            time.Duration // per gang, with 100 gangs of different shapes waiting
	checkTime             time.Duration // the invariant checks after the reclaim
	allocated             uint64        // bytes allocated by the reclaim
}

func printDecisionCost(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "decision cost in one zone, seed %d, median of %d runs\n", seed, costRuns)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "servers\tgangs\ttasks\tborrow\treclaim\tper gang of 100 queued\tchecks\tallocated\t")
	var rows []costRow
	for _, servers := range costSizes {
		row := decisionCost(servers, seed)
		rows = append(rows, row)
		fmt.Fprintf(table, "%d\t%d\t%d\t%s\t%s\t%s\t%s\t%d KB\t\n", row.servers, row.gangs, row.tasks,
			row.borrowTime, row.reclaimTime, row.queuedTime, row.checkTime, row.allocated/1024)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	printFit(w, "borrow", rows, func(r costRow) time.Duration { return r.borrowTime })
	printFit(w, "reclaim", rows, func(r costRow) time.Duration { return r.reclaimTime })
	printFit(w, "per gang of 100 queued", rows, func(r costRow) time.Duration { return r.queuedTime })
	printFit(w, "checks", rows, func(r costRow) time.Duration { return r.checkTime })
	return nil
}

// printFit prints the least squares line of the cost over the number of servers with its
// coefficient of determination, and the exponent of growth from a fit of the logarithms.
func printFit(w io.Writer, name string, rows []costRow, cost func(costRow) time.Duration) {
	var x, y, logX, logY []float64
	for _, row := range rows {
		x = append(x, float64(row.servers))
		y = append(y, float64(cost(row).Nanoseconds())/1e3)
		logX = append(logX, math.Log(float64(row.servers)))
		logY = append(logY, math.Log(float64(cost(row).Nanoseconds())))
	}
	intercept, slope, fit := linearFit(x, y)
	_, exponent, _ := linearFit(logX, logY)
	fmt.Fprintf(w, "%s: %.1f us + %.3f us per server, R2 %.4f; grows as servers^%.2f\n",
		name, intercept, slope, fit, exponent)
}

// linearFit returns the least squares line through the points and its R squared.
func linearFit(x, y []float64) (intercept, slope, fit float64) {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	intercept = (sumY - slope*sumX) / n
	var residual, total float64
	for i := range x {
		residual += math.Pow(y[i]-intercept-slope*x[i], 2)
		total += math.Pow(y[i]-sumY/n, 2)
	}
	return intercept, slope, 1 - residual/total
}

// decisionCost fills a zone and measures the time of decisions on it.
func decisionCost(servers int, seed uint64) costRow {
	random := rand.New(rand.NewPCG(seed, uint64(servers)))
	zone := emptyZone("cost-a", servers, costAccelerators, costGuarantees(servers))
	state := &replay.State{Zone: zone}
	tasks := fillZone(state, int(float64(servers)*costTasksPerServer), random)
	row := costRow{servers: servers, gangs: len(state.Zone.Placed), tasks: tasks}
	row.borrowTime, _ = timeDecide(state.Zone, []placement.Gang{costGang(0, "org-00", 1, 2, model.AdjacentServer)})
	guaranteed := []placement.Gang{costGang(1, "org-01", 2, 8, model.AdjacentRack)}
	row.reclaimTime, row.allocated = timeDecide(state.Zone, guaranteed)
	row.checkTime = timeChecks(state, guaranteed)
	queued, _ := timeDecide(state.Zone, differentGangs(random))
	row.queuedTime = queued / queuedGangs
	return row
}

// costGuarantees returns 63 organisations whose guarantees together take about half of the
// zone. In a small zone, only the first ones have guarantees.
func costGuarantees(servers int) []model.Organisation {
	var organisations []model.Organisation
	count := max(1, servers/2/costOrganisations)
	for i := range costOrganisations {
		organisation := model.Organisation{ID: model.OrganisationID(fmt.Sprintf("org-%02d", i))}
		if i < servers/2 {
			organisation.Guarantees = []model.Guarantee{
				{AZ: "cost-a", Count: count, Shape: model.GangShape{Tasks: 2, Accelerators: 4, Adjacency: model.AdjacentRack}},
				{AZ: "cost-a", Count: count, Shape: model.GangShape{Tasks: 1, Accelerators: 8, Adjacency: model.AdjacentServer}},
			}
		}
		organisations = append(organisations, organisation)
	}
	organisations[1].Guarantees = []model.Guarantee{
		{AZ: "cost-a", Count: 1, Shape: model.GangShape{Tasks: 2, Accelerators: 8, Adjacency: model.AdjacentRack}},
	}
	return organisations
}

// fillZone starts gangs of 1 to 256 one-accelerator tasks until the zone has the wanted
// number of tasks. All gangs belong to one organisation.
func fillZone(state *replay.State, wanted int, random *rand.Rand) int {
	sizes := []int{1, 2, 4, 8, 8, 16, 32, 64, 256}
	tasks := 0
	for number := 10; tasks < wanted; number++ {
		size := min(sizes[random.IntN(len(sizes))], wanted-tasks)
		g := costGang(number, "org-00", size, 1, model.AdjacentAny)
		state.Pending = append(state.Pending, g)
		tasks += size
	}
	state.Decide(placement.Reclaiming{})
	return tasks
}

func costGang(number int, organisation model.OrganisationID, tasks, accelerators int, adjacency model.Adjacency) placement.Gang {
	return placement.Gang{
		Job:          model.JobID(fmt.Sprintf("job-%05d", number)),
		Organisation: organisation,
		Shape:        model.GangShape{Tasks: tasks, Accelerators: accelerators, Adjacency: adjacency},
		Class:        model.ClassNormal,
		Submitted:    workloadStart,
	}
}

const queuedGangs = 100

// differentGangs returns gangs of many shapes.
func differentGangs(random *rand.Rand) []placement.Gang {
	adjacencies := []model.Adjacency{model.AdjacentServer, model.AdjacentRack, model.AdjacentAny}
	var gangs []placement.Gang
	for i := range queuedGangs {
		tasks := 1 + random.IntN(64)
		g := costGang(90_000+i, "org-00", tasks, 1+random.IntN(8), adjacencies[i%len(adjacencies)])
		gangs = append(gangs, g)
	}
	return gangs
}

// timeDecide returns the median time of a decision and the bytes allocated per decision.
func timeDecide(zone placement.Zone, pending []placement.Gang) (time.Duration, uint64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	median := medianTime(func() { placement.Reclaiming{}.Decide(zone, pending) })
	runtime.ReadMemStats(&after)
	return median, (after.TotalAlloc - before.TotalAlloc) / costRuns
}

// timeChecks returns the median time of the invariant checks on the zone after a decision
// on the pending gangs.
func timeChecks(state *replay.State, pending []placement.Gang) time.Duration {
	after := &replay.State{Zone: state.Zone, Pending: pending}
	plan := after.Decide(placement.Reclaiming{})
	return medianTime(func() {
		invariant.CheckReclaimable(after.Zone, plan)
		invariant.CheckNoOvercommit(after.Zone)
		invariant.CheckNoPartialGang(after.Zone)
	})
}

func medianTime(run func()) time.Duration {
	times := make([]time.Duration, costRuns)
	for i := range times {
		start := time.Now()
		run()
		times[i] = time.Since(start)
	}
	slices.Sort(times)
	return times[costRuns/2]
}
