package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A task of the cases on an otherwise idle service.
var small = step{Count: 1, CPU: 2000, MemMB: 4000, GPU: 1, EstRuntimeMs: 2000}

// playLostUnderTask loses five of 48 backend servers for good, one after the other, each some seconds after it has
// begun the only task of a job that lasts. No run ends as failed, and the task has to be started again each time.
func playLostUnderTask(d *deployment, trouble bool) (string, error) {
	const losses = 5
	id := newID()
	var lost atomic.Int64
	hook := func(w *worker, task string, run int64, incarnation int) {
		if !trouble || !strings.HasPrefix(task, id+".") || lost.Load() >= losses {
			return
		}
		go func() {
			time.Sleep(2*time.Second + time.Duration(rand.IntN(2000))*time.Millisecond)
			if w.alive(incarnation) && w.runs(id) {
				lost.Add(1)
				w.crash()
			}
		}()
	}
	for _, w := range d.workers {
		w.onStart = hook
	}
	task := small
	task.LongRunning = true
	if err := d.submit(id, newJob(spec{Lasts: true, GPU: small.GPU}, task)); err != nil {
		return "", err
	}
	if !d.awaitState(id, "running", 5*time.Second) {
		return "", errors.New("the job did not begin")
	}
	began, lastLoss := time.Now(), time.Time{}
	for time.Since(began) < 95*time.Second {
		time.Sleep(250 * time.Millisecond)
		for _, m := range d.machines {
			if d.state(m, id) == "failed" {
				d.record.note("GET %s at %s: failed; %d backend servers were lost, no run of any task has ended as failed", id, m.node, lost.Load())
				time.Sleep(10 * time.Second)
				for _, m := range d.machines {
					d.record.note("10 s later: GET %s at %s: %s; %d runs", id, m.node, d.state(m, id), d.runs(id))
				}
				return "LOST: a job that lasts and that nobody has cancelled is shown as failed, without any end `failed`", nil
			}
		}
		if n := lost.Load(); lastLoss.IsZero() && (n >= losses || !trouble && time.Since(began) > 20*time.Second) {
			lastLoss = time.Now()
		}
		if !lastLoss.IsZero() && time.Since(lastLoss) > 16*time.Second {
			break
		}
	}
	if lastLoss.IsZero() {
		return "", fmt.Errorf("only %d backend servers were lost", lost.Load())
	}
	if d.runs(id) == 0 {
		return "LOST: a task that lasts has nothing running 16 s after its last run", nil
	}
	return "", nil
}

// playOtherKind lets the only backend server of a kind crash under a task that requires this kind, and start again
// under its ID as one of another kind. Its entry is written when its first heartbeat is due.
func playOtherKind(d *deployment, trouble bool) (string, error) {
	id, rare := newID(), d.workers[0]
	var mu sync.Mutex
	wrong := ""
	for _, w := range d.workers {
		w.onStart = func(w *worker, task string, run int64, incarnation int) {
			w.mu.Lock()
			kind := w.kind
			w.mu.Unlock()
			if strings.HasPrefix(task, id+".") && kind != rareKind {
				mu.Lock()
				wrong = fmt.Sprintf("ROUTE: %s, incarnation %d, began %s run %d; its labels are %s and %s, the step requires %s", w.id, incarnation, task, run, kind, w.rack, rareKind)
				mu.Unlock()
			}
		}
	}
	task := small
	task.Requires = rareKind
	if err := d.submit(id, newJob(spec{RunMs: 8000, GPU: small.GPU}, task)); err != nil {
		return "", err
	}
	for began := time.Now(); !rare.runs(id); time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			return "", errors.New("the task did not begin")
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rare.crash()
		time.Sleep(300 * time.Millisecond)
		if err := rare.start(commonKind, 1400*time.Millisecond); err != nil {
			return "", err
		}
		d.record.note("%s starts again as kind %s; its entry follows in 1.4 s", rare.id, commonKind)
	}
	time.Sleep(10 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if wrong == "" && !trouble && !d.awaitState(id, "complete", 3*time.Second) {
		return "", errors.New("the job was not completed")
	}
	return wrong, nil
}

