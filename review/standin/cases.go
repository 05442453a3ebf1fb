package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cases are the cases and trials by name. Each returns an exit code.
var cases = map[string]func(dir string, out io.Writer) int{
	"innocent": innocent,
	"pending":  pending,
	"avoided":  avoided,
	"reclaim":  reclaim,
	"long":     long,
	// These are trials that REPORT.md names, not cases.
	"uneven": uneven,
	"advice": advice,
}

// countEnds counts the ends of a job's runs that workers listed, by outcome.
func countEnds(d *deployment, job string) map[string]int {
	count := make(map[string]int)
	for _, w := range d.workers {
		w.mu.Lock()
		for _, e := range w.history {
			if strings.HasPrefix(e.task, job+".") {
				count[e.how]++
			}
		}
		w.mu.Unlock()
	}
	return count
}

// innocent: two workers crash, one after the other, shortly after they have begun a task of a sound job.
// Nothing of the job ends `failed`, so it must not be shown as failed.
func innocent(dir string, out io.Writer) int {
	const job = "00000000000000a1"
	d := newDeployment(dir, out, []map[string]any{route("plan", 1, 3)}, 8, 6)
	var mu sync.Mutex
	crashes := 0
	for _, w := range d.workers {
		w.onStart = func(w *worker, task string, number int64) {
			mu.Lock()
			defer mu.Unlock()
			if !d.trouble || crashes == 2 || !strings.HasPrefix(task, job) {
				return
			}
			crashes++
			time.AfterFunc(400*time.Millisecond, func() {
				w.Crash()
				time.AfterFunc(4500*time.Millisecond, w.Start)
			})
		}
	}
	d.start()
	d.submit("plan", job, 1, spec{RunMs: 6000}, "")
	for began := time.Now(); time.Since(began) < 60*time.Second; time.Sleep(500 * time.Millisecond) {
		v := d.vms[int(time.Since(began).Seconds())%len(d.vms)]
		switch d.state(v, "plan", job) {
		case "complete":
			d.log.add("held: the job is complete after %d crashes; ends: %v", crashes, countEnds(d, job))
			return exitHeld
		case "failed", "canceled":
			ends := countEnds(d, job)
			d.log.add("the job is shown as failed; ends of its runs: %v, attempts: 3, crashes: %d", ends, crashes)
			if ends["failed"] == 0 {
				return exitBroken
			}
			return exitHeld
		}
	}
	d.log.add("the job has not ended")
	return exitBroken
}

// pending: one of twelve workers, the only one with a label, refuses starts for a while. Jobs that need the
// label have not begun, so they must be counted as pending.
func pending(dir string, out io.Writer) int {
	const jobs, outage, visible = 6, 6500 * time.Millisecond, 5 * time.Second // visible_ms + 2 s
	d := newDeployment(dir, out, []map[string]any{route("plan", 1, 3)}, 12, 6)
	busy := d.workers[3]
	busy.label = "b"
	var mu sync.Mutex
	begun := make(map[string]bool)
	for _, w := range d.workers {
		w.onStart = func(_ *worker, task string, _ int64) {
			mu.Lock()
			defer mu.Unlock()
			begun[task] = true
		}
	}
	d.start()
	if d.trouble {
		busy.set(func() { busy.refuse = true })
		time.AfterFunc(outage, func() { busy.set(func() { busy.refuse = false }) })
	}
	for i := range jobs {
		d.submit("plan", fmt.Sprintf("00000000000000b%d", i), 1, spec{RunMs: 2000}, `,"requires":"b"`)
	}
	time.Sleep(visible + 300*time.Millisecond)
	mu.Lock()
	waiting := jobs - len(begun)
	mu.Unlock()
	wrong := 0
	for _, v := range d.vms {
		var m struct {
			Pending int `json:"pending"`
		}
		status, body := d.call(v, "GET", "/plan/", "")
		if status == 200 && json.Unmarshal([]byte(body), &m) == nil && 2*m.Pending < waiting {
			wrong++
		}
	}
	d.log.add("%d jobs were accepted over %v ago and have not begun; %d of %d VMs give under half of that as pending", waiting, visible, wrong, len(d.vms))
	if wrong > 0 {
		return exitBroken
	}
	return exitHeld
}

