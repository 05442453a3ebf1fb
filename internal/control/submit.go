package control

import (
	"encoding/json"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// localJob is a job that this VM knows of and the log, as far as replayed, does not.
type localJob struct {
	job       model.Job
	acceptor  model.Incarnation
	submitted time.Time
	permit    localPermit
	attempt   model.AttemptID // of the permit, once there is one
	// offeredTo is the VM that may have the permit.
	offeredTo string
	offering  bool
	// offerDoubted is set once an offer went without an answer. The permit then
	// counts as given for good: a later refusal or failure does not undo it.
	offerDoubted bool
	offered      time.Time
	// returnedAt is when a refused or unplaced permit came back.
	returnedAt time.Time
}

// localPermit is the state of a local job's start permit.
type localPermit int

const (
	permitNone    localPermit = iota // not granted: the log may have the job
	permitHere                       // granted and not used
	permitUsed                       // a gang of this VM uses or has used it
	permitOffered                    // given, or perhaps given, to another VM
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
	if s.local[job.ID] == nil && (s.gangs[job.ID] != nil || s.outcomes[job.ID] != nil) {
		s.emit(SubmitReply{Reply: e.Reply, Receipt: receipt}) // taken over from another VM
		return
	}
	s.addLocal(job, s.self.Incarnation)
	w := submitWaiter{id: e.Reply, receipt: receipt, deadline: s.now.Add(s.settings.SubmitTimeout)}
	s.wait(acceptEntryID(job.ID), w)
	s.submitAccepted(s.local[job.ID])
}

// checkJob refuses a job that can never run, and chooses its home.
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
	home, err := s.homeOf(cfg, org, *job)
	if err != nil {
		return shapeRefusal(err)
	}
	job.HomeAZ = home
	return nil
}

func (s *State) addLocal(job model.Job, acceptor model.Incarnation) *localJob {
	l := s.local[job.ID]
	if l == nil {
		l = &localJob{job: job, acceptor: acceptor, submitted: s.now}
		s.local[job.ID] = l
	}
	return l
}

// submitAccepted gives the job to the log, with the attempt of its permit if there
// is one.
func (s *State) submitAccepted(l *localJob) {
	id := acceptEntryID(l.job.ID)
	s.submitEntry(id, journal.KindJobAccepted, l.accepted(), true)
	if e := s.entries[id]; e != nil && e.state == appendNotSent {
		s.acceptNotSent(e.entry)
		for _, w := range s.takeWaiters(id) {
			w.notSent(s)
		}
	}
}

func (l *localJob) accepted() journal.JobAccepted {
	return journal.JobAccepted{Job: l.job, Acceptor: l.acceptor, Attempt: l.attempt}
}

// acceptInDoubt answers a submission that counts as recorded from now on.
func (s *State) acceptInDoubt(e journal.Entry) {
	for _, w := range s.takeWaiters(entryKey(e.ID)) {
		w.notSent(s)
	}
}

// acceptNotSent makes the job one that this VM alone knows.
func (s *State) acceptNotSent(journal.Entry) { s.placement.dirty = true }

// acceptedReplayed ends the time in which the job was local.
func (s *State) acceptedReplayed(b journal.JobAccepted, _ journal.Decision) {
	id := b.Job.ID
	delete(s.local, id)
	if g := s.gangs[id]; g != nil {
		g.job = b.Job
	}
	if entry, ok := s.cancels[id]; ok {
		s.submitEntry(entry, journal.KindJobCancelled, journal.JobCancelled{Job: id}, true)
	}
}

// grantLocal grants start permits for jobs that certainly are not in the log while
// it is unreachable, and passes those of other homes on.
func (s *State) grantLocal() {
	if s.log.reachable {
		return
	}
	for _, id := range eventloop.SortedKeys(s.local) {
		l := s.local[id]
		s.grant(l)
		if l.permit == permitHere && !s.schedules(l.job.HomeAZ) || l.permit == permitOffered {
			s.offer(l)
		}
	}
}

func (s *State) grant(l *localJob) {
	e := s.entries[acceptEntryID(l.job.ID)]
	if l.permit != permitNone || e == nil || e.state != appendNotSent || l.acceptor != s.self.Incarnation {
		return
	}
	l.permit = permitHere
	l.attempt = model.AttemptID(s.newID())
	s.rewriteAccepted(e, l)
	s.placement.dirty = true
}

// rewriteAccepted puts the granted attempt into the entry before it is sent.
func (s *State) rewriteAccepted(e *pendingEntry, l *localJob) {
	body, err := json.Marshal(l.accepted())
	if err == nil {
		e.entry.Body = body
	}
}

// schedules reports whether this VM acts for an availability zone.
func (s *State) schedules(az model.AZ) bool { return az == s.self.AZ && s.acting() }

// returnPermit takes back the permit of a local job whose gang did not start.
func (s *State) returnPermit(g *gang) {
	l := s.local[g.job.ID]
	if l == nil || g.startSent || l.attempt != g.attempt || l.permit != permitUsed {
		return
	}
	l.permit = permitHere
	l.returnedAt = s.now
	delete(s.outcomes, g.job.ID)
}
