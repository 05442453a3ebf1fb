package prepared

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// How a run ends.
const (
	Done    = "done"
	Failed  = "failed"
	Stopped = "stopped"
	Lapsed  = "lapsed"
	Lost    = "lost with its server"
	Broken  = "broken" // another member of its gang has ended
	Alone   = "alone"  // it waited too long for the other members of its gang
)

const (
	serverHeartbeat = 1500 * time.Millisecond
	entryExpiry     = 3 * serverHeartbeat
	stopTime        = 50 * time.Millisecond
	failAfter       = 100 * time.Millisecond
	advanceEvery    = 10 * time.Millisecond
	accelerators    = 8
	firstClock      = 1000 // milliseconds on its clock at its start
)

// Spec is the payload of the jobs that a Server runs.
type Spec struct {
	RunMs int `json:"runMs"`
	// Gang is the number of members if the tasks are a gang, otherwise 0.
	Gang int `json:"gang,omitempty"`
}

// ServerFault is how a backend server behaves.
type ServerFault struct {
	FailAll bool // each run fails shortly after its start
	// LateStarts lets each start order be carried out this long after it arrived, without an answer.
	LateStarts time.Duration
	// LateStartShare is the share of the start orders that are late; 0 means all of them.
	LateStartShare float64
	// RefusedStarts is the share of the start orders that are refused as by an unhealthy server, also of those for
	// runs that are there.
	RefusedStarts float64
	// AcrossRestarts lets the late starts also reach the next incarnation that has the same ID.
	AcrossRestarts bool
	// LateHolds lets LateHoldShare of the calls to /hold be carried out half to all of this time after they
	// arrived, without an answer, by the incarnation that has the ID then.
	LateHolds     time.Duration
	LateHoldShare float64
	// SlowAnswers holds each answer back for up to this time, so that later ones overtake it.
	SlowAnswers time.Duration
	// FromArrival lets the lease of a late hold last as long from the moment when it is carried out as it would
	// have lasted when it was sent, up to LeaseMax.
	FromArrival bool
}

// Server is a backend server.
type Server struct {
	Zone, Rack string
	LeaseMax   time.Duration
	Labels     []string
	// ClockLag is the share of the time by which its clock is slow.
	ClockLag float64

	network   *Network
	store     *Store
	record    *Record
	gangs     *Gangs
	addresses map[string]string // by the zone of the VM that calls

	mu       sync.Mutex
	id       string
	earlier  []string // IDs of earlier incarnations at its addresses
	fault    ServerFault
	born     time.Time
	sequence int
	token    int64
	deadline int64 // of the lease, on its clock
	lapses   int
	running  map[string]*serverRun
	highest  map[string]int64 // the highest run of each task that has ended or was stopped here
	ended    []serverEnd
	late     map[string]int // start orders under way here, by task
	ends     int64
}

type serverRun struct {
	*Run
	length time.Duration
	stopAt time.Time
	member *member // nil if it is not a member of a gang
}

type serverEnd struct {
	number int64
	run    *Run
	lapses int
}

// StartServer starts a backend server that callers from each of the zones reach at an address of their
// own. It runs until ctx ends.
func StartServer(ctx context.Context, s *Server, n *Network, store *Store, record *Record, gangs *Gangs, zones []string) error {
	s.network, s.store, s.record, s.gangs = n, store, record, gangs
	s.addresses = make(map[string]string)
	s.reset()
	for _, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s.addresses[zone] = l.Addr().String()
		h := &http.Server{Handler: s.handler(ctx, zone), ConnContext: noteOpened}
		go func() { _ = h.Serve(l) }() // ends when ctx ends
		context.AfterFunc(ctx, func() { _ = h.Close() })
	}
	go s.heartbeat(ctx)
	go s.advanceUntil(ctx)
	return nil
}

// Address is where callers from a zone reach the server.
func (s *Server) Address(zone string) string { return s.addresses[zone] }

