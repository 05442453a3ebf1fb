package admission

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

func drawServers(t *rapid.T, most int) []ServerRoom {
	list := make([]ServerRoom, rapid.IntRange(1, most).Draw(t, "servers"))
	capacity := job.Resources{MilliCPU: 64000, MemoryMB: 256000, Accelerators: 8}
	for i := range list {
		free := job.Resources{
			MilliCPU: rapid.IntRange(0, capacity.MilliCPU).Draw(t, "cpu"), MemoryMB: rapid.IntRange(0, capacity.MemoryMB).Draw(t, "memory"),
			Accelerators: rapid.IntRange(0, capacity.Accelerators).Draw(t, "accelerators"),
		}
		list[i] = ServerRoom{Free: free, Capacity: capacity, Rack: model.RackID(fmt.Sprint(i / 12))}
	}
	return list
}

func drawRows(t *rapid.T, organisations int) []Row {
	rows := make(map[RowKey]*Row)
	for range rapid.IntRange(1, 12).Draw(t, "rows") {
		need := job.Resources{MilliCPU: 8000, MemoryMB: 20000, Accelerators: 1}
		AddRow(rows, Row{
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Organisation: model.OrganisationID(fmt.Sprintf("o%d", rapid.IntRange(0, organisations).Draw(t, "organisation"))),
			Waiting: WorkOf(need, rapid.IntRange(0, 20000).Draw(t, "tasks"), 8*time.Second), Running: WorkOf(need, rapid.IntRange(0, 100).Draw(t, "running"), 4*time.Second),
			RuntimeMs: 8000, Covered: rapid.IntRange(0, 8).Draw(t, "covered"),
		})
	}
	var list []Row
	for _, r := range rows {
		list = append(list, *r)
	}
	return list
}

func drawJob(t *rapid.T) *job.Job {
	j := &job.Job{ID: "00000000000000aa", Service: "s", Organisation: "o1", Stretch: 1.5, Grace: time.Second, Priority: rapid.IntRange(0, 2).Draw(t, "job's priority")}
	s := job.Step{Count: rapid.IntRange(1, 40).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"), EstimatedRuntime: 2 * time.Second}
	s.Need = job.Resources{MilliCPU: rapid.IntRange(0, 32000).Draw(t, "need"), MemoryMB: 20000, Accelerators: rapid.IntRange(0, 8).Draw(t, "accelerators")}
	s.LongRunning = rapid.IntRange(0, 9).Draw(t, "long") == 0
	j.Steps = []job.Step{s}
	j.Occurrences = max(0, rapid.IntRange(-9, 1).Draw(t, "occurrences"))
	return j
}

// Whatever waits: nothing is refused while backend servers for it are free, under a guarantee, if it is timed or
// long-running, or by an old picture; and who is refused is told when to return, within bounds.
func TestNothingIsRefusedThatMustBeLetIn(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t, 40)
		load := ServiceLoad{Name: "s", Free: Shapes(servers), Rows: drawRows(t, 4), RoomMs: [3]int64{1000, 3000, 9000}}
		for i := range servers {
			load.Capacity = load.Capacity.Add(servers[i].Capacity)
		}
		d := Digest{Token: 1, Number: 1, Services: []ServiceLoad{load}}
		p := Picture{Digest: &d, Age: time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond}
		r := Request{Job: drawJob(t), Service: "s", Guaranteed: rapid.IntRange(0, 64).Draw(t, "guaranteed")}
		v := Decide(p, r)
		if !v.Refused {
			return
		}
		refused++
		s := r.Job.Steps[0]
		free := 0
		for i := range servers {
			for left := servers[i].Free; s.Need.FitsIn(left); left = left.Sub(s.Need) {
				free++
			}
		}
		need := 1
		if s.Gang {
			need = s.Count
		}
		covered := 0
		for _, row := range load.Rows {
			if row.Priority == 0 && row.Organisation == r.Job.Organisation {
				covered = row.Covered
			}
		}
		assert.Assert(t, free < need, "%d free for %d", free, need)
		assert.Assert(t, r.Job.Priority > 0 || r.Guaranteed == 0 || s.Count*s.Need.Accelerators > r.Guaranteed-covered, "covered")
		assert.Assert(t, p.Age <= MaxAge && r.Job.Occurrences == 0 && !s.LongRunning)
		assert.Assert(t, v.RetryAfter >= minRetryAfter && v.RetryAfter <= maxRetryAfter && v.Reason != "")
		r.RefusedBefore = true
		assert.Assert(t, Decide(p, r).RetryAfter <= v.RetryAfter)
	})
	assert.Assert(t, refused > 0, "the test refuses nothing")
}

