package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/boottime"
	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/guard"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	eventQueue = 4096
	eventBatch = 512

	nonHolderRecordsWait = 2 * time.Second        // how long a read waits for records
	holderRecordsWait    = 700 * time.Millisecond // the same at the holder, which starts no task unless it knows recent cancellations
	configWait           = 1 * time.Second        // a read's wait; bounds the age of the last confirmation of the configuration
	// A VM without the term pauses between reads, since it only answers queries: about the
	// states that submitters wait for, and about jobs that it can look up in the store.
	nonHolderProgressPause    = 120 * time.Millisecond
	standbyProgressPause      = 50 * time.Millisecond // in a large fleet, where few VMs read and many ask them
	nonHolderSubmissionsPause = 400 * time.Millisecond
	holderProgressPause       = 300 * time.Millisecond // the holder reads this partition only to see claims of the term by others
	holderServersPause        = 400 * time.Millisecond
	nonHolderServersPause     = 3 * time.Second // a VM without the term needs only the capacities
	holderVMsPause            = 300 * time.Millisecond
	nonHolderVMsPause         = 3 * time.Second
	firstVMsPause             = 150 * time.Millisecond // during firstReads, when many VMs may start
	firstReads                = 2 * time.Second

	appendTimeout    = 800 * time.Millisecond // three times the answer time of a slow store
	orderTimeout     = 700 * time.Millisecond
	holdTimeout      = 900 * time.Millisecond // in addition to the time that the report waits
	adviceTimeout    = 3 * time.Second
	maxHeartbeat     = 4096             // bytes
	announceInterval = 60 * time.Second // a VM that stops to announce itself counts as gone at some time
)

// Datagrams sends and receives the heartbeats between VMs.
type Datagrams interface {
	Send(address string, payload []byte) error
	// Receive waits for a datagram and returns its size.
	Receive(buffer []byte) (int, error)
}

// Advisor asks a queue's policy which of the backend servers may run a step. It returns a
// ticket for each allowed one, and how long the tickets are valid.
type Advisor interface {
	Advise(ctx context.Context, step string, servers []model.BackendServerID) (map[model.BackendServerID]string, time.Duration, error)
}

// Sources names the partitions that operators and backend servers write to.
type Sources struct {
	// Config holds the newest configuration under ConfigKey, and the requests to evacuate availability zones.
	Config    Partition
	ConfigKey string
	// Servers holds an entry for each backend server under its ID.
	Servers Partition
}

// Decoder decodes the records that operators and backend servers write.
type Decoder interface {
	Config(value []byte) (*Config, error)
	Server(id model.BackendServerID, value []byte) (ServerEntry, error)
	// Evacuation returns the availability zone that a record of Sources.Config asks to evacuate, also beside an
	// error about its value. A record without a value takes the zone back. The name is empty for other records.
	Evacuation(key string, value []byte) (model.AZ, error)
}

// Options are the settings and dependencies of a Loop.
type Options struct {
	Identity  Identity
	Bounds    Bounds
	Store     Store
	Servers   BackendServers
	Advisor   Advisor
	Sources   Sources
	Decoder   Decoder
	Datagrams Datagrams
	// LinkMbps is the bandwidth of this VM's link in Mbit/s; 0 if it is not known.
	LinkMbps float64
	Log      *zap.Logger
	Counters Counters
}

// Loop runs a State in one goroutine and executes its actions in others.
type Loop struct {
	options    Options
	state      *State
	events     chan queuedEvent
	stopped    chan struct{}
	goroutines sync.WaitGroup
	config     atomic.Pointer[Config]
	// configAsOf is the latest time at which config was known to be the newest.
	configAsOf        atomic.Pointer[time.Time]
	holdsTerm         atomic.Bool
	needsFreshRecords atomic.Bool
	largeFleet        atomic.Bool
	token             atomic.Int64 // of the term that this VM holds; 0 if it holds none
	stopFollowers     context.CancelFunc
	stopServers       context.CancelFunc // ends the reads of the backend servers' entries; nil if there are none
	startedAt         time.Time
	starts            *startQueue
	// readServers wakes the reader of the backend servers' entries.
	readServers chan struct{}
}

// queuedEvent is an event with the time at which it was posted; zero for a tick.
type queuedEvent struct {
	event Event
	at    time.Time
}

