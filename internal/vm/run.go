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

// Run runs a VM until ctx ends, then stops it gracefully. The error is nil if the VM
// finished or handed over all of its work. Logs go to stderr; spans go to stdout if the
// settings say so.
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
	defer func() { err = errors.Join(err, flushTraces(stopTracing)) }()

	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	node := newNode(s, logger, metrics)
	server := &http.Server{Handler: node.handler, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()

	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	finished := node.start(workCtx, s)
	logger.Info("serving",
		zap.String("listen", s.Listen),
		zap.String("vm_az", string(s.AZ)),
		zap.String("incarnation", string(node.identity.Incarnation)))

	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	drainErr := node.drain(context.WithoutCancel(ctx), s)
	closeServer(server, logger)
	stopWork()
	<-finished
	logger.Info("stopped", zap.Error(drainErr))
	return drainErr
}

// closeServer closes the listener and waits until answers in progress are written. After
// shutdownTimeout, it closes the remaining connections.
func closeServer(server *http.Server, logger *zap.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		logger.Warn("closing connections that are still open", zap.Error(err))
		_ = server.Close()
	}
}

func flushTraces(stop func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return stop(ctx)
}
