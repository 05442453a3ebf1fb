package telemetry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"go.opentelemetry.io/otel"
	"gotest.tools/v3/assert"
)

func TestSpansReachTheCollector(t *testing.T) {
	var calls atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/traces" {
			calls.Add(1)
		}
	}))
	defer collector.Close()
	endpoint := strings.TrimPrefix(collector.URL, "http://")
	stop, err := StartTracing(t.Context(), TraceOptions{Exporter: TraceOTLP, Endpoint: endpoint, Service: "test"})
	assert.NilError(t, err)
	_, span := otel.Tracer("test").Start(t.Context(), "work")
	span.End()
	assert.NilError(t, stop(t.Context()))
	assert.Equal(t, calls.Load(), int64(1))
}

func TestUnknownExporter(t *testing.T) {
	_, err := StartTracing(t.Context(), TraceOptions{Exporter: "paper"})
	assert.ErrorContains(t, err, `"paper"`)
}

func TestLogLinesAreKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger("info", &out)
	assert.NilError(t, err)
	logger.Info("term changed")
	logger.Debug("dropped")
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(out.String(), `level=info msg="term changed"`), out.String())
}
