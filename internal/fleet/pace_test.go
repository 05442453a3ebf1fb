package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// unevenWorld has two servers on each rack in three that work at half the speed.
func unevenWorld(t *testing.T, vms int) *world {
	w := newWorldWithHolder(t, vms, 12)
	for i := range 4 {
		w.fake(i).speed = 0.5
	}
	return w
}

func (w *world) fake(i int) *fakeServer {
	return w.servers[model.BackendServerID(fmt.Sprintf("s%02d", i))]
}

// isSlow reports whether a server works at half the speed.
func (w *world) isSlow(id model.BackendServerID) bool { return w.servers[id].speed == 0.5 }

func gangOf(n, seconds int) job.Job {
	j := newJob(n, wholeServer, seconds)
	j.Steps[0].Gang = true
	return j
}

// learnPaces runs gangs one after another until paces are known.
func (w *world) learnPaces(t *testing.T) {
	for range 4 {
		w.submit(gangOf(12, 3))
		w.run(8 * time.Second)
	}
	s := w.holder().state
	for id, v := range s.servers {
		switch pace := s.paceOf(v); {
		case w.isSlow(id):
			assert.Assert(t, pace > 0.4 && pace < 0.65, "pace of %s is %v", id, pace)
		default:
			assert.Assert(t, pace > 0.9 && pace < 1.1, "pace of %s is %v", id, pace)
		}
	}
}

// took submits a job and returns how long it takes.
func (w *world) took(t *testing.T, j job.Job) time.Duration {
	t.Helper()
	id, began := w.submit(j).ID, w.now
	for w.status(id) != job.StatusDone {
		assert.Assert(t, w.now.Sub(began) < time.Minute)
		w.run(50 * time.Millisecond)
	}
	return w.now.Sub(began)
}

func TestGangsEndSoonerOnceThePacesAreKnown(t *testing.T) {
	w := unevenWorld(t, 1)
	before := w.took(t, gangOf(8, 4))
	assert.Assert(t, before > 8*time.Second, "%v", before)
	w.learnPaces(t)
	starts := w.oracle.starts
	after := w.took(t, gangOf(8, 4))
	assert.Assert(t, after < 5*time.Second, "%v", after)
	assert.Equal(t, w.oracle.starts-starts, 8, "tasks were moved")
}

// A task on a slow server is no straggler. Moved, it would end later.
func TestTasksStayOnServersThatAreOnlySlow(t *testing.T) {
	w := unevenWorld(t, 1)
	w.learnPaces(t)
	for i := range 4 {
		w.fake(i).speed = 0.36 // far less than the others, but not much less than known
	}
	starts := w.oracle.starts
	w.took(t, gangOf(12, 4))
	assert.Equal(t, w.oracle.starts-starts, 12, "tasks were moved")
}

// A server that is slow for some seconds, beside those that are slow for good, is left as before.
func TestStragglersLeaveAFleetOfUnlikeServers(t *testing.T) {
	w := unevenWorld(t, 1)
	w.learnPaces(t)
	w.fake(4).slowdown = 6
	starts := w.oracle.starts
	took := w.took(t, gangOf(7, 4))
	assert.Assert(t, took < 7*time.Second, "%v", took)
	assert.Equal(t, w.oracle.starts-starts, 14, "the gang was not moved")
}

func TestTakeOverKeepsThePaces(t *testing.T) {
	w := unevenWorld(t, 2)
	w.learnPaces(t)
	w.took(t, newJob(1, oneAccelerator, 5)) // has the newest paces recorded
	written := 0
	for _, r := range w.store.part(progressPartition).records {
		if r.Key == paceKey {
			written++
			assert.Assert(t, len(r.Value) < 300, "%d bytes", len(r.Value))
		}
	}
	most := int(w.now.Sub(w.holder().state.term.takenAt)/paceRecordInterval) + 1
	assert.Assert(t, written > 0 && written <= most, "%d records, at most %d", written, most)
	old := w.holder()
	old.dead = true
	w.run(4 * time.Second)
	next := w.holder()
	assert.Assert(t, next != nil && next != old)
	for id, v := range next.state.servers {
		assert.Assert(t, !w.isSlow(id) || next.state.paceOf(v) < 0.65, "pace of %s is %v", id, next.state.paceOf(v))
	}
	assert.Assert(t, w.took(t, gangOf(8, 4)) < 5*time.Second)
}

// The next incarnation of a server may be a machine of another kind.
func TestRestartedServerHasNoPace(t *testing.T) {
	w := unevenWorld(t, 1)
	w.learnPaces(t)
	w.fake(0).crash(w)
	w.run(3 * time.Second)
	s := w.holder().state
	assert.Equal(t, s.paceOf(s.servers["s00"]), 0.0)
}

// Odd paces are skipped, logged and counted, and the next holder starts without them.
func TestOddRecordOfPacesIsSkipped(t *testing.T) {
	w := unevenWorld(t, 2)
	for _, value := range []string{"x", `{"servers":"AA=="}`, `{"kinds":[{"slope":7}]}`} {
		w.store.append(w, AppendRequest{Partition: progressPartition, Records: []job.Record{{Key: paceKey, Value: []byte(value)}}, At: -1})
	}
	w.run(time.Second)
	w.holder().dead = true
	w.run(4 * time.Second)
	assert.Equal(t, len(w.holder().state.paceRecord), 0)
	assert.Assert(t, w.took(t, gangOf(4, 2)) > 0)
}

// Runs of gangs end together: that of the slowest member.
func TestGangEndsWithItsSlowestMember(t *testing.T) {
	w := unevenWorld(t, 1)
	w.learnPaces(t)
	w.submit(gangOf(12, 4))
	w.run(3 * time.Second)
	s := w.holder().state
	for id, v := range s.servers {
		for _, r := range v.runs {
			left := s.remaining(r)
			assert.Assert(t, left > 4*time.Second && left < 6500*time.Millisecond, "%v left on %s", left, id)
		}
	}
}

// A gang for one rack takes three times as long on several. That tells nothing of its servers or of its work.
func TestRunsOnSeveralRacksTellNothing(t *testing.T) {
	for _, apart := range []bool{false, true} {
		w := newWorldWithHolder(t, 1, 4)
		for i := range 4 {
			w.fake(i).slowdown = 3
		}
		j := gangOf(2, 8)
		j.Steps[0].SameRack = true
		id := w.submit(j).ID
		w.run(200 * time.Millisecond)
		s := w.holder().state
		g := s.jobs.Job(id).Group(0, 0)
		for i := range g.Tasks {
			s.currentRun(g, i).apart = apart
		}
		w.run(8 * time.Second)
		assert.Equal(t, s.runtime(g) == 8*time.Second, apart, "%v", s.runtime(g))
	}
}
