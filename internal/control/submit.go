package control

import (
	"encoding/json"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// localJob is a job that this VM knows and that is not in the log as far as it was replayed.
type localJob struct {
	job       model.Job
	acceptor  model.Incarnation
	submitted time.Time
	permit    localPermit
	attempt   model.AttemptID // of the permit, once there is one
	// incarnations are those of the home's backend servers when the permit was granted.
	incarnations map[model.BackendServerID]string
	// offeredTo is the address of the VM that may have the permit.
	offeredTo string
	// givenTo is that VM's incarnation. It stays set once the VM has taken the permit.
	givenTo  model.Incarnation
	offering bool
	// offerInDoubt is set once an offer was left without an answer. The permit then counts as
	// given: a later refusal or failure does not return it.
	offerInDoubt bool
	offeredAt    time.Time
	// returnedAt is when the permit last became available again, after a refusal or because
	// its gang did not start.
	returnedAt time.Time
}

// localPermit is the state of a local job's start permit.
type localPermit int

const (
	permitNone      localPermit = iota // not granted, since the log may have the job
	permitAvailable                    // granted and not used
	permitUsed                         // a gang of this VM uses or has used it
	permitOffered                      // certainly or possibly given to another VM
)

func acceptEntryID(id model.JobID) string { return "accept-" + string(id) }

func (s *State) jobSubmitted(e JobSubmitted) {
	job := e.Job
	if r := s.checkJob(&job); r != nil {
		s.emit(SubmitReply{Reply: e.Reply, Refusal: r})
		return
	}
	receipt := JobReceipt{Job: job.ID, HomeAZ: job.HomeAZ}
	if j := s.replica.Job(job.ID); j != nil {
		receipt.Durable = true
		receipt.HomeAZ = j.Job.HomeAZ
		s.emit(SubmitReply{Reply: e.Reply, Receipt: receipt})
		return
	}
	if s.localJobs[job.ID] == nil && (s.gangs[job.ID] != nil || s.outcomes[job.ID] != nil) {
		s.emit(SubmitReply{Reply: e.Reply, Receipt: receipt}) // its gang was taken over from another VM
		return
	}
	s.addLocal(job, s.self.Incarnation)
	w := submitWaiter{id: e.Reply, receipt: receipt, deadline: s.now.Add(s.settings.SubmitTimeout)}
	s.addWaiter(acceptEntryID(job.ID), w)
	s.submitAcceptEntry(s.localJobs[job.ID])
}

// checkJob sets the job's home, or refuses a job that cannot be accepted now or can never run.
func (s *State) checkJob(job *model.Job) *Refusal {
	switch {
	case !s.ready():
		return &Refusal{Reason: ReasonNotReady, Message: "the log has not been read", RetryAfter: time.Second}
	case s.drain.requested:
		return &Refusal{Reason: ReasonLeaving, Message: "this VM is leaving", RetryAfter: time.Second}
	case job.ID == "":
		return &Refusal{Reason: ReasonMalformed, Message: "job without ID"}
	}
	cfg := s.replica.Config().Current()
	org, ok := cfg.Organisations[job.Organisation]
	if !ok {
		return &Refusal{Reason: ReasonUnknownOrganisation, Message: "unknown organisation " + string(job.Organisation)}
	}
	home, err := s.resolveHome(cfg, org, *job)
	if err != nil {
		return shapeRefusal(err)
	}
	job.HomeAZ = home
	return nil
}

func (s *State) addLocal(job model.Job, acceptor model.Incarnation) *localJob {
	l := s.localJobs[job.ID]
	if l == nil {
		l = &localJob{job: job, acceptor: acceptor, submitted: s.now}
		s.localJobs[job.ID] = l
	}
	return l
}

// submitAcceptEntry submits the job to the log, with the attempt of its permit if it has one.
func (s *State) submitAcceptEntry(l *localJob) {
	id := acceptEntryID(l.job.ID)
	s.submitEntry(id, journal.KindJobAccepted, l.acceptedBody(), true)
	if e := s.entries[id]; e != nil && e.state == appendNotSent {
		s.acceptNotSent(e.entry)
		for _, w := range s.takeWaiters(id) {
			w.notSent(s)
		}
	}
}

func (l *localJob) acceptedBody() journal.JobAccepted {
	return journal.JobAccepted{
		Job:          l.job,
		Acceptor:     l.acceptor,
		Attempt:      l.attempt,
		Incarnations: l.incarnations,
		GivenTo:      l.givenTo,
	}
}

// acceptInDoubt answers a submission whose append is in doubt, with a receipt that is not
// durable. No permit is granted for the job, since the log may have it: if it does, the term
// holder starts the job.
func (s *State) acceptInDoubt(e journal.Entry) {
	for _, w := range s.takeWaiters(entryKey(e.ID)) {
		w.notSent(s)
	}
}

// acceptNotSent handles a job that is certainly not in the log; only this VM knows it.
func (s *State) acceptNotSent(journal.Entry) { s.placement.dirty = true }

// acceptedReplayed handles a job that was read back: it is no longer local.
func (s *State) acceptedReplayed(b journal.JobAccepted, _ journal.Decision) {
	id := b.Job.ID
	delete(s.localJobs, id)
	if g := s.gangs[id]; g != nil {
		g.job = b.Job
	}
	if entry, ok := s.pendingCancels[id]; ok {
		s.submitEntry(entry, journal.KindJobCancelled, journal.JobCancelled{Job: id}, true)
	}
}

// grantLocalPermits grants start permits, while the log is unreachable, for jobs that are
// certainly not in it, and offers those of other homes to their term holders.
func (s *State) grantLocalPermits() {
	if s.log.reachable {
		return
	}
	for _, id := range eventloop.SortedKeys(s.localJobs) {
		l := s.localJobs[id]
		s.grantPermit(l)
		offer := l.permit == permitAvailable && !s.schedulesZone(l.job.HomeAZ) && s.certainlyUnrecorded(l)
		if offer || l.permit == permitOffered {
			s.offerJob(l)
		}
	}
}

func (s *State) grantPermit(l *localJob) {
	e := s.entries[acceptEntryID(l.job.ID)]
	if l.permit != permitNone || e == nil || e.state != appendNotSent || l.acceptor != s.self.Incarnation {
		return
	}
	l.permit = permitAvailable
	l.attempt = model.AttemptID(s.newID())
	if l.job.HomeAZ == s.self.AZ {
		l.incarnations = s.incarnationsOf(s.serverIDs)
	}
	s.updateAcceptEntry(e, l)
	s.placement.dirty = true
}

// updateAcceptEntry puts the granted attempt into the entry before it is sent.
func (s *State) updateAcceptEntry(e *pendingEntry, l *localJob) {
	body, err := json.Marshal(l.acceptedBody())
	if err == nil {
		e.entry.Body = body
	}
}

// schedulesZone reports whether this VM schedules the availability zone.
func (s *State) schedulesZone(az model.AZ) bool { return az == s.self.AZ && s.acting() }

// returnPermit makes the permit of a local job whose gang did not start available again.
func (s *State) returnPermit(g *gang) {
	l := s.localJobs[g.job.ID]
	if l == nil || g.startSent || l.attempt != g.attempt || l.permit != permitUsed {
		return
	}
	l.permit = permitAvailable
	l.returnedAt = s.now
	delete(s.outcomes, g.job.ID)
}
