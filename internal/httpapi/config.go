package httpapi

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/command"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

func (s *server) getConfig(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Queries.Config())
}

func (s *server) getConfigHistory(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, api.ConfigHistoryReply{Decisions: s.Queries.ConfigHistory()})
}

func (s *server) getConfigChange(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	decision, ok := s.Queries.Decision(r.Context(), id)
	if !ok {
		writeNotFound(w, "this VM has seen no change "+id)
		return
	}
	writeJSON(w, http.StatusOK, changeReply(id, decision))
}

func (s *server) postConfigChange(w http.ResponseWriter, r *http.Request) {
	var in api.ConfigChangeRequest
	if !readJSON(w, r, &in) {
		return
	}
	if len(in.Records) == 0 {
		writeBadRequest(w, "records: the change is empty")
		return
	}
	published, err := s.Commands.Publish(r.Context(), command.Change{
		ID:               in.ID,
		Records:          in.Records,
		ExpectedRevision: in.ExpectedRevision,
		Comment:          in.Comment,
		DryRun:           in.DryRun,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeChange(w, published)
}

func writeChange(w http.ResponseWriter, p command.PublishResult) {
	if len(p.Findings) > 0 {
		reply := api.ConfigChangeReply{ID: p.ID, Verdict: api.VerdictRefused, Findings: p.Findings}
		writeJSON(w, http.StatusUnprocessableEntity, reply)
		return
	}
	if p.Valid {
		writeJSON(w, http.StatusOK, api.ConfigChangeReply{ID: p.ID, Verdict: api.VerdictValid})
		return
	}
	writeJSON(w, verdictStatus(p.Decision.Verdict), changeReply(p.ID, p.Decision))
}

func verdictStatus(v journal.Verdict) int {
	switch v {
	case journal.VerdictAccepted, journal.VerdictDuplicate:
		return http.StatusOK
	case journal.VerdictUnknown:
		return http.StatusAccepted
	case journal.VerdictMalformed:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusConflict
	}
}

func changeReply(id string, d journal.Decision) api.ConfigChangeReply {
	return api.ConfigChangeReply{
		ID:      id,
		Verdict: string(d.Verdict),
		Offset:  d.Offset,
		Winner:  d.Winner,
		Detail:  d.Detail,
	}
}
