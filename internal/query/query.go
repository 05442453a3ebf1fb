// Package query implements the calls of the API that only read state.
package query

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/dispatch"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Handler answers queries from the latest view.
type Handler struct {
	Control  control.Service
	Dispatch dispatch.Service
	// RenderConfig returns the current configuration as records.
	RenderConfig func(*control.View) []json.RawMessage
	Draining     func() bool
	PeerJobs     PeerJobs
	// Violations returns the number of invariant violations that this process has detected.
	Violations func() int64
	// CaughtUp reports whether this VM has read the log to its end; nil means that it has.
	CaughtUp func() bool
}

// Config returns the current configuration.
func (h *Handler) Config() api.ConfigReply {
	view := h.Control.View()
	return api.ConfigReply{
		Revision: view.Config.Revision,
		Records:  h.RenderConfig(view),
		Stalled:  view.ConfigStalled,
	}
}

// ConfigHistory returns the latest decisions on configuration changes.
func (h *Handler) ConfigHistory() []journal.Decision {
	return h.Control.View().ConfigHistory
}

// Decision returns the decision on a change if this VM has replayed it from the log.
func (h *Handler) Decision(ctx context.Context, id string) (journal.Decision, bool) {
	return h.Control.Decision(ctx, id)
}

// Jobs lists the jobs of an organisation, or all jobs for an empty ID.
func (h *Handler) Jobs(org model.OrganisationID) []control.JobStatus {
	return h.Control.View().Jobs(org)
}

// Outcome returns the outcome known for a request.
func (h *Handler) Outcome(ctx context.Context, id model.RequestID, ticket string) (dispatch.Result, bool) {
	return h.Dispatch.Lookup(ctx, id, ticket)
}

// Ready reports whether the load balancer may send traffic to this VM: it has read the
// log to its end and no planned stop is in progress. If this release cannot read the newest
// configuration, the VM must also have an earlier revision that it can use.
func (h *Handler) Ready() bool {
	view := h.Control.View()
	unreadable := view.ConfigStalled != "" && view.Config.Revision == 0
	return view.Ready && h.caughtUp() && !unreadable && !h.Draining()
}

// caughtUp reports whether this VM has read the log to its end.
func (h *Handler) caughtUp() bool {
	return h.CaughtUp == nil || h.CaughtUp()
}

// Status returns this VM's view of the system, with a list of all backend servers if
// servers is set.
func (h *Handler) Status(now time.Time, servers bool) api.StatusReply {
	view := h.Control.View()
	status := api.StatusReply{
		Incarnation:    view.Incarnation,
		AZ:             view.AZ,
		Ready:          h.Ready(),
		Draining:       h.Draining(),
		Partial:        view.PartialReason,
		Applied:        view.Applied,
		ConfigRevision: view.Config.Revision,
		ConfigStalled:  view.ConfigStalled,
		Platform: api.PlatformStatus{
			Reachable:     view.LogReachable,
			StateDuration: now.Sub(view.LogReachableSince).Round(time.Second).String(),
		},
		Terms:            sortedTerms(view),
		Peers:            view.Peers,
		Queues:           h.Dispatch.Queues(),
		Jobs:             jobCounts(view),
		GuaranteesAtRisk: view.GuaranteesAtRisk,
		Fragmentation:    view.Fragmentation,
		Violations:       h.Violations(),
	}
	for _, b := range sortedBackends(view) {
		countBackend(&status.Backends, b)
		if servers {
			status.BackendList = append(status.BackendList, b)
		}
	}
	return status
}

func countBackend(counts *api.BackendCounts, b control.BackendState) {
	switch b.Condition() {
	case control.ConditionLost:
		counts.Lost++
	case control.ConditionLeaving:
		counts.Leaving++
	case control.ConditionQuarantined:
		counts.Quarantined++
	default:
		counts.Live++
	}
}

func sortedTerms(view *control.View) []control.TermState {
	terms := make([]control.TermState, 0, len(view.Terms))
	for _, t := range view.Terms {
		terms = append(terms, t)
	}
	slices.SortFunc(terms, func(a, b control.TermState) int { return cmp.Compare(a.AZ, b.AZ) })
	return terms
}

func sortedBackends(view *control.View) []control.BackendState {
	list := make([]control.BackendState, 0, len(view.Backends))
	for _, b := range view.Backends {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b control.BackendState) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return list
}

func jobCounts(view *control.View) []api.JobCount {
	counts := make([]api.JobCount, 0, len(view.JobsByState))
	for state, n := range view.JobsByState {
		counts = append(counts, api.JobCount{State: state, Count: n})
	}
	slices.SortFunc(counts, func(a, b api.JobCount) int { return cmp.Compare(a.State, b.State) })
	return counts
}
