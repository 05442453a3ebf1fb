// Package admission decides which jobs are refused at once because they cannot end in useful time. It depends
// on its input alone: a picture of the load that the holder of the term has drawn, and a job.
package admission

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// MaxDigestBytes bounds an encoded digest: it shares a datagram of 4,096 bytes with the rest of a heartbeat.
	MaxDigestBytes = 2000
	maxServices    = 8
	maxRows        = 32 // of all services together
	maxShapes      = 16 // of one service
	maxRates       = 8
	maxName        = 256
	maxAmount      = 1_000_000_000_000_000
	maxOthers      = 1_000_000
	// cpuBuckets is into how many classes the free processor time of backend servers is divided at first.
	cpuBuckets = 8
)

// Work is an amount of work, in thousandths: cores, megabytes and accelerators, each times seconds.
type Work struct {
	MilliCPU     int64 `json:"c,omitempty"`
	MemoryMB     int64 `json:"m,omitempty"`
	Accelerators int64 `json:"a,omitempty"` // thousandths of an accelerator, times seconds
}

// WorkOf returns the work of tasks that each need so much for so long.
func WorkOf(need job.Resources, tasks int, runtime time.Duration) Work {
	seconds := runtime.Seconds() * float64(tasks)
	amount := func(perTask float64) int64 { return int64(min(perTask*seconds, maxAmount)) }
	return Work{amount(float64(need.MilliCPU)), amount(float64(need.MemoryMB)), amount(float64(need.Accelerators) * 1000)}
}

// Add returns w + o, at most maxAmount of each.
func (w Work) Add(o Work) Work {
	sum := func(a, b int64) int64 { return min(a+b, maxAmount) }
	return Work{sum(w.MilliCPU, o.MilliCPU), sum(w.MemoryMB, o.MemoryMB), sum(w.Accelerators, o.Accelerators)}
}

// share returns w divided by n.
func (w Work) share(n int) Work {
	return Work{w.MilliCPU / int64(n), w.MemoryMB / int64(n), w.Accelerators / int64(n)}
}

// atMost returns of each resource no more than n times what o has.
func (w Work) atMost(o Work, n int) Work {
	lesser := func(a, b int64) int64 { return int64(min(float64(a), float64(b)*float64(n))) }
	return Work{lesser(w.MilliCPU, o.MilliCPU), lesser(w.MemoryMB, o.MemoryMB), lesser(w.Accelerators, o.Accelerators)}
}

// Weight returns the size of w in core-seconds; an accelerator counts as in job.Resources.CoreWeight.
func (w Work) Weight() float64 {
	perAccelerator := job.Resources{Accelerators: 1}.CoreWeight()
	return (float64(w.MilliCPU) + float64(w.Accelerators)*perAccelerator) / 1000
}

// On returns how long a capacity needs for the work if it is used in full; by the resource that needs longest.
func (w Work) On(capacity job.Resources) time.Duration {
	longest := 0.0
	for _, d := range [][2]float64{
		{float64(w.MilliCPU), float64(capacity.MilliCPU)},
		{float64(w.MemoryMB), float64(capacity.MemoryMB)},
		{float64(w.Accelerators), float64(capacity.Accelerators) * 1000},
	} {
		if d[0] > 0 && d[1] > 0 {
			longest = max(longest, d[0]/d[1])
		}
	}
	return time.Duration(min(longest, maxSeconds) * float64(time.Second))
}

// maxSeconds keeps estimates within what a duration holds.
const maxSeconds = 1e6

// Digest is the holder's picture of what waits and what room there is, of a size that does not grow with the
// jobs, organisations or backend servers. A service without a backlog is left out.
type Digest struct {
	// Token is the term's, and Number increases within it.
	Token  int64 `json:"t"`
	Number int64 `json:"n"`
	// StoreInDoubt is set if a call of the holder to the store has failed lately: a job may then be stored
	// although nobody knows of it yet.
	StoreInDoubt bool          `json:"d,omitempty"`
	Services     []ServiceLoad `json:"s,omitempty"`
}