// SetFault changes how the server behaves.
func (s *Server) SetFault(f ServerFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Restart ends the incarnation, with all its runs, and begins the next one under the same ID.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart()
}

// RestartSparing restarts the server like Restart, unless it runs a task that was started before: that task may
// have lost a run with its backend server already. It reports whether it has restarted.
func (s *Server) RestartSparing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.running {
		if r.Number > 1 {
			return false
		}
	}
	s.restart()
	return true
}

// RestartSparingLost restarts the server like Restart, unless it runs a task that may have lost a run already: by a
// restart while it ran, while a start order for it was under way or while it was not known that its lease had ended. It
// reports whether it has restarted. It spares fewer tasks than RestartSparing, which also spares those that were stopped or have failed.
func (s *Server) RestartSparingLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for task := range s.running {
		if s.record.mayHaveLost(task) {
			return false
		}
	}
	s.restart()
	return true
}

func (s *Server) restart() {
	for task := range s.late {
		s.record.change(func() { s.record.hit[task] = true })
	}
	for _, e := range s.ended {
		s.record.change(func() { s.record.hit[e.run.Task] = s.record.hit[e.run.Task] || e.run.How == Lapsed })
	}
	for _, r := range s.running {
		now := time.Now()
		s.record.change(func() { r.How, r.Ended, s.record.hit[r.Task] = Lost, now, true })
		if r.member != nil {
			s.gangs.end(r.member, Lost, now)
		}
	}
	s.reset()
}

// Replace ends the incarnation, and lets another one with a new ID answer at its addresses. The old entry
// stays until it expires.
func (s *Server) Replace(id string) {
	s.mu.Lock()
	old := s.id
	s.earlier, s.id = append(s.earlier, old), id
	s.restart()
	s.mu.Unlock()
	time.AfterFunc(entryExpiry, func() { s.store.Put("servers", old, nil) })
}

// hasID reports whether this or an earlier incarnation has the ID.
func (s *Server) hasID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id == id || slices.Contains(s.earlier, id)
}

func (s *Server) reset() {
	s.born, s.sequence, s.token, s.deadline, s.ends = time.Now(), 0, 0, 0, 0
	s.running, s.highest, s.ended, s.late = make(map[string]*serverRun), make(map[string]int64), nil, make(map[string]int)
}

func (s *Server) clock() int64 {
	return firstClock + int64(float64(time.Since(s.born).Milliseconds())*(1-s.ClockLag))
}

func (s *Server) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.sequence++
		id := s.id
		entry, err := json.Marshal(map[string]any{
			"service": ServiceName, "address": s.id, "zone": s.Zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": 64000, "memMb": 131072, "gpu": accelerators}, "labels": append([]string{"a", s.Rack}, s.Labels...),
			"clockMs": s.clock(), "seq": s.sequence, "born": s.born.UnixMilli(),
		})
		s.mu.Unlock()
		if err != nil {
			panic(err) // plain values only
		}
		if s.network.Open(s.Zone, StoreSite) {
			s.store.Put("servers", id, entry)
		}
		select {
		case <-ctx.Done():
		case <-time.After(serverHeartbeat):
		}
	}
}

func (s *Server) advanceUntil(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.advance()
		s.mu.Unlock()
		time.Sleep(advanceEvery)
	}
}

// advance brings the runs and the lease up to date. What is found late counts from when it was due.
func (s *Server) advance() {
	now := time.Now()
	lapse := s.leaseEnd()
	for _, r := range s.running {
		how, at := s.endOfWork(r)
		if failed := r.Began.Add(failAfter); s.fault.FailAll && failed.Before(at) {
			how, at = Failed, failed
		}
		if !r.stopAt.IsZero() && r.stopAt.Before(at) {
			how, at = Stopped, r.stopAt
		}
		if !lapse.IsZero() && lapse.Before(at) {
			how, at = Lapsed, lapse
		}
		if !at.After(now) {
			s.finish(r, how, at)
		}
	}
	if !lapse.IsZero() && !lapse.After(now) {
		s.lapses++
		s.deadline = 0
	}
}

