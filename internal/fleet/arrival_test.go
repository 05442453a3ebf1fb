package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// restartedServers returns the only listed backend server and the other one, which start again under their IDs.
func restartedServers(t *testing.T, w *world) (at, other *fakeServer) {
	t.Helper()
	w.run(contactTime + idleHoldInterval)
	w.servers["s00"].crash(w)
	return idle(t, w)
}

// givenUpStart returns the start order of a run that the holder has stopped, since the order had no answer, and the
// backend server that confirmed the stop. Another one is listed from then on.
func givenUpStart(t *testing.T, w *world) (Start, *fakeServer) {
	t.Helper()
	at, other := restartedServers(t, w)
	w.orderDelay = time.Minute // start orders do not arrive
	sent := len(w.startOrders)
	w.submit(newJob(1, oneAccelerator, 60))
	for len(w.startOrders) == sent {
		w.run(time.Millisecond)
	}
	late := w.startOrders[sent].Start
	for range 3 {
		w.run(orderTimeout)
		w.deliver(w.holder(), StartAnswered{Order: late, Err: ErrInDoubt})
		w.run(holdRetry + tickInterval)
	}
	runUntil(w, "the run is stopped on its backend server", func() bool { return at.highestEndedRun[late.Task] == late.Run })
	w.orderDelay = 0
	other.unlisted = false
	return late, at
}

// assertNotElsewhere fails the test if a task is started again before its late order arrives in the next incarnation
// of the backend server.
func assertNotElsewhere(t *testing.T, w *world, late Start, at *fakeServer) {
	t.Helper()
	w.run(8 * time.Second)
	assert.Equal(t, w.oracle.startsOf[late.Task], 0, "the task was started elsewhere")
	at.crash(w)
	_, err := at.start(w, late, "a late order")
	assert.NilError(t, err)
	w.run(5 * time.Second)
}

// A task was placed elsewhere as soon as its stop was confirmed, although the late start order could still reach the
// next incarnation of its backend server.
func TestTaskIsNotPlacedElsewhereWhileItsStartMayArrive(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	late, at := givenUpStart(t, w)
	assertNotElsewhere(t, w, late, at)
	w.run(maxDeliveryDelay)
	assert.Equal(t, w.oracle.startsOf[late.Task], 2, "the task was not started again")
}

// A successor placed the waiting task at once, since it did not know that a start order may still arrive.
func TestSuccessorKnowsThatAStartMayArrive(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	late, at := givenUpStart(t, w)
	w.run(100 * time.Millisecond)
	w.holder().dead = true
	runUntil(w, "a successor holds the term", func() bool { return w.holder() != nil })
	assertNotElsewhere(t, w, late, at)
}

// Where no backend server has started again under its ID, a late order is refused by the ID, and the task is placed
// elsewhere at once.
func TestTaskDoesNotWaitForItsStartWhereServersGetNewIDs(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	at, other := idle(t, w)
	late := lostStart(t, w, at)
	other.unlisted = false
	cut(w, at, true)
	w.run(8 * time.Second)
	assert.Assert(t, other.runs[late.Task] != nil, "the task was not started elsewhere")
}

// All VMs are lost, and others read the records only then.
func TestNewVMsKnowThatAStartMayArrive(t *testing.T) {
	w := newWorldWithHolder(t, 2, 2)
	late, at := givenUpStart(t, w)
	w.run(100 * time.Millisecond)
	for _, n := range w.nodes {
		n.dead = true
	}
	w.addNode()
	runUntil(w, "a new VM holds the term", func() bool { return w.holder() != nil })
	assertNotElsewhere(t, w, late, at)
}

// A backend server has started again before its first report to a successor, and once more after it. A start order of
// the previous holder reaches the last incarnation.
func TestStartOfAPreviousHolderReachesTheSecondIncarnationAfterIt(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	at, other := idle(t, w)
	late := lostStart(t, w, at)
	w.holder().dead = true
	at.crash(w)
	other.unlisted = false
	runUntil(w, "a successor hears of the restart", func() bool {
		h := w.holder()
		return h != nil && h.state.servers[at.id].incarnationStart == at.startedAt.UnixMilli()
	})
	assertNotElsewhere(t, w, late, at)
}

// A late order of the previous holder began its run shortly before the wait was over, on a backend server that its
// successor did not reach. The task was placed elsewhere when the wait was over.
func TestTaskWaitsForTheLeaseOfAStartThatHasArrivedUnseen(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	late, at := givenUpStart(t, w)
	key, _, err := job.ParseTaskName(late.Task)
	assert.NilError(t, err)
	task := &w.holder().state.jobs.Job(key.Job).Group(0, 0).Tasks[0]
	runUntil(w, "the task waits", func() bool { return task.Phase == job.Waiting })
	w.run(100 * time.Millisecond)
	w.holder().dead = true
	cutOff(w, at)
	w.run(10 * time.Second)
	at.crash(w)
	_, err = at.start(w, late, "a late order")
	assert.NilError(t, err)
	at.hangs = true
	w.run(maxDeliveryDelay + leaseMax)
	assert.Equal(t, w.oracle.startsOf[late.Task], 2, "the task was not started again")
}

