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

func key(i int) Server {
	return Server{ID: model.BackendServerID(fmt.Sprintf("s%d", i)), Incarnation: 7}
}

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

func TestPacesOfUnlikeServersAreLearned(t *testing.T) {
	for name, of := range map[string][]float64{"one in four is slow": {0.46, 1, 1, 1}, "one in four is fast": {1, 1, 1, 2.2}, "three kinds": {0.8, 1, 1.25}} {
		for seed := range uint64(5) {
			p := newPlay(seed, fleet(seed, 350, of...))
			for range 40 {
				p.second(4, 3)
			}
			known, wrong := p.misjudged()
			assert.Assert(t, known > 300, "%s, seed %d: %d of 350 known", name, seed, known)
			assert.Assert(t, wrong < known/20, "%s, seed %d: %d of %d wrong", name, seed, wrong, known)
		}
	}
}

// Steps without gangs tell less, but a slow backend server is still told from a step's own unevenness.
func TestSlowServersAreLearnedWithoutGangs(t *testing.T) {
	p := newPlay(1, fleet(1, 100, 0.46, 1, 1, 1))
	for range 60 {
		p.second(0, 3)
	}
	found, slow := 0, 0
	for i, pace := range p.paces {
		learned := p.e.Pace(key(i))
		if pace < 1 {
			slow++
			if learned != 0 && learned < 0.7 {
				found++
			}
		} else {
			assert.Assert(t, learned == 0 || learned > 0.7, "server %d: %v", i, learned)
		}
	}
	assert.Assert(t, found > slow*3/4, "%d of %d", found, slow)
}

// On an even fleet fewer than one known pace in a thousand may differ from the ordinary one.
func TestEvenFleetHasOnePace(t *testing.T) {
	known, differ := 0, 0
	for seed := range uint64(1000) {
		p := newPlay(seed, fleet(seed, 40, 1))
		for range 12 {
			p.second(int(seed%2), 1)
		}
		for i := range p.paces {
			switch p.e.Pace(key(i)) {
			case 0:
			case ordinaryPace:
				known++
			default:
				known, differ = known+1, differ+1
			}
		}
	}
	assert.Assert(t, known > 5000, "%d", known)
	assert.Assert(t, differ*1000 < known, "%d of %d differ", differ, known)
}

// Backend servers that are slow for some seconds keep their pace, also those that were not known before.
func TestSlowPhasesAreNoPace(t *testing.T) {
	known, wrong := 0, 0
	for seed := range uint64(20) {
		p := newPlay(seed, fleet(seed, 100, 1))
		for second := range 30 {
			p.slowed = nil
			if begin := 2 + int(seed)%12; second >= begin && second < begin+7 {
				p.slowed = make(map[int]bool)
				for i := range 15 {
					p.slowed[i*6] = true
				}
			}
			p.second(2, 1)
			k, w := p.misjudged()
			known, wrong = known+k, wrong+w
		}
	}
	assert.Assert(t, wrong*100 < known, "%d of %d", wrong, known)
}

// In small gangs sound members seem fast beside one that is slow for some seconds.
func TestMembersBesideASlowOneAreNotFast(t *testing.T) {
	p := newPlay(1, fleet(1, 40, 1))
	for range 10 {
		p.second(4, 1)
	}
	for i := range 24 {
		for index, percent := range []int{10, 50} {
			p.e.Observe(Observation{
				Group: job.GroupKey{Job: model.JobID(fmt.Sprintf("two%d", i))}, Index: index, Server: Server{ID: model.BackendServerID([]string{"slow", "sound"}[index]), Incarnation: 1},
				Service: "desk", Gang: true, Gained: percent, Took: 2 * time.Second,
			}, p.now)
		}
		if i%4 == 3 {
			p.second(1, 1)
		}
	}
	sound := p.e.Pace(Server{ID: "sound", Incarnation: 1})
	assert.Assert(t, sound < 1.2, "%v", sound)
}

func TestServerThatStaysSlowIsLearned(t *testing.T) {
	p := newPlay(1, fleet(1, 30, 1))
	for range 10 {
		p.second(2, 1)
	}
	p.paces[3] = 0.2
	for range 70 {
		p.second(2, 1)
	}
	assert.Assert(t, p.e.Pace(key(3)) > 0 && p.e.Pace(key(3)) < 0.3, "%v", p.e.Pace(key(3)))
}

func TestNextIncarnationIsUnknown(t *testing.T) {
	p := newPlay(1, fleet(1, 20, 0.5, 1, 1))
	for range 20 {
		p.second(2, 1)
	}
	old := key(1)
	assert.Assert(t, p.e.Pace(old) != 0)
	assert.Equal(t, p.e.Pace(Server{ID: old.ID, Incarnation: 8}), 0.0)
	p.e.Forget(old)
	assert.Equal(t, p.e.Pace(old), 0.0)
	p.second(1, 1)
}

func TestPacesFadeAndMemoryIsBounded(t *testing.T) {
	p := newPlay(1, fleet(1, 350, 0.5, 1, 1))
	for range 20 {
		p.second(30, 10)
	}
	assert.Assert(t, p.e.count <= maxObservations, "%d", p.e.count)
	p.now = p.now.Add(keepPace)
	p.paces = p.paces[:5]
	p.second(1, 0)
	assert.Assert(t, len(p.e.servers) <= 5, "%d", len(p.e.servers))
	assert.Equal(t, len(p.e.order), 1)
}

