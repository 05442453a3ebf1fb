package httpapi

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

func (s *server) submitJob(w http.ResponseWriter, r *http.Request) {
	var in api.JobSubmitRequest
	if !readJSON(w, r, &in) {
		return
	}
	runtime, ok := parseDuration(w, "declaredRuntime", in.DeclaredRuntime)
	if !ok {
		return
	}
	class, ok := model.ParseClass(in.Class)
	if !ok {
		writeBadRequest(w, "class: must be urgent, normal or batch")
		return
	}
	receipt, err := s.Commands.Submit(r.Context(), model.Job{
		ID:              in.ID,
		Organisation:    in.Organisation,
		Shape:           in.Shape,
		Class:           class,
		HomeAZ:          in.AZ,
		DeclaredRuntime: runtime,
		Idempotent:      in.Idempotent,
		Payload:         in.Payload,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, receipt)
}

func (s *server) getJob(w http.ResponseWriter, r *http.Request) {
	id := model.JobID(chi.URLParam(r, "id"))
	status, ok := s.Queries.Job(r.Context(), id)
	if !ok {
		writeNotFound(w, "this VM knows no job "+string(id))
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *server) listJobs(w http.ResponseWriter, r *http.Request) {
	org := model.OrganisationID(r.URL.Query().Get("organisation"))
	writeJSON(w, http.StatusOK, api.JobListReply{Jobs: s.Queries.Jobs(org)})
}

func (s *server) cancelJobs(w http.ResponseWriter, r *http.Request) {
	var in api.JobCancelRequest
	if !readJSON(w, r, &in) {
		return
	}
	receipts, err := s.Commands.Cancel(r.Context(), in.Jobs)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, api.JobCancelReply{Receipts: receipts})
}