// bounds returns the bounds with what follows from the VM's link.
func (o *Options) bounds() Bounds {
	b := o.Bounds
	b.StartOrders = startOrdersUnderWay(o.LinkMbps)
	return b
}

// New returns a loop that does nothing until Run is called.
func New(o Options) *Loop {
	return &Loop{
		options: o,
		state:   NewState(o.Identity, o.bounds(), o.Log, o.Counters),
		events:  make(chan queuedEvent, eventQueue),
		stopped: make(chan struct{}),
		// A value that waits makes the next pause end at once.
		readServers: make(chan struct{}, 1),
	}
}

// Run applies events until ctx ends, and returns when all its goroutines have stopped.
func (l *Loop) Run(ctx context.Context) {
	l.startedAt = boottime.Now()
	l.starts = &startQueue{
		limit:   l.state.bounds.StartOrders,
		execute: func(o Start) { l.post(ctx, l.start(ctx, o)) },
		spawn:   l.goroutines.Go,
	}
	l.state.stopwatch = boottime.Now
	l.goroutines.Go(func() { l.followConfig(ctx) })
	l.goroutines.Go(func() { l.announce(ctx) })
	go l.receive(ctx) // ends when its socket is closed
	l.step(ctx, nil)
	eventloop.Run(ctx, l.events, queuedEvent{event: Ticked{}}, tickInterval, eventBatch, func(batch []queuedEvent) { l.step(ctx, batch) })
	close(l.stopped)
	l.goroutines.Wait()
}

func (l *Loop) step(ctx context.Context, batch []queuedEvent) {
	c := Clock{Now: boottime.Now(), Wall: time.Now()}
	events := make([]Event, 0, len(batch))
	for _, q := range batch {
		events = append(events, q.event)
		if !q.at.IsZero() {
			c.Lag = max(c.Lag, c.Now.Sub(q.at))
		}
	}
	actions := l.state.Step(events, c)
	l.holdsTerm.Store(l.state.holdsTerm())
	l.token.Store(l.state.term.token)
	l.needsFreshRecords.Store(l.state.NeedsFreshRecords())
	l.largeFleet.Store(l.state.LargeFleet())
	for _, a := range actions {
		l.execute(ctx, a)
	}
}

// post queues an event for the loop, unless it has stopped.
func (l *Loop) post(ctx context.Context, e Event) {
	select {
	case l.events <- queuedEvent{event: e, at: boottime.Now()}:
	case <-l.stopped:
	case <-ctx.Done():
	}
}