// endOfWork is how and when a run ends if nothing on this backend server ends it before.
func (s *Server) endOfWork(r *serverRun) (how string, at time.Time) {
	if r.member == nil {
		return Done, r.Began.Add(r.length)
	}
	return s.gangs.endOf(r.member, r.Began)
}

// percent is a run's progress.
func (s *Server) percent(r *serverRun) int {
	since := r.Began
	if r.member != nil {
		since = s.gangs.worksSince(r.member)
	}
	if since.IsZero() {
		return 0
	}
	return min(int(100*time.Since(since)/max(r.length, 1)), 99)
}

// leaseEnd is when the lease ends; zero if there is none.
func (s *Server) leaseEnd() time.Time {
	if s.deadline == 0 {
		return time.Time{}
	}
	return s.born.Add(time.Duration(float64(s.deadline-firstClock) / (1 - s.ClockLag) * float64(time.Millisecond)))
}

func (s *Server) finish(r *serverRun, how string, at time.Time) {
	delete(s.running, r.Task)
	s.highest[r.Task] = max(s.highest[r.Task], r.Number)
	s.ends++
	s.ended = append(s.ended, serverEnd{s.ends, r.Run, s.lapses})
	s.record.change(func() { r.How, r.Ended = how, at })
	if r.member != nil {
		s.gangs.end(r.member, how, at)
	}
}

