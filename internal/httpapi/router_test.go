package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/command"
	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/dispatch"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/query"
)

// fakeControl returns fixed values.
type fakeControl struct {
	control.Service
	view      *control.View
	submitErr error
	decision  journal.Decision
}

func (f *fakeControl) View() *control.View { return f.view }

func (f *fakeControl) Submit(_ context.Context, job model.Job) (control.JobReceipt, error) {
	return control.JobReceipt{Job: job.ID, Durable: true}, f.submitErr
}

func (f *fakeControl) Publish(_ context.Context, id string, _ journal.ConfigChange) (journal.Decision, error) {
	d := f.decision
	d.EntryID = id
	return d, nil
}

// fakeDispatch returns the same result for every request.
type fakeDispatch struct {
	dispatch.Service
	result dispatch.Result
}

func (f *fakeDispatch) Do(_ context.Context, r dispatch.Request) dispatch.Result {
	result := f.result
	result.Request = r.ID
	return result
}

// newTestRouter returns a router over fakes, with the fakes and the command gate.
func newTestRouter(findings config.Findings) (http.Handler, *fakeControl, *fakeDispatch, *command.Gate) {
	org := model.Organisation{ID: "small"}
	current := &config.Current{Organisations: map[model.OrganisationID]model.Organisation{"small": org}}
	c := &fakeControl{view: &control.View{Ready: true, Config: current}}
	d := &fakeDispatch{}
	gate := command.NewGate()
	check := func(*config.Current, []json.RawMessage) config.Findings { return findings }
	router := NewRouter(Options{
		Commands: &command.Handler{Control: c, Dispatch: d, Check: check, Gate: gate},
		Queries:  &query.Handler{Control: c, Dispatch: d, Draining: gate.Closed},
		Metrics:  http.NotFoundHandler(),
		Logger:   zap.NewNop(),
		MaxBody:  1 << 10,
		Now:      time.Now,
	})
	return router, c, d, gate
}

// post sends a body and returns the status of the answer, and its problem if it is one.
func post(t *testing.T, router http.Handler, path, body string) (int, api.Problem) {
	t.Helper()
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	var p api.Problem
	_ = json.Unmarshal(w.Body.Bytes(), &p)
	return w.Code, p
}

const validJob = `{"organisation":"small","class":"normal","shape":{"tasks":2,"accelerators":4,"adjacency":"rack"}}`

func TestSubmitErrors(t *testing.T) {
	tests := []struct {
		name        string
		body        string
		err         error
		status      int
		problemType string
	}{
		{"accepted", validJob, nil, http.StatusAccepted, ""},
		{"not JSON", `{`, nil, http.StatusBadRequest, api.ProblemBadRequest},
		{"unknown field", `{"size":1}`, nil, http.StatusBadRequest, api.ProblemBadRequest},
		{"two values", validJob + validJob, nil, http.StatusBadRequest, api.ProblemBadRequest},
		{"unknown class", strings.Replace(validJob, "normal", "vital", 1), nil, http.StatusBadRequest, api.ProblemBadRequest},
		{"too large a gang", strings.Replace(validJob, `"tasks":2`, `"tasks":257`, 1), nil, http.StatusUnprocessableEntity, api.ProblemBadRequest},
		{"never fits", validJob, &control.Refusal{Message: "no"}, http.StatusUnprocessableEntity, api.ProblemRefused},
		{"busy", validJob, &control.Refusal{Message: "busy", RetryAfter: time.Second}, http.StatusServiceUnavailable, api.ProblemRefused},
		{"nothing stored", validJob, ports.ErrUnavailable, http.StatusServiceUnavailable, api.ProblemUnavailable},
		{"in doubt", validJob, ports.ErrInDoubt, http.StatusGatewayTimeout, api.ProblemInDoubt},
		{"cancelled wait", validJob, context.DeadlineExceeded, http.StatusGatewayTimeout, api.ProblemInDoubt},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			router, c, _, _ := newTestRouter(nil)
			c.submitErr = tc.err
			status, problem := post(t, router, "/v1/jobs", tc.body)
			assert.Equal(t, status, tc.status)
			assert.Equal(t, problem.Type, tc.problemType)
		})
	}
}

func TestAllFindingsOfAJobAreReported(t *testing.T) {
	router, _, _, _ := newTestRouter(nil)
	body := `{"organisation":"none","class":"batch","shape":{"tasks":0,"accelerators":0,"adjacency":"near"}}`
	_, problem := post(t, router, "/v1/jobs", body)
	assert.Equal(t, len(problem.Findings), 4)
}

func TestOutcomeStatuses(t *testing.T) {
	for outcome, status := range map[model.Outcome]int{
		model.OutcomeDone:    http.StatusOK,
		model.OutcomeFailed:  http.StatusOK,
		model.OutcomeNotRun:  http.StatusServiceUnavailable,
		model.OutcomeUnknown: http.StatusGatewayTimeout,
	} {
		router, _, d, _ := newTestRouter(nil)
		d.result.Outcome = outcome
		got, _ := post(t, router, "/v1/requests", `{"kind":"quote","organisation":"small","caller":"a","body":""}`)
		assert.Equal(t, got, status, "outcome %s", outcome)
	}
}

func TestVerdictStatuses(t *testing.T) {
	body := `{"records":[{}]}`
	for verdict, status := range map[journal.Verdict]int{
		journal.VerdictAccepted:  http.StatusOK,
		journal.VerdictConflict:  http.StatusConflict,
		journal.VerdictUnknown:   http.StatusAccepted,
		journal.VerdictMalformed: http.StatusUnprocessableEntity,
	} {
		router, c, _, _ := newTestRouter(nil)
		c.decision.Verdict = verdict
		got, _ := post(t, router, "/v1/config/changes", body)
		assert.Equal(t, got, status, "verdict %s", verdict)
	}
	router, _, _, _ := newTestRouter(config.Findings{{Record: 1, Message: "bad"}})
	got, _ := post(t, router, "/v1/config/changes", body)
	assert.Equal(t, got, http.StatusUnprocessableEntity)
}

func TestDrainingVMRefusesAndIsNotReady(t *testing.T) {
	router, _, _, gate := newTestRouter(nil)
	gate.Close()
	status, problem := post(t, router, "/v1/jobs", validJob)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, problem.Reason, command.ReasonDraining)
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
}

func TestBodyLimit(t *testing.T) {
	router, _, _, _ := newTestRouter(nil)
	body := `{"kind":"` + strings.Repeat("x", 2<<10) + `"}`
	status, _ := post(t, router, "/v1/requests", body)
	assert.Equal(t, status, http.StatusBadRequest)
}