// avoided: one of twelve workers, the only one with a label, fails what it starts for a while, its health
// check being good. A job that needs the label fails there once; after that the worker is sound and idle.
func avoided(dir string, out io.Writer) int {
	const job = "00000000000000c1"
	d := newDeployment(dir, out, []map[string]any{route("plan", 1, 3)}, 12, 6)
	grey := d.workers[3]
	grey.label = "b"
	d.start()
	if d.trouble {
		grey.set(func() { grey.failAll = true })
	}
	d.submit("plan", job, 1, spec{RunMs: 2500}, `,"requires":"b"`)
	time.Sleep(6 * time.Second)
	grey.set(func() { grey.failAll = false })
	d.log.add("the worker with the label is sound again; the traffic has ended")
	idleSince := time.Now()
	// finish_s is 14 s, and a job may have nothing running for 3 s.
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(500 * time.Millisecond) {
		if grey.Runs(job) {
			idleSince = time.Now()
		}
		v := d.vms[int(time.Since(began).Seconds())%len(d.vms)]
		if s := d.state(v, "plan", job); s == "complete" || s == "failed" {
			d.log.add("the job has ended: %s; ends of its runs: %v", s, countEnds(d, job))
			if s == "complete" {
				return exitHeld
			}
			return exitBroken
		}
	}
	d.log.add("the job has not ended; nothing of it runs for %v; ends of its runs: %v, attempts: 3", time.Since(idleSince).Round(time.Second), countEnds(d, job))
	return exitBroken
}

// reclaim: a tenant without a guarantee hands in jobs that last, and so borrows all accelerators. Then a
// tenant with a guarantee hands in a job of priority 0 within it.
func reclaim(dir string, out io.Writer) int {
	const job, bound = "00000000000000d1", 2700 * time.Millisecond
	d := newDeployment(dir, out, []map[string]any{route("urgent", 0, 4), route("serve", 2, 3)}, 6, 6)
	var mu sync.Mutex
	begun := make(map[string]time.Time)
	for _, w := range d.workers {
		w.onStart = func(_ *worker, task string, _ int64) {
			mu.Lock()
			defer mu.Unlock()
			if _, known := begun[task]; !known {
				begun[task] = time.Now()
			}
		}
	}
	d.start()
	if d.trouble {
		d.key = otherKey
		for i := range 6 {
			d.submit("serve", fmt.Sprintf("00000000000000e%d", i), 8, spec{Lasts: true, RunMs: 1000}, `,"longRunning":true`)
			time.Sleep(time.Second)
		}
	}
	time.Sleep(4 * time.Second)
	d.key = apiKey
	d.submit("urgent", job, 8, spec{RunMs: 2500}, "")
	acknowledged := time.Now()
	time.Sleep(bound + 20*time.Second)
	mu.Lock()
	inTime, late := 0, 0
	for task, at := range begun {
		if strings.HasPrefix(task, job) {
			if at.Sub(acknowledged) <= bound {
				inTime++
			} else {
				late++
			}
		}
	}
	mu.Unlock()
	d.state(d.vms[0], "urgent", job)
	d.log.add("of 8 tasks within the guarantee of 8 accelerators, %d began within %v, %d later", inTime, bound, late)
	if inTime == 8 {
		return exitHeld
	}
	return exitBroken
}

