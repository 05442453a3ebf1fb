package control

import (
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/rapidseed"
)

const actionsPerRun = 100

// TestMain sets the seed and the number of actions per run; the default of 100 runs makes
// 10,000 random actions.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.steps", fmt.Sprint(actionsPerRun))
	rapidseed.Main(m)
}

// machine is the state machine of a random run: one cluster and the faults applied to it.
type machine struct {
	*cluster
	t *rapid.T
}

func (m *machine) randomVM() *testVM {
	return m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(m.t, "vm")]
}

func (m *machine) randomServer() *fakeServer {
	ids := eventloop.SortedKeys(m.servers)
	return m.servers[ids[rapid.IntRange(0, len(ids)-1).Draw(m.t, "server")]]
}

// oneIn draws a number from 1 to n and reports whether it is 1.
func (m *machine) oneIn(n int) bool { return rapid.IntRange(1, n).Draw(m.t, "chance") == 1 }

func (m *machine) submitJob(*rapid.T) {
	shape := model.GangShape{
		Tasks:        rapid.IntRange(1, 5).Draw(m.t, "tasks"),
		Accelerators: rapid.IntRange(1, 4).Draw(m.t, "accelerators"),
		Adjacency:    model.AdjacentAny,
	}
	runtime := time.Duration(rapid.IntRange(1, 30).Draw(m.t, "seconds")) * time.Second
	m.submit(m.randomVM(), shape, rapid.Bool().Draw(m.t, "idempotent"), runtime)
}

func (m *machine) cancelJob(*rapid.T) {
	ids := eventloop.SortedKeys(m.jobs)
	if len(ids) == 0 || !m.oneIn(3) {
		return
	}
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(m.t, "job")]
	m.deliver(m.randomVM(), JobsCancelled{Reply: 2, Jobs: []model.JobID{id}})
}

// killVM kills a VM and adds a new one.
func (m *machine) killVM(*rapid.T) {
	if !m.oneIn(3) {
		return
	}
	n := m.randomVM()
	if n.dead {
		return
	}
	n.dead = true
	m.addVM()
}

func (m *machine) toggleFreeze(*rapid.T) {
	n := m.randomVM()
	if n.frozen {
		m.unfreeze(n)
		return
	}
	n.frozen = true
}

func (m *machine) toggleLink(*rapid.T) {
	a := m.randomVM().name
	b := []string{m.randomVM().name, m.randomServer().info.Address, "log"}[rapid.IntRange(0, 2).Draw(m.t, "to")]
	if a != b {
		m.setCut(a, b, m.connected(a, b))
	}
}

func (m *machine) toggleLinkFault(*rapid.T) {
	to := []string{m.randomVM().name, m.randomServer().info.Address, "log"}[rapid.IntRange(0, 2).Draw(m.t, "to")]
	l := link(m.randomVM().name, to)
	if m.oneIn(2) {
		m.loseAnswers[l] = !m.loseAnswers[l]
		return
	}
	m.dropCalls[l] = !m.dropCalls[l]
}

func (m *machine) changeLogFault(*rapid.T) {
	switch rapid.IntRange(0, 2).Draw(m.t, "log") {
	case 0:
		m.log.down = !m.log.down
	case 1:
		m.log.loseAnswers = !m.log.loseAnswers
	case 2:
		m.log.delay = time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "ms")) * time.Millisecond
	}
}

func (m *machine) killServer(*rapid.T) {
	f := m.randomServer()
	if f.dead || !m.oneIn(3) {
		return
	}
	f.die(m.now)
	m.addServer(len(m.servers))
}

func (m *machine) toggleServerFailure(*rapid.T) {
	if m.oneIn(3) {
		f := m.randomServer()
		f.failAll = !f.failAll
	}
}

// toggleLeaving has a backend server announce that it leaves, or that it stays after all.
func (m *machine) toggleLeaving(*rapid.T) {
	if m.oneIn(2) {
		f := m.randomServer()
		f.leaving = !f.leaving
	}
}

