package fleet

import (
	"errors"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/straggler"
)

// runPhase is how far a run has come, as the holder knows it.
type runPhase int

const (
	runRecording runPhase = iota // its placement is not recorded yet
	runOrdered                   // the start is on its way
	runRunning                   // the backend server has confirmed it
	runAdopting                  // placed by an older holder; not reported yet
)

// run is one run of a task on a backend server. It takes capacity there until its end
// is listed or certain.
type run struct {
	group  *job.Group
	index  int
	name   string
	number int64
	server model.BackendServerID
	phase  runPhase

	orderedAt, startedAt time.Time
	inFlight             bool      // a start or stop is on its way
	answered             time.Time // when the newest start or stop was answered
	nextCall             time.Time // the earliest time for the next one
	// doubt tells that a start got no answer and may still be carried out; fencedOff
	// that a stop was confirmed after it, so that it can not.
	doubt, fencedOff bool
	// unanswered is when a start last got no answer. It may reach a later incarnation
	// of the backend server even after another one was confirmed.
	unanswered time.Time
	stopping   bool
	stopSince  time.Time
	stray      bool // not the task's current run

	percent    int
	pace       straggler.Progress
	progressAt time.Time
	reportedAt time.Time // when a report last listed it
}

// step returns the step that the run belongs to.
func (r *run) step() *job.Step { return r.group.Step() }

// current reports whether the run is the one that its task waits for.
func (r *run) current() bool {
	t := &r.group.Tasks[r.index]
	return !r.stray && t.Phase == job.Placed && t.Run == r.number && t.Server == r.server
}

// adoptPlaced expects the runs that older holders have recorded.
func (s *State) adoptPlaced() {
	leaseEnd := s.now.Add(s.longestLease() + holderAuthority)
	for _, v := range s.servers {
		v.runs = make(map[string]*run)
		v.leaseEnd = leaseEnd
		v.nextHold = s.now
	}
	s.jobs.ForEach(func(st *job.State) { s.adoptJob(st, leaseEnd) })
}

// adoptJob expects the runs of a job's placed tasks that are not expected yet.
func (s *State) adoptJob(st *job.State, leaseEnd time.Time) {
	st.ForEachGroup(func(g *job.Group) {
		for i := range g.Tasks {
			t := &g.Tasks[i]
			if t.Phase != job.Placed {
				continue
			}
			if v := s.servers[t.Server]; v == nil || v.runs[g.Key().TaskName(i)] == nil {
				s.adopt(g, i, leaseEnd)
			}
		}
	})
}

func (s *State) adopt(g *job.Group, index int, leaseEnd time.Time) {
	t := &g.Tasks[index]
	v := s.servers[t.Server]
	if v == nil {
		v = &server{entry: ServerEntry{ID: t.Server}, leaseEnd: leaseEnd, runs: make(map[string]*run)}
		s.servers[t.Server] = v
	}
	name := g.Key().TaskName(index)
	v.runs[name] = &run{
		group: g, index: index, name: name, number: t.Run, server: t.Server, phase: runAdopting,
		startedAt: s.now, progressAt: s.now,
	}
}

// superviseRuns sends the starts and stops that are due on a backend server.
func (s *State) superviseRuns(v *server) {
	var due []*run
	for _, r := range v.runs {
		if s.needsAttention(v, r) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *run) int { return strings.Compare(a.name, b.name) })
	for _, r := range due {
		s.superviseRun(v, r)
	}
}

// needsAttention reports whether anything has to be done about a run.
func (s *State) needsAttention(v *server, r *run) bool {
	if r.phase == runRecording || r.inFlight || s.now.Before(r.nextCall) {
		return false
	}
	st := r.group.State
	return r.stopping || r.doubt || st.Cancelled || st.Recorded.Final() || v.entry.Draining || s.stalled(r) || r.group.Failed()
}

