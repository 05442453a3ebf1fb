package interference

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// play is a load of tasks of several kinds that come and go on backend servers of unlike speed.
type play struct {
	rand    *rand.Rand
	servers int
	kinds   []job.Kind
	// slowdown is the share of its pace that a kind loses by one neighbour of another kind.
	slowdown map[[2]job.Kind]float64
	model    *Model
}

type playedRun struct {
	kind     job.Kind
	length   float64 // seconds alone on an ordinary backend server
	progress float64 // percent
	watch    Watch
}

func newPlay(seed uint64, kinds ...job.Kind) *play {
	return &play{rand: rand.New(rand.NewPCG(seed, 1)), servers: 20, kinds: kinds, slowdown: make(map[[2]job.Kind]float64), model: New()}
}

// run plays the load for a time with a report each half second.
func (p *play) run(from time.Time, d time.Duration) {
	const step = 500 * time.Millisecond
	for n := range p.servers {
		id := model.BackendServerID(fmt.Sprint("s", n))
		speed := []float64{0.55, 1, 1.2}[p.rand.IntN(3)]
		slowFrom := p.rand.IntN(int(2 * d / step)) // it is five times slower for six seconds, if that comes in the play
		var runs []*playedRun
		for i := range int(d / step) {
			for len(runs) < 6 && p.rand.Float64() < 0.4 {
				r := &playedRun{kind: p.kinds[p.rand.IntN(len(p.kinds))], length: 7 * (0.7 + 0.6*p.rand.Float64())}
				if p.rand.Float64() < 0.03 {
					r.length *= 7
				}
				runs = append(runs, r)
			}
			kept := runs[:0]
			now := from.Add(time.Duration(i) * step)
			for _, r := range runs {
				rate := speed * 100 / r.length
				if i >= slowFrom && i < slowFrom+12 {
					rate /= 5
				}
				mix := make(Mix)
				for _, other := range runs {
					if other != r {
						mix[other.kind]++
						rate *= 1 - p.slowdown[[2]job.Kind{r.kind, other.kind}]
					}
				}
				r.progress += rate * step.Seconds()
				if s, ok := r.watch.Report(r.kind, id, min(int(r.progress), 100), now.Add(step), mix); ok {
					p.model.Observe(s, now)
				}
			}
			for _, r := range runs {
				if r.progress < 100 {
					kept = append(kept, r)
				}
			}
			runs = kept
		}
	}
	p.model.Update(from.Add(d))
}

// Two kinds hurt each other; a third one that runs beside them is innocent.
func TestTwoKindsThatHurtEachOtherAreNamed(t *testing.T) {
	for seed := range uint64(20) {
		p := newPlay(seed, "a", "b", "c")
		p.slowdown[[2]job.Kind{"a", "b"}], p.slowdown[[2]job.Kind{"b", "a"}] = 0.25, 0.2
		p.run(start, time.Minute)
		pairs := p.model.Pairs()
		assert.Assert(t, cmp.Len(pairs, 2), "seed %d", seed)
		for i, want := range []struct {
			slowed, by job.Kind
			slowdown   float64
		}{{"a", "b", 0.25}, {"b", "a", 0.2}} {
			assert.Equal(t, pairs[i].Slowed, want.slowed)
			assert.Equal(t, pairs[i].By, want.by)
			assert.Assert(t, pairs[i].Slowdown > want.slowdown/2 && pairs[i].Slowdown < want.slowdown*1.5, "seed %d: %+v", seed, pairs[i])
		}
	}
}

// Tails, backend servers of unlike speed and some that turn slow for a while must name nothing. Of 1,000 plays with nine
// possible pairs each, at most one in a hundred may name one.
func TestNoPairIsNamedWithoutAnEffect(t *testing.T) {
	const plays, routines = 1000, 8
	var falseNames atomic.Int32
	var group sync.WaitGroup
	for first := range uint64(routines) {
		group.Go(func() {
			for seed := first; seed < plays; seed += routines {
				p := newPlay(seed, "a", "b", "c")
				p.run(start, 30*time.Second)
				if len(p.model.Pairs()) > 0 {
					falseNames.Add(1)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d plays without an effect name a pair", falseNames.Load(), plays)
	assert.Assert(t, falseNames.Load() <= plays/100)
}

// A kind that no longer hurts is forgotten as new observations come.
func TestPairIsDroppedWhenItsEffectEnds(t *testing.T) {
	p := newPlay(1, "a", "b", "c")
	p.slowdown[[2]job.Kind{"a", "b"}] = 0.3
	p.run(start, time.Minute)
	assert.Assert(t, cmp.Len(p.model.Pairs(), 1))
	clear(p.slowdown)
	for i := range 8 {
		p.run(start.Add(time.Duration(i+1)*time.Minute), time.Minute)
	}
	assert.Assert(t, cmp.Len(p.model.Pairs(), 0))
}

// One backend server alone names no pair, whatever happens there.
func TestOneServerNamesNoPair(t *testing.T) {
	p := newPlay(1, "a", "b")
	p.servers, p.slowdown[[2]job.Kind{"a", "b"}] = 1, 0.4
	p.run(start, 20*time.Minute)
	assert.Assert(t, cmp.Len(p.model.Pairs(), 0))
}

// FuzzReport gives a watch arbitrary reports: samples have rates above 0, and the estimates stay numbers.
func FuzzReport(f *testing.F) {
	f.Add([]byte{10, 1, 20, 1, 30, 2, 40, 2, 50, 2})
	f.Add([]byte{255, 0, 0, 9, 100, 9, 3, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		var w Watch
		now := start
		for i := 0; i+1 < len(data); i += 2 {
			now = now.Add(time.Duration(int(data[i+1])-20) * 50 * time.Millisecond)
			mix := Mix{job.Kind(fmt.Sprint("k", data[i+1]%40)): int(data[i+1] % 3), "k": 1}
			if s, ok := w.Report(job.Kind(fmt.Sprint("v", data[i]%40)), "s", int(int8(data[i])), now, mix); ok {
				assert.Assert(t, s.Before > 0 && s.After > 0 && len(s.Changes) > 0)
				m.Observe(s, now)
			}
			m.Update(now)
			for _, p := range m.Pairs() {
				assert.Assert(t, p.Slowdown > 0 && p.Slowdown < 1 && p.Certainty > 0, "%+v", p)
			}
		}
	})
}
