package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// fleet returns n servers of the own availability zone with 8 free slots each.
func fleet(n int) Fleet {
	f := Fleet{VMs: 1}
	for i := range n {
		s := model.BackendServer{Address: fmt.Sprint(i), Slots: 8, Connections: 64}
		f.Servers = append(f.Servers, FleetServer{BackendServer: s, Usable: true, FreeSlots: 8})
	}
	return f
}

func scheduler(f Fleet) *Scheduler {
	s := New(rand.New(rand.NewPCG(1, 1)))
	s.Update(f, start)
	return s
}

// startAll enqueues n requests, starts all that a server has room for, and returns how
// many requests each server got.
func startAll(s *Scheduler, n int, now time.Time) map[string]int {
	for range n {
		s.Enqueue(newRequest(model.ClassNormal, "a", "x"), now)
	}
	out := map[string]int{}
	for {
		x, b, _ := s.Next(now)
		if x == nil {
			return out
		}
		out[b.Address()]++
	}
}

func TestRespectsSlotsAndConnections(t *testing.T) {
	s := scheduler(fleet(2))
	assert.DeepEqual(t, startAll(s, 100, start), map[string]int{"0": 8, "1": 8})
	f := fleet(1)
	f.Servers[0].Connections = 5
	assert.DeepEqual(t, startAll(scheduler(f), 100, start), map[string]int{"0": 3})
}

func TestLeavesASlotToOtherVMs(t *testing.T) {
	f := fleet(4)
	f.VMs = 2 // the fair share is 16 of the 32 slots
	got := startAll(scheduler(f), 100, start)
	total := 0
	for _, n := range got {
		assert.Assert(t, n <= 7)
		total += n
	}
	assert.Equal(t, total, 28)
}

func TestLeastUrgentLeavesASlot(t *testing.T) {
	s := scheduler(fleet(2))
	fill := func(now time.Time) int {
		n := 0
		for {
			s.Enqueue(newRequest(model.ClassBatch, "a", "x"), now)
			if x, _, _ := s.Next(now); x == nil {
				return n
			}
			n++
		}
	}
	x := newRequest(model.ClassUrgent, "a", "x")
	s.Enqueue(x, start)
	s.Withdraw(x)
	assert.Equal(t, fill(start), 14)
	assert.Equal(t, fill(start.Add(spareSlotsFor+1)), 2)
}

func TestTiers(t *testing.T) {
	f := fleet(3)
	f.Servers[1].Tier, f.Servers[2].Tier = TierRegion, TierRemote
	s := scheduler(f)
	assert.DeepEqual(t, startAll(s, 20, start), map[string]int{"0": 8, "1": 8})
	later := start.Add(20 * time.Second) // a third of the time until the deadline
	assert.DeepEqual(t, startAll(s, 0, later), map[string]int{"2": 4})
}

func TestCrossRegionBudget(t *testing.T) {
	f := fleet(1)
	f.Servers[0].Tier = TierRemote
	f.Limits.CrossRegionRate = 250 // 2.5 requests of 100 bytes
	s := scheduler(f)
	assert.DeepEqual(t, startAll(s, 8, start), map[string]int{"0": 3})
	assert.DeepEqual(t, startAll(s, 0, start.Add(time.Second)), map[string]int{"0": 2})
}

func TestLeavingByOwnWord(t *testing.T) {
	s := scheduler(fleet(2))
	x := newRequest(model.ClassNormal, "a", "x")
	s.Enqueue(x, start)
	_, b, _ := s.Next(start)
	s.RecordSend(x, b, Report{End: EndLeaving}, start)
	s.Requeue(x, start)
	s.Update(fleet(2), start.Add(time.Second)) // the view does not show it as leaving yet
	got := startAll(s, 100, start.Add(time.Second))
	assert.Equal(t, got[b.Address()], 0)
	assert.Equal(t, len(got), 1)
}

func TestBoundedEjection(t *testing.T) {
	s := scheduler(fleet(10))
	now := start
	for range 200 {
		x := newRequest(model.ClassNormal, "a", "x")
		s.Enqueue(x, now)
		if got, b, _ := s.Next(now); got != nil {
			s.RecordSend(got, b, Report{End: EndUnreachable}, now)
			s.MarkStopped(got)
		}
		now = now.Add(20 * time.Millisecond)
	}
	ejected := 0
	for _, b := range s.pool.servers {
		if b.health.ejected(now) {
			ejected++
		}
	}
	assert.Equal(t, ejected, 3)
}

func TestProbesBack(t *testing.T) {
	s := scheduler(fleet(2))
	bad := s.pool.servers["0"]
	s.pool.eject(bad, start)
	assert.DeepEqual(t, startAll(s, 20, start), map[string]int{"1": 8})
	later := start.Add(minEjection)
	assert.DeepEqual(t, startAll(s, 0, later), map[string]int{"0": 1})
	s.RecordSend(newRequest(model.ClassNormal, "a", "x"), bad, Report{End: EndDone, FreeSlots: 8}, later)
	assert.DeepEqual(t, startAll(s, 0, later), map[string]int{"0": 8})
}

func TestPingsEndAnEjection(t *testing.T) {
	s := scheduler(fleet(4))
	bad := s.pool.servers["0"]
	for range ejectAfterPathFailures {
		s.MarkUnreachable("0", start)
	}
	assert.Assert(t, bad.health.ejected(start))
	now := start
	for range 10 { // no ping is answered, long after the ejection would have ended
		now = now.Add(time.Second)
		s.MarkUnreachable("0", now)
		assert.Assert(t, bad.health.ejected(now.Add(time.Second)))
	}
	s.MarkReachable("0", now)
	assert.DeepEqual(t, startAll(s, 100, now)["0"], 1)
}

func TestFailuresOfOneOrganisationDoNotEject(t *testing.T) {
	h := &health{}
	for range 100 {
		assert.Assert(t, !h.recordFailedExecution("a"))
	}
	assert.Assert(t, h.recordFailedExecution("b"))
}

func TestRefusesWhatCannotBeAnswered(t *testing.T) {
	s := scheduler(fleet(1))
	for range minSamples {
		s.serviceTimes("normal").add(10 * time.Second)
	}
	startAll(s, 8, start)
	refused := 0
	for range 100 { // each takes 10 s, 8 run at a time, all have a minute
		refused += len(s.Enqueue(newRequest(model.ClassNormal, "a", "x"), start))
	}
	assert.Assert(t, refused >= 55 && refused <= 65, "%d refused", refused)
	small := newRequest(model.ClassNormal, "b", "y")
	assert.Equal(t, len(s.Enqueue(small, start)), 0)
}

func TestRetryBudget(t *testing.T) {
	var b retryBudget
	granted := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		b.creditFirstSend(10, now)
		if b.takeRetry(now) {
			granted++
		}
	}
	assert.Assert(t, granted >= 115 && granted <= 125, "%d granted", granted) // 20 saved at the start, 100 credited by first sends, 2 per second
}

func TestQueueBounds(t *testing.T) {
	cases := []struct {
		name   string
		limits model.Limits
	}{
		{"requests", model.Limits{QueueRequests: 10}},
		{"bytes", model.Limits{QueueBytes: 1000}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := scheduler(Fleet{Limits: c.limits})
			rejected := 0
			for range 100 {
				rejected += len(s.Enqueue(newRequest(model.ClassNormal, "a", "x"), start))
			}
			assert.Equal(t, s.TotalQueued(), 10)
			assert.Equal(t, rejected, 90)
		})
	}
}
