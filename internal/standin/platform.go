package standin

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

const (
	defaultReadLimit = 1000
	maxReadWait      = time.Minute
	// ParamAddress is the query parameter with the VM's address in a DELETE of ports.PathVMs.
	ParamAddress = "address"
)

// Platform simulates the platform: its log and its VM list.
type Platform struct {
	injector *faultInjector
	log      *recordLog
	vms      *vmList
}

// PlatformRecord is the platform's own record of the log.
type PlatformRecord struct {
	First int64 `json:"first"` // the oldest offset kept
	Next  int64 `json:"next"`  // the offset of the next append
}

// NewPlatform returns a platform with an empty log that keeps the newest retain
// records; 0 means all.
func NewPlatform(retain int) *Platform {
	return &Platform{injector: newFaultInjector(), log: newRecordLog(retain), vms: newVMList()}
}

// SetFault replaces the active fault.
func (p *Platform) SetFault(f Fault) { p.injector.set(f) }

// Calls returns the number of calls that arrived, answered or not.
func (p *Platform) Calls() int { return p.injector.callCount() }

// Record returns the platform's own record of the log.
func (p *Platform) Record() PlatformRecord {
	b, _, _ := p.log.read(0, 0)
	return PlatformRecord{First: b.First, Next: b.Next}
}

// Handler serves the platform's protocol and the control API of the stand-in.
func (p *Platform) Handler() http.Handler {
	record := func() any { return p.Record() }
	return newRouter(p.injector, p.SetFault, record, func(r chi.Router) {
		r.Post(ports.PathLog, p.appendRecord)
		r.Get(ports.PathLog, p.readRecords)
		r.Get(ports.PathVMs, p.listVMs)
		r.Put(ports.PathVMs, p.putVM)
		r.Delete(ports.PathVMs, p.removeVM)
	})
}

func (p *Platform) appendRecord(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, err.Error())
		return
	}
	reply(w, ports.AppendReply{Offset: p.log.append(data, time.Now())})
}

func (p *Platform) readRecords(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get(ports.ParamFrom), 10, 64)
	if err != nil {
		refuse(w, err.Error())
		return
	}
	limit := positiveIntOr(query.Get(ports.ParamLimit), defaultReadLimit)
	wait := time.Duration(positiveIntOr(query.Get(ports.ParamWaitMS), 0)) * time.Millisecond
	batch, ok := p.log.readWait(r.Context(), from, limit, min(wait, maxReadWait))
	if !ok {
		replyProblem(w, http.StatusGone, ports.Problem{Code: ports.CodeTrimmed, Message: "the offset is past retention"})
		return
	}
	reply(w, batch)
}

// positiveIntOr parses a positive integer and returns fallback if s is anything else.
func positiveIntOr(s string, fallback int) int {
	n, err := strconv.Atoi(s)
	if err != nil || n <= 0 {
		return fallback
	}
	return n
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(p.injector.current().ListLagMS) * time.Millisecond
	reply(w, ports.VMListReply{VMs: p.vms.list(time.Now(), lag)})
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var e ports.VMEntry
	if !decode(w, r, &e) {
		return
	}
	p.vms.put(e, time.Now())
	reply(w, e)
}

func (p *Platform) removeVM(w http.ResponseWriter, r *http.Request) {
	p.vms.remove(r.URL.Query().Get(ParamAddress), time.Now())
	reply(w, struct{}{})
}
