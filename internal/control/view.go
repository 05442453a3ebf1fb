package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// viewHistory is the number of decisions on configuration changes in a view.
const viewHistory = 64

// View returns an immutable copy of the state.
func (s *State) View() *View {
	v := &View{
		Time:              s.now,
		Incarnation:       s.self.Incarnation,
		AZ:                s.self.AZ,
		Ready:             s.ready(),
		Applied:           s.replica.Applied(),
		Config:            s.replica.Config().Current(),
		LogReachable:      s.log.reachable,
		LogReachableSince: s.log.reachableSince,
		ConfigStalled:     s.replica.Config().Stalled(),
		Terms:             s.viewTerms(),
		Peers:             s.viewPeers(),
		ConfigHistory:     s.replica.Config().History(viewHistory),
		Fragmentation:     s.placement.fragmentation,
		Violations:        s.violations,
	}
	backends := s.viewBackends()
	v.Backends, v.BackendsVersion = backends.list, backends.version
	v.VMs, _ = s.peers.VMs()
	v.GuaranteesAtRisk = s.viewRisks()
	if !s.log.reachable {
		v.PartialReason = string(ReasonLogUnreachable)
	}
	s.viewJobs(v)
	return v
}

// viewRisks lists the guarantees that this VM's zone cannot honour, if this VM schedules it,
// and all guarantees of zones from which no VM is heard.
func (s *State) viewRisks() []GuaranteeState {
	var list []GuaranteeState
	if s.acting() {
		for _, r := range s.placement.risks {
			list = append(list, GuaranteeState{Organisation: r.Organisation, Guarantee: r.Guarantee, Honoured: r.Honoured})
		}
	}
	unreachable := s.unreachableZones()
	orgs := s.replica.Config().Current().Organisations
	for _, id := range eventloop.SortedKeys(orgs) {
		for _, g := range orgs[id].Guarantees {
			if unreachable[g.AZ] {
				list = append(list, GuaranteeState{Organisation: id, Guarantee: g})
			}
		}
	}
	return list
}

// unreachableZones returns the other availability zones that have a term but no VM that is heard
// from.
func (s *State) unreachableZones() map[model.AZ]bool {
	unreachable := make(map[model.AZ]bool)
	if s.now.Sub(s.started) < remoteTimeoutFactor*s.settings.HolderTimeout {
		return unreachable
	}
	s.replica.Terms(func(az model.AZ, _ replica.Term) { unreachable[az] = az != s.self.AZ })
	for _, p := range s.peers.Peers() {
		if s.peers.Alive(p, s.now) {
			delete(unreachable, p.AZ)
		}
	}
	return unreachable
}

func (s *State) viewTerms() map[model.AZ]TermState {
	terms := make(map[model.AZ]TermState)
	s.replica.Terms(func(az model.AZ, t replica.Term) {
		terms[az] = TermState{AZ: az, Holder: t.Holder, Address: t.Address, Token: t.Token()}
	})
	for _, p := range s.peers.Peers() {
		if terms[p.AZ].Token.Less(p.Token) && s.peers.Alive(p, s.now) {
			terms[p.AZ] = TermState{AZ: p.AZ, Holder: p.Incarnation, Address: p.Address, Token: p.Token}
		}
	}
	if s.acting() {
		terms[s.self.AZ] = TermState{
			AZ:          s.self.AZ,
			Holder:      s.self.Incarnation,
			Address:     s.self.Address,
			Token:       s.term.token,
			HeldLocally: true,
		}
	}
	return terms
}

// backendsView is the latest list of all backend servers. Views share the list; it is never
// modified.
type backendsView struct {
	built          time.Time
	config         *config.Current
	conditionsHash uint64 // of this VM's availability zone
	version        int64
	list           map[model.BackendServerID]BackendState
}

// backendsMaxAge is how old the free slots and the state of other zones in a view may be. A
// server that changes its condition is shown at once.
const backendsMaxAge = 500 * time.Millisecond

// viewBackends returns the list of all backend servers, rebuilt only when it is due: the
// servers of all zones are too many to visit for each view.
func (s *State) viewBackends() backendsView {
	cfg := s.replica.Config().Current()
	conditions := s.hashConditions()
	b := &s.backends
	fresh := s.now.Sub(b.built) < backendsMaxAge
	if b.list != nil && fresh && b.config == cfg && b.conditionsHash == conditions {
		return *b
	}
	s.backends = backendsView{
		built:          s.now,
		config:         cfg,
		conditionsHash: conditions,
		version:        b.version + 1,
		list:           s.listBackends(cfg),
	}
	return s.backends
}

// hashConditions hashes the properties that decide whether servers of this VM's zone take new
// work.
func (s *State) hashConditions() uint64 {
	h := fnv.New64a()
	for _, id := range s.serverIDs {
		v := s.servers[id]
		var bits byte
		for i, set := range []bool{s.liveInView(v), v.leaving, v.health.quarantined} {
			if set {
				bits |= 1 << i
			}
		}
		_, _ = h.Write([]byte{bits})
	}
	return h.Sum64()
}

func (s *State) listBackends(cfg *config.Current) map[model.BackendServerID]BackendState {
	list := make(map[model.BackendServerID]BackendState, len(cfg.BackendServers))
	for id, info := range cfg.BackendServers {
		if s.servers[id] == nil {
			list[id] = s.remoteBackend(info)
		}
	}
	for id, v := range s.servers {
		list[id] = BackendState{
			Server:      v.info,
			Live:        s.liveInView(v),
			Leaving:     v.leaving,
			Quarantined: v.health.quarantined,
			FreeSlots:   v.freeSlots,
			Incarnation: v.incarnation,
			LastSeen:    maxTime(v.lastSeen, v.holderSawLive),
		}
	}
	return list
}

func maxTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func (s *State) viewPeers() []PeerState {
	var list []PeerState
	for _, p := range s.peers.Peers() {
		list = append(list, PeerState{
			Address:     p.Address,
			Incarnation: p.Incarnation,
			AZ:          p.AZ,
			Alive:       s.peers.Alive(p, s.now),
			Leaving:     p.IsLeaving(),
			Applied:     p.Applied,
		})
	}
	return list
}

// viewJobs copies the status of every job.
func (s *State) viewJobs(v *View) {
	jobs := make(map[model.JobID]JobStatus)
	add := func(id model.JobID) {
		if st, ok := s.jobStatus(id); ok {
			jobs[id] = st
		}
	}
	s.replica.Jobs(func(j *replica.Job) { add(j.Job.ID) })
	for id := range s.localJobs {
		add(id)
	}
	for id := range s.gangs {
		add(id)
	}
	for id := range s.outcomes {
		add(id)
	}
	v.JobsByState = make(map[JobState]int)
	for _, st := range jobs {
		v.JobsByState[st.State]++
	}
	v.lookup = func(id model.JobID) (JobStatus, bool) {
		st, ok := jobs[id]
		return st, ok
	}
	v.list = func(org model.OrganisationID) []JobStatus { return listJobs(jobs, org) }
}

func listJobs(jobs map[model.JobID]JobStatus, org model.OrganisationID) []JobStatus {
	var list []JobStatus
	for _, st := range jobs {
		if org == "" || st.Job.Organisation == org {
			list = append(list, st)
		}
	}
	slices.SortFunc(list, func(a, b JobStatus) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	return list
}