// ServiceLoad is the load of one service.
type ServiceLoad struct {
	Name string `json:"name"`
	// Capacity is that of all backend servers that can be used, and Largest that of the largest one.
	Capacity job.Resources `json:"cap"`
	// Free lists what is free on them.
	Free []Shape `json:"free,omitempty"`
	// RoomMs is when RoomShares of the room that is taken now are expected to be free, milliseconds.
	RoomMs [3]int64 `json:"room"`
	Rows   []Row    `json:"rows,omitempty"`
	// Rates tell how fast work has been started lately; only of priorities that have had a backlog all the while.
	Rates []Rate `json:"rates,omitempty"`
}

// Rate is the work of a priority and more urgent ones that was started each second.
type Rate struct {
	Priority int  `json:"p"`
	Started  Work `json:"w"`
}

// RoomShares are the shares of the room that RoomMs is about.
var RoomShares = [3]float64{0.25, 0.5, 1}

// Shape counts the backend servers with about the same room free.
type Shape struct {
	Free    job.Resources `json:"f"` // the most of each resource that one of them has free
	Servers int           `json:"n"`
	InRack  int           `json:"r"` // the most of them in one rack
	Whole   int           `json:"w,omitempty"`
}

// Row sums up one priority of an organisation; of all that have no row of their own if Others is set.
type Row struct {
	Priority     int                  `json:"p"`
	Organisation model.OrganisationID `json:"o,omitempty"`
	Others       int                  `json:"x,omitempty"` // how many organisations are summed up
	// Waiting and Running are the work of what waits and can still end in useful time, and the rest of the work
	// of what runs.
	Waiting Work `json:"w,omitzero"`
	Running Work `json:"r,omitzero"`
	// RuntimeMs is the mean runtime of the tasks that wait, and OldestMs how long the first has waited.
	RuntimeMs int64 `json:"rt,omitempty"`
	OldestMs  int64 `json:"age,omitempty"`
	// Covered is how many of the organisation's guaranteed accelerators its jobs take.
	Covered int `json:"g,omitempty"`
}

// Service returns the load of a service; nil if it has no backlog.
func (d *Digest) Service(name string) *ServiceLoad {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Encode returns the digest in at most MaxDigestBytes. Where it would be larger, the rows with the least work
// are summed up, and then the services with the least work are left out: jobs for them are accepted.
func Encode(d Digest) (json.RawMessage, error) {
	d.Services = slices.Clone(d.Services)
	slices.SortStableFunc(d.Services, func(a, b ServiceLoad) int { return cmp.Compare(b.waiting(), a.waiting()) })
	d.Services = d.Services[:min(len(d.Services), maxServices)]
	for rows := maxRows; ; rows = rows * 3 / 4 {
		trimmed := d
		trimmed.Services = slices.Clone(d.Services)
		for i := range trimmed.Services {
			trimmed.Services[i].Rates = trimmed.Services[i].Rates[:min(len(trimmed.Services[i].Rates), maxRates)]
			trimmed.Services[i].Rows = sumUp(trimmed.Services[i].Rows, rows/len(trimmed.Services))
			trimmed.Services[i].Free = mergeShapes(trimmed.Services[i].Free, min(maxShapes, rows))
		}
		text, err := json.Marshal(trimmed)
		switch {
		case err != nil:
			return nil, err
		case len(text) <= MaxDigestBytes:
			return text, nil
		case rows <= 4 && len(d.Services) == 0:
			return nil, errors.New("a digest without services is too large")
		case rows <= 4:
			d.Services = d.Services[:len(d.Services)-1]
			rows = maxRows
		}
	}
}

// Waits returns how long the backend servers would need for what waits, by priority.
func (l *ServiceLoad) Waits() map[int]time.Duration {
	sums, waits := make(map[int]Work), make(map[int]time.Duration)
	for i := range l.Rows {
		sums[l.Rows[i].Priority] = sums[l.Rows[i].Priority].Add(l.Rows[i].Waiting)
	}
	for priority, w := range sums {
		waits[priority] = w.On(l.Capacity)
	}
	return waits
}

func (l *ServiceLoad) waiting() time.Duration {
	var sum Work
	for i := range l.Rows {
		sum = sum.Add(l.Rows[i].Waiting)
	}
	return sum.On(l.Capacity)
}

// sumUp keeps the rows with the most work and adds the others up by priority.
func sumUp(rows []Row, most int) []Row {
	if len(rows) <= most {
		return rows
	}
	rows = slices.Clone(rows)
	size := func(r *Row) int64 { return r.Waiting.MilliCPU + 8*r.Waiting.Accelerators + int64(r.Covered) }
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(min(b.Others, 1), min(a.Others, 1)), cmp.Compare(size(&b), size(&a)))
	})
	priorities := make(map[int]bool)
	for i := range rows {
		priorities[rows[i].Priority] = true
	}
	kept := slices.Clone(rows[:max(0, most-len(priorities))])
	others := make(map[int]*Row)
	for _, r := range rows[len(kept):] {
		o := others[r.Priority]
		if o == nil {
			o = &Row{Priority: r.Priority}
			others[r.Priority] = o
		}
		o.add(r)
	}
	for _, o := range others {
		kept = append(kept, *o)
	}
	slices.SortFunc(kept, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), strings.Compare(string(a.Organisation), string(b.Organisation)), cmp.Compare(a.Others, b.Others))
	})
	return kept
}

