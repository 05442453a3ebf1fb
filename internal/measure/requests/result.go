package requests

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/measure/stats"
)

// scenarioResult collects the measured requests of one run.
type scenarioResult struct {
	byWorkload [3]workloadResult
	// smallTimes are the completion times of the small callers in the zone of the large
	// one, largeTimes those of the large one. smallOffered and largeOffered count the
	// requests that these callers sent.
	smallTimes     []time.Duration
	largeTimes     []time.Duration
	smallOffered   int
	largeOffered   int
	noSlotRefusals int     // refusals by servers without a free slot
	slotUse        float64 // share of the slot time in use between the warm-up and the end
}

type workloadResult struct {
	offered int
	done    int // within the deadline
	// doneInPeriod counts the requests done within their deadline between the warm-up and
	// the end, also those that arrived during the warm-up.
	doneInPeriod int
	refused      int
	times        []time.Duration // of the requests counted by done, from arrival to answer
}

// isMeasured reports whether the request arrived after the warm-up.
func isMeasured(a *arrival) bool { return a.at.Sub(time.Unix(0, 0)) >= warmUp }

func (r *scenarioResult) resultOf(a *arrival) *workloadResult {
	for i := range workloads {
		if workloads[i].kind == a.workload.kind {
			return &r.byWorkload[i]
		}
	}
	return nil
}

func (r *scenarioResult) recordArrival(a *arrival) {
	if !isMeasured(a) {
		return
	}
	r.resultOf(a).offered++
	switch {
	case a.caller == 0:
		r.largeOffered++
	case a.zone == 0:
		r.smallOffered++
	}
}

func (r *scenarioResult) recordAnswer(a *arrival, now, end time.Time) {
	if now.After(a.deadline()) {
		return
	}
	if now.Sub(time.Unix(0, 0)) >= warmUp && now.Before(end) {
		r.resultOf(a).doneInPeriod++
	}
	if !isMeasured(a) {
		return
	}
	took := now.Sub(a.at)
	result := r.resultOf(a)
	result.done++
	result.times = append(result.times, took)
	switch {
	case a.caller == 0:
		r.largeTimes = append(r.largeTimes, took)
	case a.zone == 0:
		r.smallTimes = append(r.smallTimes, took)
	}
}

func (r *scenarioResult) recordRefusal(a *arrival) {
	if isMeasured(a) {
		r.resultOf(a).refused++
	}
}

func (r *scenarioResult) finish(s *simulation) {
	measuredTime := s.scenario.duration - warmUp
	r.slotUse = s.slotTime.Seconds() / (measuredTime.Seconds() * float64(s.deployment.slots()))
	for i := range r.byWorkload {
		slices.Sort(r.byWorkload[i].times)
	}
	slices.Sort(r.smallTimes)
	slices.Sort(r.largeTimes)
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func (r *scenarioResult) print(w io.Writer, policy string, scenario loadScenario) error {
	for i, work := range workloads {
		result := r.byWorkload[i]
		if result.offered == 0 {
			continue
		}
		_, err := fmt.Fprintf(w, "  %-9s %-5s offered %7d  done %5.1f%% (%6.1f/s)  refused %5.1f%%  p50 %8s p95 %8s p99 %8s\n",
			policy, work.kind, result.offered, percent(result.done, result.offered),
			float64(result.doneInPeriod)/(scenario.duration-warmUp).Seconds(), percent(result.refused, result.offered),
			round(stats.Quantile(result.times, 0.50)), round(stats.Quantile(result.times, 0.95)), round(stats.Quantile(result.times, 0.99)))
		if err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "  %-9s slots used %5.1f%%, refusals for want of slots %d\n", policy, 100*r.slotUse, r.noSlotRefusals); err != nil {
		return err
	}
	if !scenario.largeCaller {
		return nil
	}
	small, large := stats.Quantile(r.smallTimes, 0.5), stats.Quantile(r.largeTimes, 0.5)
	ratio := 0.0
	if large > 0 {
		ratio = small.Seconds() / large.Seconds()
	}
	_, err := fmt.Fprintf(w, "  %-9s small callers: done %5.1f%% p50 %s p99 %s; the large one: done %5.1f%% p50 %s p99 %s; ratio of p50 %.2f\n",
		policy, percent(len(r.smallTimes), r.smallOffered), round(small), round(stats.Quantile(r.smallTimes, 0.99)),
		percent(len(r.largeTimes), r.largeOffered), round(large), round(stats.Quantile(r.largeTimes, 0.99)), ratio)
	return err
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
