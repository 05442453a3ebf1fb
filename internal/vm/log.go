package vm

import (
	"context"
	"encoding/json"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

// appender gives the control loop's entries to the publisher.
type appender struct {
	publisher *journal.Publisher
	appended  func(journal.AppendResult)
}

// Submit queues an entry. A refusal by the publisher is reported as not sent, from
// another goroutine, since the caller is the one that takes reports.
func (a *appender) Submit(e journal.Entry) {
	err := a.publisher.Submit(e, a.appended)
	if err == nil {
		return
	}
	go a.appended(journal.AppendResult{EntryID: e.ID, State: journal.AppendNotSent, Err: err})
}

// appended passes the state of an append to the control loop.
func (n *node) appended(r journal.AppendResult) {
	n.control.Appended(r)
}

// logSink passes what the follower read to the control loop and the publisher.
type logSink struct {
	*control.Loop
	publisher *journal.Publisher
}

// Records delivers entries.
func (s *logSink) Records(entries []journal.Located, next int64) {
	s.Loop.Records(entries, next)
	s.publisher.Observe(entries, next)
}

// Snapshot delivers a whole state.
func (s *logSink) Snapshot(snapshot journal.Snapshot) {
	s.Loop.Snapshot(snapshot)
	s.publisher.ObserveSnapshot(snapshot.Offset, func(id string) (journal.Decision, bool) {
		return s.Loop.Decision(context.Background(), id)
	})
}

// checkRecords checks a change, the fit of guarantees included.
func checkRecords(current *config.Current, records []json.RawMessage) config.Findings {
	return config.Check(current, records, fitGuarantees)
}

// fitGuarantees returns the guarantees that the servers cannot hold together.
func fitGuarantees(servers []model.BackendServer, organisations []model.Organisation) []config.Misfit {
	var misfits []config.Misfit
	for _, u := range placement.FitGuarantees(servers, organisations) {
		misfits = append(misfits, config.Misfit(u))
	}
	return misfits
}
