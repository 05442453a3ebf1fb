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
	quarantineThreshold = 3                // distinct jobs that failed without a success between them
	quarantineTime      = 30 * time.Second // first quarantine
	quarantineTimeLimit = 10 * time.Minute
	successValidity     = time.Hour        // for which a done task proves a backend server healthy
	minHealthyRuntime   = 10 * time.Second // after which a running task proves its backend server healthy
)

// failure is one job's failure on a backend server.
type failure struct {
	job          model.JobID
	organisation model.OrganisationID
}

// serverHealth records the failures on a backend server since its last success.
type serverHealth struct {
	failures         []failure
	quarantined      bool
	quarantinedUntil time.Time
	period           time.Duration
	lastSuccess      time.Time // when a task was last done
	lastSuccessJob   model.JobID
}

// taskFailed records a failure and stops the gang. A job that failed on several healthy
// backend servers is taken as the cause itself and is ended.
func (s *State) taskFailed(g *gang, m *member) {
	v := s.servers[m.server]
	why := ending{result: replica.ResultRetry, reason: ReasonTaskFailed}
	if v != nil {
		s.recordFailure(v, g)
	}
	why.failedOn = []model.BackendServerID{m.server}
	if s.likelyJobFault(g.job.ID, m.server) {
		why.final = true
		why.result = replica.ResultFailed
		why.reason = ReasonFailedOnManyServers
	}
	s.stopGang(g, why)
}

// likelyJobFault reports whether the job itself is the likely cause of its failures. A failure
// on a backend server that runs other jobs well counts in full, one on a backend server
// without evidence counts half, and one on a backend server that fails other jobs too does
// not count.
func (s *State) likelyJobFault(id model.JobID, latest model.BackendServerID) bool {
	failed := []model.BackendServerID{latest}
	if j := s.replica.Job(id); j != nil {
		failed = append(failed, j.FailedServers...)
	}
	slices.Sort(failed)
	halves := 0
	for _, f := range slices.Compact(failed) {
		halves += s.failureWeight(id, f)
	}
	return halves >= 2*s.settings.FailedServerLimit
}

// failureWeight returns how much a failure on a backend server counts against a job, in halves.
func (s *State) failureWeight(id model.JobID, on model.BackendServerID) int {
	v := s.servers[on]
	if v == nil {
		return 1
	}
	others := slices.ContainsFunc(v.health.failures, func(f failure) bool { return f.job != id })
	switch {
	case v.health.quarantined || others:
		return 0
	case s.healthyForOthers(id, on, v):
		return 2
	default:
		return 1
	}
}

// healthyForOthers reports whether a task of another job has run on the server for some time, or
// was done there recently.
func (s *State) healthyForOthers(id model.JobID, on model.BackendServerID, v *server) bool {
	if v.health.lastSuccessJob != "" && v.health.lastSuccessJob != id && s.now.Sub(v.health.lastSuccess) < successValidity {
		return true
	}
	for _, ref := range s.taskIndex[on] {
		if ref.gang.job.ID != id && ref.member.state == ports.TaskRunning && s.now.Sub(ref.gang.started) >= minHealthyRuntime {
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
	if len(v.health.failures) >= quarantineThreshold || (v.health.period > 0 && !v.health.quarantined) {
		s.quarantine(v)
	}
}

func (s *State) quarantine(v *server) {
	v.health.period = min(max(2*v.health.period, quarantineTime), quarantineTimeLimit)
	v.health.quarantined = true
	v.health.quarantinedUntil = s.now.Add(v.health.period)
	s.placement.dirty = true
}

// taskSucceeded clears the failures recorded for the backend server.
func (s *State) taskSucceeded(g *gang, m *member) {
	if v := s.servers[m.server]; v != nil {
		v.health = serverHealth{lastSuccess: s.now, lastSuccessJob: g.job.ID}
	}
}

// probeQuarantined allows work on a backend server again when its quarantine is over. A
// single failure then quarantines it for twice as long; a success clears its record.
func (s *State) probeQuarantined() {
	for _, v := range s.servers {
		if v.health.quarantined && !s.now.Before(v.health.quarantinedUntil) {
			v.health.quarantined = false
			v.health.failures = nil
			s.placement.dirty = true
		}
	}
}