// 1,000 organisations with three priorities and 1,100 backend servers, all different.
func TestDigestDoesNotGrow(t *testing.T) {
	servers := make([]ServerRoom, 1100)
	for i := range servers {
		servers[i].Capacity = job.Resources{MilliCPU: 64000, MemoryMB: 256000, Accelerators: 8}
		servers[i].Free = job.Resources{MilliCPU: (i * 7919) % 64000, MemoryMB: (i * 104729) % 256000, Accelerators: i % 9}
	}
	for _, services := range []int{1, 3, 12} {
		d := Digest{Token: 1 << 40, Number: 1 << 40}
		var sum Work
		for s := range services {
			load := ServiceLoad{Name: strings.Repeat("service", 4) + fmt.Sprint(s), Free: Shapes(servers)}
			load.Capacity = servers[0].Capacity.Times(len(servers))
			for i := range 3000 {
				w := WorkOf(job.Resources{MilliCPU: 26000, MemoryMB: 110000, Accelerators: 8}, 1+i%97, 9*time.Second)
				organisation := model.OrganisationID(fmt.Sprintf("a-rather-long-organisation-%d", i/3))
				load.Rows = append(load.Rows, Row{Priority: i % 3, Organisation: organisation, Waiting: w, Running: w, RuntimeMs: 9000, OldestMs: 80000, Covered: i % 5})
				sum = sum.Add(w)
			}
			d.Services = append(d.Services, load)
		}
		text, err := Encode(d)
		assert.NilError(t, err)
		t.Logf("%d services: %d bytes", services, len(text))
		assert.Assert(t, len(text) <= MaxDigestBytes, "%d bytes", len(text))
		got, err := Decode(text)
		assert.NilError(t, err)
		assert.Assert(t, len(got.Services) > 0)
		if services == 1 { // nothing is lost but the names
			var kept Work
			for _, r := range got.Services[0].Rows {
				kept = kept.Add(r.Waiting)
			}
			assert.Equal(t, kept, sum)
		}
	}
}