// long: a job takes several times as long as its submitter has estimated. Two of twelve workers have the
// label that it needs; all are sound and idle, and its runs make even progress.
func long(dir string, out io.Writer) int {
	const job, estimate, finish, bound = "0000000000000011", 40 * time.Second, 14 * time.Second, 3 * time.Second
	d := newDeployment(dir, out, []map[string]any{route("plan", 1, 3)}, 12, 6)
	d.workers[3].label, d.workers[7].label = "b", "b"
	d.start()
	for i := range 19 { // sound jobs, so that one in twenty takes longer
		d.submit("plan", fmt.Sprintf("00000000000002%02d", i), 1, spec{RunMs: 1000}, "")
	}
	runtime := estimate
	if d.trouble {
		runtime = 8 * estimate
	}
	d.submitEstimated("plan", job, 1, spec{RunMs: int(runtime.Milliseconds())}, estimate, `,"requires":"b"`)
	end := time.Now() // of the traffic
	lastRan, longest := end, time.Duration(0)
	asked := time.Now()
	for time.Since(end) < 60*time.Second {
		time.Sleep(20 * time.Millisecond)
		runs := d.workers[3].Runs(job) || d.workers[7].Runs(job)
		if time.Since(end) >= finish && !runs {
			longest = max(longest, time.Since(maxTime(lastRan, end.Add(finish))))
		}
		if runs {
			lastRan = time.Now()
		}
		if time.Since(asked) < 2*time.Second {
			continue
		}
		asked = time.Now()
		if s := d.state(d.vms[0], "plan", job); s == "complete" || s == "failed" {
			d.log.add("the job has ended: %s; ends of its runs: %v", s, countEnds(d, job))
			if s == "complete" && longest < bound {
				return exitHeld
			}
			return exitBroken
		}
	}
	d.log.add("the job has not ended after 60 s; ends of its runs: %v; longest time without a run from %v after the end of the traffic: %v",
		countEnds(d, job), finish, longest.Round(time.Millisecond))
	if longest >= bound {
		return exitBroken
	}
	return exitHeld
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// uneven: one of six tasks of a step takes ten times as long as the others, 60 s. Four of twelve workers
// have the label that the step needs; all are sound and idle.
func uneven(dir string, out io.Writer) int {
	const job, finish, bound = "0000000000000021", 14 * time.Second, 3 * time.Second
	d := newDeployment(dir, out, []map[string]any{route("plan", 1, 3)}, 12, 6)
	labelled := d.workers[2:6]
	for _, w := range labelled {
		w.label = "b"
	}
	var mu sync.Mutex
	starts := 0
	for _, w := range d.workers {
		w.onStart = func(*worker, string, int64) {
			mu.Lock()
			defer mu.Unlock()
			starts++
		}
	}
	d.start()
	s := spec{RunMs: 6000}
	if d.trouble {
		s.FirstX = 10
	}
	d.submit("plan", job, 6, s, `,"requires":"b"`)
	end := time.Now() // of the traffic
	lastRan, longest, asked := end, time.Duration(0), end
	for time.Since(end) < 100*time.Second {
		time.Sleep(20 * time.Millisecond)
		runs := false
		for _, w := range labelled {
			runs = runs || w.Runs(job)
		}
		if time.Since(end) >= finish && !runs {
			longest = max(longest, time.Since(maxTime(lastRan, end.Add(finish))))
		}
		if runs {
			lastRan = time.Now()
		}
		if time.Since(asked) < 2*time.Second {
			continue
		}
		asked = time.Now()
		if d.state(d.vms[0], "plan", job) == "complete" {
			d.log.add("the job is complete; ends of its runs: %v", countEnds(d, job))
			return exitHeld
		}
	}
	mu.Lock()
	defer mu.Unlock()
	d.log.add("the job has not ended after 100 s and %d starts; ends of its runs: %v; longest time without a run from %v after the end of the traffic: %v",
		starts, countEnds(d, job), finish, longest.Round(time.Millisecond))
	if longest >= bound {
		return exitBroken
	}
	return exitHeld
}

// advice: jobs come at once to a queue with a policy. The service that knows the policy handles one call at
// a time, in turn, also those whose caller has given up.
func advice(dir string, out io.Writer) int {
	const decide, each, most = 200 * time.Millisecond, 20 * time.Millisecond, 32
	r := route("plan", 1, 3)
	r["advice"] = map[string]any{"decideMs": decide.Milliseconds(), "eachMs": each.Milliseconds(), "validMs": 3000}
	d := newDeployment(dir, out, []map[string]any{r}, 12, 6)
	var mu sync.Mutex
	waiting, served, abandoned, refused := 0, 0, 0, 0
	turn := make(chan struct{}, 1)
	d.serveAdvice(func(rw http.ResponseWriter, r *http.Request) {
		var m struct {
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		mu.Lock()
		if waiting == most {
			refused++
			mu.Unlock()
			rw.WriteHeader(http.StatusTooManyRequests)
			return
		}
		waiting++
		mu.Unlock()
		turn <- struct{}{}
		time.Sleep(decide + time.Duration(len(m.Workers))*each)
		<-turn
		mu.Lock()
		waiting--
		served++
		if r.Context().Err() != nil {
			abandoned++
		}
		mu.Unlock()
		good := [][]string{}
		for _, id := range m.Workers {
			good = append(good, []string{id, "ticket-" + id})
		}
		reply(rw, http.StatusOK, map[string]any{"good": good, "validMs": 3000})
	})
	d.start()
	jobs := 1
	if d.trouble {
		jobs = 24
	}
	id := func(i int) string { return fmt.Sprintf("00000000000003%02d", i) }
	for i := range jobs {
		d.submit("plan", id(i), 1, spec{RunMs: 1500}, "")
		time.Sleep(150 * time.Millisecond)
	}
	done := 0
	for range 8 {
		time.Sleep(5 * time.Second)
		done = 0
		for i := range jobs {
			if d.state(d.vms[0], "plan", id(i)) == "complete" {
				done++
			}
		}
		mu.Lock()
		d.log.add("%d of %d jobs are complete; calls for advice: %d served, %d of them abandoned, %d refused, %d waiting", done, jobs, served, abandoned, refused, waiting)
		mu.Unlock()
		if done == jobs {
			return exitHeld
		}
	}
	return exitBroken
}