// playPending loses the only backend server of a kind for good right before a job arrives that requires this kind.
func playPending(d *deployment, trouble bool) (string, error) {
	const visible = 3*time.Second + 2*time.Second // visible_ms + 2 s
	if trouble {
		d.workers[0].crash()
	}
	task := small
	task.Requires = rareKind
	var begun atomic.Int64
	for _, w := range d.workers {
		w.onStart = func(*worker, string, int64, int) { begun.Add(1) }
	}
	id := newID()
	if err := d.submit(id, newJob(spec{RunMs: 1500, GPU: small.GPU}, task)); err != nil {
		return "", err
	}
	accepted := time.Now()
	time.Sleep(visible + 300*time.Millisecond)
	wrong := make(map[string]bool)
	for time.Since(accepted) < visible+6*time.Second {
		for _, m := range d.machines {
			if n := d.pending(m); n == 0 && begun.Load() == 0 && !wrong[m.node] {
				wrong[m.node] = true
				d.record.note("GET %s at %s: pending 0, %.1f s after a job was accepted that has not begun; it is shown as %s",
					queuePath, m.node, time.Since(accepted).Seconds(), d.state(m, id))
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	switch {
	case len(wrong) > 0:
		return fmt.Sprintf("MIXED: %d VMs give pending as 0 while an accepted job has not begun", len(wrong)), nil
	case !trouble && begun.Load() != 1:
		return "", errors.New("the job has not begun")
	default:
		return "", nil
	}
}

// playDarkAfterRestart lets one backend server crash and start again under its ID. Later another one loses power right
// before the last job of the traffic arrives.
func playDarkAfterRestart(d *deployment, trouble bool) (string, error) {
	wide := step{Count: len(d.workers), CPU: 20000, MemMB: 40000, GPU: accelerators, EstRuntimeMs: 1000}
	first, last := newID(), newID()
	if err := d.submit(first, newJob(spec{RunMs: 1500, GPU: wide.GPU}, wide)); err != nil {
		return "", err
	}
	if trouble {
		time.Sleep(700 * time.Millisecond)
		d.workers[3].crash()
		time.Sleep(300 * time.Millisecond)
		if err := d.workers[3].start(commonKind, 0); err != nil {
			return "", err
		}
		d.record.note("%s starts again", d.workers[3].id)
	}
	if !d.awaitState(first, "complete", 20*time.Second) {
		return "", errors.New("the first job was not completed")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.workers[8].goDark()
	}
	if err := d.submit(last, newJob(spec{RunMs: 1500, GPU: wide.GPU}, wide)); err != nil {
		return "", err
	}
	end := time.Now()
	idleSince := time.Time{}
	for time.Since(end) < 40*time.Second {
		time.Sleep(50 * time.Millisecond)
		if d.state(d.machines[rand.IntN(len(d.machines))], last) == "complete" {
			d.record.note("job %s is shown as complete %.1f s after the end of the traffic", last, time.Since(end).Seconds())
			return "", nil
		}
		switch {
		case d.runs(last) > 0 || time.Since(end) < 14*time.Second:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		case time.Since(idleSince) > 3*time.Second:
			return fmt.Sprintf("LOST: %.1f s after the end of the traffic the job has had nothing running for 3 s, and is not complete; %d of %d backend servers are idle",
				time.Since(end).Seconds(), len(d.workers)-1, len(d.workers)), nil
		}
	}
	return "LOST: the job is not complete 40 s after the end of the traffic", nil
}

// playCancelled lets the store carry out the appends to one of the four partitions of the submissions late, and without an
// answer, while those to all others are sound. A client whose job is neither accepted nor refused cancels it.
func playCancelled(d *deployment, trouble bool) (string, error) {
	const (
		lostFor   = 4500 * time.Millisecond
		late      = 6 * time.Second
		cancelMs  = 3 * time.Second
		stopMs    = 200 * time.Millisecond
		contactMs = 3 * time.Second
		tasksOf   = 18 * time.Second
	)
	busy := make(chan struct{})
	defer close(busy)
	go d.background(busy)
	time.Sleep(2 * time.Second)
	id := newID()
	partition := submissionPartition(id)
	if trouble {
		d.record.note("the store carries out a share of the writes late, and does not answer them")
		d.store.setLate(func(topic, part string) (time.Duration, bool) {
			return late, topic == "keyed.submissions" && part == partition
		})
	}
	began := time.Now()
	status, answer, _ := d.call(d.machines[0], http.MethodPost, queuePath+id, mustJSON(newJob(spec{RunMs: int(tasksOf.Milliseconds()), GPU: small.GPU}, small)))
	d.record.note("POST %s at %s: %d %s", id, d.machines[0].node, status, answer)
	var acknowledged time.Time
	for n := 0; acknowledged.IsZero() && n <= 2*retries; n++ {
		m := d.machines[n%len(d.machines)]
		status, answer, _ = d.call(m, http.MethodDelete, queuePath+id, nil)
		d.record.note("DELETE %s at %s: %d %s", id, m.node, status, answer)
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged = time.Now()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if acknowledged.IsZero() {
		return "", errors.New("the cancellation was not acknowledged")
	}
	if trouble {
		time.Sleep(time.Until(began.Add(lostFor)))
		writes, lost := d.store.setLate(nil)
		d.record.note("the store answers all writes again; %d of %d writes were late", lost, writes)
		if float64(lost) > 0.35*float64(writes) {
			return "", errors.New("more than 0.35 of the writes were late")
		}
	}
	calm := time.Now().Add(late + contactMs) // by then the last late write has been carried out for contactMs
	for time.Since(acknowledged) < 25*time.Second {
		time.Sleep(50 * time.Millisecond)
		if since := time.Since(acknowledged); since > cancelMs+stopMs && time.Now().After(calm) && d.runs(id) > 0 {
			d.record.note("GET %s at %s: %s", id, d.machines[1].node, d.state(d.machines[1], id))
			return fmt.Sprintf("UNASKED: a task of the job runs %.1f s after its cancelling was acknowledged, and %.1f s after the store's last lost answer",
				since.Seconds(), time.Since(calm.Add(-late-contactMs)).Seconds()), nil
		}
	}
	return "", nil
}

// background hands in small jobs until stop is closed.
func (d *deployment) background(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		go d.call(d.machines[rand.IntN(len(d.machines))], http.MethodPost, queuePath+newID(), mustJSON(newJob(spec{RunMs: 300, GPU: small.GPU}, small)))
	}
}

// submissionPartition is the partition that holds the submission of a job.
func submissionPartition(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash's Write never fails
	return strconv.Itoa(int(h.Sum32() % 4))
}

// playOverdue hands in ordinary jobs, and among the first of them one that can never be done: it is due once a minute,
// from a year ago on.
func playOverdue(d *deployment, trouble bool) (string, error) {
	const (
		ordinary = 40 // one in 41 is a share of 0.024
		minutes  = 365 * 24 * 60
		gap      = 75 * time.Millisecond // 3 s in all
		finish   = 14 * time.Second      // finish_s
		idle     = 3 * time.Second
	)
	var mu sync.Mutex
	accepted := make(map[string]bool)
	var calls sync.WaitGroup
	for n := range ordinary {
		if n == 2 && trouble {
			j := newJob(spec{RunMs: 11000, GPU: accelerators}, step{Count: 1, CPU: 13000, MemMB: 26000, GPU: accelerators, EstRuntimeMs: 11000})
			j.Times, j.StartAtMs, j.IntervalMs = minutes, time.Now().Add(-minutes*time.Minute).UnixMilli(), time.Minute.Milliseconds()
			if err := d.submit(newID(), j); err != nil {
				return "", err
			}
		}
		calls.Go(func() {
			id := newID()
			if err := d.submit(id, newJob(spec{RunMs: 500, GPU: small.GPU}, small)); err == nil {
				mu.Lock()
				accepted[id] = true
				mu.Unlock()
			}
		})
		time.Sleep(gap)
	}
	calls.Wait()
	end, largest := time.Now(), 0
	d.record.note("the traffic ends; %d ordinary jobs are accepted", len(accepted))
	for time.Since(end) < finish {
		largest = max(largest, d.largestMemoryMB())
		time.Sleep(250 * time.Millisecond)
	}
	waiting, answers := 0, 0
	for id := range accepted {
		calls.Go(func() {
			state, idle := d.state(d.machines[rand.IntN(len(d.machines))], id), d.runs(id) == 0
			mu.Lock()
			defer mu.Unlock()
			if state != "" {
				answers++
			}
			if state != "complete" && idle {
				waiting++
			}
		})
	}
	calls.Wait()
	d.record.note("%.1f s after the end of the traffic: %d of %d ordinary jobs are not shown as complete and have nothing running; %d of the states were answered; the largest VM process has taken %d MB of %d",
		time.Since(end).Seconds(), waiting, len(accepted), answers, largest, memoryMB)
	if waiting == 0 {
		return "", nil
	}
	for began := time.Now(); time.Since(began) < idle+500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		for _, w := range d.workers {
			if w.busy() {
				d.record.note("%s is at work", w.id)
				return "", nil
			}
		}
	}
	return fmt.Sprintf("LOST: for 3 s nothing runs on any of %d backend servers, while %d accepted jobs wait", len(d.workers), waiting), nil
}
