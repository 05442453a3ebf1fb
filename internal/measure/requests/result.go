package requests

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/measure/stats"
)

// sceneResult collects the measured requests of one run.
type sceneResult struct {
	works [3]workResult
	small []time.Duration // completion times of callers in the zone of the large one
	large []time.Duration
	// smallOffered and largeOffered count the requests of both.
	smallOffered int
	largeOffered int
	full         int     // refusals for want of slots
	used         float64 // share of the slot time that was used between the warm-up and the end
}

type workResult struct {
	offered int
	done    int // within the deadline
	window  int // of all done, those answered between the warm-up and the end
	refused int
	times   []time.Duration // of those done
}

func measured(a *arrival) bool { return a.at.Sub(time.Unix(0, 0)) >= sceneWarmUp }

func (r *sceneResult) work(a *arrival) *workResult {
	for i := range workloads {
		if workloads[i].kind == a.work.kind {
			return &r.works[i]
		}
	}
	return nil
}

func (r *sceneResult) offered(a *arrival) {
	if !measured(a) {
		return
	}
	r.work(a).offered++
	switch {
	case a.caller == 0:
		r.largeOffered++
	case a.zone == 0:
		r.smallOffered++
	}
}

func (r *sceneResult) answer(a *arrival, now, end time.Time) {
	if now.After(a.deadline()) {
		return
	}
	if now.Sub(time.Unix(0, 0)) >= sceneWarmUp && now.Before(end) {
		r.work(a).window++
	}
	if !measured(a) {
		return
	}
	took := now.Sub(a.at)
	w := r.work(a)
	w.done++
	w.times = append(w.times, took)
	switch {
	case a.caller == 0:
		r.large = append(r.large, took)
	case a.zone == 0:
		r.small = append(r.small, took)
	}
}

func (r *sceneResult) refuse(a *arrival) {
	if measured(a) {
		r.work(a).refused++
	}
}

func (r *sceneResult) finish(s *simulation) {
	window := s.scene.length - sceneWarmUp
	r.used = s.slotTime.Seconds() / (window.Seconds() * float64(s.site.slots()))
	for i := range r.works {
		slices.Sort(r.works[i].times)
	}
	slices.Sort(r.small)
	slices.Sort(r.large)
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func (r *sceneResult) print(w io.Writer, policy string, scene situation) error {
	for i, work := range workloads {
		x := r.works[i]
		if x.offered == 0 {
			continue
		}
		_, err := fmt.Fprintf(w, "  %-9s %-5s offered %7d  done %5.1f%% (%6.1f/s)  refused %5.1f%%  p50 %8s p95 %8s p99 %8s\n",
			policy, work.kind, x.offered, percent(x.done, x.offered),
			float64(x.window)/(scene.length-sceneWarmUp).Seconds(), percent(x.refused, x.offered),
			round(stats.Quantile(x.times, 0.50)), round(stats.Quantile(x.times, 0.95)), round(stats.Quantile(x.times, 0.99)))
		if err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "  %-9s slots used %5.1f%%, refusals for want of slots %d\n", policy, 100*r.used, r.full); err != nil {
		return err
	}
	if !scene.large {
		return nil
	}
	small, large := stats.Quantile(r.small, 0.5), stats.Quantile(r.large, 0.5)
	ratio := 0.0
	if large > 0 {
		ratio = small.Seconds() / large.Seconds()
	}
	_, err := fmt.Fprintf(w, "  %-9s small callers: done %5.1f%% p50 %s p99 %s; the large one: done %5.1f%% p50 %s p99 %s; ratio of p50 %.2f\n",
		policy, percent(len(r.small), r.smallOffered), round(small), round(stats.Quantile(r.small, 0.99)),
		percent(len(r.large), r.largeOffered), round(large), round(stats.Quantile(r.large, 0.99)), ratio)
	return err
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