func (s *Server) extend(deadline int64) {
	if deadline > s.clock() {
		s.deadline = max(s.deadline, min(deadline, s.clock()+s.LeaseMax.Milliseconds()))
	}
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

// handler serves the callers from one zone. An order is carried out only if the path there is open when it
// arrives, and answered only if the path back is open then.
func (s *Server) handler(ctx context.Context, zone string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", s.handleStart)
	mux.HandleFunc("POST /run-stop", s.handleStop)
	mux.HandleFunc("POST /hold", s.handleHold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gone, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		if !readBody(r) || !s.network.Open(zone, s.Zone) || s.network.silentRequest(r) {
			<-gone.Done()
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		own := s.id
		s.mu.Unlock()
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != own {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		held := &heldAnswer{header: make(http.Header)}
		mux.ServeHTTP(held, r)
		s.mu.Lock()
		slow := s.fault.SlowAnswers
		s.mu.Unlock()
		time.Sleep(rand.N(slow + 1))
		if held.status == 0 || !s.network.Open(s.Zone, zone) || s.network.silentRequest(r) {
			<-gone.Done()
			panic(http.ErrAbortHandler)
		}
		held.writeTo(w)
	})
}

func decode(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return o, false
	}
	return o, true
}

func (s *Server) fenced(w http.ResponseWriter, o order) bool {
	if o.FenceToken < s.token {
		reply(w, http.StatusConflict, map[string]any{"clockMs": s.clock(), "reason": "fence"})
		return true
	}
	s.token = o.FenceToken
	return false
}

// handleStart leaves the answer out if the order was carried out late.
func (s *Server) handleStart(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	late, across, born, id := s.fault.LateStarts, s.fault.AcrossRestarts, s.born, s.id
	if share := s.fault.LateStartShare; share > 0 && rand.Float64() >= share {
		late = 0
	}
	if rand.Float64() < s.fault.RefusedStarts {
		s.mu.Unlock()
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	underWay := s.late
	underWay[o.Task]++
	s.mu.Unlock()
	time.Sleep(late)
	s.mu.Lock()
	defer s.mu.Unlock()
	if underWay[o.Task]--; underWay[o.Task] == 0 {
		delete(underWay, o.Task)
	}
	if late > 0 {
		held := &heldAnswer{header: make(http.Header)}
		w = held
		defer func() { s.record.lateStart(!s.born.Equal(born), held) }()
		if s.id != id || !across && !s.born.Equal(born) {
			return // TestLateStartReachesRestartedServer is about those of an earlier incarnation
		}
	}
	s.advance()
	if s.fenced(w, o) {
		return
	}
	refuse := func(reason string) {
		reply(w, http.StatusConflict, map[string]any{"clockMs": s.clock(), "reason": reason})
	}
	known := s.running[o.Task]
	switch {
	case known != nil && known.Number == o.Run:
		s.extend(o.DeadlineMs)
	case known != nil && o.Run > s.highest[o.Task]: // both would run
		now := time.Now()
		s.record.began(&Run{Task: o.Task, Server: s.id, Zone: s.Zone, Number: o.Run, Token: o.FenceToken, Began: now, Ended: now, How: Stopped, Gang: known.Gang,
			Late: late > 0, Across: !s.born.Equal(born)})
		refuse("old")
		return
	case o.Run <= s.highest[o.Task]:
		s.extend(o.DeadlineMs)
		refuse("old")
		return
	case o.DeadlineMs <= s.clock():
		refuse("late")
		return
	case len(s.running) >= accelerators:
		s.extend(o.DeadlineMs)
		refuse("room")
		return
	default:
		var spec Spec
		if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		s.extend(o.DeadlineMs)
		run := &Run{Task: o.Task, Server: s.id, Zone: s.Zone, Number: o.Run, Token: o.FenceToken, Began: time.Now(), Late: late > 0, Across: !s.born.Equal(born)}
		r := &serverRun{Run: run, length: time.Duration(spec.RunMs) * time.Millisecond}
		s.running[o.Task] = r
		if spec.Gang > 1 {
			run.Gang, run.members = gangOf(o.Task), spec.Gang
			r.member = s.gangs.join(run, spec.Gang, r.length)
		}
		s.record.began(run)
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": s.clock()})
}

func (s *Server) handleStop(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	if s.fenced(w, o) {
		return
	}
	if known := s.running[o.Task]; known != nil && known.Number <= o.Run && known.stopAt.IsZero() {
		known.stopAt = time.Now().Add(stopTime)
	}
	s.highest[o.Task] = max(s.highest[o.Task], o.Run)
	reply(w, http.StatusOK, map[string]any{"clockMs": s.clock()})
}

func (s *Server) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	s.mu.Lock()
	longest, id, fromArrival := s.fault.LateHolds, s.id, s.fault.FromArrival
	late := longest > 0 && rand.Float64() < s.fault.LateHoldShare
	granted := o.DeadlineMs - s.clock()
	s.mu.Unlock()
	if late {
		w = &heldAnswer{header: make(http.Header)}
		time.Sleep(longest/2 + rand.N(longest/2+1))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id {
		return // the call names another ID
	}
	s.advance()
	if s.fenced(w, o) {
		return
	}
	if late && fromArrival {
		s.extend(s.clock() + granted)
	} else {
		s.extend(o.DeadlineMs)
	}
	for len(s.ended) > 0 && s.ended[0].number <= o.LastSeen {
		e := s.ended[0]
		s.ended = s.ended[1:]
		if e.lapses == s.lapses {
			s.record.change(func() { e.run.Noted = time.Now() })
		}
	}
	if late {
		return
	}
	born := s.born
	for len(s.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil && s.born.Equal(born) {
		s.mu.Unlock()
		time.Sleep(advanceEvery)
		s.mu.Lock()
	}
	if !s.born.Equal(born) {
		return // the incarnation that was called has ended
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range s.running {
		running = append(running, []any{r.Task, r.Number, "", s.percent(r), 0})
	}
	for _, e := range s.ended {
		ended = append(ended, []any{e.number, e.run.Task, e.run.Number, e.run.How, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": s.clock(), "born": s.born.UnixMilli(), "running": running, "ended": ended})
}
