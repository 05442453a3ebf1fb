package schedule

import "time"

// End says how a send to a backend server ended.
type End int

// The ends.
const (
	EndDone        End = iota // executed
	EndFailed                 // executed, and failed
	EndFull                   // refused for want of slots
	EndLeaving                // refused by a server that takes no new work
	EndUnreachable            // no answer, or no connection
	EndNeutral                // ended for a reason that says nothing of the server
)

// Report tells the scheduler how a send ended.
type Report struct {
	End       End
	FreeSlots int           // EndDone and EndFailed
	Bytes     int64         // size of the answer
	Took      time.Duration // service time; 0 when it was not measured
}

// Ended counts a send out and learns from it. It reports whether the server was ejected.
func (s *Scheduler) Ended(x *Request, b *Server, r Report, now time.Time) (ejected bool) {
	switch r.End {
	case EndDone, EndFailed:
		s.pool.end(b, r.FreeSlots, now)
		return s.executed(x, b, r, now)
	case EndFull:
		s.pool.end(b, noReport, now)
		b.health.reachable()
		s.pool.close(b, now)
		return false
	case EndLeaving:
		s.pool.end(b, noReport, now)
		b.health.reachable()
		s.pool.leaving(b, now)
		return false
	case EndUnreachable:
		s.pool.end(b, noReport, now)
		s.pool.close(b, now)
		return s.unreachable(b, now)
	default:
		s.pool.end(b, noReport, now)
		return false
	}
}

func (s *Scheduler) executed(x *Request, b *Server, r Report, now time.Time) bool {
	b.health.reachable()
	if b.tier == TierFar {
		s.charge(r.Bytes, now)
	}
	if r.End == EndFailed {
		return b.health.executionFailed(x.Flow.Organisation) && s.pool.eject(b, now)
	}
	b.health.success()
	if r.Took > 0 {
		s.serviceTimes(x.Kind).add(r.Took)
	}
	return false
}

func (s *Scheduler) unreachable(b *Server, now time.Time) bool {
	return b.health.pathFailed() && s.pool.eject(b, now)
}

// Unreachable notes that a server does not answer its pings. It reports whether the
// server was ejected.
func (s *Scheduler) Unreachable(address string, now time.Time) (ejected bool) {
	b := s.pool.servers[address]
	return b != nil && s.unreachable(b, now)
}

// Busy returns the addresses of the servers that have requests of this VM in flight.
func (s *Scheduler) Busy() []string {
	var out []string
	for address, b := range s.pool.servers {
		if b.inflight > 0 {
			out = append(out, address)
		}
	}
	return out
}

// Slow returns the time after which an answer to a kind of request is unusually
// late; fallback when too little is measured.
func (s *Scheduler) Slow(kind string, fallback time.Duration) time.Duration {
	t := s.serviceTimes(kind)
	if !t.known() {
		return fallback
	}
	return slowFactor * t.p95
}

// slowFactor times the 95th percentile of the service time is unusually late.
const slowFactor = 2

// Address returns the address of the server.
func (b *Server) Address() string { return b.address }