// Query runs f in the loop's goroutine and waits for it; f must not keep the State.
func (l *Loop) Query(ctx context.Context, f func(*State)) error {
	done := make(chan struct{})
	l.post(ctx, QueryRequested{Query: func(s *State) {
		f(s)
		close(done)
	}})
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return errors.New("the control loop has stopped")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Config returns the newest configuration, nil before the first one, and the latest time at
// which it was known to be the newest.
func (l *Loop) Config() (*Config, time.Time) {
	asOf := l.configAsOf.Load()
	if asOf == nil {
		return nil, time.Time{}
	}
	return l.config.Load(), *asOf
}

// Drain begins this VM's planned stop.
func (l *Loop) Drain(ctx context.Context) { l.post(ctx, DrainStarted{}) }

// HoldsTerm reports whether this VM holds the term.
func (l *Loop) HoldsTerm() bool { return l.holdsTerm.Load() }

func (l *Loop) recordsWait() time.Duration {
	if l.HoldsTerm() {
		return holderRecordsWait
	}
	return nonHolderRecordsWait
}

// recordsPause returns the pause between reads of a partition. It saves calls where new
// records are not needed at once: the holder needs submissions without delay, while other
// VMs answer queries from what they have read.
func (l *Loop) recordsPause(p Partition) time.Duration {
	switch {
	case p == vmsPartition && l.HoldsTerm():
		return holderVMsPause
	case p == vmsPartition && boottime.Now().Sub(l.startedAt) < firstReads:
		return firstVMsPause
	case p == vmsPartition:
		return nonHolderVMsPause
	case !l.HoldsTerm() && l.needsFreshRecords.Load():
		return 0
	case !l.HoldsTerm() && p == progressPartition && l.largeFleet.Load():
		return standbyProgressPause
	case !l.HoldsTerm() && p == progressPartition:
		return nonHolderProgressPause
	case !l.HoldsTerm():
		return nonHolderSubmissionsPause
	case p == progressPartition:
		return holderProgressPause
	default:
		return 0
	}
}

func noPause() time.Duration { return 0 }

// follow stops the reads of all partitions and starts those of the given ones under a new generation.
func (l *Loop) follow(ctx context.Context, generation int, partitions []Partition) {
	if l.stopFollowers != nil {
		l.stopFollowers()
	}
	ctx, l.stopFollowers = context.WithCancel(ctx)
	for _, p := range partitions {
		f := &follower{store: l.options.Store, partition: p, wait: l.recordsWait, log: l.options.Log}
		f.pause = func() time.Duration { return l.recordsPause(p) }
		f.onFailure = func(err error) { l.post(ctx, StoreAnswered{Err: err}) }
		f.sink = func(b readBatch) {
			l.post(ctx, RecordsRead{
				Generation: generation, Partition: p, Records: b.Records,
				Initial: b.Initial, Synced: b.Synced, Next: b.Next, AsOf: b.AsOf,
			})
		}
		l.goroutines.Go(func() { f.run(ctx) })
	}
}

func (l *Loop) followConfig(ctx context.Context) {
	f := &follower{store: l.options.Store, partition: l.options.Sources.Config, wait: func() time.Duration { return configWait }, pause: noPause, log: l.options.Log}
	f.onFailure = func(err error) { l.post(ctx, EvacuationsUnread{Err: err}) }
	evacuations := &evacuationReader{decoder: l.options.Decoder, log: l.options.Log, counters: l.options.Counters, skipped: make(map[string]string)}
	f.sink = func(b readBatch) {
		l.post(ctx, StoreAnswered{})
		l.post(ctx, EvacuationsRead{evacuations.read(b, l.options.Sources.ConfigKey)})
		for _, r := range b.Records {
			if r.Key == l.options.Sources.ConfigKey {
				l.configRead(ctx, r)
			}
		}
		if b.Synced && l.config.Load() != nil {
			l.configAsOf.Store(&b.AsOf)
		}
	}
	f.run(ctx)
}

func (l *Loop) configRead(ctx context.Context, r StoredRecord) {
	var c *Config
	err := guard.Do(func() (err error) {
		c, err = l.options.Decoder.Config(r.Value)
		return err
	})
	if err != nil {
		l.options.Counters.RecordsSkipped.Inc(1)
		l.options.Log.Error("configuration skipped: it cannot be read", zap.Int64("offset", r.Offset), zap.Error(err))
		return
	}
	if old := l.config.Load(); old != nil && c.Version <= old.Version {
		return
	}
	l.config.Store(c)
	l.post(ctx, ConfigChanged{Config: c})
}

func (l *Loop) followServers(ctx context.Context) {
	entries := make(map[model.BackendServerID]ServerEntry)
	skipped := make(map[string]string)
	var asOf time.Time
	f := &follower{store: l.options.Store, partition: l.options.Sources.Servers, wait: noPause, alwaysPause: true, wake: l.readServers, log: l.options.Log}
	f.pause = l.serversPause
	f.onFailure = func(err error) { l.post(ctx, ServersUnread{Err: err}) }
	f.sink = func(b readBatch) {
		if b.Initial {
			clear(entries)
		}
		for _, r := range b.Records {
			l.serverRead(entries, skipped, r)
		}
		if b.Synced {
			asOf = b.AsOf
		}
		list := make([]ServerEntry, 0, len(entries))
		for _, e := range entries {
			list = append(list, e)
		}
		l.post(ctx, ServersListed{Servers: list, AsOf: asOf})
	}
	f.run(ctx)
}

// serversPause returns the pause after a read of the backend servers' entries.
func (l *Loop) serversPause() time.Duration {
	if l.HoldsTerm() {
		return min(holderServersPause, l.options.Bounds.DrainBound/5)
	}
	return nonHolderServersPause
}

// serverRead applies a record to the entries. A record without a value removes the entry; one
// that cannot be decoded changes nothing, and is logged when its reason is new; skipped holds the
// reasons by key.
func (l *Loop) serverRead(entries map[model.BackendServerID]ServerEntry, skipped map[string]string, r StoredRecord) {
	id := model.BackendServerID(r.Key)
	if len(r.Value) == 0 {
		delete(entries, id)
		delete(skipped, r.Key)
		return
	}
	var e ServerEntry
	err := guard.Do(func() (err error) {
		e, err = l.options.Decoder.Server(id, r.Value)
		return err
	})
	if err != nil {
		l.options.Counters.RecordsSkipped.Inc(1)
		if skipped[r.Key] != err.Error() {
			skipped[r.Key] = err.Error()
			l.options.Log.Warn("entry of a backend server skipped", zap.String("server", r.Key), zap.Error(err))
		}
		return
	}
	entries[id] = e
}

// announce publishes this VM's addresses to the other VMs through the store.
func (l *Loop) announce(ctx context.Context) {
	for ctx.Err() == nil {
		pause := announceInterval
		if err := l.announceOnce(ctx); err != nil {
			l.options.Log.Info("announcement of this VM not confirmed", zap.Error(err))
			pause = time.Second
		}
		eventloop.Sleep(ctx, pause)
	}
}

func (l *Loop) announceOnce(ctx context.Context) error {
	r, err := PeerRecord(l.options.Identity)
	if err != nil {
		return err
	}
	_, err = l.append(ctx, AppendRequest{Partition: vmsPartition, Records: []job.Record{r}, At: -1})
	return err
}

func (l *Loop) receive(ctx context.Context) {
	buffer := make([]byte, maxHeartbeat)
	for ctx.Err() == nil {
		n, err := l.options.Datagrams.Receive(buffer)
		if err != nil {
			if ctx.Err() == nil {
				l.options.Log.Warn("heartbeats cannot be received", zap.Error(err))
				eventloop.Sleep(ctx, followRetry)
			}
			continue
		}
		var h Heartbeat
		if err := json.Unmarshal(buffer[:n], &h); err != nil {
			l.options.Log.Debug("datagram skipped", zap.Error(err))
			continue
		}
		l.post(ctx, HeartbeatReceived{Heartbeat: h})
	}
}

// execute carries out one action; calls run in their own goroutines.
func (l *Loop) execute(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Append:
		l.goroutines.Go(func() {
			offset, err := l.append(ctx, a.Request)
			l.post(ctx, AppendAnswered{Number: a.Number, Epoch: a.Request.Epoch, Offset: offset, Err: err})
		})
	case Claim:
		l.goroutines.Go(func() {
			_, err := l.append(ctx, a.Request)
			l.post(ctx, ClaimAnswered{Epoch: a.Request.Epoch, Err: err})
		})
	case OrderStart:
		l.starts.add(a.Start)
	case OrderStop:
		l.goroutines.Go(func() { l.post(ctx, l.stop(ctx, a.Stop)) })
	case OrderHold:
		l.goroutines.Go(func() { l.post(ctx, l.hold(ctx, a.Hold)) })
	case RequestAdvice:
		l.goroutines.Go(func() { l.post(ctx, l.advise(ctx, a)) })
	case SendHeartbeat:
		l.sendHeartbeat(a)
	case ReadServers:
		select {
		case l.readServers <- struct{}{}:
		default: // a read is already due
		}
	case Resync:
		l.follow(ctx, a.Generation, a.Partitions)
	case FollowServers:
		if l.stopServers != nil {
			l.stopServers()
			l.stopServers = nil
		}
		if a.On {
			var servers context.Context
			servers, l.stopServers = context.WithCancel(ctx)
			l.goroutines.Go(func() { l.followServers(servers) })
		}
	}
}

