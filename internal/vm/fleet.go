package vm

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/fleet"
	"github.com/eelgrassreach/eelgrassreach/internal/intake"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/telemetry"
	"github.com/eelgrassreach/eelgrassreach/platform"
)

const (
	// readinessLag is how long the platform may still send new connections to a VM that is
	// not ready: it takes two readiness probes, one second apart.
	readinessLag = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the process to exit.
	exitMargin = 1200 * time.Millisecond
	// handoverTimeout limits how long a stopping VM keeps its term while it waits for
	// another VM to take the term.
	handoverTimeout = 1500 * time.Millisecond

	// memoryShare is the part of the VM's memory from which on the garbage collector works harder.
	memoryShare = 0.55

	metricsPortOffset = 1 // metrics port minus FirstPort
)

// FleetOptions are the settings of RunFleet that do not come from the platform.
type FleetOptions struct {
	SettingsPath string
	LogLevel     string
	MetricsPort  int // 0: the port after the platform setting FirstPort
	// Hangup delivers SIGHUP. It is registered before the settings are read, since the platform may
	// signal a change at any time from the start of the process to its end.
	Hangup <-chan os.Signal
}

// RunFleet runs a VM on the platform that package platform adapts to, until ctx ends, and
// then stops it gracefully.
func RunFleet(ctx context.Context, o FleetOptions, stdout io.Writer) error {
	settings, err := platform.ReadSettings(o.SettingsPath)
	if err != nil {
		return err
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryShare * (1 << 20)))
	}
	metrics, err := telemetry.NewMetrics(settings.AZ)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	output := telemetry.NewBoundedWriter(stdout, metrics.Scope.Counter("log_lines_dropped"))
	defer output.Close()
	logger, err := telemetry.NewLogger(o.LogLevel, output)
	if err != nil {
		return err
	}
	logger = telemetry.WithSampling(logger.With(zap.String("node", settings.Node)), metrics.Scope.Counter("log_lines_sampled"))
	defer func() {
		if err := metrics.Close(); err != nil {
			logger.Warn("cannot close the metrics", zap.Error(err))
		}
	}()
	n, err := newFleetNode(settings, logger, metrics)
	if err != nil {
		return err
	}
	return n.run(ctx, o)
}

// fleetNode holds the components of a VM that RunFleet runs.
type fleetNode struct {
	settings platform.Settings
	log      *zap.Logger
	metrics  *telemetry.Metrics
	store    *platform.Store
	loop     *fleet.Loop
	service  *intake.Service
	ingress  *platform.Ingress
	socket   *udpDatagrams
}

func newFleetNode(s platform.Settings, log *zap.Logger, metrics *telemetry.Metrics) (*fleetNode, error) {
	peerAddress := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
	socket, err := listenUDP(peerAddress)
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(s.StoreAddress)
	loop := fleet.New(fleet.Options{
		Identity: fleet.Identity{
			Node: s.Node, Incarnation: model.Incarnation(model.RandomID()), AZ: s.AZ, Address: peerAddress, Forward: peerAddress,
			MilliCPU: s.MilliCPU, Bootstrap: s.Bootstrap,
		},
		Bounds: fleet.Bounds{
			LeaseMax: s.LeaseMax, StopTimeout: s.StopTimeout, FinalStateRetention: s.FinalStateRetention,
			CancelBound: s.CancelBound, DrainBound: s.DrainBound, EvacuationBound: s.EvacuationBound, ReclaimBound: s.ReclaimBound, FarFactor: s.FarFactor,
		},
		Store:     store,
		Servers:   platform.NewServers(),
		Advisor:   platform.NewAdvisor(s.AdviceAddress),
		Sources:   platform.Sources(),
		Decoder:   platform.Decoder{},
		Datagrams: socket,
		LinkMbps:  s.LinkMbps,
		Log:       log,
		Counters:  fleet.NewCounters(metrics.Scope.SubScope("fleet")),
	})
	counters := intake.NewCounters(metrics.Scope.SubScope("intake"))
	service := intake.New(intake.Options{Loop: loop, Store: store, RevokeBound: s.RevokeBound, Log: log, Counters: counters})
	return &fleetNode{
		settings: s, log: log, metrics: metrics, store: store, loop: loop, service: service,
		ingress: platform.NewIngress(service, log, counters), socket: socket,
	}, nil
}

// run serves until ctx ends, then performs the planned stop.
func (n *fleetNode) run(ctx context.Context, o FleetOptions) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		n.loop.Run(workCtx)
	}()
	go n.service.Run(workCtx)
	go n.watchSettings(workCtx, o)

	metricsPort := o.MetricsPort
	if metricsPort == 0 {
		metricsPort = n.settings.FirstPort + metricsPortOffset
	}
	servers := map[string]http.Handler{
		n.settings.Front:     n.ingress.Handler(),
		n.settings.Readiness: n.ingress.Readiness(),
		net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.FirstPort)): n.ingress.PeerHandler(),
		net.JoinHostPort(n.settings.IP, strconv.Itoa(metricsPort)):          n.metrics.Handler,
	}
	running, failed, err := serveAll(servers)
	if err != nil {
		return err
	}
	n.log.Info("started", zap.String("front", n.settings.Front), zap.String("store", n.settings.StoreAddress), zap.Int("metrics_port", metricsPort))
	select {
	case err = <-failed:
		n.log.Error("HTTP listener failed", zap.Error(err))
	case <-ctx.Done():
		n.stop(running)
	}
	stopWork()
	err = errors.Join(err, n.socket.Close())
	<-loopDone
	n.log.Info("stopped")
	return err
}

// stop reports that this VM is not ready, lets another VM take the term, and closes the
// listeners once the open connections have been served.
func (n *fleetNode) stop(running []*http.Server) {
	start := time.Now()
	n.log.Info("stopping", zap.Duration("grace", n.settings.TerminationGrace))
	n.ingress.Drain()
	n.loop.Drain(context.Background())
	time.Sleep(min(readinessLag, n.settings.TerminationGrace/2))
	for n.loop.HoldsTerm() && time.Since(start) < readinessLag+handoverTimeout {
		time.Sleep(handoverTimeout / 10)
	}
	shutdownCtx, cancel := context.WithDeadline(context.Background(), start.Add(n.settings.TerminationGrace-exitMargin))
	defer cancel()
	for _, s := range running {
		if err := s.Shutdown(shutdownCtx); err != nil {
			n.log.Warn("connections still open at the end of the grace period", zap.String("address", s.Addr), zap.Error(err))
		}
	}
}

// serveAll starts a server on each address, after all listeners are open.
func serveAll(handlers map[string]http.Handler) ([]*http.Server, <-chan error, error) {
	failed := make(chan error, len(handlers))
	var servers []*http.Server
	var listeners []net.Listener
	for address, handler := range handlers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, l)
		servers = append(servers, &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout})
	}
	for i, s := range servers {
		go func() {
			if err := s.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return servers, failed, nil
}
