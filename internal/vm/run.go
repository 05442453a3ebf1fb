package vm

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/settings"
	"github.com/eelgrassreach/eelgrassreach/internal/telemetry"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
)

// Run runs a VM until ctx ends, then stops it gracefully. The error is nil when
// every request was finished or handed over. Spans go to stdout when the settings
// ask for it; logs go to stderr.
func Run(ctx context.Context, s settings.Serve, stdout, stderr io.Writer) (err error) {
	logger, err := telemetry.NewLogger(s.LogLevel, stderr)
	if err != nil {
		return err
	}
	metrics, err := telemetry.NewMetrics(string(s.AZ))
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	defer func() { err = errors.Join(err, metrics.Close()) }()
	stopTracing, err := telemetry.StartTracing(ctx, telemetry.TraceOptions{
		Exporter: s.Trace,
		Endpoint: s.TraceEndpoint,
		Output:   stdout,
		Service:  "eelgrassreach",
		Instance: s.Advertise,
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, flush(stopTracing)) }()

	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	node := assemble(s, logger, metrics)
	server := &http.Server{Handler: node.handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()

	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	finished := node.start(work, s)
	logger.Info("serving",
		zap.String("listen", s.Listen),
		zap.String("vm_az", string(s.AZ)),
		zap.String("incarnation", string(node.identity.Incarnation)))

	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	drained := node.drain(context.WithoutCancel(ctx), s)
	closeServer(server, logger)
	stopWork()
	<-finished
	logger.Info("stopped", zap.Error(drained))
	return drained
}

// closeServer ends the listener after the answers in progress are written.
func closeServer(server *http.Server, logger *zap.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		logger.Warn("connections were left open", zap.Error(err))
		_ = server.Close()
	}
}

func flush(stop func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return stop(ctx)
}