func (l *Loop) append(ctx context.Context, a AppendRequest) (int64, error) {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return l.options.Store.Append(call, a)
}

func (l *Loop) start(ctx context.Context, o Start) Event {
	if !l.holdsTermOf(o.Token) || !boottime.Now().Before(o.SendBefore) {
		return StartAnswered{Order: o, Err: ErrExpired}
	}
	l.observeStart(o)
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	clock, err := l.options.Servers.Start(call, o)
	return StartAnswered{Order: o, Clock: clock, Err: err}
}

// holdsTermOf reports whether this VM still holds the term that an order's token belongs to. The tokens of
// a term are its own and higher ones, until the next term begins.
func (l *Loop) holdsTermOf(token int64) bool {
	term := l.token.Load()
	return token == term || term != 0 && token > term
}

// oldStart is the age of the decision, or of the entries of backend servers, from which on a start
// order is logged: a read of the entries and the storing of the placement usually take less.
const oldStart = time.Second

// observeStart reports how old the decision and the knowledge behind a start order are.
func (l *Loop) observeStart(o Start) {
	now := boottime.Now()
	delay, listAge := now.Sub(o.DecidedAt), now.Sub(o.ListedAsOf)
	l.options.Counters.StartDelay.RecordDuration(delay)
	l.options.Counters.ListAge.RecordDuration(listAge)
	if max(delay, listAge) > oldStart {
		l.options.Log.Warn("start order sent on old knowledge", zap.String("task", o.Task), zap.Int64("run", o.Run),
			zap.String("server", string(o.Server)), zap.Duration("since_placement", delay), zap.Duration("list_age", listAge))
	}
}

