package prepared

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// gangTimeout is the gangTimeoutMs of a Deployment.
const gangTimeout = 3 * time.Second

// gangOf returns the name of the gang that a task belongs to, ID.K.STEP.
func gangOf(task string) string { return task[:max(strings.LastIndexByte(task, '.'), 0)] }

// Gangs is what the backend servers tell each other about the gangs that they run.
type Gangs struct {
	network *Network

	mu   sync.Mutex
	cut  bool
	runs map[gangKey]*gangRun
}

type gangKey struct {
	gang   string
	number int64
}

// gangRun is one run of a gang.
type gangRun struct {
	size    int
	present map[string]*member // by task; those that no end has reached
	doneAt  time.Time          // zero until all members are present
}

// member is a run of one member of a gang.
type member struct {
	of   *gangRun
	zone string
	// worksSince is when the gang's work began; zero before.
	worksSince time.Time
	// end is the end of the gang's run while the member was present; nil if there is none.
	end *gangEnd
	// heardAt is when its backend server heard of that end; zero before.
	heardAt time.Time
}

// gangEnd is the end of a gang's run, for the members that were present.
type gangEnd struct {
	how string
	at  time.Time
	// zones have a backend server that knows of the end.
	zones []string
}

func newGangs(n *Network) *Gangs { return &Gangs{network: n, runs: make(map[gangKey]*gangRun)} }

// SetCut decides whether backend servers hear of the end of a gang only over open paths between their zones. It does
// not depend on the paths at first.
func (g *Gangs) SetCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

// join adds a member that is present from now on. The gang's work begins with the last one.
func (g *Gangs) join(r *Run, size int, length time.Duration) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey{r.Gang, r.Number}
	of := g.runs[key]
	if of == nil {
		of = &gangRun{size: size, present: make(map[string]*member)}
		g.runs[key] = of
	}
	m := &member{of: of, zone: r.Zone}
	of.present[r.Task] = m
	if len(of.present) == of.size {
		of.doneAt = r.Began.Add(length)
		for _, other := range of.present {
			other.worksSince = r.Began
		}
	}
	return m
}

// worksSince is when the work of the member's gang began; zero before.
func (g *Gangs) worksSince(m *member) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.worksSince
}

// end ends the run of a gang because one of its members has ended.
func (g *Gangs) end(m *member, how string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.end != nil {
		return
	}
	if how != Done {
		how = Broken
	}
	e := &gangEnd{how: how, at: at, zones: []string{m.zone}}
	for _, other := range m.of.present {
		other.end = e
	}
	m.of.present, m.of.doneAt = make(map[string]*member), time.Time{}
}

// endOf returns how and when a member that began at the given time ends, as far as its backend server knows, if
// nothing there ends it before.
func (g *Gangs) endOf(m *member, began time.Time) (how string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case m.end != nil && g.hears(m):
		return m.end.how, m.heardAt
	case m.end == nil && !m.of.doneAt.IsZero():
		return Done, m.of.doneAt
	case m.worksSince.IsZero():
		return Alone, began.Add(gangTimeout)
	default:
		return Broken, time.Now().Add(leaseMax) // its lease ends first, unless it is extended
	}
}

// hears reports whether the member's backend server knows of the end of the gang's run.
func (g *Gangs) hears(m *member) bool {
	e := m.end
	switch {
	case !m.heardAt.IsZero():
	case !g.cut || slices.Contains(e.zones, m.zone):
		m.heardAt = e.at
	case slices.ContainsFunc(e.zones, func(zone string) bool { return g.network.Open(zone, m.zone) }):
		m.heardAt = time.Now()
		e.zones = append(e.zones, m.zone)
	}
	return !m.heardAt.IsZero()
}
