package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// A start order without an answer may arrive seconds later. The incarnation of the backend server that it was sent to
// refuses it once the run or a later one has ended or was stopped there, but the next incarnation would carry it out.
// Where backend servers have been seen to start again under their IDs, the task is not placed again before the order has
// certainly arrived. The time is stored, for later holders.

// arrivalPrefix is the prefix of the records that tell until when start orders for a task may arrive, by the time of day
// in Unix milliseconds.
const arrivalPrefix = "arrival/"

// expectArrival notes that the newest start order for a run, which has no answer, may still arrive.
func (s *State) expectArrival(r *run) {
	until := r.unansweredAt.Add(maxDeliveryDelay)
	if until.After(s.now) && until.After(s.arrivals[r.name]) {
		s.arrivals[r.name] = until
		s.writer.arrivals[r.name] = true
	}
}

// startMayArrive reports whether a start order for an earlier run of a task may still arrive, in a next incarnation of
// its backend server.
func (s *State) startMayArrive(name string) bool {
	return s.restartsSeen && s.now.Before(s.arrivals[name])
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
		until := s.wall.Add(s.arrivals[name].Sub(s.now)).UnixMilli()
		records = append(records, job.Record{Key: arrivalPrefix + name, Value: strconv.AppendInt(nil, until, 10)})
	}
	return records
}

// arrivalTombstones forgets the times of a group's tasks, and returns the records that drop them from the store.
func (s *State) arrivalTombstones(g *job.Group) []job.Record {
	var records []job.Record
	for i := range g.Tasks {
		name := g.Key().TaskName(i)
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
	until, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		return fmt.Errorf("time of arrival of starts of %s: %w", name, err)
	}
	left := time.UnixMilli(until).Sub(s.wall) + maxTimeOfDayDifference
	if !initial {
		left = max(left, maxDeliveryDelay)
	}
	target.arrivals[name] = s.now.Add(min(max(left, 0), holderAuthority+maxDeliveryDelay))
	return nil
}
