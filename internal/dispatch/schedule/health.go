package schedule

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// ejectAfter consecutive failures of the path to a server eject it.
	ejectAfter = 3
	// ejectAfterFailed consecutive failed executions, of at least
	// ejectOrganisations organisations, eject it.
	ejectAfterFailed   = 5
	ejectOrganisations = 2
	// ejectMin and ejectMax bound the time of an ejection, which doubles.
	ejectMin = 2 * time.Second
	ejectMax = time.Minute
	// ejectedPercent bounds the ejected share of the servers of a tier.
	ejectedPercent = 30
)

// health is the outlier detection of one backend server. It is pure.
type health struct {
	unreachable  int // consecutive failures of the path
	failed       int // consecutive failed executions
	failedFor    map[model.OrganisationID]bool
	ejectedUntil time.Time
	ejections    int  // consecutive
	probing      bool // ejected, or ejection is over and no success seen yet
	path         bool // ejected for its path, which pings can prove again
	suspect      bool // was silent when another server answered first
}

// admits reports whether a request may be sent: one at a time while probing.
func (h *health) admits(now time.Time, inflight int) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	return !h.probing || inflight == 0
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// success clears all evidence.
func (h *health) success() { *h = health{} }

// reachable clears the evidence against the path only.
func (h *health) reachable() {
	h.unreachable = 0
	h.suspect = false
}

// pathFailed notes a failure of the path and reports whether it calls for ejection.
func (h *health) pathFailed() bool {
	h.unreachable++
	return h.probing || h.unreachable >= ejectAfter
}

// executionFailed notes a failed execution and reports whether it calls for
// ejection. A failure may be the request's own fault, so several organisations
// have to see it.
func (h *health) executionFailed(org model.OrganisationID) bool {
	h.failed++
	if h.failedFor == nil {
		h.failedFor = map[model.OrganisationID]bool{}
	}
	h.failedFor[org] = true
	several := h.failed >= ejectAfterFailed && len(h.failedFor) >= ejectOrganisations
	return h.probing || several
}

// pathProved notes an answered ping. It ends an ejection for the path; requests go
// one at a time until one succeeds.
func (h *health) pathProved(now time.Time) {
	h.reachable()
	if h.path && h.ejected(now) {
		h.ejectedUntil = now
	}
}

// extend keeps an ejected server out while its path fails.
func (h *health) extend(now time.Time) {
	if until := now.Add(ejectMin); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

func (h *health) eject(now time.Time) {
	h.ejectedUntil = now.Add(min(ejectMin<<min(h.ejections, 8), ejectMax))
	h.ejections++
	h.probing = true
	h.unreachable = 0
	h.failed = 0
	h.failedFor = nil
}

// eject ejects b unless too large a share of its tier is ejected already.
func (p *pool) eject(b *Server, now time.Time) bool {
	ejected := 0
	for _, other := range p.tiers[b.tier] {
		if other != b && other.health.ejected(now) {
			ejected++
		}
	}
	if ejected >= ejectable(len(p.tiers[b.tier])) {
		return false
	}
	b.health.eject(now)
	return true
}

// ejectable returns how many of n servers may be ejected at a time.
func ejectable(n int) int {
	if n < 2 {
		return 0
	}
	return max(n*ejectedPercent/100, 1)
}
