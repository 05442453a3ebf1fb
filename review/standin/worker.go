package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	leaseMax    = 6000 * time.Millisecond // holdMaxMs
	failAfter   = 100 * time.Millisecond
	stopTime    = 50 * time.Millisecond // at most stopTimeoutMs
	gangTimeout = 3000 * time.Millisecond
)

// run is a run of a task on a worker.
type run struct {
	task    string
	number  int64
	began   time.Time
	runtime time.Duration
	lasts   bool
	stopAt  time.Time // when a stop takes effect; zero if none was ordered
}

// end is a listed end of a run.
type end struct {
	n    int64
	task string
	run  int64
	how  string
}

// spec is what the scripts' jobs carry; the scheduler passes it on unread.
type spec struct {
	RunMs int `json:"runMs"`
	// Lasts is set for tasks that run until they are stopped.
	Lasts bool `json:"lasts"`
	// FirstX, if above 0, is how many times as long the first task of the step takes.
	FirstX int `json:"firstX"`
}

// worker is a worker of the platform. Its methods that begin with a capital letter are for scripts.
type worker struct {
	id, label, rack string
	address         string
	store           *store
	log             *journal
	gpu             int

	mu        sync.Mutex
	up        bool
	born      time.Time
	seq       int
	fence     int64
	deadline  int64 // of the lease, on the worker's clock
	running   map[string]*run
	refused   map[string]int64 // the newest run of each task that ended or was stopped here
	ended     []end
	history   []end // all ends, of all incarnations
	endCount  int64
	refuse    bool // answers each start with 503 and does nothing
	failAll   bool // lets each run fail shortly after its begin
	server    *http.Server
	stopBeats chan struct{}
	// onStart is called when a run has begun.
	onStart func(w *worker, task string, number int64)
	// beforeStart, if set, is called before a start order is carried out. It may wait, and returns false
	// if the order shall get no answer.
	beforeStart func(w *worker, task string, number int64) bool
}

func newWorker(id, label, rack string, gpu int, s *store, j *journal) *worker {
	return &worker{id: id, label: label, rack: rack, gpu: gpu, store: s, log: j}
}

// Start begins a new incarnation at the same address, once there is one.
func (w *worker) Start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address == "" {
		w.address = fmt.Sprintf("127.0.0.1:%d", freePorts(1))
	}
	l, err := net.Listen("tcp", w.address)
	for i := 0; err != nil && i < 100; i++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", w.address)
	}
	if err != nil {
		fatal("worker %s cannot listen: %v", w.id, err)
	}
	w.up, w.born, w.seq = true, time.Now(), 0
	w.fence, w.deadline, w.ended, w.endCount = 0, 0, nil, 0
	w.running, w.refused = make(map[string]*run), make(map[string]int64)
	mux := http.NewServeMux()
	born := w.born
	mux.HandleFunc("POST /run-start", func(rw http.ResponseWriter, r *http.Request) { w.runStart(rw, r, born) })
	mux.HandleFunc("POST /run-stop", w.runStop)
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server) // ends when the worker crashes
	w.stopBeats = make(chan struct{})
	go w.beat(w.stopBeats)
	w.log.add("worker %s up at %s", w.id, w.address)
}

// Crash ends the incarnation: all its runs die, and its connections are reset. Its entry in the store
// expires after three heartbeat intervals, unless the worker is up again.
func (w *worker) Crash() {
	w.mu.Lock()
	w.up = false
	close(w.stopBeats)
	server, born := w.server, w.born
	for _, r := range w.running {
		w.log.add("worker %s: run %d of %s dies with its worker", w.id, r.number, r.task)
	}
	w.running = make(map[string]*run)
	w.mu.Unlock()
	_ = server.Close()
	w.log.add("worker %s crashes", w.id)
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		gone := !w.up && w.born.Equal(born)
		w.mu.Unlock()
		if gone {
			w.store.put("keyed.servers", w.id, nil)
		}
	})
}