// changeDelays changes how long commands to a backend server, and all status reports, are under way.
func (m *machine) changeDelays(*rapid.T) {
	m.commandDelay[m.randomServer().info.ID] = time.Duration(rapid.IntRange(0, 450).Draw(m.t, "command")) * time.Millisecond
	m.reportDelay = time.Duration(rapid.IntRange(0, 400).Draw(m.t, "report")) * time.Millisecond
}

func (m *machine) drainVM(*rapid.T) {
	if m.oneIn(5) {
		m.deliver(m.randomVM(), DrainRequested{Reply: 3})
	}
}

func (m *machine) passTime(*rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 2000).Draw(m.t, "ms")) * time.Millisecond)
}

func (m *machine) check(*rapid.T) {
	m.run(50 * time.Millisecond)
	if len(m.observedViolations) > 0 {
		m.t.Fatalf("invariant violation observed: %s", m.observedViolations[0])
	}
	if len(m.reportedViolations) > 0 {
		m.t.Fatalf("invariant violation reported by a VM: %+v\n%s", m.reportedViolations[0], m.firstDump)
	}
}

// endFaults ends every fault except deaths and drains, and adds a VM.
func (m *machine) endFaults() {
	clear(m.cut)
	clear(m.loseAnswers)
	clear(m.dropCalls)
	clear(m.lateCalls)
	clear(m.commandDelay)
	m.reportDelay = 0
	m.log.down, m.log.loseAnswers, m.log.delay = false, false, 0
	m.addVM()
	for _, n := range m.vms {
		if n.frozen {
			m.unfreeze(n)
		}
	}
	for _, f := range m.servers {
		f.failAll, f.leaving = false, false
	}
}

// unendedJob returns a job that the log knows and that has not ended.
func (m *machine) unendedJob() (model.JobID, JobStatus) {
	n := m.vms[len(m.vms)-1]
	for _, id := range eventloop.SortedKeys(m.jobs) {
		if n.state.replica.Job(id) == nil {
			continue
		}
		if st, _ := n.state.jobStatus(id); !st.State.Ended() {
			return id, st
		}
	}
	return "", JobStatus{}
}

func TestRandomFaults(t *testing.T) {
	playRandomFaults(t, func(*machine) map[string]func(*rapid.T) { return nil })
}

// The same beside slow commands and reports, and servers that leave or stay after all.
func TestRandomFaultsBesideSlowCalls(t *testing.T) {
	playRandomFaults(t, func(m *machine) map[string]func(*rapid.T) {
		return map[string]func(*rapid.T){"leave": m.toggleLeaving, "slow": m.changeDelays}
	})
}

// playRandomFaults plays random faults, further ones among them, until all jobs have ended.
func playRandomFaults(t *testing.T, further func(*machine) map[string]func(*rapid.T)) {
	t.Helper()
	total, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{cluster: newCluster(t, 3, 4), t: t}
		actions := map[string]func(*rapid.T){
			"submit": m.submitJob,
			"cancel": m.cancelJob,
			"kill":   m.killVM,
			"freeze": m.toggleFreeze,
			"cut":    m.toggleLink,
			"mute":   m.toggleLinkFault,
			"log":    m.changeLogFault,
			"die":    m.killServer,
			"break":  m.toggleServerFailure,
			"drain":  m.drainVM,
			"pass":   m.passTime,
			"":       m.check,
		}
		maps.Copy(actions, further(m))
		t.Repeat(actions)
		m.endFaults()
		m.run(10 * time.Second)
		m.runUntil(10*time.Minute, func() bool {
			id, _ := m.unendedJob()
			return id == ""
		})
		m.check(nil)
		id, st := m.unendedJob()
		assert.Assert(t, id == "", "job %s never ended: %s, %s\n%s", id, st.State, st.Reason, m.describe(m.holder()))
		total++
		steps += m.steps
	})
	t.Logf("%d clusters, %d transitions", total, steps)
}