func TestOddDigestsAreNotRead(t *testing.T) {
	for _, text := range []string{
		``, `null`, `[]`, `{"t":0}`, `{"t":1,"n":-1}`, `{"t":1e30}`, `{"t":"1"}`, `{"t":1,"s":[{"name":"a"},{"name":"a"}]}`,
		`{"t":1,"s":[{"name":"a","cap":{"cpu":-1}}]}`, `{"t":1,"s":[{"name":"a","rows":[{"w":{"c":9223372036854775807}}]}]}`,
		`{"t":1,"s":[{"name":"a","rows":[{"x":2000000}]}]}`, `{"t":1,"s":` + strings.Repeat("[", 1500), `{"t":1,"x":"` + strings.Repeat("y", MaxDigestBytes) + `"}`,
	} {
		_, err := Decode(json.RawMessage(text))
		assert.Assert(t, err != nil, "%.60s", text)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"t":1,"n":1,"s":[{"name":"s","cap":{"cpu":1,"mem":1,"acc":1},"free":[{"f":{"cpu":1},"n":1,"r":1}],"room":[1,2,3],"rows":[{"p":1,"o":"a","w":{"c":1},"rt":1},{"p":1,"x":3,"w":{"a":9}}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Decode(text)
		if err != nil {
			return
		}
		j := &job.Job{Organisation: "a", Priority: 1, Stretch: 1, Steps: []job.Step{{Count: 1, EstimatedRuntime: time.Second, Need: job.Resources{MilliCPU: 1}}}}
		for i := range d.Services {
			v := Decide(Picture{Digest: d}, Request{Job: j, Service: d.Services[i].Name, Guaranteed: 1})
			if v.Refused && (v.RetryAfter < minRetryAfter || v.RetryAfter > maxRetryAfter) {
				t.Fatalf("retry after %v", v.RetryAfter)
			}
		}
	})
}

// Work that this VM has let in since the picture was drawn counts; what it refused counts for those who are new.
func TestOwnDecisionsCountUntilTheNextPicture(t *testing.T) {
	l, now := NewLedger(), time.Unix(1000, 0)
	j := &job.Job{ID: "a", Service: "s", Organisation: "o", Steps: []job.Step{{Count: 4, EstimatedRuntime: time.Second, Need: job.Resources{MilliCPU: 1000}}}, Stretch: 3}
	l.LetIn(j, "s", now)
	assert.Equal(t, len(l.Since(now.Add(-time.Second))), 1)
	assert.Equal(t, len(l.Since(now)), 0)
	l.Refuse(j, "s", now, now.Add(3*time.Second))
	known, since := l.WasRefused("a", now.Add(time.Second))
	assert.Assert(t, known && since == time.Second)
	assert.Equal(t, l.Owed("s", now)[0], workOfJob(j))
	assert.Equal(t, len(l.Owed("s", now.Add(3*time.Second+2*overdue))), 0)
	for i := range 3 * maxRefused {
		j.ID = model.JobID(fmt.Sprint(i))
		l.Refuse(j, "s", now, now)
		l.LetIn(j, "s", now)
		l.Refuse(j, "s", now, now)
	}
	assert.Equal(t, len(l.refused), maxRefused)
	assert.Equal(t, len(l.order), maxRefused)
	assert.Equal(t, len(l.letIn), maxLetIn)
}

// queueModel is a pool whose tasks each take one place. What waits starts by age, what can no longer end in useful
// time last; runtimes are off their estimates by up to half. Callers who are refused return when they are told to,
// up to maxReturns times.
type queueModel struct {
	now       time.Duration
	ends      []time.Duration // of what runs
	waiting   []arrival
	served    int
	refusals  int
	admission bool
	digest    *Digest
	drawnAt   time.Duration
	ledger    *Ledger
}

type arrival struct {
	id           model.JobID
	at, returnAt time.Duration
	returns      int
}

const (
	modelPlaces    = 100
	modelRuntime   = 2 * time.Second
	modelObjective = 3 * time.Second
	modelDay       = 30 * time.Second
	modelStep      = 50 * time.Millisecond
	maxReturns     = 4
)

func (a arrival) job() *job.Job {
	return &job.Job{ID: a.id, Service: "s", Organisation: "o", Priority: 1, Stretch: 1, Grace: modelObjective - modelRuntime, Steps: []job.Step{{Count: 1, Gang: true, EstimatedRuntime: modelRuntime, Need: job.Resources{MilliCPU: 1000}}}}
}

func (m *queueModel) offer(a arrival) (refusedUntil time.Duration) {
	if m.admission && m.digest != nil {
		wall := time.Unix(0, 0).Add(m.now)
		j := a.job()
		p := Picture{Digest: m.digest, Age: m.now - m.drawnAt, LetIn: m.ledger.Since(time.Unix(0, 0).Add(m.drawnAt)), Owed: m.ledger.Owed("s", wall)}
		r := Request{Job: j, Service: "s"}
		r.RefusedBefore, r.FirstRefused = m.ledger.WasRefused(a.id, wall)
		if v := Decide(p, r); v.Refused {
			m.ledger.Refuse(j, "s", wall, wall.Add(v.RetryAfter))
			m.refusals++
			return m.now + v.RetryAfter
		}
		m.ledger.LetIn(j, "s", wall)
	}
	m.waiting = append(m.waiting, a)
	return 0
}

func (m *queueModel) draw() {
	free := modelPlaces - len(m.ends)
	need := job.Resources{MilliCPU: 1000}
	load := ServiceLoad{Name: "s", Capacity: need.Times(modelPlaces), Rows: []Row{{Priority: 1, Organisation: "o", RuntimeMs: modelRuntime.Milliseconds()}}}
	for _, a := range m.waiting {
		if m.now+modelRuntime-a.at <= sched.LateFactor*modelObjective {
			load.Rows[0].Waiting = load.Rows[0].Waiting.Add(WorkOf(need, 1, modelRuntime))
		}
	}
	for _, e := range m.ends {
		load.Rows[0].Running = load.Rows[0].Running.Add(WorkOf(need, 1, max(0, e-m.now)))
	}
	if free > 0 {
		load.Free = []Shape{{Free: need, Servers: free}}
	}
	m.digest, m.drawnAt = &Digest{Token: 1, Number: int64(m.now), Services: []ServiceLoad{load}}, m.now
}

// play offers load times what the pool can do for a day and returns the share of its room that did work in time.
func (m *queueModel) play(load float64) float64 {
	m.ledger = NewLedger()
	var returning []arrival
	due, offered := 0.0, 0
	for ; m.now < modelDay; m.now += modelStep {
		var left []time.Duration
		for _, e := range m.ends {
			if e > m.now {
				left = append(left, e)
			}
		}
		m.ends = left
		for len(m.ends) < modelPlaces && len(m.waiting) > 0 {
			useful := sched.LateFactor * modelObjective
			next := max(0, slices.IndexFunc(m.waiting, func(a arrival) bool { return m.now+modelRuntime-a.at <= useful }))
			a := m.waiting[next]
			m.waiting = slices.Delete(m.waiting, next, next+1)
			runtime := time.Duration(float64(modelRuntime) * (0.5 + fraction(a.id)))
			m.ends = append(m.ends, m.now+runtime)
			if m.now+runtime-a.at <= useful {
				m.served++
			}
		}
		if m.now%time.Second == 0 {
			m.draw()
		}
		var later []arrival
		offer := func(a arrival) {
			if until := m.offer(a); until > 0 && a.returns < maxReturns {
				later = append(later, arrival{a.id, a.at, until, a.returns + 1})
			}
		}
		for _, a := range returning {
			if a.returnAt > m.now {
				later = append(later, a)
			} else {
				offer(a)
			}
		}
		for due += load * modelPlaces * float64(modelStep) / float64(modelRuntime); due >= 1; due-- {
			offered++
			offer(arrival{id: model.JobID(fmt.Sprint(offered)), at: m.now})
		}
		returning = later
	}
	return float64(m.served) / (modelPlaces * float64(modelDay) / float64(modelRuntime))
}

// Past the room there is, everything used to wait until all of it was late. Those that are let in must be served
// in useful time, at any load; and below the room, nobody is refused.
func TestServiceLevelsOffPastTheRoom(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.5, 2, 3, 5} {
		without, with := &queueModel{}, &queueModel{admission: true}
		before, after := without.play(load), with.play(load)
		t.Logf("load %.1f: in useful time without admission %.2f, with %.2f of the room; %d refusals", load, before, after, with.refusals)
		if load < 1 {
			assert.Equal(t, with.refusals, 0)
			assert.Equal(t, after, before)
			continue
		}
		assert.Check(t, after >= 0.75, "service collapses at %.1f times the room: %.2f", load, after)
		assert.Check(t, after >= before)
	}
}

// A service that starts its work at a third of what its backend servers could do takes three times as long.
func TestRateThatWasSeenCounts(t *testing.T) {
	capacity := job.Resources{MilliCPU: 100_000}
	row := Row{Priority: 1, Organisation: "o", Waiting: WorkOf(job.Resources{MilliCPU: 1000}, 500, time.Second), RuntimeMs: 1000}
	load := ServiceLoad{Name: "s", Capacity: capacity, Rows: []Row{row}}
	j := &job.Job{Organisation: "o", Priority: 1, Stretch: 2, Steps: []job.Step{{Count: 1, EstimatedRuntime: time.Second, Need: job.Resources{MilliCPU: 1000}}}}
	for _, c := range []struct {
		priority int
		started  float64 // of the capacity
		refused  bool
	}{{1, 1, false}, {1, 0.9, true}, {1, 0.3, true}, {2, 0.3, false}} {
		load.Rates = []Rate{{Priority: c.priority, Started: Work{MilliCPU: int64(c.started * 100_000)}}}
		d := &Digest{Token: 1, Services: []ServiceLoad{load}}
		v := Decide(Picture{Digest: d}, Request{Job: j, Service: "s"})
		assert.Equal(t, v.Refused, c.refused, "%+v: %+v", c, v)
	}
	load.Rates = []Rate{{Priority: 1}}
	v := Decide(Picture{Digest: &Digest{Token: 1, Services: []ServiceLoad{load}}}, Request{Job: j, Service: "s"})
	assert.Equal(t, v.Begin, 20*time.Second) // at a quarter of the capacity
}

// A gang that this VM has let in, and that does not fit, takes no room from a job that does.
func TestWhatDoesNotFitTakesNoRoom(t *testing.T) {
	one := job.Resources{MilliCPU: 1000}
	row := Row{Priority: 1, Organisation: "o", Waiting: WorkOf(one, 5000, time.Second), RuntimeMs: 1000}
	load := ServiceLoad{Name: "s", Capacity: one.Times(100), Rows: []Row{row}, Free: []Shape{{Free: one, Servers: 4}}}
	j := &job.Job{Organisation: "o", Priority: 1, Stretch: 1, Steps: []job.Step{{Count: 1, EstimatedRuntime: time.Second, Need: one}}}
	for tasks, refused := range map[int]bool{100: false, 4: true, 3: false} {
		p := Picture{Digest: &Digest{Token: 1, Services: []ServiceLoad{load}}, LetIn: []Admitted{{Service: "s", First: []FirstStep{{tasks, one}}}}}
		assert.Equal(t, Decide(p, Request{Job: j, Service: "s"}).Refused, refused, "%d tasks", tasks)
	}
}
