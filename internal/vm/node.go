// Package vm assembles a VM from its components and runs it until a planned stop. Run
// starts a VM of the `serve` subcommand, RunFleet one of the `fleet` subcommand.
package vm

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/command"
	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/dispatch"
	"github.com/eelgrassreach/eelgrassreach/internal/httpapi"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/peer"
	"github.com/eelgrassreach/eelgrassreach/internal/peer/peerpb"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/query"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
	"github.com/eelgrassreach/eelgrassreach/internal/settings"
	"github.com/eelgrassreach/eelgrassreach/internal/telemetry"
	"github.com/eelgrassreach/eelgrassreach/internal/watch"
)

// logConnections limits the connections to the platform: one each for the long poll, an
// append and the VM list, and one spare.
const logConnections = 4

// node holds the components of a VM that Run runs.
type node struct {
	identity   control.Identity
	logger     *zap.Logger
	seeds      []string // addresses of other VMs, from the settings
	control    *control.Loop
	dispatch   *dispatch.Dispatcher
	publisher  *journal.Publisher
	follower   *journal.Follower
	violations *invariant.Counter
	watcher    *watch.Watcher
	gate       *command.Gate
	draining   atomic.Bool
	handler    http.Handler
}

// newNode creates and connects the components without starting them.
func newNode(s settings.Serve, logger *zap.Logger, metrics *telemetry.Metrics) *node {
	n := &node{
		identity: control.Identity{
			Incarnation: model.Incarnation(model.RandomID()),
			Address:     s.Advertise,
			AZ:          s.AZ,
			Region:      s.Region,
		},
		logger: logger,
		seeds:  s.Peers,
		gate:   command.NewGate(),
	}
	n.violations = invariant.NewCounter(metrics.Scope, logger)
	client := ports.NewHTTPClient(logConnections, false)
	log := ports.NewLogClient(s.Platform, client)
	dialer := ports.NewHTTPDialer(ports.DialerOptions{ConnectionsPerServer: s.MaxConns})
	peers := peer.NewClients()

	n.publisher = journal.NewPublisher(log, journal.PublisherOptions{AppendsPerSecond: appendShare(s.AppendRate, nil)})
	n.control = control.New(control.Options{
		Identity:  n.identity,
		Replica:   replica.New(config.NewState()),
		Policy:    placement.Reclaiming{},
		Publisher: n.publisher,
		Dialer:    dialer,
		VMs:       ports.NewVMListClient(s.Platform, client),
		Peers:     peers,
		Reporter:  n.violations,
	})
	n.follower = journal.NewFollower(log, &peer.Fetcher{Clients: peers, Addresses: n.fetchAddresses}, n.control, journal.FollowerOptions{})
	n.dispatch = dispatch.New(dispatch.Options{
		Address:     s.Advertise,
		Incarnation: n.identity.Incarnation,
		Ports:       dispatch.Ports{View: n.dispatchView(), Dialer: dialer, Peers: peers},
		Reporter:    n.violations,
		Metrics:     metrics.Scope,
	})
	n.watcher = watch.New(n.control.View, logger, metrics.Scope)
	n.handler = n.router(s, metrics, peers)
	return n
}

// router returns the HTTP handler for commands, queries and peer services.
func (n *node) router(s settings.Serve, metrics *telemetry.Metrics, peers *peer.Clients) http.Handler {
	return httpapi.NewRouter(httpapi.Options{
		Commands: &command.Handler{
			Control:   n.control,
			Dispatch:  n.dispatch,
			Check:     checkRecords,
			TicketTTL: s.TicketTTL,
			Gate:      n.gate,
		},
		Queries: &query.Handler{
			Control:      n.control,
			Dispatch:     n.dispatch,
			RenderConfig: func(v *control.View) []json.RawMessage { return config.Render(v.Config) },
			Draining:     n.draining.Load,
			PeerJobs:     peers,
			Violations:   n.violations.Total,
			CaughtUp:     n.caughtUp,
		},
		Metrics: metrics.Handler,
		PeerServices: []httpapi.PeerService{
			peerpb.NewControlServer(&peer.ControlServer{Loop: n.control, KeptRecords: n.follower.Serve}),
			peerpb.NewDispatchServer(&peer.DispatchServer{Service: n.dispatch}),
		},
		Logger:  n.logger,
		MaxBody: s.MaxBody,
		Now:     time.Now,
	})
}

// start runs the components until ctx ends. The returned channel is closed when all have
// returned.
func (n *node) start(ctx context.Context, s settings.Serve) <-chan struct{} {
	var group sync.WaitGroup
	components := []func(context.Context){
		n.publisher.Run, n.control.Run, n.follower.Run, n.watchOffsets, n.dispatch.Run, n.watcher.Run,
		func(ctx context.Context) { n.updateAppendRate(ctx, s.AppendRate) },
	}
	for _, run := range components {
		group.Go(func() { run(ctx) })
	}
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	return finished
}

// fetchAddresses returns the addresses from which to fetch log records: those of live
// peers, ordered by how much of the log they have applied, then those from the settings.
// A VM that starts while the platform is down knows only the latter.
func (n *node) fetchAddresses() []string {
	peers := slices.Clone(n.control.View().Peers)
	slices.SortStableFunc(peers, func(a, b control.PeerState) int { return cmp.Compare(b.Applied, a.Applied) })
	addresses := make([]string, 0, len(peers)+len(n.seeds))
	for _, p := range peers {
		if p.Alive {
			addresses = append(addresses, p.Address)
		}
	}
	for _, seed := range n.seeds {
		if seed != n.identity.Address && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}
