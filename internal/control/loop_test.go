package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/invariant"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// loopHarness fakes the dependencies of one Loop.
type loopHarness struct {
	ports.Backend
	PeerClient
	t      *testing.T
	mu     sync.Mutex
	server *fakeServer
	log    fakeLog
	loop   *Loop
}

func (b *loopHarness) Submit(e journal.Entry, done func(journal.AppendResult)) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	offset := b.log.append(e, time.Now())
	entries := []journal.LocatedEntry{b.log.entries[offset-1]}
	go func() {
		b.loop.Records(entries, offset+1)
		done(journal.AppendResult{EntryID: e.ID, State: journal.AppendStored, Offset: offset})
	}()
	return nil
}

func (b *loopHarness) Observe([]journal.LocatedEntry, int64) {}
func (b *loopHarness) Skip()                                 {}

func (b *loopHarness) ObserveSnapshot(int64, func(string) (journal.Decision, bool)) {}
func (b *loopHarness) List(context.Context) ([]ports.VMEntry, error)                { return nil, nil }
func (b *loopHarness) Violated(v invariant.Violation)                               { b.t.Errorf("violation: %+v", v) }

func (b *loopHarness) Status(context.Context) (ports.BackendStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server.status(time.Now()), nil
}

func (b *loopHarness) Command(_ context.Context, batch ports.CommandBatch) ([]ports.TaskResult, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server.command(batch, time.Now()), nil
}

func (b *loopHarness) Heartbeat(context.Context, string, membership.Heartbeat) (membership.Heartbeat, error) {
	return membership.Heartbeat{}, ports.ErrUnavailable
}

// dialer connects to the only backend server of a loopHarness.
type dialer struct{ b *loopHarness }

func (d dialer) Backend(string) ports.Backend { return d.b }

// The loop runs a job from its submission to its end, and leaves no goroutine behind.
func TestLoopRunsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		info := model.BackendServer{ID: "s0", Address: "s0", AZ: testZone, Accelerators: 8}
		b := &loopHarness{t: t, server: &fakeServer{
			info:     info,
			tasks:    make(map[model.TaskID]*fakeTask),
			runtime:  func(model.JobID) time.Duration { return 10 * time.Second },
			failsJob: func(model.JobID) bool { return false },
		}}
		current := &config.Current{
			Organisations:  map[model.OrganisationID]model.Organisation{"a": {ID: "a"}},
			BackendServers: map[model.BackendServerID]model.BackendServer{"s0": info},
		}
		b.loop = New(Options{
			Identity:  Identity{Incarnation: "i", Address: "vm", AZ: testZone},
			Replica:   replica.New(fixedConfig{current}),
			Policy:    placement.Reclaiming{},
			Publisher: b,
			Dialer:    dialer{b},
			VMs:       b,
			Peers:     b,
			Reporter:  b,
		})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			b.loop.Run(ctx)
			close(done)
		}()
		b.loop.LogReachabilityChanged(true)
		b.loop.Records(nil, 1)
		time.Sleep(5 * time.Second)

		job := model.Job{ID: "j", Organisation: "a", Shape: model.GangShape{Tasks: 2, Accelerators: 4, Adjacency: model.AdjacentServer}}
		receipt, err := b.loop.Submit(ctx, job)
		assert.NilError(t, err)
		assert.Assert(t, receipt.Durable)
		time.Sleep(time.Second)
		st, _ := b.loop.View().Job("j")
		assert.Equal(t, st.State, JobRunning)
		time.Sleep(15 * time.Second)
		st, _ = b.loop.View().Job("j")
		assert.Equal(t, st.State, JobDone)
		receipts, err := b.loop.Cancel(ctx, []model.JobID{"j", "unknown"})
		assert.NilError(t, err)
		assert.DeepEqual(t, receipts, []CancelReceipt{{Job: "j", State: JobDone, Durable: true}, {Job: "unknown"}})
		assert.NilError(t, b.loop.Drain(ctx))
		stop()
		<-done
	})
}
