package telemetry

import (
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	lines   int
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.lines++
	return len(p), nil
}

func TestBoundedWriterNeverBlocks(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out, scope.Counter("dropped"))
	for range maxQueuedLines + 100 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	close(out.release)
	w.Close()
	dropped := scope.Snapshot().Counters()["dropped+"].Value()
	assert.Equal(t, int64(out.lines)+dropped, int64(maxQueuedLines+100))
	assert.Assert(t, dropped >= 99)
}

func TestSampledBoundsEachMessage(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	out := new(strings.Builder)
	log, err := NewLogger("info", out)
	assert.NilError(t, err)
	log = WithSampling(log, scope.Counter("dropped"))
	for range 1000 {
		log.Info("same")
	}
	log.Info("other")
	lines := strings.Count(out.String(), "\n")
	assert.Assert(t, lines < 300, "%d lines", lines)
	assert.Assert(t, strings.Contains(out.String(), "other"))
}
