package changes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/journal/journaltest"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	peerLatency       = 8 * time.Millisecond // one way between regions
	pollInterval      = 200 * time.Microsecond
)

// logVM is the part of a VM that reads and writes the log, with the replicated state.
type logVM struct {
	cluster        *logCluster
	zone           int
	port           *journaltest.Port
	state          *replica.State // used only by the follower's goroutine
	publisher      *journal.Publisher
	follower       *journal.Follower
	revision       atomic.Int64 // of the configuration in force
	appliedEntries atomic.Int64
}

// Records implements journal.Sink.
func (v *logVM) Records(entries []journal.LocatedEntry, next int64) {
	for _, e := range entries {
		v.state.Apply(e)
	}
	v.state.Advance(next)
	v.publisher.Observe(entries, next)
	v.appliedEntries.Add(int64(len(entries)))
	v.revision.Store(v.state.Config().Current().Revision)
}

// Snapshot implements journal.Sink.
func (v *logVM) Snapshot(s journal.Snapshot) {
	if err := v.state.Restore(s.State); err != nil {
		panic(fmt.Sprintf("measure: restore own snapshot: %v", err))
	}
	v.publisher.ObserveSnapshot(s.Offset, v.state.Decision)
	v.revision.Store(v.state.Config().Current().Revision)
}

// LogReachabilityChanged implements journal.Sink.
func (v *logVM) LogReachabilityChanged(bool) {}

// Fetch implements journal.Peers.
func (v *logVM) Fetch(_ context.Context, from int64, limit int) (journal.FetchResult, error) {
	peer := v.cluster.mostAdvancedPeer(v)
	if peer == nil {
		return journal.FetchResult{}, fmt.Errorf("no peer is ahead: %w", ports.ErrUnavailable)
	}
	time.Sleep(2 * peerLatency)
	return peer.follower.Serve(from, limit), nil
}

// runHeartbeats triggers a fetch at each heartbeat while a peer is ahead of v.
func (v *logVM) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if v.cluster.mostAdvancedPeer(v) != nil {
			v.follower.TriggerFetch()
		}
	}
}

// logCluster is a set of VMs on one log.
type logCluster struct {
	log  *journaltest.Log
	vms  []*logVM
	stop func()
}

// newLogCluster starts the VMs with equal links to the log.
func newLogCluster(link journaltest.Faults) *logCluster {
	c := &logCluster{log: journaltest.NewLog()}
	for i := range logZones * logVMsPerZone {
		c.vms = append(c.vms, c.newVM(i/logVMsPerZone, link))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, v := range c.vms {
		running.Go(func() { v.publisher.Run(ctx) })
		running.Go(func() { v.follower.Run(ctx) })
		running.Go(func() { v.runHeartbeats(ctx) })
	}
	c.stop = func() {
		cancel()
		running.Wait()
	}
	return c
}

func (c *logCluster) newVM(zone int, link journaltest.Faults) *logVM {
	v := &logVM{cluster: c, zone: zone, port: c.log.Port(), state: replica.New(config.NewState())}
	v.port.SetFaults(link)
	v.publisher = journal.NewPublisher(v.port, journal.PublisherOptions{})
	v.follower = journal.NewFollower(v.port, v, v, journal.FollowerOptions{})
	return v
}

// mostAdvancedPeer returns the VM that has read furthest if it is ahead of v, else nil.
func (c *logCluster) mostAdvancedPeer(v *logVM) *logVM {
	var best *logVM
	next := v.follower.Next()
	for _, peer := range c.vms {
		if n := peer.follower.Next(); n > next {
			best, next = peer, n
		}
	}
	return best
}

// cutZone makes the log unreachable for the VMs of a zone.
func (c *logCluster) cutZone(zone int) {
	for _, v := range c.vms {
		if v.zone == zone {
			v.port.SetFaults(journaltest.Faults{Append: journaltest.FaultSilent, Read: journaltest.FaultSilent})
		}
	}
}

// publisherStats returns the sum of the statistics of all publishers.
func (c *logCluster) publisherStats() journal.PublisherStats {
	var sum journal.PublisherStats
	for _, v := range c.vms {
		stats := v.publisher.Stats()
		sum.Appends += stats.Appends
		sum.Entries += stats.Entries
		sum.Bytes += stats.Bytes
	}
	return sum
}

// awaitFollowers waits until every VM has started to read the log.
func (c *logCluster) awaitFollowers() error {
	return awaitAll(c.vms, func(v *logVM) bool { return v.follower.Next() > 0 })
}

var errTimeout = errors.New("timed out waiting for the VMs")

// awaitAll waits until reached returns true for all the VMs.
func awaitAll(vms []*logVM, reached func(*logVM) bool) error {
	deadline := time.Now().Add(conditionTimeout)
	for _, v := range vms {
		for !reached(v) {
			if time.Now().After(deadline) {
				return errTimeout
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// publishTimes holds the times that a change took.
type publishTimes struct {
	accepted time.Duration // from submitted to read back on the VM that published it
	inForce  time.Duration // from accepted to in force on the last VM
}

// publish publishes a change on the first VM and times it.
func (c *logCluster) publish(i int) (publishTimes, error) {
	first := c.vms[0]
	revision := first.revision.Load()
	change := journal.ConfigChange{ExpectedRevision: revision, Records: config.Render(sampleConfig(i))}
	body, err := json.Marshal(change)
	if err != nil {
		return publishTimes{}, err
	}
	start := time.Now()
	e := journal.Entry{ID: model.RandomID(), Kind: journal.KindConfig, Body: body}
	if err := first.publisher.Submit(e, nil); err != nil {
		return publishTimes{}, err
	}
	if err := awaitAll([]*logVM{first}, func(v *logVM) bool { return v.revision.Load() > revision }); err != nil {
		return publishTimes{}, err
	}
	accepted := time.Now()
	revision = first.revision.Load()
	err = awaitAll(c.vms, func(v *logVM) bool { return v.revision.Load() >= revision })
	return publishTimes{accepted: accepted.Sub(start), inForce: time.Since(accepted)}, err
}

// sampleConfig returns a configuration of one organisation with one guarantee.
func sampleConfig(i int) *config.Current {
	shape := model.GangShape{Tasks: 4, Accelerators: 8, Adjacency: model.AdjacentRack}
	organisation := model.Organisation{
		ID:         "palvehelmed",
		Guarantees: []model.Guarantee{{AZ: "harju-a", Shape: shape, Count: 1 + i%3}},
		Weight:     1,
	}
	return &config.Current{Organisations: map[model.OrganisationID]model.Organisation{organisation.ID: organisation}}
}

// burst submits count entries on each VM and returns the time until all VMs have
// applied all of them.
func (c *logCluster) burst(count int) (time.Duration, error) {
	start := time.Now()
	for _, v := range c.vms {
		for range count {
			e := journal.Entry{ID: model.RandomID(), Kind: journal.KindJobCancelled, Body: json.RawMessage(`{"job":"none"}`)}
			if err := v.publisher.Submit(e, nil); err != nil {
				return 0, err
			}
		}
	}
	total := int64(count * len(c.vms))
	err := awaitAll(c.vms, func(v *logVM) bool { return v.appliedEntries.Load() >= total })
	return time.Since(start), err
}
