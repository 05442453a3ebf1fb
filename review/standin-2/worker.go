package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat     = 1500 * time.Millisecond // heartbeatMs
	silentBeats   = 3                       // after which the platform removes an entry
	longestLease  = 10 * time.Second        // holdMaxMs
	stopTime      = 50 * time.Millisecond   // below stopTimeoutMs
	workerTick    = 10 * time.Millisecond
	firstClock    = 1000 // milliseconds, at the start of an incarnation
	accelerators  = 8
	workerCPU     = 32000
	workerMemory  = 65536
	instanceLabel = "X-Expect-Instance"
)

// spec is the payload of the jobs of the cases.
type spec struct {
	RunMs int `json:"runMs"`
	GPU   int `json:"gpu"` // what the task takes of the worker's accelerators
}

// worker is a backend server under one ID. A crash ends its listener and its connections and all that it runs, as
// the end of a process does; the next incarnation has the same ID and address and knows nothing.
type worker struct {
	id, zone, rack string
	address        string
	store          *store
	record         *record
	onStart        func(w *worker, task string, run int64, incarnation int) // called without the lock
	// keepsBack, if set, decides which start orders get no answer and wait for carryOut.
	keepsBack func(w *worker, task string) bool
	orders    *orderCount

	mu          sync.Mutex
	kind        string
	incarnation int // 0 while it is down
	dark        bool
	server      *http.Server
	born        time.Time
	sequence    int
	token       int64
	deadline    int64 // of the lease, on its clock
	running     map[string]*workerRun
	highest     map[string]int64 // the highest run of each task that has ended or was stopped here
	ended       [][]any
	ends        int64
	beatAt      time.Time
	starts      int
	late        []lateOrder
	reportedAt  time.Time // when it last answered a hold
	changedAt   time.Time // when a run last began or ended
}

// orderCount counts the orders to all backend servers, and those that were kept back.
type orderCount struct{ all, keptBack atomic.Int64 }

// lateOrder is the body of a start order that was kept back.
type lateOrder struct {
	body []byte
	sent time.Time
}

type workerRun struct {
	task   string
	run    int64
	spec   spec
	began  time.Time
	stopAt time.Time
}

// start begins an incarnation of a kind. Its entry is written after a delay below the interval of heartbeats.
func (w *worker) start(kind string, entryAfter time.Duration) error {
	l, err := net.Listen("tcp", w.listenAddress())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handleStart)
	mux.HandleFunc("POST /run-stop", w.handleStop)
	mux.HandleFunc("POST /hold", w.handleHold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.address, w.kind, w.incarnation, w.dark = l.Addr().String(), kind, w.starts, false
	w.born, w.sequence, w.token, w.deadline, w.ends, w.ended = time.Now(), 0, 0, 0, 0, nil
	w.running, w.highest = make(map[string]*workerRun), make(map[string]int64)
	w.server = &http.Server{Handler: w.guard(mux, w.starts)}
	server := w.server
	go func() { _ = server.Serve(l) }() // ends when it is closed
	go w.beats(w.starts, entryAfter)
	go w.advanceUntilDown(w.starts)
	return nil
}

func (w *worker) listenAddress() string {
	if w.address == "" {
		return "127.0.0.1:0"
	}
	return w.address
}

// crash ends the incarnation with all that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	server, lost := w.server, w.names()
	w.incarnation, w.running = 0, nil
	w.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	w.record.note("%s crashes; it ran %v", w.id, lost)
}

// goDark lets the incarnation end as a machine without power does: connections to it stay open and get no answer.
func (w *worker) goDark() {
	w.mu.Lock()
	lost := w.names()
	w.dark, w.running = true, make(map[string]*workerRun)
	w.mu.Unlock()
	w.record.note("%s goes dark; it ran %v", w.id, lost)
}

func (w *worker) names() []string {
	list := []string{}
	for _, r := range w.running {
		list = append(list, fmt.Sprintf("%s run %d", r.task, r.run))
	}
	slices.Sort(list)
	return list
}

// alive reports whether an incarnation is still the present one.
func (w *worker) alive(incarnation int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation == incarnation && !w.dark
}

