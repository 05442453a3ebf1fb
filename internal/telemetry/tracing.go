package telemetry

import (
	"context"
	"fmt"
	"io"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// The trace exporters.
const (
	TraceOff    = "off"
	TraceStdout = "stdout"
	TraceOTLP   = "otlp"
)

// traceBatchTimeout is the longest time that a span waits to be exported.
const traceBatchTimeout = time.Second

// TraceOptions sets where spans are exported to.
type TraceOptions struct {
	Exporter string    // TraceOff, TraceStdout or TraceOTLP
	Endpoint string    // IP:port of an OTLP/HTTP collector
	Output   io.Writer // for TraceStdout
	Service  string    // name of the process in the spans
	Instance string    // address of the process
}

// StartTracing installs the global tracer provider and returns its shutdown function,
// which is not nil unless an error is returned.
func StartTracing(ctx context.Context, o TraceOptions) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, o)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", o.Service),
		attribute.String("service.instance.id", o.Instance),
	)
	batcher := trace.WithBatcher(exporter, trace.WithBatchTimeout(traceBatchTimeout))
	provider := trace.NewTracerProvider(batcher, trace.WithResource(res))
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// newExporter returns a nil exporter if tracing is off.
func newExporter(ctx context.Context, o TraceOptions) (trace.SpanExporter, error) {
	switch o.Exporter {
	case TraceStdout:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(o.Output))
		if err != nil {
			return nil, fmt.Errorf("stdout trace exporter: %w", err)
		}
		return exporter, nil
	case TraceOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("OTLP trace exporter: %w", err)
		}
		return exporter, nil
	case TraceOff:
		return nil, nil
	default:
		return nil, fmt.Errorf("trace exporter %q: must be %s, %s or %s", o.Exporter, TraceOff, TraceStdout, TraceOTLP)
	}
}
