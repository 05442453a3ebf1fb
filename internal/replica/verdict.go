package replica

import (
	"encoding/json"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// RetentionOffsets is how many log offsets a verdict and an ended job are kept for.
const RetentionOffsets = 20_000

func accepted() journal.Decision {
	return journal.Decision{Verdict: journal.VerdictAccepted}
}

func conflict(winner int64, detail string) journal.Decision {
	return journal.Decision{Verdict: journal.VerdictConflict, Winner: winner, Detail: detail}
}

func malformed(detail string) journal.Decision {
	return journal.Decision{Verdict: journal.VerdictMalformed, Detail: detail}
}

// applyBody decodes the body of an entry and passes it on.
func applyBody[T any](l journal.Located, apply func(journal.Located, T) journal.Decision) journal.Decision {
	var body T
	if err := json.Unmarshal(l.Entry.Body, &body); err != nil {
		return malformed(err.Error())
	}
	return apply(l, body)
}

// verdictLog keeps the verdicts of the retention window by entry ID and in order
// of offset.
type verdictLog struct {
	byID  map[string]journal.Decision
	order []string
}

func newVerdictLog() verdictLog {
	return verdictLog{byID: make(map[string]journal.Decision)}
}

func (v *verdictLog) get(id string) (journal.Decision, bool) {
	d, ok := v.byID[id]
	return d, ok
}

func (v *verdictLog) add(d journal.Decision) {
	v.byID[d.EntryID] = d
	v.order = append(v.order, d.EntryID)
}

func (v *verdictLog) forget(horizon int64) {
	n := 0
	for n < len(v.order) && v.byID[v.order[n]].Offset < horizon {
		delete(v.byID, v.order[n])
		n++
	}
	v.order = v.order[n:]
}

// endedJob is an ended job with the offset at which it ended.
type endedJob struct {
	Job    model.JobID `json:"job"`
	Offset int64       `json:"offset"`
}

// endedQueue lists ended jobs in order of offset.
type endedQueue []endedJob

func (q *endedQueue) add(id model.JobID, offset int64) {
	*q = append(*q, endedJob{Job: id, Offset: offset})
}

func (q *endedQueue) takeBefore(horizon int64) []model.JobID {
	var taken []model.JobID
	n := 0
	for n < len(*q) && (*q)[n].Offset < horizon {
		taken = append(taken, (*q)[n].Job)
		n++
	}
	*q = (*q)[n:]
	return taken
}