func (w *worker) clock() int64 { return firstClock + time.Since(w.born).Milliseconds() }

// beats writes the entry of an incarnation until that has ended.
func (w *worker) beats(incarnation int, after time.Duration) {
	time.Sleep(after)
	for w.alive(incarnation) {
		w.mu.Lock()
		w.sequence++
		w.beatAt = time.Now()
		entry := map[string]any{
			"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpu": accelerators}, "labels": []string{w.kind, w.rack},
			"clockMs": w.clock(), "seq": w.sequence, "born": w.born.UnixMilli(),
		}
		w.mu.Unlock()
		w.store.put("servers", w.id, entry)
		time.Sleep(heartbeat)
	}
}

// expire removes the entry of a worker that has been silent for too long, as the platform does.
func (w *worker) expire() {
	w.mu.Lock()
	silent := !w.beatAt.IsZero() && time.Since(w.beatAt) > silentBeats*heartbeat
	if silent {
		w.beatAt = time.Time{}
	}
	w.mu.Unlock()
	if silent {
		w.store.put("servers", w.id, nil)
		w.record.note("the platform removes the entry of %s", w.id)
	}
}

func (w *worker) advanceUntilDown(incarnation int) {
	for w.alive(incarnation) {
		w.mu.Lock()
		if w.incarnation == incarnation {
			w.advance()
		}
		w.mu.Unlock()
		time.Sleep(workerTick)
	}
}

// advance ends the runs that are due.
func (w *worker) advance() {
	now := time.Now()
	for _, r := range w.running {
		switch {
		case w.deadline != 0 && w.clock() >= w.deadline:
			w.finish(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.finish(r, "stopped")
		case now.Sub(r.began) >= time.Duration(r.spec.RunMs)*time.Millisecond:
			w.finish(r, "done")
		}
	}
}

func (w *worker) finish(r *workerRun, how string) {
	delete(w.running, r.task)
	w.changedAt = time.Now()
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, r.task, r.run, how, ""})
	w.record.detail("%s ends %s run %d: %s", w.id, r.task, r.run, how)
}

func (w *worker) percent(r *workerRun) int {
	return min(int(100*time.Since(r.began)/(time.Duration(max(r.spec.RunMs, 1))*time.Millisecond)), 99)
}

