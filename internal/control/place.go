package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// placementState is the result of the latest placement decision.
type placementState struct {
	dirty         bool
	decidedAt     time.Time
	waiting       map[model.JobID]model.Reason
	noCellSince   map[model.JobID]time.Time // when a job was first found to fit no healthy cell
	risks         []placement.Risk
	fragmentation float64
}

func claimEntryID(a model.AttemptID) string { return "claim-" + string(a) }

// placeJobs decides on all pending jobs if something has changed.
func (s *State) placeJobs() {
	s.expireRetryDelays()
	s.refreshWaiting()
	if !s.placement.dirty || !s.readyToPlace() {
		return
	}
	s.placement.dirty = false
	s.placement.decidedAt = s.now
	plan := s.policy.Decide(s.zoneState(), s.pendingJobs())
	s.recordPlan(plan)
	s.applyPlan(plan)
	s.checkPlan(plan)
}

// recordPlan records why gangs wait, the guarantees at risk and the fragmentation.
func (s *State) recordPlan(plan placement.Plan) {
	s.placement.waiting = make(map[model.JobID]model.Reason, len(plan.Waiting))
	for _, w := range plan.Waiting {
		s.placement.waiting[w.Job] = model.Reason(w.Reason)
		if w.Reason == placement.WaitNoHealthyCell {
			s.recordNoCell(w.Job)
		}
	}
	s.placement.risks = plan.Risks
	s.placement.fragmentation = plan.Fragmentation
}

func (s *State) applyPlan(plan placement.Plan) {
	s.setBorrowed(plan.Promotions, false)
	s.setBorrowed(plan.Demotions, true)
	for _, e := range plan.Evictions {
		if g := s.gangs[e.Job]; g != nil && g.phase != JobStopping && g.phase != JobCheckpointing {
			s.evictGang(g, ReasonPreempted)
		}
	}
	for _, st := range plan.Starts {
		s.startJob(st)
	}
}

func (s *State) setBorrowed(jobs []model.JobID, borrowed bool) {
	for _, id := range jobs {
		if g := s.gangs[id]; g != nil {
			g.borrowed = borrowed
		}
	}
}

// checkPlan checks the invariants on the zone after the plan was applied.
func (s *State) checkPlan(plan placement.Plan) {
	zone := s.zoneState()
	found := invariant.CheckReclaimable(zone, plan)
	found = append(found, invariant.CheckNoOvercommit(zone)...)
	zone.Placed = slices.DeleteFunc(zone.Placed, func(p placement.PlacedGang) bool {
		g := s.gangs[p.Job]
		return p.Evicting || g.recovering || len(p.Members) < len(g.members)
	})
	found = append(found, invariant.CheckNoPartialGang(zone)...)
	for _, v := range found {
		s.reportViolation(v)
	}
}

// agingInterval is the time between decisions when nothing changes but the age of waiting gangs.
const agingInterval = time.Second

// refreshWaiting requests a new decision on waiting gangs, since reservations depend on age.
func (s *State) refreshWaiting() {
	if len(s.placement.waiting) > 0 && s.now.Sub(s.placement.decidedAt) >= agingInterval {
		s.placement.dirty = true
	}
}

// expireRetryDelays allows jobs to be placed again when their retry delay is over.
func (s *State) expireRetryDelays() {
	for id, t := range s.retryAt {
		if !s.now.Before(t) {
			delete(s.retryAt, id)
			s.placement.dirty = true
		}
	}
}

// zoneState returns the state of the availability zone for a placement decision.
func (s *State) zoneState() placement.Zone {
	z := placement.Zone{AZ: s.self.AZ, Now: s.now}
	for _, id := range s.serverIDs {
		v := s.servers[id]
		z.Servers = append(z.Servers, placement.Server{BackendServer: v.info, Usable: s.usable(v)})
	}
	cfg := s.replica.Config().Current()
	for _, id := range eventloop.SortedKeys(cfg.Organisations) {
		z.Organisations = append(z.Organisations, cfg.Organisations[id])
	}
	for _, id := range eventloop.SortedKeys(s.gangs) {
		if p := s.placedGang(s.gangs[id]); len(p.Members) > 0 {
			z.Placed = append(z.Placed, p)
		}
	}
	return z
}

// placedGang lists the members of a gang that still occupy accelerators.
func (s *State) placedGang(g *gang) placement.PlacedGang {
	p := placement.PlacedGang{
		Gang:     s.candidate(g.job, g.started),
		Borrowed: g.borrowed,
		Evicting: g.phase == JobStopping || g.phase == JobCheckpointing,
		Started:  g.started,
	}
	for _, m := range g.members {
		if m.ended() {
			continue
		}
		p.Members = append(p.Members, placement.Member{Server: m.server, Accelerators: m.accelerators})
	}
	return p
}

func (s *State) candidate(job model.Job, submitted time.Time) placement.Gang {
	c := placement.Gang{
		Job:             job.ID,
		Organisation:    job.Organisation,
		Shape:           job.Shape,
		Class:           job.Class,
		Submitted:       submitted,
		DeclaredRuntime: job.DeclaredRuntime,
	}
	if j := s.replica.Job(job.ID); j != nil {
		c.Submitted = j.AcceptedAt
		c.Queued, c.Waited = j.QueuedAt, j.Waited
		c.Avoid = s.serversToAvoid(j)
	}
	return c
}

