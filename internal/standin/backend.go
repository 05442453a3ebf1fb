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

// defaultUsageLag is the delay with which a status reports the usage of accelerators.
const defaultUsageLag = 2 * time.Second

// Backend simulates a backend server.
type Backend struct {
	id           model.BackendServerID
	slots        int
	accelerators int
	injector     *faultInjector

	mu                sync.Mutex
	incarnation       int // number of restarts so far
	startedAt         time.Time
	earlierRecord     BackendRecord // of earlier incarnations
	token             model.Token
	runningExecutions int
	executions        map[model.RequestID]*execution
	tasks             map[model.TaskID]*task
	offers            []Offer
}

// NewBackend returns an idle backend server.
func NewBackend(id model.BackendServerID, slots, accelerators int) *Backend {
	return &Backend{
		id:           id,
		slots:        slots,
		accelerators: accelerators,
		injector:     newFaultInjector(),
		startedAt:    time.Now(),
		executions:   make(map[model.RequestID]*execution),
		tasks:        make(map[model.TaskID]*task),
	}
}

// SetFault replaces the active fault. The time until now is simulated under the old fault.
func (b *Backend) SetFault(f Fault) {
	b.advanceToNow()
	b.injector.set(f)
	if f.Restart {
		b.restart(time.Now())
	}
	b.advanceToNow()
}

// restart clears all state except the record.
func (b *Backend) restart(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.tasks {
		b.stop(t, now)
	}
	for _, x := range b.executions {
		x.interrupt(now)
	}
	b.earlierRecord = b.unsortedRecord()
	b.incarnation++
	b.startedAt = now
	b.token = model.Token{}
	b.runningExecutions = 0
	clear(b.executions)
	clear(b.tasks)
	b.offers = nil
}

// advanceToNow simulates the time until now under the active fault.
func (b *Backend) advanceToNow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
}

// Leaving reports whether the backend server announces that it is leaving.
func (b *Backend) Leaving() bool { return b.injector.current().Leaving }

// Record returns a record of everything that the backend server did.
func (b *Backend) Record() BackendRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	r := b.unsortedRecord()
	slices.SortFunc(r.Executions, func(x, y ExecutionRecord) int { return cmp.Compare(x.Request, y.Request) })
	slices.SortFunc(r.Tasks, func(x, y TaskRecord) int { return cmp.Compare(x.Task, y.Task) })
	return r
}

// unsortedRecord returns the record of all incarnations, in no particular order.
func (b *Backend) unsortedRecord() BackendRecord {
	r := BackendRecord{
		ID:         b.id,
		Token:      b.token,
		Executions: slices.Clone(b.earlierRecord.Executions),
		Tasks:      slices.Clone(b.earlierRecord.Tasks),
		Offers:     append(slices.Clone(b.earlierRecord.Offers), b.offers...),
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
		ID:          b.id,
		Leaving:     b.Leaving(),
		FreeSlots:   b.slots - b.runningExecutions,
		Token:       b.token,
		Incarnation: b.incarnationText(),
	}
	for _, t := range b.tasks {
		s.Tasks = append(s.Tasks, t.report(t.usage(now.Add(-defaultUsageLag))))
	}
	slices.SortFunc(s.Tasks, func(x, y ports.TaskReport) int { return cmp.Compare(x.Task, y.Task) })
	return s
}

// incarnationText differs after each restart.
func (b *Backend) incarnationText() string { return strconv.FormatInt(b.startedAt.UnixNano(), 36) }

// Handler serves the protocol of backend servers and the control API of the stand-in.
func (b *Backend) Handler() http.Handler {
	record := func() any { return b.Record() }
	return newRouter(b.injector, b.SetFault, record, func(r chi.Router) {
		r.Get(ports.PathStatus, b.handleStatus)
		r.Get(ports.PathPing, b.handlePing)
		r.Post(ports.PathCommands, b.handleCommands)
		r.Post(ports.PathExecutions, b.handleExecute)
		r.Post(ports.PathExecutions+"/{request}"+ports.PathLookup, b.handleLookup)
	})
}

// handleStatus answers with the status, or with 304 Not Modified if the caller has it.
// Free slots are sent in a header and are not part of the entity tag.
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
	data, _ := json.Marshal(status) // a status can always be encoded
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

// handleExecute runs a request to its end even if the caller disconnects.
func (b *Backend) handleExecute(w http.ResponseWriter, r *http.Request) {
	var e ports.Execution
	if !decode(w, r, &e) {
		return
	}
	x, mustRun, refused := b.beginExecution(e, time.Now())
	if refused != "" {
		reply(w, b.refusedAnswer(e.Request, refused))
		return
	}
	if mustRun {
		p := parsePayload(e.Body)
		time.Sleep(p.runTime())
		if !b.finishExecution(x, p, time.Now()) {
			abort()
		}
	}
	reply(w, b.currentAnswer(x))
}

// Uptime returns how long the backend server has remembered requests.
func (b *Backend) Uptime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.startedAt)
}

func (b *Backend) currentAnswer(x *execution) ports.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answerLocked(x)
}

func (b *Backend) handleLookup(w http.ResponseWriter, r *http.Request) {
	a, ok := b.lookUp(model.RequestID(chi.URLParam(r, "request")))
	if !ok {
		replyProblem(w, http.StatusNotFound, ports.Problem{
			Code:    ports.CodeNotFound,
			Message: "the request was never seen here and is refused from now on",
			KeptMS:  b.Uptime().Milliseconds(),
		})
		return
	}
	reply(w, a)
}