// guard refuses calls for another ID and leaves those to a dark worker unanswered.
func (w *worker) guard(next http.Handler, incarnation int) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body) // else the end of the connection would not be noticed
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !w.alive(incarnation) {
			w.record.detail("%s is down: %s gets no answer", w.id, r.URL.Path)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get(instanceLabel); id != "" && id != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.orders.all.Add(1)
		next.ServeHTTP(out, r)
	})
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken int64  `json:"fenceToken"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// begin decodes an order and takes the lock; the caller unlocks if it reports true.
func (w *worker) begin(out http.ResponseWriter, body []byte) (o order, ok bool) {
	if err := json.Unmarshal(body, &o); err != nil {
		reply(out, http.StatusBadRequest, map[string]any{"clockMs": w.clock()})
		return o, false
	}
	w.mu.Lock()
	if w.running == nil {
		w.mu.Unlock()
		panic(http.ErrAbortHandler) // it has just crashed
	}
	w.advance()
	if o.FenceToken < w.token {
		w.answer(out, http.StatusConflict, map[string]any{"reason": "fence"})
		w.mu.Unlock()
		return o, false
	}
	w.token = o.FenceToken
	return o, true
}

func (w *worker) answer(out http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = w.clock(), w.born.UnixMilli()
	reply(out, status, body)
}

func (w *worker) extend(deadline int64) {
	if deadline > w.clock() {
		w.deadline = max(w.deadline, min(deadline, w.clock()+longestLease.Milliseconds()))
	}
}

func (w *worker) handleStart(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil {
		return
	}
	if w.keepsBack != nil && w.keepsBack(w, o.Task) {
		w.orders.keptBack.Add(1)
		w.record.note("%s keeps back the order to start %s run %d under token %d", w.id, o.Task, o.Run, o.FenceToken)
		w.mu.Lock()
		w.late = append(w.late, lateOrder{body, time.Now()})
		w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.startOrder(out, body)
}

// carryOut carries out the newest of the start orders that were kept back.
func (w *worker) carryOut() {
	w.mu.Lock()
	o := w.late[len(w.late)-1]
	w.mu.Unlock()
	w.record.note("%s carries out an order that it got %.1f s ago", w.id, time.Since(o.sent).Seconds())
	w.startOrder(httptest.NewRecorder(), o.body)
}

func (w *worker) startOrder(out http.ResponseWriter, body []byte) {
	o, ok := w.begin(out, body)
	if !ok {
		return
	}
	known := w.running[o.Task]
	refusal := ""
	var s spec
	if err := json.Unmarshal([]byte(o.Spec), &s); err != nil {
		w.answer(out, http.StatusBadRequest, map[string]any{})
		w.mu.Unlock()
		return
	}
	switch {
	case known != nil && known.run == o.Run:
		w.extend(o.DeadlineMs)
	case o.Run <= w.highest[o.Task] || known != nil && o.Run < known.run:
		w.extend(o.DeadlineMs)
		refusal = "old"
	case o.DeadlineMs <= w.clock():
		refusal = "late"
	case w.used()+s.GPU > accelerators:
		w.extend(o.DeadlineMs)
		refusal = "room"
	default:
		w.extend(o.DeadlineMs)
		w.changedAt = time.Now()
		w.running[o.Task] = &workerRun{task: o.Task, run: o.Run, spec: s, began: time.Now()}
	}
	incarnation, kind := w.incarnation, w.kind
	if refusal != "" {
		w.answer(out, http.StatusConflict, map[string]any{"reason": refusal})
	} else {
		w.answer(out, http.StatusOK, map[string]any{})
	}
	w.mu.Unlock()
	w.record.note("%s (kind %s, incarnation %d) is told to start %s run %d under token %d: %s", w.id, kind, incarnation, o.Task, o.Run, o.FenceToken, orOK(refusal))
	if refusal == "" && known == nil && w.onStart != nil {
		w.onStart(w, o.Task, o.Run, incarnation)
	}
}

// used is how many accelerators the runs take.
func (w *worker) used() int {
	n := 0
	for _, r := range w.running {
		n += r.spec.GPU
	}
	return n
}

func orOK(refusal string) string {
	if refusal == "" {
		return "200"
	}
	return "409 " + refusal
}

func (w *worker) handleStop(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o, ok := w.begin(out, body)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if known := w.running[o.Task]; known != nil && known.run <= o.Run && known.stopAt.IsZero() {
		known.stopAt = time.Now().Add(stopTime)
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	w.answer(out, http.StatusOK, map[string]any{})
	w.record.note("%s is told to stop %s run %d", w.id, o.Task, o.Run)
}

func (w *worker) handleHold(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o, ok := w.begin(out, body)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.extend(o.DeadlineMs)
	w.ended = slices.DeleteFunc(w.ended, func(row []any) bool { return row[0].(int64) <= o.LastSeen })
	incarnation, until := w.incarnation, time.Now().Add(time.Duration(o.WaitMs)*time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(until) && w.incarnation == incarnation && !w.dark {
		w.mu.Unlock()
		time.Sleep(workerTick)
		w.mu.Lock()
	}
	if w.incarnation != incarnation || w.dark {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	w.reportedAt = time.Now()
	running, ended := [][]any{}, w.ended
	for _, run := range w.running {
		running = append(running, []any{run.task, run.run, "", w.percent(run), 0})
	}
	if ended == nil {
		ended = [][]any{}
	}
	w.answer(out, http.StatusOK, map[string]any{"running": running, "ended": ended[:min(len(ended), 500)]})
}

// runs reports whether it runs a task of a job.
func (w *worker) runs(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// busy reports whether it runs anything.
func (w *worker) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running) > 0
}

// idleSinceReport reports whether it has run nothing since its newest answer to a hold, which was at least d ago.
func (w *worker) idleSinceReport(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running) == 0 && len(w.ended) == 0 && time.Since(w.reportedAt) > d && w.reportedAt.After(w.changedAt)
}
