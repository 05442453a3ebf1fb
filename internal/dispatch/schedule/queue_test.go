package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newRequest(class model.Class, org, caller string) *Request {
	return &Request{
		Class:     class,
		Kind:      class.String(),
		Flow:      Flow{Organisation: model.OrganisationID(org), Caller: model.CallerID(caller)},
		Weight:    1,
		Size:      100,
		ArrivedAt: start,
		Deadline:  start.Add(time.Minute),
		cost:      100 * time.Millisecond,
	}
}

// popCounts pops n requests of a class and counts them by caller.
func popCounts(q *queue, c model.Class, n int) map[string]int {
	out := map[string]int{}
	for range n {
		x := q.pop(c)
		out[fmt.Sprintf("%s/%s", x.Flow.Organisation, x.Flow.Caller)]++
	}
	return out
}

func TestFairQueueing(t *testing.T) {
	cases := []struct {
		name string
		fill func(q *queue)
		want map[string]int // of 60 requests, by caller
	}{
		{"large caller beside small ones", func(q *queue) {
			push(q, 1000, newRequest(model.ClassNormal, "a", "large"))
			push(q, 20, newRequest(model.ClassNormal, "a", "one"))
			push(q, 20, newRequest(model.ClassNormal, "a", "two"))
		}, map[string]int{"a/large": 20, "a/one": 20, "a/two": 20}},
		{"organisation with many callers", func(q *queue) {
			for i := range 10 {
				push(q, 100, newRequest(model.ClassNormal, "a", fmt.Sprint(i%3)))
			}
			push(q, 100, newRequest(model.ClassNormal, "b", "only"))
		}, map[string]int{"a/0": 10, "a/1": 10, "a/2": 10, "b/only": 30}},
		{"weights", func(q *queue) {
			heavy := newRequest(model.ClassNormal, "a", "x")
			heavy.Weight = 3
			push(q, 100, heavy)
			push(q, 100, newRequest(model.ClassNormal, "b", "y"))
		}, map[string]int{"a/x": 45, "b/y": 15}},
		{"long requests count by slot time", func(q *queue) {
			long := newRequest(model.ClassNormal, "a", "x")
			long.cost = 500 * time.Millisecond
			push(q, 100, long)
			push(q, 100, newRequest(model.ClassNormal, "b", "y"))
		}, map[string]int{"a/x": 10, "b/y": 50}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := &queue{}
			c.fill(q)
			got := popCounts(q, model.ClassNormal, 60)
			for who, want := range c.want {
				diff := got[who] - want
				assert.Assert(t, diff >= -2 && diff <= 2, "%s was served %d times, want about %d", who, got[who], want)
			}
		})
	}
}

func push(q *queue, n int, like *Request) {
	for range n {
		x := *like
		q.push(&x)
	}
}

func TestClassOrder(t *testing.T) {
	const u, n, b = model.ClassUrgent, model.ClassNormal, model.ClassBatch
	share := [model.ClassCount]int{30, 20, 10}
	cases := []struct {
		name    string
		running [model.ClassCount]int
		want    []model.Class
	}{
		{"nothing runs", [model.ClassCount]int{}, []model.Class{u, n, b}},
		{"all have their share", [model.ClassCount]int{30, 20, 10}, []model.Class{u, n, b}},
		{"flood of the most urgent", [model.ClassCount]int{90, 20, 1}, []model.Class{n, b, u}},
		{"flood of the least urgent", [model.ClassCount]int{0, 0, 100}, []model.Class{u, n, b}},
		{"batch below its share", [model.ClassCount]int{70, 30, 5}, []model.Class{b, u, n}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := &queue{}
			for _, class := range []model.Class{u, n, b} {
				q.push(newRequest(class, "a", "x"))
			}
			assert.DeepEqual(t, q.classOrder(c.running, share), c.want)
		})
	}
}

func TestVictim(t *testing.T) {
	limits := withDefaults(model.Limits{QueueRequests: 100})
	q := &queue{}
	push(q, 60, newRequest(model.ClassBatch, "a", "large"))
	push(q, 5, newRequest(model.ClassBatch, "a", "small"))
	push(q, 35, newRequest(model.ClassNormal, "a", "x"))
	victim := q.victim(newRequest(model.ClassUrgent, "b", "y"), limits)
	assert.Equal(t, victim.Class, model.ClassBatch)
	assert.Equal(t, victim.Flow.Caller, model.CallerID("large"))
	assert.Equal(t, q.victim(newRequest(model.ClassBatch, "a", "small"), limits).Flow.Caller, model.CallerID("large"))
	assert.Assert(t, q.victim(newRequest(model.ClassBatch, "a", "large"), limits) == nil)
}

func TestMinimumShareOfTheQueue(t *testing.T) {
	limits := withDefaults(model.Limits{QueueRequests: 100})
	q := &queue{}
	push(q, 90, newRequest(model.ClassUrgent, "a", "x"))
	push(q, 10, newRequest(model.ClassBatch, "a", "x"))
	victim := q.victim(newRequest(model.ClassUrgent, "a", "y"), limits)
	assert.Equal(t, victim.Class, model.ClassBatch)
	q.remove(victim)
	assert.Equal(t, q.victim(newRequest(model.ClassUrgent, "a", "y"), limits).Class, model.ClassUrgent)
	assert.Assert(t, q.victim(newRequest(model.ClassUrgent, "a", "x"), limits) == nil)
	assert.Equal(t, q.victim(newRequest(model.ClassBatch, "a", "y"), limits).Class, model.ClassUrgent)
}

// TestQueueCounts compares the counters of the queue with its content.
func TestQueueCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue{}
		var held []*Request
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			class := model.Class(rapid.IntRange(0, 2).Draw(t, "class"))
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				x := newRequest(class, fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "org")), fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "caller")))
				q.push(x)
				held = append(held, x)
			case 2:
				if x := q.pop(class); x != nil {
					held = removeFrom(t, held, x)
				}
			default:
				if len(held) > 0 {
					x := held[rapid.IntRange(0, len(held)-1).Draw(t, "which")]
					assert.Assert(t, q.remove(x))
					held = removeFrom(t, held, x)
				}
			}
		}
		cost := time.Duration(0)
		for c := range q.classes {
			cost += q.classes[c].cost
		}
		assert.Equal(t, q.requests, len(held))
		assert.Equal(t, q.bytes, int64(100*len(held)))
		assert.Equal(t, cost, time.Duration(len(held))*100*time.Millisecond)
	})
}

func removeFrom(t *rapid.T, held []*Request, x *Request) []*Request {
	i := indexOf(held, x)
	assert.Assert(t, i >= 0)
	return append(held[:i:i], held[i+1:]...)
}
