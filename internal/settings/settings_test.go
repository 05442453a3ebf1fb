package settings

import (
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAllFindingsInOneReport(t *testing.T) {
	_, err := ParseServe([]string{"-az", "", "-platform", "nonsense", "-listen", "x"}, io.Discard)
	var findings Findings
	assert.Assert(t, errors.As(err, &findings))
	assert.Equal(t, len(findings), 3)
	assert.ErrorContains(t, err, "-az (EELGRASSREACH_AZ)")
	assert.ErrorContains(t, err, "-listen (EELGRASSREACH_LISTEN)")
	assert.ErrorContains(t, err, "-platform (EELGRASSREACH_PLATFORM)")
}

func TestFlagsOverrideEnvironment(t *testing.T) {
	t.Setenv("EELGRASSREACH_AZ", "harju-a")
	t.Setenv("EELGRASSREACH_DRAIN_NOTICE", "1s")
	s, err := ParseServe([]string{"-platform", "http://127.0.0.1:1", "-drain-notice", "2s"}, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, string(s.AZ), "harju-a")
	assert.Equal(t, s.DrainNotice, 2*time.Second)
	assert.Equal(t, s.Advertise, s.Listen)
}

func TestInvalidValues(t *testing.T) {
	tests := []struct{ flag, value string }{
		{"listen", "localhost:80"},
		{"advertise", "10.0.0.1"},
		{"platform", "http://platform:80"},
		{"peers", "10.0.0.1:1,b"},
		{"drain-timeout", "soon"},
		{"drain-timeout", "1h"},
		{"append-rate", "0"},
		{"max-conns", "many"},
		{"log-level", "loud"},
		{"trace", "on"},
	}
	for _, tc := range tests {
		args := []string{"-az", "a", "-platform", "http://127.0.0.1:1", "-" + tc.flag, tc.value}
		_, err := ParseServe(args, io.Discard)
		var findings Findings
		assert.Assert(t, errors.As(err, &findings), "%s=%s", tc.flag, tc.value)
		assert.Equal(t, findings[0].Flag, tc.flag)
	}
}
