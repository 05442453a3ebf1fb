package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// waitsForAnEnd returns a cluster of four whole servers in which an urgent gang waits for three: two are free,
// one is free in five seconds, and the last one runs something that may be stopped.
func waitsForAnEnd() *cluster {
	c := newCluster(4)
	c.Servers[2].Free, c.Servers[2].Ends = job.Resources{}, []ExpectedEnd{{Need: capacity, After: 5 * time.Second}}
	c.addPreemptible("long", 3, capacity, 100000)
	c.Servers[3].Ends = []ExpectedEnd{{Need: capacity, After: time.Minute}}
	c.addPending("wide", job.Step{Count: 3, Need: capacity, Gang: true, EstimatedRuntime: 5 * time.Second}, func(p *PendingStep) {
		p.Urgent, p.Runtime, p.Remaining = true, 5*time.Second, 5*time.Second
	})
	return c
}

func lasting(d time.Duration) func(*PendingStep) {
	return func(p *PendingStep) { p.Priority, p.Runtime = 1, d }
}

// The free room of a gang that waits goes to work that ends before the gang can start, also to urgent work, which
// is started there and doesn't only reserve it (finding "gangs that wait with most room free", LOST).
func TestWorkThatEndsInTimeStartsInEarmarkedRoom(t *testing.T) {
	one := job.Step{Count: 1, Need: capacity, Gang: true}
	for name, c := range map[string]struct {
		change func(*PendingStep)
		placed int
	}{
		"ends in time":         {lasting(2 * time.Second), 1},
		"may outlast":          {lasting(3 * time.Second), 0},
		"runtime unknown":      {lasting(0), 0},
		"urgent, ends in time": {func(p *PendingStep) { p.Urgent, p.Runtime = true, 2*time.Second }, 1},
		"urgent, may outlast":  {func(p *PendingStep) { p.Urgent, p.Runtime = true, 3*time.Second }, 0},
		"guaranteed":           {guaranteed, 1},
	} {
		w := waitsForAnEnd().addPending("z-short", one, c.change)
		assert.Equal(t, len(placedOn(Decide(w.Snapshot), "z-short")), c.placed, name)
	}
	slow := waitsForAnEnd().addPending("z-short", one, lasting(2*time.Second))
	for i := range slow.Servers[:3] { // the fourth one is ordinary, so that paces count
		slow.Servers[i].Pace = 0.5
	}
	assert.Equal(t, len(Decide(slow.Snapshot).Placements), 0, "it outlasts on servers of half the pace")
}

// Urgent work that may not use earmarked room doesn't reserve it either, which would keep it from work that may.
func TestUrgentWorkDoesNotReserveEarmarkedRoom(t *testing.T) {
	one := job.Step{Count: 1, Need: capacity, Gang: true}
	c := waitsForAnEnd().addPending("x-long", one, func(p *PendingStep) { p.Urgent, p.Runtime = true, 8*time.Second })
	c.addPending("y-long", one, func(p *PendingStep) { p.Urgent, p.Runtime = true, 8*time.Second })
	c.addPending("z-short", job.Step{Count: 2, Need: capacity}, lasting(time.Second))
	c.Explain = true
	plan := Decide(c.Snapshot)
	assert.Equal(t, len(placedOn(plan, "z-short")), 2)
	why := make(map[job.GroupKey]Reason)
	for _, u := range plan.Unplaced {
		why[u.Key] = u.Reason
	}
	assert.DeepEqual(t, why, map[job.GroupKey]Reason{
		groupKey("wide"): NoAccelerators, groupKey("x-long"): Earmarked, groupKey("y-long"): Earmarked,
	})
}

// A gang that would be too late by the time that its room is free keeps none.
func TestEarmarkThatComesTooLateHoldsNoRoom(t *testing.T) {
	c := waitsForAnEnd()
	c.Pending[0].Urgent, c.Pending[0].Objective = false, testNow.Add(2*time.Second)
	c.addPending("other", job.Step{Count: 2, Need: capacity}, lasting(time.Minute))
	assert.Equal(t, len(placedOn(Decide(c.Snapshot), "other")), 2)
}

// A gang that waits for a task which should have ended long ago keeps no room while most is free (LOST: single
// tasks waited behind it to the end of a day). Under load it does.
func TestOverdueTaskKeepsNoRoomIdle(t *testing.T) {
	for busy, placed := range map[int]int{1: 1, 5: 0} {
		c := newCluster(8)
		for i := range busy {
			c.Servers[i].Free, c.Servers[i].Ends = job.Resources{}, []ExpectedEnd{{Need: capacity}}
		}
		c.addPending("wide", job.Step{Count: 9 - busy, Need: whole, Gang: true}, nil)
		c.addPending("z-single", job.Step{Count: 1, Need: whole}, lasting(time.Minute))
		assert.Equal(t, len(placedOn(Decide(c.Snapshot), "z-single")), placed, "%d servers busy", busy)
	}
}