func (r *Row) add(o Row) {
	a, b := r.Waiting.MilliCPU+r.Waiting.Accelerators, o.Waiting.MilliCPU+o.Waiting.Accelerators
	if a+b > 0 {
		r.RuntimeMs = int64((float64(r.RuntimeMs)*float64(a) + float64(o.RuntimeMs)*float64(b)) / float64(a+b))
	}
	r.Waiting, r.Running = r.Waiting.Add(o.Waiting), r.Running.Add(o.Running)
	r.OldestMs = max(r.OldestMs, o.OldestMs)
	r.Others += max(o.Others, 1)
}

// AddRow adds to the row of a priority of an organisation.
func AddRow(rows map[RowKey]*Row, r Row) {
	k := RowKey{r.Priority, r.Organisation}
	if rows[k] == nil {
		rows[k] = &Row{Priority: r.Priority, Organisation: r.Organisation}
	}
	covered := rows[k].Covered + r.Covered
	rows[k].add(r)
	rows[k].Others, rows[k].Covered = 0, covered
}

// RowKey names a row.
type RowKey struct {
	Priority     int
	Organisation model.OrganisationID
}

// ServerRoom is what is free on one backend server.
type ServerRoom struct {
	Free, Capacity job.Resources
	Rack           model.RackID
}

// Shapes sums up what is free on the backend servers of a service. It never shows less than there is.
func Shapes(servers []ServerRoom) []Shape {
	largest := job.Resources{}
	for i := range servers {
		largest = largest.Max(servers[i].Capacity)
	}
	for buckets := cpuBuckets; ; buckets /= 2 {
		if shapes := shapesOf(servers, largest, buckets); len(shapes) <= maxShapes || buckets <= 1 {
			return mergeShapes(shapes, maxShapes)
		}
	}
}

func shapesOf(servers []ServerRoom, largest job.Resources, buckets int) []Shape {
	type class struct{ accelerators, cpu int }
	shapes, racks := make(map[class]*Shape), make(map[class]map[model.RackID]int)
	for i := range servers {
		v := &servers[i]
		free := v.Free.Max(job.Resources{})
		if free == (job.Resources{}) {
			continue
		}
		k := class{free.Accelerators, free.MilliCPU * buckets / max(largest.MilliCPU, 1)}
		if shapes[k] == nil {
			shapes[k], racks[k] = &Shape{}, make(map[model.RackID]int)
		}
		s := shapes[k]
		s.Free = s.Free.Max(free)
		s.Servers++
		if v.Free == v.Capacity {
			s.Whole++
		}
		racks[k][v.Rack]++
		s.InRack = max(s.InRack, racks[k][v.Rack])
	}
	list := make([]Shape, 0, len(shapes))
	for _, s := range shapes {
		list = append(list, *s)
	}
	slices.SortFunc(list, compareShapes)
	return list
}