// A start order that certainly had no effect does not hold its task back.
func TestStartWithoutEffectDoesNotHoldItsTaskBack(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	restartedServers(t, w)
	w.orderDelay = time.Minute
	sent := len(w.startOrders)
	w.submit(newJob(1, oneAccelerator, 60))
	runUntil(w, "the start is ordered", func() bool { return len(w.startOrders) > sent })
	order := w.startOrders[sent].Start
	w.deliver(w.holder(), StartAnswered{Order: order, Err: ErrNoEffect})
	assert.Assert(t, !w.holder().state.startMayArrive(order.Task))
}

// A start order with an answer does not either: the task is placed elsewhere at once when its run fails.
func TestAnsweredStartDoesNotHoldItsTaskBack(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	at, other := restartedServers(t, w)
	at.failsAll = true
	id := w.submit(newJob(1, oneAccelerator, 60)).ID
	w.run(500 * time.Millisecond)
	other.unlisted = false
	w.run(2 * time.Second)
	assert.Assert(t, other.runs[job.GroupKey{Job: id}.TaskName(0)] != nil, "the task was not started elsewhere")
}

// startedElsewhere returns a start order without an answer, whose task was given up on its silent backend server and
// started elsewhere before any backend server was seen to start again under its ID.
func startedElsewhere(t *testing.T, w *world) (late Start, at, other *fakeServer) {
	t.Helper()
	at, other = idle(t, w)
	late = lostStart(t, w, at)
	cutOff(w, at)
	other.unlisted = false
	runUntil(w, "the task is started elsewhere", func() bool { return other.runs[late.Task] != nil })
	assert.Assert(t, !w.holder().state.restartsSeen)
	return late, at, other
}

// assertRunsOnceMore reaches the restarted backend server again, and fails the test if the task is not at work soon.
func assertRunsOnceMore(t *testing.T, w *world, late Start) {
	t.Helper()
	clear(w.cutLinks)
	w.run(maxDeliveryDelay)
	assert.Equal(t, len(w.oracle.running[late.Task]), 1, "the task is not at work")
}

// The first restart under an ID that a deployment shows. The holder, which did not reach the new incarnation, knew that the
// task's first start could arrive there, and left its next run at work elsewhere. Found as play 40727 of the one-way cuts.
func TestStartArrivesAfterTheFirstRestartWasSeen(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	late, at, _ := startedElsewhere(t, w)
	at.crash(w)
	noticed(t, w, at)
	w.run(200 * time.Millisecond)
	_, err := at.start(w, late, "a late order")
	assert.NilError(t, err)
	assertRunsOnceMore(t, w, late)
}

// The same where the holder has changed since, and its successor sees the restart.
func TestStartOfAPreviousHolderArrivesAfterTheFirstRestartWasSeen(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	late, at, _ := startedElsewhere(t, w)
	w.holder().dead = true
	runUntil(w, "a successor", func() bool { return w.holder() != nil })
	w.run(contactTime)
	at.crash(w)
	runUntil(w, "the successor sees the restart", func() bool { return w.holder().state.restartsSeen })
	w.run(200 * time.Millisecond)
	_, err := at.start(w, late, "a late order")
	assert.NilError(t, err)
	assertRunsOnceMore(t, w, late)
}

// The same where the new incarnation answers nothing, though the earlier one answered until it ended.
func TestStartArrivesAfterTheFirstRestartOfAServerThatFallsSilent(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	late, at, _ := startedElsewhere(t, w)
	clear(w.cutLinks)
	runUntil(w, "the backend server answers", func() bool { return w.holder().state.servers[at.id].failedCalls == 0 })
	at.crash(w)
	cutOff(w, at)
	noticed(t, w, at)
	w.run(2 * callTimeout)
	_, err := at.start(w, late, "a late order")
	assert.NilError(t, err)
	assertRunsOnceMore(t, w, late)
}

// A restart of a backend server that answers costs nothing: the next call under its raised token refuses the start.
func TestRestartOfAServerThatAnswersStopsNoRunElsewhere(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	late, at, other := startedElsewhere(t, w)
	r := other.runs[late.Task]
	clear(w.cutLinks)
	runUntil(w, "the backend server answers", func() bool { return w.holder().state.servers[at.id].failedCalls == 0 })
	at.crash(w)
	noticed(t, w, at)
	w.run(contactTime)
	_, err := at.start(w, late, "a late order")
	assertFenced(t, err)
	w.run(contactTime)
	assert.Equal(t, other.runs[late.Task], r, "the run elsewhere was stopped")
}

