// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// metricsInterval is the time between two reports of the metrics' root scope.
const metricsInterval = time.Second

// NewLogger returns a logger that writes one line of key=value pairs per event.
func NewLogger(level string, w io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

// Metrics is the root scope of the metrics and the HTTP handler that exposes them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a root scope that is exposed in the format of Prometheus.
func NewMetrics(az string) (*Metrics, error) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	sanitize := prometheus.DefaultSanitizerOpts
	sanitize.ValueCharacters.Characters = tally.UnderscoreDashDotCharacters
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "eelgrassreach",
		Tags:            map[string]string{"az": az},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &sanitize,
	}, metricsInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}, nil
}

// Close stops the periodic reports.
func (m *Metrics) Close() error { return m.closer.Close() }