// A stream of short tasks beside it puts off no gang: each is let in only if it ends before the gang can start.
func TestShortTasksBesideAGangDoNotPutItOff(t *testing.T) {
	const runtime = 6 * time.Second
	l := newLoad(24, 12)
	long := job.Step{Count: 40, Need: job.Resources{MilliCPU: 4000, MemoryMB: 8000, Accelerators: 1}, EstimatedRuntime: runtime}
	short := long
	short.EstimatedRuntime = time.Second
	var key job.GroupKey
	beside := 0
	for i := range 200 {
		if i < 45 && i%3 == 0 {
			l.submit(fmt.Sprintf("long%03d", i), 2, long)
		}
		l.submit(fmt.Sprintf("short%03d", i), 2, short)
		if i == 50 {
			key = l.submit("plan", 1, job.Step{Count: 20, Need: whole, Gang: true, EstimatedRuntime: runtime})
		}
		l.round()
	}
	for i := range 200 {
		if at := l.placed[groupKey(fmt.Sprintf("short%03d", i))]; at.After(testNow.Add(51*roundInterval)) && at.Before(l.placed[key]) {
			beside++
		}
	}
	wait := l.placed[key].Sub(testNow.Add(50 * roundInterval))
	assert.Assert(t, wait > 0 && wait <= runtime+time.Second, "the gang started after %v", wait)
	assert.Assert(t, beside > 0, "no short task was let in")
}

// What gangs keep of the room that is free is bounded: maxEarmarkedShare of a service, or one gang's need if that
// starts before it has waited or will work as long. Whatever fits into the rest, or ends in time, is placed.
func TestEarmarksKeepABoundedShareFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(2, 16).Draw(t, "servers"))
		for i := range c.Servers {
			if busy := rapid.IntRange(0, 8).Draw(t, "busy"); busy > 0 {
				need := job.Resources{MilliCPU: 4000, MemoryMB: 8000, Accelerators: 1}.Times(busy)
				after := time.Duration(rapid.IntRange(0, 20).Draw(t, "after")) * time.Second
				c.Servers[i].Free, c.Servers[i].Ends = capacity.Sub(need), []ExpectedEnd{{Need: need, After: after}}
			}
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "gangs") {
			step := job.Step{Count: rapid.IntRange(1, 16).Draw(t, "members"), Need: whole, Gang: true, SameRack: rapid.Bool().Draw(t, "rack")}
			c.addPending(fmt.Sprintf("gang%d", i), step, func(p *PendingStep) {
				p.Runtime = time.Duration(rapid.IntRange(1, 10).Draw(t, "runtime")) * time.Second
				p.Remaining = p.Runtime
				p.Due = testNow.Add(-time.Duration(rapid.IntRange(0, 8).Draw(t, "waited")) * time.Second)
				p.Objective, p.Urgent = p.Due.Add(20*time.Second), rapid.Bool().Draw(t, "urgent")
			})
		}
		small := job.Resources{MilliCPU: 4000, MemoryMB: 8000, Accelerators: 1}
		c.addPending("small", job.Step{Count: 200, Need: small}, lasting(time.Hour))
		d := newRound(c.Snapshot)
		Order(c.Pending, c.Now)
		steps := make(map[job.GroupKey]*PendingStep)
		for i := range c.Pending {
			steps[c.Pending[i].Key] = &c.Pending[i]
			d.schedule(&c.Pending[i])
		}
		idle, total := 0.0, 0.0
		for _, srv := range d.servers {
			kept := srv.keptFrom(steps[groupKey("small")])
			assert.Assert(t, !small.FitsIn(srv.free.Sub(kept)), "%s has room", srv.ID)
			total += srv.Capacity.CoreWeight()
			idle += job.Resources{
				MilliCPU: min(srv.free.MilliCPU, kept.MilliCPU), Accelerators: min(srv.free.Accelerators, kept.Accelerators),
			}.CoreWeight()
		}
		plan := d.plan
		if idle <= maxEarmarkedShare*total {
			return
		}
		assert.Equal(t, len(plan.Earmarks), 1, "more than the share is kept for several gangs")
		mark := plan.Earmarks[0]
		p := steps[mark.Key]
		assert.Assert(t, mark.After <= max(p.Remaining, testNow.Sub(p.Due)), "%v kept for %v", idle/total, mark.After)
	})
}
