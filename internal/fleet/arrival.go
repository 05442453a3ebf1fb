package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// A start order without an answer may arrive seconds later. The incarnation of the backend server that it was sent to
// refuses it once the run or a later one has ended or was stopped there, but the next incarnation would carry it out.
// Where backend servers have been seen to start again under their IDs, the task is not placed again before the order has
// certainly arrived. The time is stored, for later holders.

// arrivalPrefix is the prefix of the records that tell until when start orders for a task may arrive, by the time of day
// in Unix milliseconds, and where.
const arrivalPrefix = "arrival/"

// arrival is until when the newest start order without an answer may arrive, and the backend server that it was sent to.
type arrival struct {
	until  time.Time
	server model.BackendServerID
}

// expectArrival notes that the newest start order for a run, which has no answer, may still arrive.
func (s *State) expectArrival(r *run) {
	until := r.unansweredAt.Add(maxDeliveryDelay)
	if v := s.servers[r.server]; v != nil {
		v.startsArriveUntil = maxTime(v.startsArriveUntil, until)
	}
	if until.After(s.now) && until.After(s.arrivals[r.name].until) {
		s.arrivals[r.name] = arrival{until: until, server: r.server}
		s.writer.arrivals[r.name] = true
	}
}

// placedBeforeTakeOver reports whether a run was placed so shortly before the take-over that the previous holder may not
// have stored that its start has no answer.
func (s *State) placedBeforeTakeOver(r *run) bool {
	at := r.group.RunReadAt(r.index)
	return !at.IsZero() && s.term.takenAt.Sub(at) < startRetryLimit+longestStart
}

// startMayArrive reports whether a start order for an earlier run of a task may still arrive in a next incarnation of its
// backend server, or may have arrived in one that has not reported since: what it began lasts as long as a lease.
func (s *State) startMayArrive(name string) bool {
	a, expected := s.arrivals[name]
	switch v := s.servers[a.server]; {
	case !expected || !s.restartsSeen:
		return false
	case s.now.Before(a.until):
		return true
	case v != nil && v.hasReported && v.reportSentAt.After(a.until):
		return false // a run that it began is known
	default:
		return s.now.Before(a.until.Add(s.longestLease() + clockSlack))
	}
}

// reportAfterArrivals has the backend servers report to which start orders have just arrived at the latest.
func (s *State) reportAfterArrivals() {
	if !s.restartsSeen {
		return
	}
	for _, a := range s.arrivals {
		v := s.servers[a.server]
		if v != nil && v.hasReported && v.failedCalls == 0 && s.now.After(a.until) && !v.reportSentAt.After(a.until) {
			v.nextHoldAt = minTime(v.nextHoldAt, s.now)
		}
	}
}

// observeRestartUnderID notes that a backend server has started again under its ID. It is stored with the server.
func (s *State) observeRestartUnderID(v *server) {
	if !s.restartsSeen {
		s.log.Warn("backend servers start again under their IDs: tasks wait until their starts without an answer have arrived",
			zap.String("server", string(v.entry.ID)))
	}
	v.startedAgain, s.restartsSeen = true, true
}

// arrivalRecords returns the records of the times that have changed.
func (s *State) arrivalRecords() []job.Record {
	var records []job.Record
	for _, name := range eventloop.SortedKeys(s.writer.arrivals) {
		a := s.arrivals[name]
		value := fmt.Appendf(nil, "%d %s", s.wall.Add(a.until.Sub(s.now)).UnixMilli(), a.server)
		records = append(records, job.Record{Key: arrivalPrefix + name, Value: value})
	}
	return records
}

// arrivalTombstonesOf forgets the times of a group's tasks, and returns the records that drop them from the store.
func (s *State) arrivalTombstonesOf(key job.GroupKey, tasks int) []job.Record {
	if len(s.arrivals) == 0 {
		return nil
	}
	var records []job.Record
	for i := range tasks {
		name := key.TaskName(i)
		if _, known := s.arrivals[name]; known {
			delete(s.arrivals, name)
			delete(s.writer.arrivals, name)
			records = append(records, job.Record{Key: arrivalPrefix + name})
		}
	}
	return records
}

// applyArrival applies the record of such a time. Times of day differ between VMs: a record that is read as it is stored
// counts from now, and one that is read later for as long as the order may take at most.
func (s *State) applyArrival(target *replicated, r StoredRecord, initial bool) error {
	name := strings.TrimPrefix(r.Key, arrivalPrefix)
	if len(r.Value) == 0 {
		delete(target.arrivals, name)
		return nil
	}
	if _, _, err := job.ParseTaskName(name); err != nil {
		return err
	}
	ms, server, _ := strings.Cut(string(r.Value), " ")
	until, err := strconv.ParseInt(ms, 10, 64)
	if err != nil {
		return fmt.Errorf("time of arrival of starts of %s: %w", name, err)
	}
	left := time.UnixMilli(until).Sub(s.wall) + maxTimeOfDayDifference
	if !initial {
		left = max(left, maxDeliveryDelay)
	}
	left = min(max(left, 0), holderAuthority+maxDeliveryDelay)
	target.arrivals[name] = arrival{until: s.now.Add(left), server: model.BackendServerID(server)}
	return nil
}
