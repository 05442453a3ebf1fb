package schedule

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// queue holds waiting requests by class, organisation and caller. It is pure: it
// knows no clock and locks nothing. Within a class, organisations share by
// weighted deficit round robin, and callers of an organisation by plain deficit
// round robin, both in units of slot time.
type queue struct {
	classes  [model.ClassCount]classQueue
	requests int
	bytes    int64
}

type classQueue struct {
	ring     ring[model.OrganisationID, *organisationQueue]
	requests int
	cost     time.Duration
}

type organisationQueue struct {
	deficit  time.Duration
	weight   int
	ring     ring[model.CallerID, *callerQueue]
	requests int
}

type callerQueue struct {
	deficit time.Duration
	items   []*Request
	cost    time.Duration
}

// minQuantum is the least slot time that a round of deficit round robin grants.
// The quantum is otherwise the mean cost of the class, so that a round serves
// about one request of each.
const minQuantum = time.Millisecond

// ring is an ordered set that is visited in rotation. Empty members are removed.
type ring[K comparable, V any] struct {
	keys   []K
	values map[K]V
	at     int
}

func (r *ring[K, V]) get(k K, make func() V) V {
	if r.values == nil {
		r.values = map[K]V{}
	}
	if v, ok := r.values[k]; ok {
		return v
	}
	v := make()
	r.values[k] = v
	r.keys = append(r.keys, k)
	return v
}

func (r *ring[K, V]) current() (K, V) {
	k := r.keys[r.at]
	return k, r.values[k]
}

func (r *ring[K, V]) advance() {
	r.at = (r.at + 1) % len(r.keys)
}

func (r *ring[K, V]) remove(k K) {
	delete(r.values, k)
	for i, key := range r.keys {
		if key != k {
			continue
		}
		r.keys = append(r.keys[:i], r.keys[i+1:]...)
		if r.at > i {
			r.at--
		}
		break
	}
	if r.at >= len(r.keys) {
		r.at = 0
	}
}

// push appends a request.
func (q *queue) push(x *Request) {
	c := &q.classes[x.Class]
	org := c.ring.get(x.Flow.Organisation, func() *organisationQueue { return &organisationQueue{} })
	org.weight = max(x.Weight, 1)
	caller := org.ring.get(x.Flow.Caller, func() *callerQueue { return &callerQueue{} })
	caller.items = append(caller.items, x)
	q.count(x, org, caller, 1)
}

// pushFront puts a popped request back at the head of its caller's queue.
func (q *queue) pushFront(x *Request) {
	c := &q.classes[x.Class]
	org := c.ring.get(x.Flow.Organisation, func() *organisationQueue { return &organisationQueue{} })
	org.weight = max(x.Weight, 1)
	caller := org.ring.get(x.Flow.Caller, func() *callerQueue { return &callerQueue{} })
	caller.items = append([]*Request{x}, caller.items...)
	caller.deficit += x.cost
	org.deficit += x.cost
	q.count(x, org, caller, 1)
}

func (q *queue) count(x *Request, org *organisationQueue, caller *callerQueue, sign int) {
	c := &q.classes[x.Class]
	c.requests += sign
	c.cost += time.Duration(sign) * x.cost
	org.requests += sign
	caller.cost += time.Duration(sign) * x.cost
	q.requests += sign
	q.bytes += int64(sign) * x.Size
}

// peek returns the next request of a class; nil when it has none. Until the queue
// of the class changes, it returns the same one.
func (q *queue) peek(class model.Class) *Request {
	c := &q.classes[class]
	if c.requests == 0 {
		return nil
	}
	quantum := c.quantum()
	return c.nextOrganisation(quantum).nextCaller(quantum).items[0]
}

// pop removes the next request of a class; nil when it has none.
func (q *queue) pop(class model.Class) *Request {
	x := q.peek(class)
	if x == nil {
		return nil
	}
	org := q.classes[class].ring.values[x.Flow.Organisation]
	org.deficit -= x.cost
	org.ring.values[x.Flow.Caller].deficit -= x.cost
	q.remove(x)
	return x
}

func (c *classQueue) quantum() time.Duration {
	return max(c.cost/time.Duration(c.requests), minQuantum)
}

// nextOrganisation rotates until the current organisation can pay for its next
// request. An organisation is paid when the rotation reaches it.
func (c *classQueue) nextOrganisation(quantum time.Duration) *organisationQueue {
	for {
		_, org := c.ring.current()
		if org.deficit >= org.nextCaller(quantum).items[0].cost {
			return org
		}
		c.ring.advance()
		_, org = c.ring.current()
		org.deficit += quantum * time.Duration(org.weight)
	}
}

func (o *organisationQueue) nextCaller(quantum time.Duration) *callerQueue {
	for {
		_, caller := o.ring.current()
		if caller.deficit >= caller.items[0].cost {
			return caller
		}
		o.ring.advance()
		_, caller = o.ring.current()
		caller.deficit += quantum
	}
}

// remove takes out a queued request; false when it is not queued.
func (q *queue) remove(x *Request) bool {
	c := &q.classes[x.Class]
	org := c.ring.values[x.Flow.Organisation]
	if org == nil {
		return false
	}
	caller := org.ring.values[x.Flow.Caller]
	if caller == nil {
		return false
	}
	i := indexOf(caller.items, x)
	if i < 0 {
		return false
	}
	if i == 0 {
		caller.items = caller.items[1:]
	} else {
		caller.items = append(caller.items[:i:i], caller.items[i+1:]...)
	}
	q.count(x, org, caller, -1)
	if len(caller.items) == 0 {
		org.ring.remove(x.Flow.Caller)
	}
	if org.requests == 0 {
		c.ring.remove(x.Flow.Organisation)
	}
	return true
}

func indexOf(items []*Request, x *Request) int {
	for i, other := range items {
		if other == x {
			return i
		}
	}
	return -1
}
