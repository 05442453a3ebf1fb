package fleet

import (
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

// Where tells where a job would go if it were accepted now. It names nothing of other jobs.
type Where struct {
	Node string `json:"node"` // the holder, which decided
	// Blocked is why nothing at all is started now; empty if that is not so. There are then no steps.
	Blocked string `json:"blocked,omitempty"`
	// ListAgeMS and ReportAgeMS are how old the list of backend servers and the oldest report of those weighed are.
	ListAgeMS   int64       `json:"listAgeMs"`
	ReportAgeMS int64       `json:"reportAgeMs"`
	Steps       []WhereStep `json:"steps"` // those that wait for no other step
}

// WhereStep tells where the tasks of a step would go.
type WhereStep struct {
	Step  int `json:"step"`
	Tasks int `json:"tasks"`
	// Ahead counts the steps of the service that are decided before it, by priority.
	Ahead map[int]int `json:"ahead"`
	// Starts are the tasks that would start at once.
	Starts []WhereStart `json:"starts"`
	// Waits are the tasks that would not, and Reason why; one of sched.Reason, putOff or awaitsAdvice.
	Waits  int          `json:"waits"`
	Reason sched.Reason `json:"reason,omitempty"`
	// Room is for how many of the tasks the backend servers weighed have room, each by itself, after what is ahead.
	Room int `json:"room"`
	// EarmarkMS is after how long the gang should start in the room that would be kept for it; nil if none would be.
	EarmarkMS *int64 `json:"earmarkMs,omitempty"`
	// Preempts counts the tasks that would be stopped to make room, by priority.
	Preempts map[int]int `json:"preempts"`
	// Servers is how many backend servers the service has, Weighed how many of them might take a task now, and Excluded
	// counts the others by why not.
	Servers  int            `json:"servers"`
	Weighed  int            `json:"weighed"`
	Excluded map[string]int `json:"excluded"`
}

// WhereStart is a backend server that a step would start tasks on.
type WhereStart struct {
	Server model.BackendServerID `json:"server"`
	Rack   model.RackID          `json:"rack"`
	Tasks  int                   `json:"tasks"`
}

// awaitsAdvice is the reason of steps that wait for the policy.
const awaitsAdvice sched.Reason = "advice"

// Where tells where a job would go if it were accepted now, by the code that decides a round. The job stays unknown,
// and nothing but caches changes. Only the holder of the term can tell.
func (s *State) Where(j *job.Job) Where {
	w := Where{Node: s.self.Node, ListAgeMS: s.now.Sub(s.announcementsKnownAsOf()).Milliseconds(), Steps: []WhereStep{}}
	switch {
	case s.leaving:
		w.Blocked = "the holder of the term is stopping"
	case !s.canPlan():
		w.Blocked = "the holder does not know the backend servers or the evacuations recently enough"
	case !s.cancellationsKnown(j.ID):
		w.Blocked = "the holder has not read the stored cancellations recently enough"
	case j.Occurrences > 0 && j.Due(0).After(s.wall):
		w.Blocked = "the job is not due yet"
	}
	if w.Blocked != "" {
		return w
	}
	st, _ := job.NewTable().Submit(j, s.now)
	snap := s.snapshotOf(append(s.openJobs(), st), drawing{
		slowdowns: s.knownSlowdowns(), urgentRoom: s.urgentRoomRead, shapes: s.shapesRead, advised: s.adviceRead,
	})
	snap.Explain = true
	plan := sched.Decide(snap)
	find := func(id model.JobID) *job.State {
		if id == j.ID {
			return st
		}
		return s.jobs.Job(id)
	}
	kept, _ := s.affordable(plan.Placements, find)
	for i := range snap.Servers {
		w.ReportAgeMS = max(w.ReportAgeMS, s.now.Sub(s.servers[snap.Servers[i].ID].reportedAt).Milliseconds())
	}
	for i := range j.Steps {
		if len(j.Steps[i].DependsOn) == 0 {
			w.Steps = append(w.Steps, s.whereStep(st.Group(0, i), &snap, &plan, kept, find))
		}
	}
	return w
}

func (s *State) urgentRoomRead(servers []sched.Server) map[string]job.Resources {
	room, _ := s.urgentRoomNow(servers)
	return room
}

func (s *State) shapesRead(open []*job.State) []sched.Shape {
	if s.shapes != nil && s.now.Sub(s.shapesAt) < shapesInterval {
		return s.shapes
	}
	return s.countShapes(open)
}

// adviceRead is applyAdvice without asking the policy.
func (s *State) adviceRead(p *sched.PendingStep, g *job.Group) bool {
	a := s.advice[g.Key().String()]
	if a == nil {
		return false
	}
	p.Advised = a.allowed
	return len(a.allowed) > 0 && s.now.Before(a.expires)
}

// whereStep tells what a plan means for a step.
func (s *State) whereStep(g *job.Group, snap *sched.Snapshot, plan *sched.Plan, kept []sched.Placement, find func(model.JobID) *job.State) WhereStep {
	key, step := g.Key(), g.Step()
	w := WhereStep{
		Step: g.Index, Tasks: step.Count, Waits: step.Count, Ahead: make(map[int]int), Starts: []WhereStart{}, Preempts: make(map[int]int), Excluded: make(map[string]int),
	}
	at := slices.IndexFunc(snap.Pending, func(p sched.PendingStep) bool { return p.Key == key })
	if at < 0 {
		w.Reason = awaitsAdvice
		return w
	}
	for i := range snap.Pending[:at] {
		if p := &snap.Pending[i]; p.Service == snap.Pending[at].Service {
			w.Ahead[p.Priority]++
		}
	}
	for _, p := range kept {
		if p.Key == key {
			w.addStart(p.Server, s.servers[p.Server].entry.Rack)
		}
	}
	if w.Waits > 0 {
		w.Reason = putOff
	}
	for _, u := range plan.Unplaced {
		if u.Key == key {
			w.Reason = u.Reason
		}
	}
	for _, e := range plan.Earmarks {
		if after := e.After.Milliseconds(); e.Key == key {
			w.EarmarkMS = &after
		}
	}
	for _, e := range plan.Evictions {
		if e.For == key {
			w.Preempts[find(e.Key.Job).Job.Priority]++
		}
	}
	ahead := make(map[model.BackendServerID]job.Resources)
	for _, p := range plan.Placements {
		if p.Key == key {
			break // placements are in the order of the round
		}
		ahead[p.Server] = ahead[p.Server].Add(find(p.Key.Job).Job.Steps[p.Key.Step].Reserved())
	}
	s.weigh(&w, &snap.Pending[at], snap.Servers, ahead)
	return w
}

func (w *WhereStep) addStart(id model.BackendServerID, rack model.RackID) {
	w.Waits--
	for i := range w.Starts {
		if w.Starts[i].Server == id {
			w.Starts[i].Tasks++
			return
		}
	}
	w.Starts = append(w.Starts, WhereStart{Server: id, Rack: rack, Tasks: 1})
}

// weigh counts the backend servers of the service that might take a task, and why the others might not.
func (s *State) weigh(w *WhereStep, p *sched.PendingStep, usable []sched.Server, ahead map[model.BackendServerID]job.Resources) {
	views := make(map[model.BackendServerID]*sched.Server, len(usable))
	for i := range usable {
		views[usable[i].ID] = &usable[i]
	}
	for id, v := range s.servers {
		if !v.listed || v.entry.Service != p.Service {
			continue
		}
		w.Servers++
		view := views[id]
		why := s.whyUnusable(v)
		if view != nil {
			free := view.Free.Sub(ahead[id])
			if why = whyExcluded(p, view, free); why == "" {
				w.Weighed++
				w.Room += roomFor(p.Step, free, w.Tasks-w.Room)
			}
		}
		if why != "" {
			w.Excluded[why]++
		}
	}
}

// whyUnusable tells why a backend server may take no new tasks at all.
func (s *State) whyUnusable(v *server) string {
	switch {
	case v.entry.Draining:
		return "draining"
	case s.isEvacuated(v):
		return "evacuated"
	case !v.hasReported || v.clock == 0:
		return "no_report"
	case s.capacityUnknown(v):
		return "old_entry"
	case v.failedCalls > 0:
		return "unreachable"
	default:
		return "failing" // paused, in quarantine or slow
	}
}

// whyExcluded tells why a backend server may take no task of a step, or has no room for one; empty if it may.
func whyExcluded(p *sched.PendingStep, v *sched.Server, free job.Resources) string {
	need := p.Step.Reserved()
	switch {
	case p.Step.Label != "" && !slices.Contains(v.Labels, p.Step.Label):
		return "label"
	case p.Advised != nil && !p.Advised[v.ID]:
		return "not_advised"
	case p.Avoid[v.ID]:
		return "avoided"
	case v.Failing && p.Step.Gang && len(p.Tasks) > 1:
		return "failing"
	case v.Isolated:
		return "isolated"
	case need.Accelerators > max(free.Accelerators, 0):
		return string(sched.NoAccelerators)
	case need.MilliCPU > max(free.MilliCPU, 0):
		return string(sched.NoCores)
	case need.MemoryMB > max(free.MemoryMB, 0):
		return string(sched.NoMemory)
	default:
		return ""
	}
}

// roomFor returns how many tasks of a step fit in free, at most the given number.
func roomFor(step *job.Step, free job.Resources, most int) int {
	if step.MaxPerServer > 0 {
		most = min(most, step.MaxPerServer)
	}
	n := 0
	for n < most && step.Reserved().Times(n+1).FitsIn(free) {
		n++
	}
	return n
}