func (s *State) superviseRun(v *server, r *run) {
	st := r.group.State
	if !r.stopping && (st.Cancelled || r.group.Failed() || st.Recorded == job.StatusFailed) {
		s.wantStop(r, "job ended")
	}
	if r.stopping {
		if v.entry.Address != "" && !r.fencedOff {
			s.orderStop(v, r)
		}
		return
	}
	if v.entry.Draining && s.outlasts(v, r) {
		s.wantStop(r, "backend server leaves before its end")
		return
	}
	if s.stalled(r) {
		s.stopStalled(v, r)
		return
	}
	if r.phase == runOrdered && r.doubt {
		if s.now.Sub(r.orderedAt) > startRetryFor {
			s.wantStop(r, "start without an answer")
			return
		}
		if s.cancelsKnown(st.Job.ID) {
			s.orderStart(v, r)
		}
	}
}

// cancelsKnown reports whether a task of the job may be started: a cancellation that was
// acknowledged longer ago than the bound would have been read.
func (s *State) cancelsKnown(id model.JobID) bool {
	return s.now.Sub(s.readAsOf[SubmissionPartition(id)]) <= s.bounds.CancelBound-startMargin
}

func (s *State) orderStart(v *server, r *run) {
	span := lease
	if s.onlyUnconfirmed(v) {
		span = firstLease
	}
	t := &r.group.Tasks[r.index]
	r.inFlight = true
	s.emit(OrderStart{Start{
		Server:     r.server,
		Address:    v.entry.Address,
		Task:       r.name,
		Run:        r.number,
		Payload:    r.group.State.Job.Payload,
		Deadline:   s.extend(v, span),
		Token:      s.term.token,
		Checkpoint: t.Checkpoint,
		Ticket:     s.ticketFor(r),
	}})
	if !v.holding {
		v.nextHold = s.now
	}
}

// onlyUnconfirmed reports whether nothing is known to run on a backend server, so that
// a short lease leaves a start without an answer in doubt for a shorter time.
func (s *State) onlyUnconfirmed(v *server) bool {
	for _, r := range v.runs {
		if r.phase == runRunning || r.phase == runAdopting {
			return false
		}
	}
	return true
}

func (s *State) orderStop(v *server, r *run) {
	r.inFlight = true
	s.emit(OrderStop{Stop{Server: r.server, Address: v.entry.Address, Task: r.name, Run: r.number, Token: s.term.token}})
}

// wantStop has a run stopped, and a gang as a whole.
func (s *State) wantStop(r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping, r.stopSince = true, s.now
	r.nextCall = time.Time{}
	if v := s.servers[r.server]; v != nil {
		s.touch(v)
	}
	s.log.Info("run is stopped", zap.String("task", r.name), zap.Int64("run", r.number),
		zap.String("server", string(r.server)), zap.String("reason", reason))
	if r.step().Gang && r.current() {
		s.stopGang(r.group, r.number, reason)
	}
}

// gangReason begins the reason of a stop that another member caused.
const gangReason = "gang member: "

// stopGang stops all members of a gang's run.
func (s *State) stopGang(g *job.Group, number int64, reason string) {
	for i := range g.Tasks {
		if m := s.currentRun(g, i); m != nil && m.number == number {
			s.wantStop(m, gangReason+strings.TrimPrefix(reason, gangReason))
		}
	}
}

// currentRun returns the run that a placed task waits for.
func (s *State) currentRun(g *job.Group, index int) *run {
	t := &g.Tasks[index]
	if t.Phase != job.Placed {
		return nil
	}
	v := s.servers[t.Server]
	if v == nil {
		return nil
	}
	if r := v.runs[g.Key().TaskName(index)]; r != nil && r.number == t.Run {
		return r
	}
	return nil
}

// release forgets a run that certainly does not run, and lets its task wait again.
func (s *State) release(v *server, r *run, reason string) {
	s.forget(v, r)
	s.touch(v)
	s.replan = true
	s.keepLoose(v, r)
	if !r.current() {
		return
	}
	r.group.Tasks[r.index].Phase = job.Waiting
	s.dirty(r.group)
	s.log.Info("task waits again", zap.String("task", r.name), zap.Int64("run", r.number),
		zap.String("server", string(r.server)), zap.String("reason", reason))
	if r.step().Gang {
		s.stopGang(r.group, r.number, reason)
	}
}

