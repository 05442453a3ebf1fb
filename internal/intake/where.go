package intake

import (
	"context"

	"github.com/eelgrassreach/eelgrassreach/internal/fleet"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

// Where tells what would happen to a job that is submitted now.
type Where struct {
	// Admitted is whether the job would be let in; if not, Refusal is why and RetryAfterMS when its caller may return.
	Admitted     bool   `json:"admitted"`
	Refusal      string `json:"refusal,omitempty"`
	RetryAfterMS int64  `json:"retryAfterMs,omitempty"`
	// Place is where it would go if it were let in.
	Place fleet.Where `json:"place"`
}

// Where tells what Submit would do with a job and where the job would go. It stores, counts and starts nothing.
// Only the holder of the term can tell, and answers one question at a time.
func (s *Service) Where(ctx context.Context, t Target, j *job.Job) (Where, Answer) {
	if !s.asking.TryLock() {
		return Where{}, Answer{Result: Unavailable, Reason: "another question is being answered", RetryAfter: storeRetryAfter}
	}
	defer s.asking.Unlock()
	if !s.options.Loop.HoldsTerm() {
		return Where{}, notHolder
	}
	stored, a := s.prepareJob(ctx, t, j)
	if stored {
		return Where{}, Answer{Result: Invalid, Reason: "job ID: a job with it is stored already"}
	}
	if a.Result != OK {
		return Where{}, a
	}
	w := Where{Admitted: true}
	if v, _, _ := s.verdict(ctx, j); v.Refused {
		w = Where{Refusal: string(v.Reason), RetryAfterMS: v.RetryAfter.Milliseconds()}
	} else if a := s.checkStore(ctx); a.Result != OK {
		w = Where{Refusal: a.Reason, RetryAfterMS: a.RetryAfter.Milliseconds()}
	}
	holds := false
	err := s.options.Loop.Query(ctx, func(st *fleet.State) {
		if holds = st.HoldsTerm() && st.Synced(); holds {
			w.Place = st.Where(j)
		}
	})
	switch {
	case err != nil:
		return Where{}, Answer{Result: Unavailable, Reason: err.Error(), RetryAfter: storeRetryAfter}
	case !holds:
		return Where{}, notHolder
	}
	return w, Answer{}
}

var notHolder = Answer{Result: TryAnotherVM, Reason: "this VM does not hold the term, and the holder has not answered", RetryAfter: storeRetryAfter}
