package schedule

import "time"

// End says how a send to a backend server ended.
type End int

// The values of End.
const (
	EndDone        End = iota // executed
	EndFailed                 // executed, and failed
	EndNoSlot                 // refused because no slot was free
	EndLeaving                // refused because the server is leaving
	EndUnreachable            // no answer, or no connection
	EndAbandoned              // given up without an answer: another server was first, the caller left or the deadline passed
	EndNeutral                // ended for a reason unrelated to the server
)

// Report tells the scheduler how a send ended.
type Report struct {
	End         End
	FreeSlots   int           // set for EndDone and EndFailed
	Bytes       int64         // size of the answer
	ServiceTime time.Duration // 0 when it was not measured
}

// RecordSend notes that a send to b ended. The send no longer counts as in flight, and
// the estimate of free slots, the health of b, the service times and the byte budget of
// other regions are updated. It reports whether b was ejected.
func (s *Scheduler) RecordSend(request *Request, b *Server, r Report, now time.Time) (ejected bool) {
	switch r.End {
	case EndDone, EndFailed:
		s.pool.end(b, r.FreeSlots, now)
		return s.recordExecution(request, b, r, now)
	case EndNoSlot:
		s.pool.end(b, noReport, now)
		b.health.clearPathFailures()
		s.pool.close(b, now)
		return false
	case EndLeaving:
		s.pool.end(b, noReport, now)
		b.health.clearPathFailures()
		s.pool.markLeaving(b, now)
		return false
	case EndUnreachable:
		s.pool.end(b, noReport, now)
		s.pool.close(b, now)
		return s.recordPathFailure(b, now)
	case EndAbandoned:
		s.pool.end(b, noReport, now)
		b.health.silent = true
		return false
	default:
		s.pool.end(b, noReport, now)
		return false
	}
}

func (s *Scheduler) recordExecution(request *Request, b *Server, r Report, now time.Time) bool {
	b.health.clearPathFailures()
	if b.tier == TierRemote {
		s.chargeCrossRegion(r.Bytes, now)
	}
	if r.End == EndFailed {
		return b.health.recordFailedExecution(request.Flow.Organisation) && s.pool.eject(b, now)
	}
	b.health.reset()
	if r.ServiceTime > 0 {
		s.serviceTimes(request.Kind).add(r.ServiceTime)
	}
	return false
}

func (s *Scheduler) recordPathFailure(b *Server, now time.Time) bool {
	if !b.health.recordPathFailure() || !s.pool.eject(b, now) {
		return false
	}
	b.health.ejectedForPath = true
	return true
}

// MarkUnreachable notes that a server does not answer pings. It reports whether the
// server was ejected.
func (s *Scheduler) MarkUnreachable(address string, now time.Time) (ejected bool) {
	b := s.pool.servers[address]
	if b == nil {
		return false
	}
	if b.health.ejectedForPath && b.health.ejected(now) {
		b.health.extendEjection(now)
		return false
	}
	return s.recordPathFailure(b, now)
}

// MarkReachable notes that a server answered a ping.
func (s *Scheduler) MarkReachable(address string, now time.Time) {
	if b := s.pool.servers[address]; b != nil {
		b.health.recordPing(now)
	}
}

// PingTargets returns the addresses of the servers to ping: those that have requests
// of this VM in flight, those on which a send was abandoned without an answer, and
// those that are ejected because their path failed.
func (s *Scheduler) PingTargets() []string {
	var out []string
	for address, b := range s.pool.servers {
		if b.inflight > 0 || b.health.silent || b.health.ejectedForPath {
			out = append(out, address)
		}
	}
	return out
}

// SlowThreshold returns the time after which an answer to a kind of request is
// unusually late; fallback when there are too few samples.
func (s *Scheduler) SlowThreshold(kind string, fallback time.Duration) time.Duration {
	t := s.serviceTimes(kind)
	if !t.hasEstimate() {
		return fallback
	}
	return slowFactor * t.p95
}

// slowFactor multiplies the 95th percentile of the service time to give SlowThreshold.
const slowFactor = 2

// Address returns the address of the server.
func (b *Server) Address() string { return b.address }
