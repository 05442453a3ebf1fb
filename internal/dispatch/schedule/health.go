package schedule

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	// A server is ejected after ejectAfterPathFailures consecutive failures of the
	// network path to it.
	ejectAfterPathFailures = 3
	// A server is also ejected after ejectAfterFailedExecutions consecutive failed
	// executions that come from at least ejectMinOrganisations organisations.
	ejectAfterFailedExecutions = 5
	ejectMinOrganisations      = 2
	// minEjection and maxEjection bound the time of an ejection, which doubles with each
	// consecutive one.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// maxEjectedPercent bounds the ejected share of the servers of a tier. One server may
	// be ejected even if it is a larger share; see maxEjected.
	maxEjectedPercent = 30
)

// health is the outlier detection state of one backend server. Callers pass the current
// time.
type health struct {
	pathFailures        int                           // consecutive
	failedExecutions    int                           // consecutive
	failedOrganisations map[model.OrganisationID]bool // whose executions failed since the last success
	ejectedUntil        time.Time
	ejections           int  // consecutive
	probing             bool // since the last ejection no execution succeeded
	ejectedForPath      bool // ejected because its path failed; answered pings end the ejection
	silent              bool // a send to it was abandoned without an answer
}

// allowsRequest reports whether a request may be sent: none while ejected, one at a time
// while probing.
func (h *health) allowsRequest(now time.Time, inflight int) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	return !h.probing || inflight == 0
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// reset clears all failures and ejections after a successful execution.
func (h *health) reset() { *h = health{} }

// clearPathFailures is called when the server answered in any way. Failed executions
// and a running ejection stay.
func (h *health) clearPathFailures() {
	h.pathFailures = 0
	h.silent = false
}

// recordPathFailure counts a failure of the path and reports whether the server is to
// be ejected for it.
func (h *health) recordPathFailure() bool {
	h.pathFailures++
	return h.probing || h.pathFailures >= ejectAfterPathFailures
}

// recordFailedExecution counts a failed execution and reports whether the server is to
// be ejected for it. The request itself may be the cause, so executions of several
// organisations have to fail.
func (h *health) recordFailedExecution(org model.OrganisationID) bool {
	h.failedExecutions++
	if h.failedOrganisations == nil {
		h.failedOrganisations = map[model.OrganisationID]bool{}
	}
	h.failedOrganisations[org] = true
	repeated := h.failedExecutions >= ejectAfterFailedExecutions && len(h.failedOrganisations) >= ejectMinOrganisations
	return h.probing || repeated
}

// recordPing handles an answered ping. It ends an ejection for the path; after that,
// requests are sent one at a time until one succeeds.
func (h *health) recordPing(now time.Time) {
	h.clearPathFailures()
	if h.ejectedForPath && h.ejected(now) {
		h.ejectedUntil = now
	}
}

// extendEjection prolongs the ejection of a server whose path still fails.
func (h *health) extendEjection(now time.Time) {
	if until := now.Add(minEjection); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

func (h *health) eject(now time.Time) {
	h.ejectedUntil = now.Add(min(minEjection<<min(h.ejections, 8), maxEjection))
	h.ejections++
	h.probing = true
	h.pathFailures = 0
	h.failedExecutions = 0
	h.failedOrganisations = nil
}

// eject ejects b unless too large a share of its tier is ejected already.
func (p *pool) eject(b *Server, now time.Time) bool {
	ejected := 0
	for _, other := range p.tiers[b.tier] {
		if other != b && other.health.ejected(now) {
			ejected++
		}
	}
	if ejected >= maxEjected(len(p.tiers[b.tier])) {
		return false
	}
	b.health.eject(now)
	return true
}

// maxEjected returns how many servers of a tier with n servers may be ejected at a time:
// at least one, but never the only server of the tier.
func maxEjected(n int) int {
	if n < 2 {
		return 0
	}
	return max(n*maxEjectedPercent/100, 1)
}
