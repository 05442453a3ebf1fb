package control

import (
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// Quarantine rules.
const (
	quarantineJobs      = 3                // distinct jobs that failed in a row
	quarantineTime      = 30 * time.Second // before the first probe
	quarantineTimeLimit = 10 * time.Minute
	successMemory       = time.Hour        // for which a done task speaks for a backend server
	provingTime         = 10 * time.Second // after which a running task does
)

// failure is one job's failure on a backend server.
type failure struct {
	job          model.JobID
	organisation model.OrganisationID
}

// serverHealth is the evidence on a backend server since its last success.
type serverHealth struct {
	failures    []failure
	quarantined bool
	until       time.Time
	period      time.Duration
	success     time.Time // of the newest task that was done
	successOf   model.JobID
}

// taskFailed records a failure and stops the gang. A job that failed on several
// healthy backend servers is the culprit itself and is ended.
func (s *State) taskFailed(g *gang, m *member) {
	v := s.servers[m.server]
	why := ending{result: replica.ResultRetry, reason: ReasonTaskFailed}
	if v != nil {
		s.recordFailure(v, g)
	}
	why.failedOn = []model.BackendServerID{m.server}
	if s.failedOnMany(g.job.ID, m.server) {
		why.final = true
		why.result = replica.ResultFailed
		why.reason = ReasonFailedOnManyServers
	}
	s.stop(g, why)
}

// failedOnMany reports whether the failures speak against the job: each on a backend
// server that shows itself healthy with other work counts in full, one on a backend
// server that nothing is known of counts half, and one on a backend server that
// fails other jobs too does not count.
func (s *State) failedOnMany(id model.JobID, latest model.BackendServerID) bool {
	failed := []model.BackendServerID{latest}
	if j := s.replica.Job(id); j != nil {
		failed = append(failed, j.Failed...)
	}
	slices.Sort(failed)
	halves := 0
	for _, f := range slices.Compact(failed) {
		halves += s.witness(id, f)
	}
	return halves >= 2*s.settings.FailedServerLimit
}

// witness weighs a backend server's evidence against a job, in halves.
func (s *State) witness(id model.JobID, on model.BackendServerID) int {
	v := s.servers[on]
	if v == nil {
		return 1
	}
	others := slices.ContainsFunc(v.health.failures, func(f failure) bool { return f.job != id })
	switch {
	case v.health.quarantined || others:
		return 0
	case s.worksForOthers(id, on, v):
		return 2
	default:
		return 1
	}
}

// worksForOthers reports whether another job's task runs on the server, or was done
// there lately.
func (s *State) worksForOthers(id model.JobID, on model.BackendServerID, v *server) bool {
	if v.health.successOf != "" && v.health.successOf != id && s.now.Sub(v.health.success) < successMemory {
		return true
	}
	for _, ref := range s.tasks[on] {
		if ref.gang.job.ID != id && ref.member.state == ports.TaskRunning && s.now.Sub(ref.gang.started) >= provingTime {
			return true
		}
	}
	return false
}

func (s *State) recordFailure(v *server, g *gang) {
	f := failure{job: g.job.ID, organisation: g.job.Organisation}
	if !slices.Contains(v.health.failures, f) {
		v.health.failures = append(v.health.failures, f)
	}
	if len(v.health.failures) >= quarantineJobs || (v.health.period > 0 && !v.health.quarantined) {
		s.quarantine(v)
	}
}

func (s *State) quarantine(v *server) {
	v.health.period = min(max(2*v.health.period, quarantineTime), quarantineTimeLimit)
	v.health.quarantined = true
	v.health.until = s.now.Add(v.health.period)
	s.placement.dirty = true
}

// taskSucceeded clears the evidence against the backend server.
func (s *State) taskSucceeded(g *gang, m *member) {
	if v := s.servers[m.server]; v != nil {
		v.health = serverHealth{success: s.now, successOf: g.job.ID}
	}
}

// probeQuarantined lets a backend server take work again when its time is over. A
// single failure sends it back for twice as long, a success clears it.
func (s *State) probeQuarantined() {
	for _, v := range s.servers {
		if v.health.quarantined && !s.now.Before(v.health.until) {
			v.health.quarantined = false
			v.health.failures = nil
			s.placement.dirty = true
		}
	}
}
