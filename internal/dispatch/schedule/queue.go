package schedule

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// queue holds the queued requests by class, organisation and caller. It has no clock
// and no lock. Within a class, organisations are served by weighted deficit round
// robin, and the callers of an organisation by unweighted deficit round robin, both in
// units of slot time.
type queue struct {
	classes  [model.ClassCount]classQueue
	requests int
	bytes    int64
}

type classQueue struct {
	ring     ring[model.OrganisationID, *organisationQueue]
	requests int
	cost     time.Duration // of all queued requests together
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
// Above it, the quantum is the mean cost of the queued requests of the class, so that a
// round serves about one request of each caller, or of each organisation of weight 1.
const minQuantum = time.Millisecond

// ring is an ordered map whose entries are visited in rotation. The queue removes
// entries that have no requests left.
type ring[K comparable, V any] struct {
	keys     []K
	values   map[K]V
	position int
}

func (r *ring[K, V]) getOrAdd(k K, make func() V) V {
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
	k := r.keys[r.position]
	return k, r.values[k]
}

func (r *ring[K, V]) advance() {
	r.position = (r.position + 1) % len(r.keys)
}

func (r *ring[K, V]) remove(k K) {
	delete(r.values, k)
	for i, key := range r.keys {
		if key != k {
			continue
		}
		r.keys = append(r.keys[:i], r.keys[i+1:]...)
		if r.position > i {
			r.position--
		}
		break
	}
	if r.position >= len(r.keys) {
		r.position = 0
	}
}

// push appends a request.
func (q *queue) push(request *Request) {
	c := &q.classes[request.Class]
	org := c.ring.getOrAdd(request.Flow.Organisation, func() *organisationQueue { return &organisationQueue{} })
	org.weight = max(request.Weight, 1)
	caller := org.ring.getOrAdd(request.Flow.Caller, func() *callerQueue { return &callerQueue{} })
	caller.items = append(caller.items, request)
	q.adjustCounts(request, org, caller, 1)
}

// pushFront puts a popped request back at the head of its caller's queue and returns
// the slot time that pop charged for it.
func (q *queue) pushFront(request *Request) {
	c := &q.classes[request.Class]
	org := c.ring.getOrAdd(request.Flow.Organisation, func() *organisationQueue { return &organisationQueue{} })
	org.weight = max(request.Weight, 1)
	caller := org.ring.getOrAdd(request.Flow.Caller, func() *callerQueue { return &callerQueue{} })
	caller.items = append([]*Request{request}, caller.items...)
	caller.deficit += request.cost
	org.deficit += request.cost
	q.adjustCounts(request, org, caller, 1)
}

func (q *queue) adjustCounts(request *Request, org *organisationQueue, caller *callerQueue, sign int) {
	c := &q.classes[request.Class]
	c.requests += sign
	c.cost += time.Duration(sign) * request.cost
	org.requests += sign
	caller.cost += time.Duration(sign) * request.cost
	q.requests += sign
	q.bytes += int64(sign) * request.Size
}

// peek returns the next request of a class; nil when it has none. It returns the same
// one until the queue of the class changes.
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
	request := q.peek(class)
	if request == nil {
		return nil
	}
	org := q.classes[class].ring.values[request.Flow.Organisation]
	org.deficit -= request.cost
	org.ring.values[request.Flow.Caller].deficit -= request.cost
	q.remove(request)
	return request
}

func (c *classQueue) quantum() time.Duration {
	return max(c.cost/time.Duration(c.requests), minQuantum)
}

// nextOrganisation rotates until the deficit of the current organisation covers the
// cost of its next request. An organisation gets its quantum, multiplied by its weight,
// when the rotation reaches it.
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

// remove removes a queued request; false when it is not queued.
func (q *queue) remove(request *Request) bool {
	c := &q.classes[request.Class]
	org := c.ring.values[request.Flow.Organisation]
	if org == nil {
		return false
	}
	caller := org.ring.values[request.Flow.Caller]
	if caller == nil {
		return false
	}
	i := indexOf(caller.items, request)
	if i < 0 {
		return false
	}
	if i == 0 {
		caller.items = caller.items[1:]
	} else {
		caller.items = append(caller.items[:i:i], caller.items[i+1:]...)
	}
	q.adjustCounts(request, org, caller, -1)
	if len(caller.items) == 0 {
		org.ring.remove(request.Flow.Caller)
	}
	if org.requests == 0 {
		c.ring.remove(request.Flow.Organisation)
	}
	return true
}

func indexOf(items []*Request, request *Request) int {
	for i, other := range items {
		if other == request {
			return i
		}
	}
	return -1
}