func (l *Loop) stop(ctx context.Context, o Stop) Event {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	clock, err := l.options.Servers.Stop(call, o)
	return StopAnswered{Order: o, Clock: clock, Err: err}
}

func (l *Loop) hold(ctx context.Context, o Hold) Event {
	sent := boottime.Now()
	call, cancel := context.WithTimeout(ctx, o.Wait+holdTimeout)
	defer cancel()
	report, err := l.options.Servers.Hold(call, o)
	return HoldAnswered{Order: o, Sent: sent, Report: report, Err: err}
}

func (l *Loop) advise(ctx context.Context, a RequestAdvice) Event {
	call, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	tickets, valid, err := l.options.Advisor.Advise(call, a.Step, a.Servers)
	return AdviceAnswered{Step: a.Step, Asked: a.Servers, Tickets: tickets, Valid: valid, Err: err}
}

func (l *Loop) sendHeartbeat(a SendHeartbeat) {
	payload, err := json.Marshal(a.Heartbeat)
	if err != nil {
		l.options.Log.Error("heartbeat not encoded", zap.Error(err))
		return
	}
	if len(payload) > maxHeartbeat && len(a.Heartbeat.Load) > 0 { // the rest matters more
		l.options.Counters.DigestsLeftOut.Inc(1)
		a.Heartbeat.Load = nil
		l.sendHeartbeat(a)
		return
	}
	for _, address := range a.To {
		if err := l.options.Datagrams.Send(address, payload); err != nil {
			l.options.Log.Debug("heartbeat not sent", zap.String("to", address), zap.Error(err))
		}
	}
}

// ReportUnanswered notes that the store has not answered an append of a job's submission, and tells the other VMs.
func (l *Loop) ReportUnanswered(ctx context.Context, id model.JobID) {
	l.post(ctx, SubmissionUnanswered{Job: id})
}

// FoundJob is what a search of the store has shown of a job.
type FoundJob struct {
	Submitted, Cancelled bool
	// InDoubt is set if the job was not found, but its submission may still be under way to the store.
	InDoubt bool
}

// FindJob searches the store for a job, also beyond the records that this VM has read so far.
func (l *Loop) FindJob(ctx context.Context, id model.JobID) (FoundJob, error) {
	p := SubmissionPartition(id)
	var next int64
	if err := l.Query(ctx, func(s *State) { next = s.nextOf[p] }); err != nil {
		return FoundJob{}, err
	}
	var found FoundJob
	for {
		read, err := l.options.Store.Read(ctx, p, next, 0)
		if err != nil && found.Submitted {
			return found, nil // only a cancellation may follow
		}
		if err != nil {
			return FoundJob{}, err
		}
		if read.Trimmed {
			return FoundJob{}, fmt.Errorf("history of %s was dropped: %w", p.Topic, ErrNoEffect)
		}
		for _, r := range read.Records {
			found.Submitted = found.Submitted || isSubmission(r, id)
			found.Cancelled = found.Cancelled || job.IsCancellation(r.Record, id)
		}
		if next = read.Next; next >= read.End {
			break
		}
	}
	err := l.Query(ctx, func(s *State) {
		_, known := s.JobStatus(id)
		found.Submitted = found.Submitted || known
		found.InDoubt = !found.Submitted && (found.Cancelled || s.SubmissionInDoubt(id))
	})
	return found, err
}
