package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWhereRejectsBadInput(t *testing.T) {
	job := `{"spec":"","steps":[{"count":1}]}`
	for _, c := range []struct {
		stdin string
		args  []string
		text  string
	}{
		{job, []string{"-queue", "h/p"}, "-vms: none given, IP:port"},
		{job, []string{"-vms", "127.0.0.1:1", "-queue", "h"}, `-queue "h": HOST/PATH allowed`},
		{job, []string{"-vms", "127.0.0.1:1", "-queue", "h/p", "-o", "xml"}, "must be table or json"},
		{job, []string{"-vms", "127.0.0.1:1", "-queue", "h/p", "-job", "/no/such/file"}, "no such file"},
		{"{", []string{"-vms", "127.0.0.1:1", "-queue", "h/p"}, "job: unexpected end"},
		{`{"spec":"","steps":[{"count":"x"}]}`, []string{"-vms", "127.0.0.1:1", "-queue", "h/p"}, "steps.count: a string is given, int is allowed"},
		{"", []string{"-vms", "127.0.0.1:1", "-queue", "h/p", "-tasks", "-1"}, "steps[0].count: -1 is not in 1 to 3000"},
		{"", []string{"-vms", "127.0.0.1:1", "-queue", "h/p", "-gang"}, "-tasks: missing"},
		{"", []string{"-vms", "127.0.0.1:1", "-queue", "h/p", "-tasks", "1", "-job", "f"}, "only one of them"},
	} {
		code, out, errs := run(t, c.stdin, append([]string{"where"}, c.args...)...)
		assert.Equal(t, code, ExitUsage, errs)
		assert.Equal(t, out, "")
		assert.Equal(t, strings.Count(errs, "\n"), 1, errs)
		assert.Assert(t, strings.Contains(errs, c.text), errs)
	}
}

func TestWhereNamesTheVMsTried(t *testing.T) {
	code, _, errs := run(t, "", "where", "-vms", "127.0.0.1:1,127.0.0.1:2", "-queue", "h/p", "-tasks", "1")
	assert.Equal(t, code, ExitError)
	assert.Assert(t, strings.Contains(errs, "127.0.0.1:1: ") && strings.Contains(errs, "127.0.0.1:2: "), errs)
}

func TestWherePrintsTheAnswer(t *testing.T) {
	answer := `{"admitted":%s,"refusal":"too late","retryAfterMs":2000,"place":{"node":"vm-b","listAgeMs":10,"reportAgeMs":20,"steps":[{"step":0,"tasks":3,"ahead":{"1":2},` +
		`"starts":[{"server":"s1","rack":"r1","tasks":2}],"waits":1,"reason":"no_cores","earmarkMs":1500,"preempts":{"2":4},"servers":5,"weighed":2,"excluded":{"draining":3}}]}}`
	vm := func(status int, admitted string) string {
		server := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, r.Host == "h" && strings.HasPrefix(r.URL.Path, "/p/") && len(r.URL.Path) == 19 && r.Header.Get("Authorization") == "Bearer k", r.URL.Path)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(strings.Replace(answer, "%s", admitted, 1)))
		})
		s := httptest.NewServer(server)
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	args := []string{"where", "-queue", "h/p", "-key", "k", "-tasks", "3", "-vms"}
	code, out, errs := run(t, "", append(args, vm(http.StatusServiceUnavailable, "true")+","+vm(http.StatusOK, "true"))...)
	assert.Equal(t, code, ExitOK, errs)
	for _, text := range []string{"vm-b", "admitted", "3 tasks: 2 start now, 1 wait", "priority 1: 2", "s1, rack r1: 2", "no_cores", "after 1.5s", "priority 2: 4", "2 of 5 weighed", "draining: 3"} {
		assert.Assert(t, strings.Contains(out, text), "%s in %s", text, out)
	}
	code, out, _ = run(t, "", append(args, vm(http.StatusOK, "false"))...)
	assert.Equal(t, code, ExitRefused)
	assert.Assert(t, strings.Contains(out, "refused: too late; retry after 2s"), out)
	for status, want := range map[int]ExitCode{http.StatusBadRequest: ExitUsage, http.StatusUnauthorized: ExitRefused, http.StatusNotFound: ExitNotFound} {
		code, _, errs = run(t, "", append(args, vm(status, "true"))...)
		assert.Equal(t, code, want, errs)
	}
}
