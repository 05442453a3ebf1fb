package replica

import (
	"encoding/json"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// RetentionOffsets is the number of log offsets for which an ended job is kept.
const RetentionOffsets = journal.DecisionWindow

func accepted() journal.Decision {
	return journal.Decision{Verdict: journal.VerdictAccepted}
}

func conflict(winner int64, detail string) journal.Decision {
	return journal.Decision{Verdict: journal.VerdictConflict, Winner: winner, Detail: detail}
}

func malformed(detail string) journal.Decision {
	return journal.Decision{Verdict: journal.VerdictMalformed, Detail: detail}
}

// decodeAndApply decodes the body of an entry and passes it to apply.
func decodeAndApply[T any](l journal.LocatedEntry, apply func(journal.LocatedEntry, T) journal.Decision) journal.Decision {
	var body T
	if err := json.Unmarshal(l.Entry.Body, &body); err != nil {
		return malformed(err.Error())
	}
	return apply(l, body)
}

// endedJob is an ended job with the offset at which it ended.
type endedJob struct {
	Job    model.JobID `json:"job"`
	Offset int64       `json:"offset"`
}

// endedQueue lists ended jobs, ordered by offset.
type endedQueue []endedJob

func (q *endedQueue) add(id model.JobID, offset int64) {
	*q = append(*q, endedJob{Job: id, Offset: offset})
}

func (q *endedQueue) removeBefore(horizon int64) []model.JobID {
	var removed []model.JobID
	n := 0
	for n < len(*q) && (*q)[n].Offset < horizon {
		removed = append(removed, (*q)[n].Job)
		n++
	}
	*q = (*q)[n:]
	return removed
}
