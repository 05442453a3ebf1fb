package fleet

import (
	"cmp"
	"container/heap"
	"sync"
	"time"
)

const (
	// minStartOrders and maxStartOrders bound the start orders that are under way at once.
	minStartOrders, maxStartOrders = 16, 64
	// mbpsPerStartOrder is the bandwidth that one start order under way needs, in Mbit/s.
	mbpsPerStartOrder = 4
	// slotTime is how long an order without an answer counts as under way: its bytes have left the
	// link by then, and backend servers that are cut off must not hold up the others.
	slotTime = 150 * time.Millisecond
)

// startOrdersUnderWay returns how many start orders a link of the given bandwidth, in Mbit/s, may carry
// at once; 0 means that the bandwidth is not known.
//
// It answers a burst of wide jobs: hundreds of start orders at once fill a thin link, time out, and
// hold up the heartbeats and reports behind them.
func startOrdersUnderWay(mbps float64) int {
	if mbps == 0 {
		return maxStartOrders
	}
	return min(max(int(mbps/mbpsPerStartOrder), minStartOrders), maxStartOrders)
}

// startQueue holds the start orders that wait to be sent: the most urgent jobs first, and those of one
// urgency in the order of their decisions, so that the members of a gang stay together.
type startQueue struct {
	limit int
	// execute carries out an order and returns when it is answered.
	execute func(Start)
	// spawn runs a function in a goroutine of its own.
	spawn func(func())

	mu       sync.Mutex
	waiting  startHeap
	sequence int
	underWay int
}

type waitingStart struct {
	Start
	sequence int
}

type startHeap []waitingStart

func (h startHeap) Len() int { return len(h) }
func (h startHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].Priority, h[j].Priority), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}
func (h startHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *startHeap) Push(x any)   { *h = append(*h, x.(waitingStart)) }
func (h *startHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// add queues an order and sends what may be sent.
func (q *startQueue) add(o Start) {
	q.mu.Lock()
	q.sequence++
	heap.Push(&q.waiting, waitingStart{Start: o, sequence: q.sequence})
	q.mu.Unlock()
	q.send()
}

// send starts waiting orders as long as the limit allows.
func (q *startQueue) send() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.underWay < q.limit && len(q.waiting) > 0 {
		o := heap.Pop(&q.waiting).(waitingStart).Start
		q.underWay++
		q.spawn(func() {
			release := sync.OnceFunc(q.release)
			timer := time.AfterFunc(slotTime, release)
			q.execute(o)
			timer.Stop()
			release()
		})
	}
}

func (q *startQueue) release() {
	q.mu.Lock()
	q.underWay--
	q.mu.Unlock()
	q.send()
}
