package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// workKind is one kind of request of a mix.
type workKind struct {
	name         string
	priority     int
	perSecond    float64 // requests, for each hundred servers
	tasks        float64 // mean
	need         job.Resources
	accelerators []int
	runtime      time.Duration
	gang         bool
	stretch      float64
}

// mix is a customer's demand, and what its servers have.
type mix struct {
	servers, perRack int
	capacity         job.Resources
	kinds            []workKind
}

var uneven = []int{1, 2, 4, 8, 8}

// mixes resemble what two customers told us: wide gangs that fill cores or memory by twos, small urgent gangs, and
// many tasks with one accelerator each.
var mixes = map[string]mix{
	"memory fills by twos": {48, 12, job.Resources{MilliCPU: 64000, MemoryMB: 256000, Accelerators: 8}, []workKind{
		{"theatre", 1, 0.8, 13, job.Resources{MilliCPU: 26000, MemoryMB: 110000}, uneven, 8500 * time.Millisecond, true, 3},
		{"walk-in", 0, 3.5, 5, job.Resources{MilliCPU: 7500, MemoryMB: 15000}, uneven, 2500 * time.Millisecond, true, 1.5},
		{"roster", 2, 0.8, 39, job.Resources{MilliCPU: 5600, MemoryMB: 8200}, []int{1}, 7600 * time.Millisecond, false, 3},
	}},
	"memory fills by one": {48, 8, job.Resources{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}, []workKind{
		{"plan", 1, 1.2, 4, job.Resources{MilliCPU: 26000, MemoryMB: 68000}, uneven, 11 * time.Second, true, 3},
		{"quote", 0, 4, 3, job.Resources{MilliCPU: 7500, MemoryMB: 15000}, uneven, 2500 * time.Millisecond, true, 1.5},
		{"recheck", 2, 1.6, 16, job.Resources{MilliCPU: 5600, MemoryMB: 8200}, []int{1}, 7600 * time.Millisecond, false, 3},
	}},
	"cores fill by twos": {60, 20, job.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8}, []workKind{
		{"route", 1, 1.2, 13, job.Resources{MilliCPU: 13000, MemoryMB: 19000}, uneven, 5800 * time.Millisecond, true, 3},
		{"ride", 0, 2.6, 5, job.Resources{MilliCPU: 3700, MemoryMB: 7600}, uneven, 2100 * time.Millisecond, true, 1.5},
		{"manifest", 2, 0.8, 39, job.Resources{MilliCPU: 2800, MemoryMB: 4100}, []int{1}, 6500 * time.Millisecond, false, 3},
	}},
}

// replayed counts what became of a replay's gangs.
type replayed struct{ wide, wideInTime, urgent, urgentInTime, tasks int }

// play replays a mix for half a minute. Tasks last between half and one and a half times what is expected.
func (m mix) play(seed uint64, byShapes bool) (r replayed) {
	random := rand.New(rand.NewPCG(seed, 1))
	l := newLoad(m.servers, m.perRack)
	l.largest, l.spread = map[string]job.Resources{"desk": m.capacity}, seed+1
	if !byShapes {
		l.largest = nil
	}
	for i := range l.Servers {
		l.Servers[i].Capacity, l.Servers[i].Free = m.capacity, m.capacity
	}
	type gang struct {
		key    job.GroupKey
		latest time.Time // start that still meets the objective
		wide   bool
	}
	var gangs []gang
	next := make([]float64, len(m.kinds))
	for i := range 300 {
		for k, kind := range m.kinds {
			for rate := kind.perSecond * float64(m.servers) / 100; next[k] <= float64(i)/10; next[k] += random.ExpFloat64() / rate {
				need := kind.need
				need.Accelerators = kind.accelerators[random.IntN(len(kind.accelerators))]
				n := max(1, int(math.Round(kind.tasks*(0.4+1.2*random.Float64()))))
				step := job.Step{Count: n, Need: need, Gang: kind.gang, SameRack: kind.gang && random.Float64() < 0.6, EstimatedRuntime: kind.runtime}
				key := l.submit(fmt.Sprintf("%s%03d-%.2f", kind.name, i, next[k]), kind.priority, step)
				p := &l.waiting[len(l.waiting)-1]
				p.Objective = p.Due.Add(time.Duration(kind.stretch * float64(kind.runtime)))
				if kind.gang {
					gangs = append(gangs, gang{key, p.Objective.Add(-kind.runtime), kind.priority == 1})
				}
			}
		}
		l.round()
	}
	for _, g := range gangs {
		at, started := l.placed[g.key]
		inTime := 0
		if started && !at.After(g.latest) {
			inTime = 1
		}
		if g.latest.After(l.Now) && inTime == 0 {
			continue // not yet known
		}
		if g.wide {
			r.wide, r.wideInTime = r.wide+1, r.wideInTime+inTime
		} else {
			r.urgent, r.urgentInTime = r.urgent+1, r.urgentInTime+inTime
		}
	}
	r.tasks = l.started
	return r
}

// As many gangs start in time if tasks are placed by what they spoil for the shapes that come as if they are placed
// by the room they leave, up to one in a hundred: what is spared for wide gangs isn't taken from urgent ones.
func TestShapesKeepGangsInTime(t *testing.T) {
	for name, m := range mixes {
		t.Run(name, func(t *testing.T) {
			var byRoom, byShapes replayed
			for seed := range uint64(16) {
				byRoom.add(m.play(seed, false))
				byShapes.add(m.play(seed, true))
			}
			t.Logf("by room %+v, by shapes %+v", byRoom, byShapes)
			assert.Assert(t, byShapes.inTime() >= byRoom.inTime()-0.01, "by shapes %+v, by room %+v", byShapes, byRoom)
		})
	}
}

// inTime is the share of gangs that start in time.
func (r *replayed) inTime() float64 {
	return float64(r.wideInTime+r.urgentInTime) / float64(r.wide+r.urgent)
}

func (r *replayed) add(o replayed) {
	r.wide, r.wideInTime = r.wide+o.wide, r.wideInTime+o.wideInTime
	r.urgent, r.urgentInTime, r.tasks = r.urgent+o.urgent, r.urgentInTime+o.urgentInTime, r.tasks+o.tasks
}