// serversToAvoid lists the backend servers on which the job failed, if the other usable
// ones can hold it.
func (s *State) serversToAvoid(j *replica.Job) []model.BackendServerID {
	if len(j.FailedServers) == 0 {
		return nil
	}
	var others []model.BackendServer
	for _, id := range s.serverIDs {
		if v := s.servers[id]; s.usable(v) && !slices.Contains(j.FailedServers, id) {
			others = append(others, v.info)
		}
	}
	org := s.replica.Config().Current().Organisations[j.Job.Organisation]
	if placement.CheckShape(s.self.AZ, others, org, j.Job.Shape) != nil {
		return nil
	}
	return j.FailedServers
}

// pendingJobs lists the jobs that may be started here, ordered by submission.
func (s *State) pendingJobs() []placement.Gang {
	var list []placement.Gang
	s.replica.OpenJobs(func(j *replica.Job) {
		if s.waitsForPlacement(j) {
			list = append(list, s.candidate(j.Job, j.AcceptedAt))
		}
	})
	for id, l := range s.localJobs {
		if l.permit == permitAvailable && s.schedulesZone(l.job.HomeAZ) && !s.blocked(id) && s.certainlyUnrecorded(l) {
			list = append(list, s.candidate(l.job, l.submitted))
		}
	}
	slices.SortFunc(list, func(a, b placement.Gang) int {
		if c := a.Submitted.Compare(b.Submitted); c != 0 {
			return c
		}
		return cmp.Compare(a.Job, b.Job)
	})
	return list
}

// certainlyUnrecorded reports whether the log certainly lacks a local job as far as this VM's entry
// decides. Once the entry may be in it, a successor may close the attempt of the permit as lost.
func (s *State) certainlyUnrecorded(l *localJob) bool {
	e := s.entries[acceptEntryID(l.job.ID)]
	return e != nil && e.state == appendNotSent
}

func (s *State) waitsForPlacement(j *replica.Job) bool {
	if j.Ended() || j.Cancelled || j.Attempt.Open || j.Job.HomeAZ != s.self.AZ || s.blocked(j.Job.ID) {
		return false
	}
	return s.log.reachable || j.Job.Idempotent
}

// blocked reports whether a job must not be placed: it has a gang, an outcome or cancellation
// that has not been read back, or a retry delay.
func (s *State) blocked(id model.JobID) bool {
	if s.gangs[id] != nil || s.outcomes[id] != nil || s.pendingCancels[id] != "" {
		return true
	}
	_, delayed := s.retryAt[id]
	return delayed
}

// startJob creates the gang of a placement decision, claims its start permit unless the job
// has one, and holds accelerators.
func (s *State) startJob(st placement.Start) {
	if s.gangs[st.Job] != nil {
		return
	}
	if l := s.localJobs[st.Job]; l != nil && l.permit == permitAvailable {
		g := s.newGang(l.job, l.attempt, 1, st.Members)
		g.permit = permitGranted
		l.permit = permitUsed
		g.borrowed = st.Borrowed
		s.holdGang(g)
		return
	}
	j := s.replica.Job(st.Job)
	if j == nil {
		return
	}
	g := s.newGang(j.Job, model.AttemptID(s.newID()), j.Attempt.Number+1, st.Members)
	g.borrowed = st.Borrowed
	g.checkpoint = j.Checkpoint
	s.claimPermit(g)
	s.holdGang(g)
}

// claimPermit appends a claim for the start permit. While the log is unreachable, it is called
// for idempotent jobs only; they start without a permit, and the claim is appended later.
func (s *State) claimPermit(g *gang) {
	g.claimID = claimEntryID(g.attempt)
	if !s.log.reachable {
		g.permit = permitGranted
	}
	s.submitEntry(g.claimID, journal.KindAttempt, journal.AttemptClaimed{
		Job:          g.job.ID,
		Attempt:      g.attempt,
		Number:       g.number,
		Term:         s.term.token,
		Checkpoint:   g.checkpoint,
		Servers:      serversOf(g),
		Incarnations: s.incarnationsOf(serversOf(g)),
	}, !s.log.reachable)
}

func serversOf(g *gang) []model.BackendServerID {
	var list []model.BackendServerID
	for _, m := range g.members {
		list = append(list, m.server)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// incarnationsOf returns the incarnations of backend servers, as far as they are known.
func (s *State) incarnationsOf(ids []model.BackendServerID) map[model.BackendServerID]string {
	known := make(map[model.BackendServerID]string)
	for _, id := range ids {
		if v := s.servers[id]; v != nil && v.incarnation != "" {
			known[id] = v.incarnation
		}
	}
	return known
}

// attemptReplayed handles the verdict on a claim that was read back.
func (s *State) attemptReplayed(a journal.AttemptClaimed, d journal.Decision) {
	g := s.gangs[a.Job]
	if g == nil {
		return
	}
	if g.attempt == a.Attempt {
		if d.Verdict == journal.VerdictAccepted {
			g.permit = permitGranted
			return
		}
		s.stopGang(g, ending{result: replica.ResultRetry, reason: ReasonPermitRefused})
		return
	}
	if d.Verdict == journal.VerdictAccepted {
		s.stopGang(g, ending{result: replica.ResultRetry, reason: ReasonPermitRefused})
	}
}

// claimNotSent handles a claim that is certainly not in the log.
func (s *State) claimNotSent(e journal.Entry) {
	for _, id := range eventloop.SortedKeys(s.gangs) {
		g := s.gangs[id]
		if g.claimID == entryKey(e.ID) && g.permit == permitClaimed {
			s.stopGang(g, ending{result: replica.ResultRetry, reason: ReasonLogUnreachable})
		}
	}
}
