package schedule

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// order returns the classes that have requests, in the order in which the next
// free slot is offered: first classes below their minimum share of the running
// requests, then by urgency.
func (q *queue) order(running [model.ClassCount]int, share [model.ClassCount]int) []model.Class {
	total := 1 // the request to be started
	for _, n := range running {
		total += n
	}
	var below, rest []model.Class
	for c := model.ClassUrgent; c < model.ClassCount; c++ {
		switch {
		case q.classes[c].requests == 0:
		case running[c]*100 < share[c]*total:
			below = append(below, c)
		default:
			rest = append(rest, c)
		}
	}
	return append(below, rest...)
}

// full reports whether a request of the given size exceeds the bounds.
func (q *queue) full(l model.Limits, size int64) bool {
	return q.requests+1 > l.QueueRequests || q.bytes+size > l.QueueBytes
}

// victim returns the queued request to shed for x; nil when x itself is to be
// refused. Less urgent classes lose first, and more urgent ones to a class below its
// minimum share of the queue; no class falls below that share for another one. Then
// the class of x itself is tried: there the caller with the most expected slot time
// loses, unless that is the caller of x. The newest request of a caller goes.
func (q *queue) victim(x *Request, l model.Limits) *Request {
	for c := model.ClassCount - 1; c >= model.ClassUrgent; c-- {
		entitled := c > x.Class || q.belowShare(x.Class, l)
		if c == x.Class || !entitled || q.classes[c].requests == 0 || q.belowShare(c, l) {
			continue
		}
		return q.classes[c].largest().newest()
	}
	largest := q.classes[x.Class].largest()
	if largest == nil || largest.cost <= q.flowCost(x.Class, x.Flow) {
		return nil
	}
	return largest.newest()
}

func (c *callerQueue) newest() *Request { return c.items[len(c.items)-1] }

func (q *queue) belowShare(c model.Class, l model.Limits) bool {
	return q.classes[c].requests*100 < l.MinSharePercent[c]*l.QueueRequests
}

func (q *queue) flowCost(class model.Class, f Flow) time.Duration {
	org := q.classes[class].ring.values[f.Organisation]
	if org == nil || org.ring.values[f.Caller] == nil {
		return 0
	}
	return org.ring.values[f.Caller].cost
}

func (c *classQueue) largest() *callerQueue {
	var largest *callerQueue
	for _, o := range c.ring.keys {
		org := c.ring.values[o]
		for _, k := range org.ring.keys {
			caller := org.ring.values[k]
			if largest == nil || caller.cost > largest.cost {
				largest = caller
			}
		}
	}
	return largest
}

// load is what the wait of a request depends on besides the queue.
type load struct {
	running  [model.ClassCount]int
	capacity int // requests that this VM can run at a time
	share    [model.ClassCount]int
}

// wait estimates how long a new request waits for a slot. It is
// the slot time that fair queueing serves before it, over the slots that its
// class gets.
func (q *queue) wait(x *Request, l load) time.Duration {
	return q.ahead(x) / time.Duration(q.slots(x.Class, l))
}

// backlog estimates the time that the queued requests of a class need.
func (q *queue) backlog(class model.Class, l load) time.Duration {
	return q.classes[class].cost / time.Duration(q.slots(class, l))
}

// slots returns how many of the VM's slots a class gets, at least 1.
func (q *queue) slots(class model.Class, l load) int {
	n := l.capacity
	for c := model.ClassUrgent; c < model.ClassCount; c++ {
		switch {
		case c < class:
			n -= l.running[c]
		case c > class && q.classes[c].requests > 0:
			n -= l.capacity * l.share[c] / 100
		}
	}
	return max(n, l.capacity*l.share[class]/100, 1)
}

// ahead returns the slot time that is served before a new request.
func (q *queue) ahead(x *Request) time.Duration {
	c := &q.classes[x.Class]
	weight := max(x.Weight, 1)
	callers, weights := 1, weight
	if org := c.ring.values[x.Flow.Organisation]; org != nil {
		callers = len(org.ring.keys)
		if org.ring.values[x.Flow.Caller] == nil {
			callers++
		}
	}
	for _, o := range c.ring.keys {
		if o != x.Flow.Organisation {
			weights += c.ring.values[o].weight
		}
	}
	own := q.flowCost(x.Class, x.Flow) + x.cost
	fair := own * time.Duration(callers*weights) / time.Duration(weight)
	return min(fair-x.cost, c.cost)
}