// The first restart under an ID that a deployment shows, and a late start that arrives before the holder sees it.
func TestStartArrivesBeforeTheFirstRestartIsSeen(t *testing.T) {
	w := newWorldWithHolder(t, 1, 2)
	late, at, _ := startedElsewhere(t, w)
	at.crash(w)
	_, err := at.start(w, late, "a late order")
	assert.NilError(t, err)
	assertRunsOnceMore(t, w, late)
}

// seenAfter is enough for the holder to see a restart of a backend server that it has asked for a report, and to have
// its new incarnation refuse earlier calls: the next report, or a retry of it, a record, and a report.
const seenAfter = lateStartHoldInterval + holdRetry + 4*storeDelay + 8*linkDelay + 2*tickInterval

// Guards against two runs of a task (TWICE, review 7): a start without an answer is the first call of the next incarnation
// of an idle backend server, which was asked for a report only each 5 s. Before seenAfter it can still happen:
// TestStartArrivesBeforeTheFirstRestartIsSeen.
func TestLateStartIsRefusedSoonAfterTheFirstRestart(t *testing.T) {
	for idle := range 12 {
		w := newWorldWithHolder(t, 1, 2)
		late, at, _ := startedElsewhere(t, w)
		clear(w.cutLinks)
		runUntil(w, "the backend server answers", func() bool { return w.holder().state.servers[at.id].failedCalls == 0 })
		w.run(time.Duration(500+700*idle) * time.Millisecond)
		at.crashWithOldEntry(w, entryDelay)
		w.run(seenAfter)
		_, err := at.start(w, late, "a late order")
		assertFenced(t, err)
	}
}

// timeToStop is enough to store a record and to stop a run elsewhere.
const timeToStop = 300 * time.Millisecond

// TestRandomFirstRestarts has starts of a task or a gang lost on a backend server that starts again under its ID, the first
// one of the deployment, beside cuts and lost holders. They arrive there once a holder has seen the restart, has called the new
// incarnation, and has had the time to stop runs elsewhere.
func TestRandomFirstRestarts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := &machine{world: newWorld(t, uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")), 3, 4), t: t}
		c.oracle.mayGiveUp, c.oracle.lateAfterDone = true, true
		at := c.servers["s00"]
		late, sentAt := c.loseStarts(at)
		// chance returns one of the steps of 50 ms that follow, or none.
		chance := func(name string) int { return c.draw(name, 560) - 240 }
		restart, heal, kill, cut := c.draw("restart", 280), chance("heal"), chance("kill"), chance("cut")
		arrive, seenAt := restart+c.draw("arrive", 280), time.Time{}
		for i := range 320 {
			switch i {
			case restart:
				at.crash(c.world)
			case heal:
				clear(c.cutLinks)
			case cut:
				cutOff(c.world, at)
			case kill:
				if h := c.holder(); h != nil {
					h.dead = true
					c.addNode()
				}
			}
			if i < restart || !c.restartSeen(at) {
				seenAt = c.now
			}
			if i >= arrive && c.now.Sub(seenAt) >= timeToStop && c.now.Sub(sentAt) < maxDeliveryDelay {
				c.carryOutLate(sentAt, func() {
					for _, o := range late {
						_, _ = at.start(c.world, o.Start, "a late order")
					}
				})
				late = nil
			}
			c.run(tickInterval)
		}
		c.endFaults()
		c.run(settleTime)
		c.oracle.checkAllEnded()
	})
}

// restartSeen reports whether the holder has seen the present incarnation of a backend server and has called it.
func (c *machine) restartSeen(at *fakeServer) bool {
	h := c.holder()
	if h == nil || h.state.servers[at.id] == nil {
		return false
	}
	v := h.state.servers[at.id]
	return v.entry.IncarnationStart == at.born() && (v.hasReported || v.failedCalls > 0)
}

// loseStarts submits a job of which one backend server is to start all tasks, and returns the orders, which do not arrive.
func (c *machine) loseStarts(at *fakeServer) (lost []startOrder, sentAt time.Time) {
	for _, s := range c.servers {
		s.unlisted = s != at
	}
	c.run(10 * time.Second)
	j := newJob(1+c.draw("count", 3), oneAccelerator, 20+c.draw("seconds", 30))
	j.Steps[0].Gang = j.Steps[0].Count > 1 && c.draw("gang", 2) == 0
	c.submit(j)
	runUntil(c.world, "the placements", func() bool {
		h := c.holder()
		return h != nil && h.state.servers[at.id] != nil && len(h.state.servers[at.id].runs) > 0
	})
	cutOff(c.world, at) // not ordered yet
	runUntil(c.world, "the start orders", func() bool { return len(c.startOrders) == j.Steps[0].Count })
	for _, s := range c.servers {
		s.unlisted = false
	}
	return c.startOrders, c.now
}