// Where estimates tell little, what work of the kind usually takes is nearer to the truth.
func TestRuntimesOfAKindCorrectEstimates(t *testing.T) {
	off := func(estimate, truth float64) float64 { return math.Abs(math.Log(estimate / truth)) }
	p := newPlay(1, fleet(1, 100, 0.5, 1, 1))
	p.off = 0.9
	for range 20 {
		p.second(2, 1)
	}
	raw, learned := 0.0, 0.0
	for range 100 {
		truth := 5 * math.Exp(0.3*p.rng.NormFloat64())
		estimate := truth * math.Exp(0.9*p.rng.NormFloat64())
		raw += off(estimate, truth)
		learned += off(p.e.Runtime(job.GroupKey{Job: "new"}, "plan/", time.Duration(estimate*1e9)).Seconds(), truth)
	}
	assert.Assert(t, learned < raw/2, "%.1f, with estimates %.1f", learned, raw)
	assert.Equal(t, p.e.Runtime(job.GroupKey{Job: "new"}, "other/", time.Second), time.Second)
}

// Good estimates are not spoilt by what others of the kind take.
func TestGoodEstimatesAreKept(t *testing.T) {
	p := newPlay(1, fleet(1, 100, 1))
	p.off = 0.02
	for range 30 {
		p.second(2, 1)
	}
	for _, estimate := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second} {
		got := p.e.Runtime(job.GroupKey{Job: "new"}, "plan/", estimate)
		assert.Assert(t, math.Abs(math.Log(got.Seconds()/estimate.Seconds())) < 0.15, "%v for %v", got, estimate)
	}
}

func TestRuntimeOfAStepFromItsOwnTasks(t *testing.T) {
	p := newPlay(1, fleet(1, 20, 0.5, 1, 1))
	for range 20 {
		p.second(2, 1)
	}
	group := job.GroupKey{Job: "plan"}
	for i := range 3 {
		p.e.Observe(Observation{
			Group: group, Index: i, Server: key(i), Service: "desk", Gang: true, Kind: "plan/", Estimate: time.Second,
			Gained: int(20 * p.paces[i]), Took: 2 * time.Second,
		}, p.now)
	}
	p.second(0, 0)
	got := p.e.Runtime(group, "plan/", time.Second)
	assert.Assert(t, got > 9*time.Second && got < 11*time.Second, "%v", got)
}

// Steps that end before their progress is known count as well: else short work would seem to take as long as the rest.
func TestShortStepsCountForTheirKind(t *testing.T) {
	e := New()
	for i := range 10 {
		group := job.GroupKey{Job: model.JobID(fmt.Sprintf("j%d", i))}
		e.ObserveEnd(Observation{Group: group, Kind: "quote/", Estimate: time.Second, Took: 500 * time.Millisecond}, 2, testNow)
	}
	e.Update(testNow)
	got := e.Runtime(job.GroupKey{Job: "new"}, "quote/", 3*time.Second)
	assert.Assert(t, got > 2900*time.Millisecond && got < 3100*time.Millisecond, "%v", got)
	e.ObserveEnd(Observation{Group: job.GroupKey{Job: "none"}, Kind: "quote/"}, 2, testNow)
}

func TestNextHolderStartsFromTheRecord(t *testing.T) {
	p := newPlay(1, fleet(1, 350, 0.46, 1, 1, 1))
	for range 40 {
		p.second(4, 3)
	}
	value := p.e.Encode()
	assert.Assert(t, len(value) < 1500, "%d bytes for 350 backend servers", len(value))
	assert.DeepEqual(t, value, p.e.Encode())
	next, err := Decode(value, p.now)
	assert.NilError(t, err)
	assert.DeepEqual(t, next.Encode(), value)
	for i := range p.paces {
		if before := p.e.Pace(key(i)); before != 0 && before != ordinaryPace {
			assert.Assert(t, !unlike(next.Pace(key(i)), before), "server %d: %v, before %v", i, next.Pace(key(i)), before)
		}
	}
	long, short := next.Runtime(job.GroupKey{}, "plan/", 10*time.Second), next.Runtime(job.GroupKey{}, "plan/", 2*time.Second)
	assert.Assert(t, long < 10*time.Second && short > 2*time.Second, "%v, %v", long, short)
	p.e = next
	for range 30 {
		p.second(4, 3)
	}
	known, wrong := p.misjudged()
	assert.Assert(t, wrong < known/20, "%d of %d wrong", wrong, known)
}

func unlike(a, b float64) bool { return math.Abs(math.Log(a/b)) > 0.05 }

func TestNothingKnownIsNotRecorded(t *testing.T) {
	assert.Equal(t, len(New().Encode()), 0)
}

func FuzzDecode(f *testing.F) {
	p := newPlay(1, fleet(1, 30, 0.46, 1, 1))
	for range 20 {
		p.second(2, 1)
	}
	f.Add(p.e.Encode())
	f.Add([]byte(`{"servers":"AAAAAIA="}`))
	f.Add([]byte(`{"kinds":[{"kind":"a","est":99,"act":-99,"slope":2}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		e, err := Decode(value, testNow)
		if err != nil {
			return
		}
		again, err := Decode(e.Encode(), testNow)
		if e.Encode() == nil {
			return
		}
		assert.NilError(t, err)
		assert.Equal(t, len(again.hints), len(e.hints))
		for _, k := range e.kindSummaries() {
			assert.Assert(t, e.Runtime(job.GroupKey{}, k.Kind, time.Hour) >= 0)
		}
	})
}

func BenchmarkUpdate(b *testing.B) {
	p := newPlay(1, fleet(1, 1100, 0.46, 1, 1, 1))
	for range 30 {
		p.second(10, 6)
	}
	for b.Loop() {
		p.e.changed = true
		p.e.Update(p.now)
	}
}
