package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `ts=2026-03-22T05:10:40Z level=info msg="term taken" node=vm1 token=3
ts=2026-03-22T05:10:42.3Z level=info msg="run ended" node=vm1 task=5c0e7a21d94b36f8.0.0.0 run=1 server=s1 how=failed
ts=2026-03-22T05:10:42.2Z level=info msg="backend server does not answer" node=vm1 server=s9
  1.5 vm1 ts=2026-03-22T05:10:42.1Z level=info msg="backend server does not answer" node=vm1 server=s1
not a log line
ts=2026-03-22T05:10:42Z level=info msg="call answered" node=vm2 method=POST job=5c0e7a21d94b36f8 status=200
ts=2026-03-22T05:10:42.2Z level=info msg="term lost" node=vm1 token=3
ts=2026-03-22T05:10:42.2Z level=info msg="call answered" node=vm2 method=POST job=0000000000000000 status=200
`

func TestTimeline(t *testing.T) {
	timeline, err := Timeline(strings.NewReader(logs), "5c0e7a21d94b36f8")
	assert.NilError(t, err)
	out := new(strings.Builder)
	assert.NilError(t, Print(out, timeline))
	assert.Equal(t, out.String(), `    0.000s   vm2                msg="call answered" method=POST job=5c0e7a21d94b36f8 status=200
    0.100s | vm1                msg="backend server does not answer" server=s1
    0.200s | vm1                msg="term lost" token=3
    0.300s   vm1                msg="run ended" task=5c0e7a21d94b36f8.0.0.0 run=1 server=s1 how=failed
`)
}

func TestTimelineOfUnknownJob(t *testing.T) {
	timeline, err := Timeline(strings.NewReader(logs), "ffffffffffffffff")
	assert.NilError(t, err)
	assert.Equal(t, len(timeline), 0)
}
