package schedule

import "time"

// End says how a send to a backend server ended.
type End int

// The ends.
const (
	EndDone        End = iota // executed
	EndFailed                 // executed, and failed
	EndNoSlot                 // refused for want of slots
	EndLeaving                // refused by a server that takes no new work
	EndUnreachable            // no answer, or no connection
	EndAbandoned              // given up without an answer, for another server's or the caller's sake
	EndNeutral                // ended for a reason that says nothing of the server
)

// Report tells the scheduler how a send ended.
type Report struct {
	End         End
	FreeSlots   int           // EndDone and EndFailed
	Bytes       int64         // size of the answer
	ServiceTime time.Duration // service time; 0 when it was not measured
}

// RecordSend counts a send out and learns from it. It reports whether the server was ejected.
func (s *Scheduler) RecordSend(x *Request, b *Server, r Report, now time.Time) (ejected bool) {
	switch r.End {
	case EndDone, EndFailed:
		s.pool.end(b, r.FreeSlots, now)
		return s.executed(x, b, r, now)
	case EndNoSlot:
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
	case EndAbandoned:
		s.pool.end(b, noReport, now)
		b.health.suspect = true
		return false
	default:
		s.pool.end(b, noReport, now)
		return false
	}
}

func (s *Scheduler) executed(x *Request, b *Server, r Report, now time.Time) bool {
	b.health.reachable()
	if b.tier == TierRemote {
		s.charge(r.Bytes, now)
	}
	if r.End == EndFailed {
		return b.health.executionFailed(x.Flow.Organisation) && s.pool.eject(b, now)
	}
	b.health.success()
	if r.ServiceTime > 0 {
		s.serviceTimes(x.Kind).add(r.ServiceTime)
	}
	return false
}

func (s *Scheduler) unreachable(b *Server, now time.Time) bool {
	if !b.health.pathFailed() || !s.pool.eject(b, now) {
		return false
	}
	b.health.path = true
	return true
}

// MarkUnreachable notes that a server does not answer its pings. It reports whether the
// server was ejected.
func (s *Scheduler) MarkUnreachable(address string, now time.Time) (ejected bool) {
	b := s.pool.servers[address]
	if b == nil {
		return false
	}
	if b.health.path && b.health.ejected(now) {
		b.health.extend(now)
		return false
	}
	return s.unreachable(b, now)
}

// MarkReachable notes that a server answers its pings.
func (s *Scheduler) MarkReachable(address string, now time.Time) {
	if b := s.pool.servers[address]; b != nil {
		b.health.pathProved(now)
	}
}

// PingTargets returns the addresses of the servers to ping: those that have requests of
// this VM in flight, that were given up while silent, or are ejected for their path.
func (s *Scheduler) PingTargets() []string {
	var out []string
	for address, b := range s.pool.servers {
		if b.inflight > 0 || b.health.suspect || b.health.path {
			out = append(out, address)
		}
	}
	return out
}

// SlowThreshold returns the time after which an answer to a kind of request is unusually
// late; fallback when too little is measured.
func (s *Scheduler) SlowThreshold(kind string, fallback time.Duration) time.Duration {
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
