package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// restartAt has a backend server start again, with a time of start that differs from the one before by d.
func (s *fakeServer) restartAt(w *world, d time.Duration) {
	before := s.born()
	s.crash(w)
	s.setBack += time.Duration(s.born()-before)*time.Millisecond - d
}

// A backend server starts again in the millisecond of its earlier start, by a time of day that was set back. The ends
// of its new incarnation were taken for those of the earlier one, and a task that was done ran again.
func TestEndsOfAnIncarnationWithTheSameTimeOfStart(t *testing.T) {
	w := newWorldWithHolder(t, 1, 1)
	at := w.servers["s00"]
	for range 3 {
		_, _ = runningTask(t, w, 1, 500*time.Millisecond)
		w.run(2 * time.Second)
	}
	assert.Equal(t, w.holder().state.servers[at.id].appliedEnd, int64(3))
	at.restartAt(w, 0)
	w.run(contactTime)
	name := job.GroupKey{Job: w.submit(newJob(1, oneAccelerator, 1)).ID}.TaskName(0)
	w.run(12 * time.Second)
	assert.Equal(t, w.oracle.startsOf[name], 1)
	assert.Assert(t, w.oracle.done[name])
}

// As TestSuccessorHearsOfARestartFromTheEntry, with a time of start that is earlier than the one before.
func TestSuccessorHearsOfAnEarlierTimeOfStartFromTheEntry(t *testing.T) {
	playRestartAfterATakeOver(t, -time.Second)
}

// The same with a time of start that is the one before.
func TestSuccessorHearsOfTheSameTimeOfStartFromTheEntry(t *testing.T) {
	playRestartAfterATakeOver(t, 0)
}

func playRestartAfterATakeOver(t *testing.T, d time.Duration) {
	t.Helper()
	w := newWorldWithHolder(t, 3, 2)
	at, other := idle(t, w)
	late := lostStart(t, w, at)
	cutOff(w, at)
	w.holder().dead = true
	w.run(4 * time.Second)
	assert.Assert(t, w.holder() != nil)
	at.restartAt(w, d)
	w.run(6 * time.Second)
	_, err := at.start(w, late, "a late order")
	assert.NilError(t, err)
	other.unlisted = false
	w.run(30 * time.Second)
	assert.Assert(t, other.runs[late.Task] != nil, "the task was not started elsewhere")
}

// A VM that has seen the entry change before its take-over knows of the restart too.
func TestSuccessorRemembersThatTheEntryChangedToAnEarlierTimeOfStart(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	at, other := idle(t, w)
	late := lostStart(t, w, at)
	cutOff(w, at)
	at.restartAt(w, -time.Second)
	w.run(nonHolderServersPause + time.Second) // both others read the entry
	w.holder().dead = true
	w.run(10 * time.Second)
	assert.Assert(t, w.holder() != nil)
	_, err := at.start(w, late, "a late order")
	assert.NilError(t, err)
	other.unlisted = false
	w.run(30 * time.Second)
	assert.Assert(t, other.runs[late.Task] != nil, "the task was not started elsewhere")
}

// All backend servers tell the time of their first start after each restart.
func TestRandomRestartsWithTheSameTimeOfStart(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		playRandomRestarts(t, func(c *machine) { c.oracle.mayGiveUp, c.sameTimeOfStart = true, true })
	})
}

// A successor hears first from the next incarnation, whose clock is lower than the one that the previous holder has
// stored. Its ends are not those that are stored.
func TestSuccessorHearsOfTheSameTimeOfStartFromTheClock(t *testing.T) {
	w := newWorldWithHolder(t, 2, 1)
	at := w.servers["s00"]
	w.run(5 * time.Second)
	for range 3 {
		_, _ = runningTask(t, w, 1, 500*time.Millisecond)
		w.run(2 * time.Second)
	}
	w.holder().dead = true
	at.restartAt(w, 0)
	name := job.GroupKey{Job: w.submit(newJob(1, oneAccelerator, 1)).ID}.TaskName(0)
	w.run(12 * time.Second)
	assert.Equal(t, w.oracle.startsOf[name], 1)
	assert.Assert(t, w.oracle.done[name])
}

// A list that names the next incarnation after an answer has told of it does not count as one more restart.
func TestEntryAfterTheClockTellsOfNoSecondRestart(t *testing.T) {
	w := newWorldWithHolder(t, 1, 1)
	at := w.servers["s00"]
	w.run(10 * time.Second)
	token := at.highestToken
	at.restartAt(w, 0)
	w.run(idleHoldInterval + contactTime)
	first := at.highestToken
	assert.Assert(t, first > token)
	w.run(10 * time.Second)
	assert.Equal(t, at.highestToken, first)
}

// An entry that does not tell the time of start tells of no restart.
func TestEntryWithoutATimeOfStartTellsOfNoRestart(t *testing.T) {
	w := newWorldWithHolder(t, 1, 1)
	_, at := runningTask(t, w, 60, 5*time.Second)
	token := at.highestToken
	e := at.entry(w)
	e.IncarnationStart = 0
	w.deliver(w.holder(), ServersListed{Servers: []ServerEntry{e}, AsOf: w.now})
	w.run(5 * time.Second)
	assert.Equal(t, at.highestToken, token)
}

// An entry of another writer, without the time of start, between two of a sound backend server. A successor that does not
// reach the server took that for a restart under its ID, so that tasks waited for late starts on the whole deployment.
func TestSuccessorTakesNoEntryWithoutATimeOfStartForARestart(t *testing.T) {
	w := newWorldWithHolder(t, 3, 2)
	at := w.servers["s00"]
	w.run(5 * time.Second)
	strange := at.entry(w)
	strange.IncarnationStart, strange.Sequence = 0, 0
	for _, n := range w.nodes {
		w.deliver(n, ServersListed{Servers: []ServerEntry{strange, w.servers["s01"].entry(w)}, AsOf: w.now})
	}
	w.run(nonHolderServersPause + time.Second)
	w.holder().dead = true
	cutOff(w, at)
	runUntil(w, "a successor", func() bool { return w.holder() != nil })
	w.run(time.Second)
	assert.Assert(t, !w.holder().state.restartsSeen)
}

// An entry of another writer that lacks the clock and has an old sequence tells of no restart.
func TestEntryWithoutAClockTellsOfNoRestart(t *testing.T) {
	w := newWorldWithHolder(t, 1, 1)
	_, at := runningTask(t, w, 60, 5*time.Second)
	token := at.highestToken
	e := at.entry(w)
	e.Sequence, e.Clock = 1, 0
	w.deliver(w.holder(), ServersListed{Servers: []ServerEntry{e}, AsOf: w.now})
	w.run(5 * time.Second)
	assert.Equal(t, at.highestToken, token)
}
