package schedule

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// classOrder returns the classes that have queued requests, in the order in which
// they get the next free slot: first the classes below their minimum share of the
// running requests, then the others, each group most urgent first. minShare is in
// percent.
func (q *queue) classOrder(running [model.ClassCount]int, minShare [model.ClassCount]int) []model.Class {
	total := 1 // the request to be started
	for _, n := range running {
		total += n
	}
	var belowMin, rest []model.Class
	for c := model.ClassUrgent; c < model.ClassCount; c++ {
		switch {
		case q.classes[c].requests == 0:
		case running[c]*100 < minShare[c]*total:
			belowMin = append(belowMin, c)
		default:
			rest = append(rest, c)
		}
	}
	return append(belowMin, rest...)
}

// exceedsLimits reports whether the queue would exceed its limits with another
// request of the given size.
func (q *queue) exceedsLimits(l model.Limits, size int64) bool {
	return q.requests+1 > l.QueueRequests || q.bytes+size > l.QueueBytes
}

// victim returns the queued request to shed for the given one; nil when the given
// request is to be refused instead. Classes are tried from the least urgent on. A more
// urgent class loses a request only when the class of the given request is below its
// minimum share of the queue; a class below its own minimum share loses none. At last
// the class of the given request is tried; there no request is shed if the caller of the
// given one has as much expected slot time as any other. In the chosen class, the caller
// with the most expected slot time loses its newest request.
func (q *queue) victim(request *Request, l model.Limits) *Request {
	for c := model.ClassCount - 1; c >= model.ClassUrgent; c-- {
		entitled := c > request.Class || q.belowMinShare(request.Class, l)
		if c == request.Class || !entitled || q.classes[c].requests == 0 || q.belowMinShare(c, l) {
			continue
		}
		return q.classes[c].costliestCaller().newest()
	}
	costliest := q.classes[request.Class].costliestCaller()
	if costliest == nil || costliest.cost <= q.callerCost(request.Class, request.Flow) {
		return nil
	}
	return costliest.newest()
}

func (c *callerQueue) newest() *Request { return c.items[len(c.items)-1] }

func (q *queue) belowMinShare(c model.Class, l model.Limits) bool {
	return q.classes[c].requests*100 < l.MinSharePercent[c]*l.QueueRequests
}

func (q *queue) callerCost(class model.Class, f Flow) time.Duration {
	org := q.classes[class].ring.values[f.Organisation]
	if org == nil || org.ring.values[f.Caller] == nil {
		return 0
	}
	return org.ring.values[f.Caller].cost
}

func (c *classQueue) costliestCaller() *callerQueue {
	var costliest *callerQueue
	for _, o := range c.ring.keys {
		org := c.ring.values[o]
		for _, k := range org.ring.keys {
			caller := org.ring.values[k]
			if costliest == nil || caller.cost > costliest.cost {
				costliest = caller
			}
		}
	}
	return costliest
}

// load is the state outside the queue that the wait for a slot depends on.
type load struct {
	running  [model.ClassCount]int
	capacity int                   // requests that this VM can run at a time
	minShare [model.ClassCount]int // percent
}

// estimateWait estimates how long a new request waits for a slot: the slot time that
// fair queueing serves before it, divided by the number of slots that its class gets.
func (q *queue) estimateWait(request *Request, l load) time.Duration {
	return q.slotTimeAhead(request) / time.Duration(q.classSlots(request.Class, l))
}

// estimateBacklog estimates how long the queued requests of a class take to run.
func (q *queue) estimateBacklog(class model.Class, l load) time.Duration {
	return q.classes[class].cost / time.Duration(q.classSlots(class, l))
}

// classSlots returns how many of the VM's slots a class gets, at least 1.
func (q *queue) classSlots(class model.Class, l load) int {
	n := l.capacity
	for c := model.ClassUrgent; c < model.ClassCount; c++ {
		switch {
		case c < class:
			n -= l.running[c]
		case c > class && q.classes[c].requests > 0:
			n -= l.capacity * l.minShare[c] / 100
		}
	}
	return max(n, l.capacity*l.minShare[class]/100, 1)
}

// slotTimeAhead estimates the slot time that fair queueing serves before a new request.
func (q *queue) slotTimeAhead(request *Request) time.Duration {
	c := &q.classes[request.Class]
	weight := max(request.Weight, 1)
	callers, weights := 1, weight
	if org := c.ring.values[request.Flow.Organisation]; org != nil {
		callers = len(org.ring.keys)
		if org.ring.values[request.Flow.Caller] == nil {
			callers++
		}
	}
	for _, o := range c.ring.keys {
		if o != request.Flow.Organisation {
			weights += c.ring.values[o].weight
		}
	}
	ownCost := q.callerCost(request.Class, request.Flow) + request.cost
	fairCost := ownCost * time.Duration(callers*weights) / time.Duration(weight)
	return min(fairCost-request.cost, c.cost)
}
