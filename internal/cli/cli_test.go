package cli

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// response is what the fake VM returns for one method and path.
type response struct {
	status int
	body   string
}

// startFakeVM starts a fake VM with one response per "METHOD /path" and returns its
// address.
func startFakeVM(t *testing.T, responses map[string]response) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, ok := responses[r.Method+" "+r.URL.Path]
		if !ok {
			a = response{http.StatusNotFound, `{"type":"not-found","title":"not found"}`}
		}
		w.WriteHeader(a.status)
		_, _ = w.Write([]byte(a.body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// run runs the command line and returns its exit code, standard output and standard error.
func run(t *testing.T, stdin string, args ...string) (ExitCode, string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	code := Run(t.Context(), args, Streams{In: strings.NewReader(stdin), Out: &out, Err: &errs})
	return code, out.String(), errs.String()
}

func TestOutcomesSetTheExitCode(t *testing.T) {
	tests := []struct {
		outcome string
		status  int
		want    ExitCode
	}{
		{"done", http.StatusOK, ExitOK},
		{"failed", http.StatusOK, ExitFailed},
		{"not run", http.StatusServiceUnavailable, ExitRefused},
		{"unknown", http.StatusGatewayTimeout, ExitUnknown},
	}
	for _, tc := range tests {
		body := fmt.Sprintf(`{"id":"r1","outcome":%q,"reason":"why","body":"aGk="}`, tc.outcome)
		vm := startFakeVM(t, map[string]response{"POST /v1/requests": {tc.status, body}})
		code, out, _ := run(t, "", "request", "run", "-server", vm, "-kind", "quote", "-organisation", "o")
		assert.Equal(t, code, tc.want, tc.outcome)
		assert.Assert(t, strings.Contains(out, tc.outcome))
		assert.Assert(t, strings.Contains(out, "why"))
	}
}

func TestVerdictsSetTheExitCode(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   ExitCode
		text   string
	}{
		{"accepted", http.StatusOK, `{"id":"c","verdict":"accepted","offset":7}`, ExitOK, "accepted at 7"},
		{"valid", http.StatusOK, `{"id":"c","verdict":"valid"}`, ExitOK, "valid"},
		{"conflict", http.StatusConflict, `{"id":"c","verdict":"conflict","winner":5}`, ExitConflict, "the change at 5 won"},
		{"unknown", http.StatusAccepted, `{"id":"c","verdict":"unknown"}`, ExitUnknown, "config resolve c"},
		{"refused", http.StatusUnprocessableEntity,
			`{"id":"c","verdict":"refused","findings":[{"record":2,"field":"az","message":"is empty"}]}`, ExitRefused, "is empty"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			vm := startFakeVM(t, map[string]response{"POST /v1/config/changes": {tc.status, tc.body}})
			code, out, errs := run(t, `{"schemaVersion":2}`, "config", "put", "-server", vm, "-f", "-")
			assert.Equal(t, code, tc.want, errs)
			assert.Assert(t, strings.Contains(out, tc.text), out)
		})
	}
}

func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"config", "put"},
		{"config", "put", "-f", filepath.Join("no", "such", "file")},
		{"job", "status"},
		{"job", "status", "a", "b"},
		{"job", "cancel"},
		{"status", "-o", "yaml"},
		{"status", "extra"},
		{"request", "run", "-unknown"},
		{"serve", "extra"},
	} {
		code, _, errs := run(t, "", args...)
		assert.Equal(t, code, ExitUsage, "%v: %s", args, errs)
		assert.Assert(t, errs != "", "%v printed no error", args)
	}
}

func TestHelpIsNoError(t *testing.T) {
	for _, args := range [][]string{{"-h"}, {"serve", "-h"}, {"config", "put", "-h"}, {"job"}} {
		code, _, errs := run(t, "", args...)
		assert.Equal(t, code, ExitOK)
		assert.Assert(t, strings.Contains(errs, "USAGE"), "%v: %s", args, errs)
	}
}

func TestMalformedRecordsFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "records.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"schemaVersion":`), 0o600))
	code, _, errs := run(t, "", "config", "put", "-f", file)
	assert.Equal(t, code, ExitRefused)
	assert.Assert(t, strings.Contains(errs, "records.json"), errs)
}

func TestProblemsSetTheExitCode(t *testing.T) {
	for kind, want := range map[string]ExitCode{
		"bad-request": ExitUsage,
		"not-found":   ExitNotFound,
		"refused":     ExitRefused,
		"in-doubt":    ExitUnknown,
		"unavailable": ExitError,
	} {
		body := fmt.Sprintf(`{"type":%q,"title":"t","findings":[{"field":"shape","message":"too large"}]}`, kind)
		vm := startFakeVM(t, map[string]response{"POST /v1/jobs": {http.StatusTeapot, body}})
		code, _, errs := run(t, "", "job", "submit", "-server", vm, "-organisation", "o")
		assert.Equal(t, code, want)
		assert.Assert(t, strings.Contains(errs, "too large"), errs)
	}
}

func TestUnreachableVM(t *testing.T) {
	code, _, errs := run(t, "", "status", "-server", "127.0.0.1:1")
	assert.Equal(t, code, ExitError)
	assert.Assert(t, errs != "")
}

func TestStatusShowsAPartialView(t *testing.T) {
	body := `{"partial":"the platform's log is unreachable","az":"a","platform":{"reachable":false,"for":"9s"},
		"queues":[{"class":0,"queued":3,"running":1}],
		"guaranteesAtRisk":[{"organisation":"o","guarantee":{"az":"a","shape":{"tasks":2,"accelerators":8,"adjacency":"rack"},"count":2},"honoured":1}]}`
	vm := startFakeVM(t, map[string]response{"GET /v1/status": {http.StatusOK, body}})
	code, out, _ := run(t, "", "status", "-server", vm)
	assert.Equal(t, code, ExitOK)
	for _, text := range []string{"PARTIAL VIEW", "NOT reachable for 9s", "urgent", "2x8/rack", "1 of 2 honoured"} {
		assert.Assert(t, strings.Contains(out, text), "%q is missing in:\n%s", text, out)
	}
}
