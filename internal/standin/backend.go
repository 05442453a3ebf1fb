package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// defaultUsageLag is the age of the usage in a status.
const defaultUsageLag = 2 * time.Second

// Backend plays a backend server.
type Backend struct {
	id           model.BackendServerID
	slots        int
	accelerators int
	faults       *switches

	mu         sync.Mutex
	run        int // starts so far
	began      time.Time
	pastRuns   BackendRecord // of the runs before
	token      model.Token
	running    int // executions
	executions map[model.RequestID]*execution
	tasks      map[model.TaskID]*task
	offers     []Offer
}

// NewBackend returns an idle backend server.
func NewBackend(id model.BackendServerID, slots, accelerators int) *Backend {
	return &Backend{
		id:           id,
		slots:        slots,
		accelerators: accelerators,
		faults:       newSwitches(),
		began:        time.Now(),
		executions:   make(map[model.RequestID]*execution),
		tasks:        make(map[model.TaskID]*task),
	}
}

// SetFault puts a fault in force.
func (b *Backend) SetFault(f Fault) {
	b.settle()
	b.faults.set(f)
	if f.Restart {
		b.restart(time.Now())
	}
	b.settle()
}

// restart forgets everything but the record.
func (b *Backend) restart(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.tasks {
		b.stop(t, now)
	}
	for _, x := range b.executions {
		x.breakOff(now)
	}
	b.pastRuns = b.account()
	b.run++
	b.began = now
	b.token = model.Token{}
	b.running = 0
	clear(b.executions)
	clear(b.tasks)
	b.offers = nil
}

// settle lets time pass under the fault in force.
func (b *Backend) settle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
}

// Leaving reports whether the backend server says that it leaves.
func (b *Backend) Leaving() bool { return b.faults.current().Leaving }

// Record returns the backend server's own account of its work.
func (b *Backend) Record() BackendRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	r := b.account()
	slices.SortFunc(r.Executions, func(x, y ExecutionRecord) int { return cmp.Compare(x.Request, y.Request) })
	slices.SortFunc(r.Tasks, func(x, y TaskRecord) int { return cmp.Compare(x.Task, y.Task) })
	return r
}

// account returns the record of all runs, in no order.
func (b *Backend) account() BackendRecord {
	r := BackendRecord{
		ID:         b.id,
		Token:      b.token,
		Executions: slices.Clone(b.pastRuns.Executions),
		Tasks:      slices.Clone(b.pastRuns.Tasks),
		Offers:     append(slices.Clone(b.pastRuns.Offers), b.offers...),
	}
	for _, x := range b.executions {
		r.Executions = append(r.Executions, x.record)
	}
	for _, t := range b.tasks {
		r.Tasks = append(r.Tasks, t.record())
	}
	return r
}

func (b *Backend) status(now time.Time) ports.BackendStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	s := ports.BackendStatus{
		ID:        b.id,
		Leaving:   b.Leaving(),
		FreeSlots: b.slots - b.running,
		Token:     b.token,
	}
	for _, t := range b.tasks {
		s.Tasks = append(s.Tasks, t.report(t.usage(now.Add(-defaultUsageLag))))
	}
	slices.SortFunc(s.Tasks, func(x, y ports.TaskReport) int { return cmp.Compare(x.Task, y.Task) })
	return s
}

// Handler serves the protocol of backend servers and the controls of the stand-in.
func (b *Backend) Handler() http.Handler {
	record := func() any { return b.Record() }
	return newRouter(b.faults, b.SetFault, record, func(r chi.Router) {
		r.Get(ports.PathStatus, b.handleStatus)
		r.Get(ports.PathPing, b.handlePing)
		r.Post(ports.PathCommands, b.handleCommands)
		r.Post(ports.PathExecutions, b.handleExecute)
		r.Post(ports.PathExecutions+"/{request}"+ports.PathLookup, b.handleLookup)
	})
}

// handleStatus answers with the status, or not modified when the caller has it.
// Free slots are a header of their own and no part of the entity tag.
func (b *Backend) handleStatus(w http.ResponseWriter, r *http.Request) {
	status := b.status(time.Now())
	tag := entityTag(status)
	w.Header().Set("ETag", tag)
	w.Header().Set(ports.HeaderFreeSlots, strconv.Itoa(status.FreeSlots))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	reply(w, status)
}

func entityTag(status ports.BackendStatus) string {
	status.FreeSlots = 0
	data, _ := json.Marshal(status) // plain values always encode
	hash := fnv.New64a()
	_, _ = hash.Write(data)
	return fmt.Sprintf("%q", strconv.FormatUint(hash.Sum64(), 16))
}

func (b *Backend) handlePing(w http.ResponseWriter, _ *http.Request) {
	reply(w, struct{}{})
}

func (b *Backend) handleCommands(w http.ResponseWriter, r *http.Request) {
	var batch ports.CommandBatch
	if !decode(w, r, &batch) {
		return
	}
	reply(w, ports.CommandReply{Results: b.command(batch, time.Now())})
}

// handleExecute runs a request to its end also when the caller is gone.
func (b *Backend) handleExecute(w http.ResponseWriter, r *http.Request) {
	var e ports.Execution
	if !decode(w, r, &e) {
		return
	}
	x, run, refused := b.begin(e, time.Now())
	if refused != "" {
		reply(w, b.refusal(e.Request, refused))
		return
	}
	if run {
		p := parsePayload(e.Body)
		time.Sleep(p.run())
		if !b.finish(x, p, time.Now()) {
			abort()
		}
	}
	reply(w, b.describe(x))
}

// Uptime returns how long the backend server has remembered requests.
func (b *Backend) Uptime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.began)
}

func (b *Backend) describe(x *execution) ports.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answer(x)
}

func (b *Backend) handleLookup(w http.ResponseWriter, r *http.Request) {
	a, ok := b.lookUp(model.RequestID(chi.URLParam(r, "request")))
	if !ok {
		problem(w, http.StatusNotFound, ports.Problem{
			Code:    ports.CodeNotFound,
			Message: "the request was never seen here and is refused from now on",
			KeptMS:  b.Uptime().Milliseconds(),
		})
		return
	}
	reply(w, a)
}