func compareShapes(a, b Shape) int {
	return cmp.Or(cmp.Compare(b.Free.Accelerators, a.Free.Accelerators), cmp.Compare(b.Free.MilliCPU, a.Free.MilliCPU), cmp.Compare(b.Free.MemoryMB, a.Free.MemoryMB))
}

// mergeShapes merges neighbours until there are few enough.
func mergeShapes(shapes []Shape, most int) []Shape {
	shapes = slices.Clone(shapes)
	for len(shapes) > max(most, 1) {
		least := 0
		for i := range len(shapes) - 1 {
			if shapes[i].Servers+shapes[i+1].Servers < shapes[least].Servers+shapes[least+1].Servers {
				least = i
			}
		}
		a, b := shapes[least], shapes[least+1]
		shapes[least] = Shape{Free: a.Free.Max(b.Free), Servers: a.Servers + b.Servers, InRack: a.InRack + b.InRack, Whole: a.Whole + b.Whole}
		shapes = slices.Delete(shapes, least+1, least+2)
	}
	return shapes
}

// Decode reads a digest and checks it, since it may come from another release.
func Decode(text json.RawMessage) (*Digest, error) {
	if len(text) > MaxDigestBytes {
		return nil, fmt.Errorf("%d bytes, at most %d allowed", len(text), MaxDigestBytes)
	}
	var d *Digest
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, err
	}
	if d == nil {
		return nil, errors.New("no digest")
	}
	return d, d.check()
}

func (d *Digest) check() error {
	if d.Token <= 0 || d.Number < 0 || len(d.Services) > maxServices {
		return fmt.Errorf("token %d, number %d, %d services", d.Token, d.Number, len(d.Services))
	}
	names := make(map[string]bool)
	for i := range d.Services {
		l := &d.Services[i]
		if names[l.Name] || len(l.Name) > maxName || len(l.Free) > maxShapes || len(l.Rows) > maxRows || len(l.Rates) > maxRates {
			return fmt.Errorf("service %.40q: twice or too large", l.Name)
		}
		names[l.Name] = true
		if err := l.check(); err != nil {
			return fmt.Errorf("service %.40q: %w", l.Name, err)
		}
	}
	return nil
}

func (l *ServiceLoad) check() error {
	ok := amounts(int64(l.Capacity.MilliCPU), int64(l.Capacity.MemoryMB), int64(l.Capacity.Accelerators), l.RoomMs[0], l.RoomMs[1], l.RoomMs[2])
	for i := range l.Free {
		s := &l.Free[i]
		ok = ok && amounts(int64(s.Free.MilliCPU), int64(s.Free.MemoryMB), int64(s.Free.Accelerators), int64(s.Servers), int64(s.InRack), int64(s.Whole))
	}
	for i := range l.Rows {
		r := &l.Rows[i]
		ok = ok && len(r.Organisation) <= maxName && r.Others <= maxOthers && r.work() && amounts(int64(r.Others), r.RuntimeMs, r.OldestMs, int64(r.Covered))
	}
	for _, r := range l.Rates {
		ok = ok && amounts(r.Started.MilliCPU, r.Started.MemoryMB, r.Started.Accelerators)
	}
	if !ok {
		return errors.New("an amount is out of range")
	}
	return nil
}

func (r *Row) work() bool {
	return amounts(r.Waiting.MilliCPU, r.Waiting.MemoryMB, r.Waiting.Accelerators, r.Running.MilliCPU, r.Running.MemoryMB, r.Running.Accelerators)
}

// amounts reports whether all are in the range that sums and products stay within.
func amounts(list ...int64) bool {
	return !slices.ContainsFunc(list, func(n int64) bool { return n < 0 || n > maxAmount })
}
