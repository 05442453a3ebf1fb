// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/eelgrassreach/eelgrassreach/internal/settings"
)

// metricsInterval is the time between two reports of the metrics root scope.
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

// Metrics is the root scope and the page that shows it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a root scope whose page Prometheus can read.
func NewMetrics(az string) (*Metrics, error) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "eelgrassreach",
		Tags:            map[string]string{"az": az},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}, nil
}

// Close stops the reports.
func (m *Metrics) Close() error { return m.closer.Close() }

// StartTracing installs the global tracer that s asks for and returns its
// shutdown function, which is never nil.
func StartTracing(ctx context.Context, s settings.Serve, stdout io.Writer) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, s, stdout)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", "eelgrassreach"),
		attribute.String("service.instance.id", s.Advertise),
		attribute.String("az", string(s.AZ)),
	)
	provider := trace.NewTracerProvider(trace.WithBatcher(exporter), trace.WithResource(res))
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// newExporter returns nil when tracing is off.
func newExporter(ctx context.Context, s settings.Serve, stdout io.Writer) (trace.SpanExporter, error) {
	switch s.Trace {
	case settings.TraceStdout:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(stdout))
		if err != nil {
			return nil, fmt.Errorf("stdout trace exporter: %w", err)
		}
		return exporter, nil
	case settings.TraceOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.TraceEndpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("OTLP trace exporter: %w", err)
		}
		return exporter, nil
	default:
		return nil, nil
	}
}
