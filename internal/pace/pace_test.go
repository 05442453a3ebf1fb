package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

var testNow = time.Unix(1000, 0)

// play replays steps on a fleet: each second some begin, each on some backend servers that are close together, and
// their progress is observed once when they are under way.
type play struct {
	rng    *rand.Rand
	e      *Estimator
	now    time.Time
	paces  []float64 // of each backend server
	spread float64   // between the tasks of a step that is no gang
	tails  float64   // share of these tasks that take seven times as long
	off    float64   // by how much estimates are off, as the spread of their logarithms
	slowed map[int]bool
	steps  int
	known  []Change
}

func newPlay(seed uint64, paces []float64) *play {
	return &play{rng: rand.New(rand.NewPCG(seed, 1)), e: New(), now: testNow, paces: paces, spread: 0.3, tails: 0.03, off: 0.5}
}

// fleet returns n paces drawn from a list.
func fleet(seed uint64, n int, of ...float64) []float64 {
	rng := rand.New(rand.NewPCG(seed, 2))
	list := make([]float64, n)
	for i := range list {
		list[i] = of[rng.IntN(len(of))]
	}
	return list
}

func key(i int) Server { return Server{ID: model.BackendServerID(fmt.Sprintf("s%d", i)), Incarnation: 7} }

// second plays one second with that many gangs and other steps.
func (p *play) second(gangs, others int) {
	for range gangs {
		p.step(5+p.rng.IntN(9), true)
	}
	for range others {
		p.step(5+p.rng.IntN(40), false)
	}
	p.now = p.now.Add(time.Second)
	p.known = append(p.known, p.e.Update(p.now)...)
}

func (p *play) step(tasks int, gang bool) {
	p.steps++
	runtime := 5 * math.Exp(0.3*p.rng.NormFloat64())
	estimate := runtime * math.Exp(p.off*p.rng.NormFloat64())
	first := p.rng.IntN(len(p.paces))
	for i := range tasks {
		at := (first + i) % len(p.paces)
		if !gang {
			at = p.rng.IntN(len(p.paces))
		}
		took := runtime
		if !gang {
			took *= math.Exp(p.spread * p.rng.NormFloat64())
			if p.rng.Float64() < p.tails {
				took *= 7
			}
		}
		if p.slowed[at] {
			took *= 5
		}
		took /= p.paces[at]
		gained := int(100 / took * 2)
		p.e.Observe(Observation{
			Group: job.GroupKey{Job: model.JobID(fmt.Sprintf("j%d", p.steps))}, Index: i, Server: key(at), Service: "desk", Gang: gang,
			Kind: "plan/", Estimate: time.Duration(estimate * float64(time.Second)), Gained: gained, Took: 2 * time.Second,
		}, p.now)
	}
}

// misjudged counts the backend servers whose pace is known, and those of them whose pace is off by more than a tenth.
func (p *play) misjudged() (known, wrong int) {
	for i, truth := range p.paces {
		pace := p.e.Pace(key(i))
		if pace == 0 {
			continue
		}
		known++
		if math.Abs(math.Log(pace/truth)) > 0.15 {
			wrong++
		}
	}
	return known, wrong
}
func TestDbg(t *testing.T) {
	for _, f := range [][]float64{{0.46, 1, 1, 1}, {0.8, 1, 1.25}, {1}} {
		for seed := range uint64(3) {
			p := newPlay(seed, fleet(seed, 350, f...))
			for s := range 40 {
				g := 4
				if seed == 2 {
					g = 0
				}
				p.second(g, 3)
				if s%5 == 4 {
					k, w := p.misjudged()
					fmt.Println(f, seed, s, k, w, p.e.gangSpread, p.e.taskSpread)
				}
			}
			fmt.Println(p.e.Summary())
		}
	}
	_ = assert.Assert
}