// set changes the worker's behaviour.
func (w *worker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *worker) beat(stop chan struct{}) {
	for {
		w.mu.Lock()
		w.seq++
		entry, err := json.Marshal(map[string]any{
			"service": service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": 64000, "memMb": 131072, "gpu": w.gpu}, "labels": []string{w.label, w.rack},
			"clockMs": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		if err != nil {
			fatal("entry: %v", err)
		}
		w.store.put("keyed.servers", w.id, entry)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// clock is the worker's clock, which starts anew with each incarnation.
func (w *worker) clock() int64 { return 1000 + time.Since(w.born).Milliseconds() }

// advance brings the runs up to date.
func (w *worker) advance() {
	now := time.Now()
	var names []string
	for name := range w.running {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		r := w.running[name]
		switch {
		case w.clock() > w.deadline:
			w.finish(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.finish(r, "stopped")
		case w.failAll && now.Sub(r.began) >= failAfter:
			w.finish(r, "failed")
		case !r.lasts && now.Sub(r.began) >= r.runtime:
			w.finish(r, "done")
		}
	}
}

func (w *worker) finish(r *run, how string) {
	delete(w.running, r.task)
	w.refused[r.task] = max(w.refused[r.task], r.number)
	w.endCount++
	e := end{w.endCount, r.task, r.number, how}
	w.ended, w.history = append(w.ended, e), append(w.history, e)
	w.log.add("worker %s: run %d of %s ends %s", w.id, r.number, r.task, how)
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

// accept decodes an order and checks incarnation and fence.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	return o, true
}

func (w *worker) fenced(rw http.ResponseWriter, o order) bool {
	if o.FenceToken < w.fence {
		reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": "fence"})
		return true
	}
	w.fence = o.FenceToken
	return false
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+leaseMax.Milliseconds()))
}

func (w *worker) runStart(rw http.ResponseWriter, r *http.Request, born time.Time) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	answer := true
	if w.beforeStart != nil {
		answer = w.beforeStart(w, o.Task, o.Run)
	}
	w.mu.Lock()
	status, reason := w.startLocked(o)
	clock := w.clock()
	w.mu.Unlock()
	w.log.add("worker %s: start of run %d of %s under fence %d: %d %s", w.id, o.Run, o.Task, o.FenceToken, status, reason)
	if status == http.StatusOK && w.onStart != nil {
		w.onStart(w, o.Task, o.Run)
	}
	if !answer {
		panic(http.ErrAbortHandler) // the answer is lost
	}
	body := map[string]any{"clockMs": clock}
	if reason != "" {
		body["reason"] = reason
	}
	reply(rw, status, body)
}

func (w *worker) startLocked(o order) (status int, reason string) {
	w.advance()
	if w.refuse {
		return http.StatusServiceUnavailable, ""
	}
	if o.FenceToken < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.FenceToken
	if known := w.running[o.Task]; known != nil && known.number == o.Run {
		w.extend(o.DeadlineMs)
		return http.StatusOK, ""
	}
	if o.Run <= w.refused[o.Task] || w.running[o.Task] != nil {
		w.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	}
	if o.DeadlineMs <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(o.DeadlineMs)
	if len(w.running) >= w.gpu { // each task of the scripts needs one
		return http.StatusConflict, "room"
	}
	var s spec
	if err := json.Unmarshal([]byte(o.Spec), &s); err != nil {
		return http.StatusBadRequest, ""
	}
	if s.FirstX > 0 && strings.HasSuffix(o.Task, ".0") {
		s.RunMs *= s.FirstX
	}
	w.running[o.Task] = &run{task: o.Task, number: o.Run, began: time.Now(), runtime: time.Duration(s.RunMs) * time.Millisecond, lasts: s.Lasts}
	return http.StatusOK, ""
}

func (w *worker) runStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.fenced(rw, o) {
		return
	}
	if known := w.running[o.Task]; known != nil && known.number == o.Run && known.stopAt.IsZero() {
		known.stopAt = time.Now().Add(stopTime)
	}
	w.refused[o.Task] = max(w.refused[o.Task], o.Run)
	w.log.add("worker %s: stop of run %d of %s", w.id, o.Run, o.Task)
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(rw, o) {
		return
	}
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.ended) > 0 && w.ended[0].n <= o.LastSeen {
		e := w.ended[0]
		w.ended = w.ended[1:]
		w.log.add("worker %s: end %d (%s, run %d, %s) is taken note of", w.id, e.n, e.task, e.run, e.how)
	}
	for w.advance(); len(w.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil; w.advance() {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.running {
		running = append(running, []any{run.task, run.number, "", run.percent(), 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// startup is the time after which a task that lasts is at work.
const startup = 200 * time.Millisecond

func (r *run) percent() int {
	worked := time.Since(r.began)
	if r.lasts {
		return min(int(100*worked/startup), 100)
	}
	return min(int(100*worked/max(r.runtime, 1)), 99)
}

// Runs reports whether a run of one of the job's tasks is under way.
func (w *worker) Runs(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return false
	}
	w.advance()
	for name := range w.running {
		if strings.HasPrefix(name, job) {
			return true
		}
	}
	return false
}
