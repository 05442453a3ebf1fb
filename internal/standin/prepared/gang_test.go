package prepared

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gangServers are backend servers in availability zones a, b, ... that run members of gangs.
type gangServers struct {
	t       *testing.T
	network *Network
	gangs   *Gangs
	record  *Record
	all     []*Server
}

func newGangServers(t *testing.T, n int) *gangServers {
	network := NewNetwork()
	g := &gangServers{t: t, network: network, gangs: newGangs(network), record: newRecord()}
	for i := range n {
		zone := string(rune('a' + i))
		s := &Server{id: "i-" + zone, Zone: zone, LeaseMax: leaseMax, network: network, store: NewStore(network, nil), record: g.record, gangs: g.gangs}
		s.reset()
		g.all = append(g.all, s)
	}
	return g
}

func (g *gangServers) call(handle http.HandlerFunc, path string, o order) {
	g.t.Helper()
	body, err := json.Marshal(o)
	assert.NilError(g.t, err)
	answer := httptest.NewRecorder()
	handle(answer, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body))))
	assert.Equal(g.t, answer.Code, http.StatusOK, answer.Body.String())
}

// start starts a member of a gang of two.
func (g *gangServers) start(s *Server, index string, run int64, runMs int) {
	g.t.Helper()
	spec, err := json.Marshal(Spec{RunMs: runMs, Gang: 2})
	assert.NilError(g.t, err)
	g.call(s.handleStart, "/run-start", order{Task: "ab.0.0." + index, Run: run, Spec: string(spec), DeadlineMs: s.clock() + 5000, FenceToken: 1})
}

// advance brings all backend servers up to date, twice, so that each hears of what the others find.
func (g *gangServers) advance() {
	for range 2 {
		for _, s := range g.all {
			s.mu.Lock()
			s.advance()
			s.mu.Unlock()
		}
	}
}

func (g *gangServers) ends() (ends []string) {
	for _, s := range g.all {
		how := ""
		for _, e := range s.ended {
			how += e.run.How
		}
		ends = append(ends, how)
	}
	return ends
}

func TestGangEndsTogether(t *testing.T) {
	g := newGangServers(t, 2)
	g.start(g.all[0], "0", 1, 30)
	time.Sleep(60 * time.Millisecond)
	g.advance()
	assert.DeepEqual(t, g.ends(), []string{"", ""})
	g.start(g.all[1], "1", 1, 30)
	g.advance()
	assert.DeepEqual(t, g.ends(), []string{"", ""})
	time.Sleep(40 * time.Millisecond)
	g.advance()
	assert.DeepEqual(t, g.ends(), []string{Done, Done})
	assert.Equal(t, g.record.Done("ab"), 2)
}

func TestGangIsBroken(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(g *gangServers, s *Server)
		ends []string
	}{
		{"stopped", func(g *gangServers, s *Server) {
			g.call(s.handleStop, "/run-stop", order{Task: "ab.0.0.0", Run: 1, FenceToken: 1})
			time.Sleep(2 * stopTime)
		}, []string{Stopped, Broken}},
		{"lost with its server", func(_ *gangServers, s *Server) { s.Restart() }, []string{"", Broken}},
		{"lapsed", func(_ *gangServers, s *Server) { s.deadline = s.clock() }, []string{Lapsed, Broken}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGangServers(t, 2)
			g.start(g.all[0], "0", 1, 60000)
			g.start(g.all[1], "1", 1, 60000)
			c.end(g, g.all[0])
			g.advance()
			assert.DeepEqual(t, g.ends(), c.ends)
		})
	}
}

func TestGangMemberWaitsInVain(t *testing.T) {
	g := newGangServers(t, 2)
	g.start(g.all[0], "0", 1, 10)
	g.all[0].running["ab.0.0.0"].Began = time.Now().Add(-gangTimeout)
	g.advance()
	assert.DeepEqual(t, g.ends(), []string{Alone, ""})
}

// A backend server that is cut off hears of the end of a gang when the cut heals; its lease may end before.
func TestGangMemberIsCutOff(t *testing.T) {
	for _, c := range []struct {
		name   string
		cut    bool
		lapses bool
		ends   []string
	}{
		{"paths do not count", false, false, []string{Stopped, Broken}},
		{"until the path heals", true, false, []string{Stopped, Broken}},
		{"until its lease ends", true, true, []string{Stopped, Lapsed}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGangServers(t, 2)
			g.gangs.SetCut(c.cut)
			heal := g.network.Cut("a", "b")
			g.start(g.all[0], "0", 1, 60000)
			g.start(g.all[1], "1", 1, 60000)
			g.call(g.all[0].handleStop, "/run-stop", order{Task: "ab.0.0.0", Run: 1, FenceToken: 1})
			time.Sleep(2 * stopTime)
			g.advance()
			if c.cut {
				assert.DeepEqual(t, g.ends(), []string{Stopped, ""})
			}
			if c.lapses {
				g.all[1].deadline = g.all[1].clock()
			} else {
				heal()
			}
			g.advance()
			assert.DeepEqual(t, g.ends(), c.ends)
		})
	}
}

// The runs of a gang are judged as one, whatever the members and the backend servers.
func TestRecordJudgesGangAsOne(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	run := func(index string, number int64, began, ended int, how string) *Run {
		return &Run{Task: "ab.0.0." + index, Gang: "ab.0.0", Number: number, Began: at(began), Ended: at(ended), How: how, members: 3}
	}
	noted := run("0", 1, 0, 100, Done)
	noted.Noted = at(150)
	gone := run("1", 1, 0, 0, "")
	gone.Ended = time.Time{}
	for _, c := range []struct {
		name  string
		runs  []*Run
		found string // in the only finding; empty if there is none
	}{
		{"members of one run", []*Run{run("0", 1, 0, 100, Done), run("1", 1, 10, 100, Done)}, ""},
		{"runs after each other", []*Run{run("0", 1, 0, 100, Stopped), run("1", 1, 0, 100, Broken), run("1", 2, 101, 200, Done)}, ""},
		{"another member of the next run", []*Run{run("0", 1, 0, 100, Lapsed), run("1", 2, 90, 200, Done)}, "two runs at once"},
		{"beside a member that never ended", []*Run{gone, run("2", 2, 90, 200, Done)}, "two runs at once"},
		{"one member twice in one run", []*Run{run("0", 2, 0, 100, Lapsed), run("0", 2, 90, 200, Done)}, "two runs at once"},
		{"another member after the end as done", []*Run{noted, run("2", 2, 160, 200, Done)}, "started after an end as done"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecord()
			for _, x := range c.runs {
				r.began(x)
			}
			found := r.RunTwice()
			if c.found == "" {
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.Equal(t, len(found), 1, "%v", found)
			assert.Assert(t, strings.HasPrefix(found[0], c.found), found[0])
		})
	}
}

// A gang that fails counts once a run, whichever member fails.
func TestRecordCountsFailuresOfGang(t *testing.T) {
	r := newRecord()
	for number, index := range []string{"0", "1", "2"} {
		r.began(&Run{Task: "ab.0.0." + index, Gang: "ab.0.0", Number: int64(number + 1), How: Failed})
	}
	r.began(&Run{Task: "ab.0.0.1", Gang: "ab.0.0", Number: 1, How: Failed})
	assert.DeepEqual(t, r.Failures("ab"), map[string]int{"ab.0.0": 3})
}
