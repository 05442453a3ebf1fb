package prepared

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLeaseOfLateHold(t *testing.T) {
	const (
		late    = 100 * time.Millisecond
		granted = 30000
	)
	for _, c := range []struct {
		name        string
		fromArrival bool
		leaseMax    time.Duration
	}{
		{"deadline", false, time.Minute},
		{"from arrival", true, time.Minute},
		{"from arrival, up to the longest", true, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			network := NewNetwork()
			s := &Server{id: "i-1", LeaseMax: c.leaseMax, network: network, store: NewStore(network, nil), record: newRecord()}
			s.reset()
			s.SetFault(ServerFault{LateHolds: late, LateHoldShare: 1, FromArrival: c.fromArrival})
			sent := s.clock()
			body := fmt.Sprintf(`{"deadlineMs":%d,"fenceToken":1}`, sent+granted)
			s.handleHold(httptest.NewRecorder(), httptest.NewRequest("POST", "/hold", strings.NewReader(body)))
			switch {
			case c.leaseMax < granted*time.Millisecond:
				assert.Check(t, s.deadline <= s.clock()+c.leaseMax.Milliseconds())
				assert.Check(t, s.deadline >= sent+(late/2+c.leaseMax).Milliseconds())
			case c.fromArrival:
				assert.Check(t, s.deadline >= sent+granted+(late/2).Milliseconds()-1, "%d", s.deadline-sent)
			default:
				assert.Equal(t, s.deadline, sent+granted)
			}
		})
	}
}

func TestLeaseOfASlowClock(t *testing.T) {
	s := &Server{LeaseMax: time.Minute, ClockLag: 0.02, record: newRecord()}
	s.reset()
	s.extend(firstClock + 4900)
	assert.Equal(t, s.leaseEnd().Sub(s.born), 5*time.Second)
	s.born = s.born.Add(-100 * time.Second)
	assert.Assert(t, s.clock() >= firstClock+98000 && s.clock() < firstClock+100000, "%d", s.clock())
}

// A backend server carries out a run beside an earlier one of the same task.
func TestRunBesideAnEarlierOneOnItsServerIsRecorded(t *testing.T) {
	network := NewNetwork()
	s := &Server{id: "i-1", LeaseMax: time.Minute, network: network, store: NewStore(network, nil), record: newRecord()}
	s.reset()
	for run := 1; run <= 2; run++ {
		body := fmt.Sprintf(`{"task":"1.0.0.0","run":%d,"spec":"{\"RunMs\":60000}","deadlineMs":%d,"fenceToken":1}`, run, s.clock()+30000)
		s.handleStart(httptest.NewRecorder(), httptest.NewRequest("POST", "/run-start", strings.NewReader(body)))
	}
	assert.Equal(t, len(s.record.RunTwice()), 1)
}

// A start order that an unhealthy server refuses changes nothing, also if its run is there.
func TestRefusedStart(t *testing.T) {
	network := NewNetwork()
	s := &Server{id: "i-1", LeaseMax: time.Minute, network: network, store: NewStore(network, nil), record: newRecord(), gangs: newGangs(network)}
	s.reset()
	start := func() int {
		answer := httptest.NewRecorder()
		body := fmt.Sprintf(`{"task":"ab.0.0.0","run":1,"spec":"{\"runMs\":60000}","deadlineMs":%d,"fenceToken":1}`, s.clock()+5000)
		s.handleStart(answer, httptest.NewRequest("POST", "/run-start", strings.NewReader(body)))
		return answer.Code
	}
	s.SetFault(ServerFault{RefusedStarts: 1})
	assert.Equal(t, start(), 503)
	assert.Equal(t, len(s.running), 0)
	s.SetFault(ServerFault{})
	assert.Equal(t, start(), 200)
	s.SetFault(ServerFault{RefusedStarts: 1})
	assert.Equal(t, start(), 503)
	assert.Equal(t, len(s.running), 1)
}