// forget removes a run from its backend server.
func (s *State) forget(v *server, r *run) {
	if v.runs[r.name] != r {
		return
	}
	delete(v.runs, r.name)
	if r.stray {
		if s.strays[r.name]--; s.strays[r.name] == 0 {
			delete(s.strays, r.name)
		}
	}
}

// keepLoose remembers a run of which a start may still arrive.
func (s *State) keepLoose(v *server, r *run) {
	r.inFlight = false
	if !r.mayArrive(s.now) {
		return
	}
	if v.loose == nil {
		v.loose = make(map[string]*run)
	}
	v.loose[r.name] = r
}

func (s *State) startAnswered(e StartAnswered) {
	v, r := s.orderedRun(e.Order.Token, e.Order.Server, e.Order.Task, e.Order.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	r.answered = s.now
	var refused *RefusedError
	switch {
	case e.Err == nil:
		s.clockTold(v, e.Clock)
		r.doubt = false
		if r.phase == runOrdered {
			s.confirmed(r, 0)
			if e.Order.Checkpoint == "" {
				r.pace = straggler.Begin(0, s.now)
			}
		}
	case errors.As(e.Err, &refused):
		s.clockTold(v, refused.Clock)
		s.startRefused(v, r, refused)
	default:
		r.doubt, r.unanswered = true, s.now
		r.nextCall = s.now.Add(holdRetry)
		s.log.Info("start without an answer", zap.String("task", r.name), zap.Int64("run", r.number),
			zap.String("server", string(r.server)), zap.Error(e.Err))
	}
}

// confirmed takes note that a run is there and has worked for a while.
func (s *State) confirmed(r *run, worked time.Duration) {
	r.phase = runRunning
	r.startedAt = s.now.Add(-worked)
	r.progressAt, r.reportedAt = s.now, s.now
}

func (s *State) startRefused(v *server, r *run, refused *RefusedError) {
	s.count.StartsRefused.Inc(1)
	s.log.Info("start refused", zap.String("task", r.name), zap.Int64("run", r.number),
		zap.String("server", string(r.server)), zap.String("reason", string(refused.Reason)), zap.Bool("in_doubt", r.doubt))
	switch refused.Reason {
	case RefusedFence:
		s.stepDown("fenced by a backend server", string(r.server))
		return
	case RefusedOld:
		r.doubt = false // it ended or was stopped there; the next report tells which
		return
	case RefusedTicket:
		delete(s.advice, r.group.Key().String())
	case RefusedBusy, RefusedInstance, RefusedRoom:
		v.health.refused(s.now, refused.Reason)
		v.nextHold = s.now
	}
	if r.doubt {
		s.wantStop(r, "refused after a start in doubt")
		return
	}
	s.release(v, r, "start refused: "+string(refused.Reason))
}

func (s *State) stopAnswered(e StopAnswered) {
	v, r := s.orderedRun(e.Order.Token, e.Order.Server, e.Order.Task, e.Order.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	r.nextCall = s.now.Add(stopRetry)
	var refused *RefusedError
	switch {
	case e.Err == nil:
		r.answered = s.now
		r.fencedOff = true
		s.clockTold(v, e.Clock)
		v.nextHold = s.now
	case errors.As(e.Err, &refused):
		r.answered = s.now
		if refused.Reason == RefusedFence {
			s.stepDown("fenced by a backend server", string(r.server))
		}
	default:
		s.log.Info("stop without an answer", zap.String("task", r.name), zap.Int64("run", r.number),
			zap.String("server", string(r.server)), zap.Error(e.Err))
	}
}

// orderedRun finds the run that an answered order was about.
func (s *State) orderedRun(token int64, id model.BackendServerID, name string, number int64) (*server, *run) {
	if !s.acting() || token != s.term.token {
		return nil, nil
	}
	v := s.servers[id]
	if v == nil {
		return nil, nil
	}
	r := v.runs[name]
	if r == nil || r.number != number {
		return nil, nil
	}
	s.touch(v)
	return v, r
}

// endReported applies the end of a run, once. It returns false for an end that has to
// wait, with those after it, since its job may be stored and has not been read yet.
func (s *State) endReported(v *server, e EndReport) bool {
	if e.Number <= v.seen {
		return true
	}
	g, index, err := s.groupOf(e.Task)
	if err == nil && g == nil && !s.submissionKnown(e.Task) {
		return false
	}
	v.seen = e.Number
	s.writer.servers[v.entry.ID] = true
	s.replan = true
	r := v.runs[e.Task]
	if r != nil && r.number == e.Run {
		s.forget(v, r)
		s.keepLoose(v, r)
	}
	if err != nil {
		s.log.Error("an end names an unknown task", zap.String("server", string(v.entry.ID)), zap.Error(err))
		return true
	}
	if g == nil {
		s.log.Warn("an end names a job that is not stored", zap.String("server", string(v.entry.ID)), zap.String("task", e.Task))
		return true
	}
	s.log.Info("run ended", zap.String("task", e.Task), zap.Int64("run", e.Run), zap.String("server", string(v.entry.ID)),
		zap.String("how", string(e.How)), zap.Int64("end", e.Number))
	if e.Checkpoint != "" {
		s.checkpointed(g, index, e.Run, e.Checkpoint)
	}
	s.ended(v, g, index, e)
	return true
}

// submissionKnown reports whether the submission of a task's job would have been read if
// it had been stored before this VM took the term.
func (s *State) submissionKnown(task string) bool {
	key, _, err := job.ParseTaskName(task)
	return err != nil || !s.readAsOf[SubmissionPartition(key.Job)].Before(s.term.actedAt)
}

func (s *State) ended(v *server, g *job.Group, index int, e EndReport) {
	t := &g.Tasks[index]
	isCurrent := t.Phase == job.Placed && t.Run == e.Run && t.Server == v.entry.ID
	s.dirty(g)
	switch e.How {
	case EndedDone:
		s.count.RunsDone.Inc(1)
		v.health.succeeded()
		s.done(g, index)
		return
	case EndedFailed:
		s.count.RunsFailed.Inc(1)
		if t.Phase != job.Done {
			t.Failures++
		}
		s.noteFailure(v, g, index)
	}
	if isCurrent {
		t.Phase = job.Waiting
		if g.Step().Gang {
			s.stopGang(g, e.Run, string(e.How))
		}
	}
}

// done marks a task as done, or all tasks of a gang, and stops runs that are not
// needed any more.
func (s *State) done(g *job.Group, index int) {
	if g.Step().LongRunning {
		g.Tasks[index].Phase = job.Waiting
		return
	}
	first, last := index, index
	if g.Step().Gang {
		first, last = 0, len(g.Tasks)-1
	}
	for i := first; i <= last; i++ {
		if g.Tasks[i].Phase == job.Done {
			continue
		}
		r := s.currentRun(g, i)
		g.Tasks[i].Phase = job.Done
		if r != nil && !g.Step().Gang {
			s.wantStop(r, "task is done")
		}
	}
	if g.Done() {
		delete(s.steps, g.Key())
	}
}

// checkpointed takes the newest checkpoint of a run; that of any member holds for a gang.
func (s *State) checkpointed(g *job.Group, index int, number int64, checkpoint string) {
	if g.Tasks[index].Run != number {
		return
	}
	if !g.Step().Gang {
		g.Tasks[index].Checkpoint = checkpoint
		return
	}
	for i := range g.Tasks {
		g.Tasks[i].Checkpoint = checkpoint
	}
}

// workDone estimates how long an adopted run has worked.
func (s *State) workDone(r *run, percent int) time.Duration {
	return r.step().EstimatedRuntime * time.Duration(percent) / 100
}
