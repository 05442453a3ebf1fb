package httpapi

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/dispatch"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

func (s *server) runRequest(w http.ResponseWriter, r *http.Request) {
	var in api.RunRequest
	if !readJSON(w, r, &in) {
		return
	}
	if in.DeadlineMS < 0 {
		writeBadRequest(w, "deadlineMS: must not be negative")
		return
	}
	request := dispatch.Request{
		ID:           in.ID,
		Ticket:       in.Ticket,
		Kind:         in.Kind,
		Organisation: in.Organisation,
		Caller:       in.Caller,
		Body:         in.Body,
	}
	if request.ID == "" {
		request.ID = model.RequestID(model.RandomID())
	}
	if in.DeadlineMS > 0 {
		request.Deadline = s.Now().Add(time.Duration(in.DeadlineMS) * time.Millisecond)
	}
	result := s.Commands.Run(r.Context(), request)
	setRetryAfter(w, result.RetryAfter)
	writeJSON(w, outcomeStatus(result.Outcome), outcomeReply(result))
}

func outcomeStatus(o model.Outcome) int {
	switch o {
	case model.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case model.OutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusOK
	}
}

func outcomeReply(r dispatch.Result) api.OutcomeReply {
	return api.OutcomeReply{
		ID:           r.Request,
		Outcome:      r.Outcome,
		Reason:       r.Reason,
		Body:         r.Body,
		Length:       len(r.Body),
		Digest:       r.Digest,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
}

func (s *server) getOutcome(w http.ResponseWriter, r *http.Request) {
	id := model.RequestID(chi.URLParam(r, "id"))
	result, ok := s.Queries.Outcome(r.Context(), id, r.URL.Query().Get("ticket"))
	if !ok {
		writeNotFound(w, "this VM knows no request "+string(id))
		return
	}
	writeJSON(w, http.StatusOK, outcomeReply(result))
}

func (s *server) mintTicket(w http.ResponseWriter, r *http.Request) {
	var in api.TicketRequest
	if !readJSON(w, r, &in) {
		return
	}
	ttl, ok := parseDuration(w, "ttl", in.TTL)
	if !ok {
		return
	}
	ticket, err := s.Commands.MintTicket(ttl)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, api.TicketReply{Ticket: ticket})
}

func (s *server) getStatus(w http.ResponseWriter, r *http.Request) {
	servers := r.URL.Query().Get("backends") == "all"
	writeJSON(w, http.StatusOK, s.Queries.Status(s.Now(), servers))
}
