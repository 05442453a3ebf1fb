package changes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/journal/journaltest"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/replica"
)

// replaySizes are the numbers of records in the log. Each record holds one entry, as if
// no entries were batched.
var replaySizes = []int{1_000, 10_000, 100_000}

// replayRow is the cost of one start from the log.
type replayRow struct {
	records       int
	withSnapshots bool
	duration      time.Duration
	heapBytes     int64 // bytes of the heap that the started VM keeps
	snapshotBytes int   // bytes of a snapshot of the state reached
	replayed      int64 // records applied one by one, not as part of a snapshot
}

func printReplay(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "start-up replay, seed %d, link without latency\n", seed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "records\tsnapshots\ttime\tper record\theap kept\tsnapshot size\trecords replayed\t")
	var rowsWithoutSnapshots []replayRow
	for _, withSnapshots := range []bool{false, true} {
		for _, size := range replaySizes {
			row, err := measureReplay(size, withSnapshots, seed)
			if err != nil {
				return err
			}
			if !withSnapshots {
				rowsWithoutSnapshots = append(rowsWithoutSnapshots, row)
			}
			fmt.Fprintf(table, "%d\t%s\t%v\t%v\t%d KB\t%d KB\t%d\t\n", row.records, yesNo(row.withSnapshots),
				row.duration.Round(time.Millisecond), (row.duration / time.Duration(row.records)).Round(100*time.Nanosecond),
				row.heapBytes/1024, row.snapshotBytes/1024, row.replayed)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	slope, intercept, fit := leastSquares(rowsWithoutSnapshots)
	fmt.Fprintf(w, "fit without snapshots: %.2f us per record + %.1f ms, R2 %.4f\n", slope*1e6, intercept*1e3, fit)
	return nil
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// leastSquares fits a line of seconds over records; fit is the coefficient of determination.
func leastSquares(rows []replayRow) (slope, intercept, fit float64) {
	var n, sx, sy, sxx, sxy, syy float64
	for _, row := range rows {
		x, y := float64(row.records), row.duration.Seconds()
		n, sx, sy = n+1, sx+x, sy+y
		sxx, sxy, syy = sxx+x*x, sxy+x*y, syy+y*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	explained := slope * (sxy - sx*sy/n)
	return slope, intercept, explained / (syy - sy*sy/n)
}

// measureReplay fills a log and measures the start of one VM from it.
func measureReplay(size int, withSnapshots bool, seed uint64) (replayRow, error) {
	log := journaltest.NewLog()
	if err := fillLog(log, size, withSnapshots, seed); err != nil {
		return replayRow{}, err
	}
	before := liveHeap()
	v := &logVM{cluster: &logCluster{}, port: log.Port(), state: replica.New(config.NewState())}
	v.publisher = journal.NewPublisher(v.port, journal.PublisherOptions{})
	v.follower = journal.NewFollower(v.port, v, v, journal.FollowerOptions{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	finished := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(finished)
		v.follower.Run(ctx)
	}()
	<-v.follower.CaughtUp()
	row := replayRow{records: size, withSnapshots: withSnapshots, duration: time.Since(start)}
	cancel()
	<-finished
	row.heapBytes = liveHeap() - before
	state, err := v.state.Encode()
	row.snapshotBytes = len(state)
	row.replayed = v.appliedEntries.Load()
	runtime.KeepAlive(v)
	return row, err
}

// liveHeap returns the heap bytes in use after garbage collection. It collects more than
// once because the first collection does not free the objects in pools.
func liveHeap() int64 {
	for range 3 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// fillLog appends a mix of entries: of ten records, six are the accepted, attempt and ended
// entries of two jobs, and four are configuration changes.
func fillLog(log *journaltest.Log, size int, withSnapshots bool, seed uint64) error {
	writer := &logWriter{
		log:   log,
		state: replica.New(config.NewState()),
		rand:  rand.New(rand.NewPCG(seed, 1)),
	}
	for i := range size {
		if withSnapshots && i > 0 && i%journal.DefaultSnapshotRecords == 0 {
			if err := writer.writeSnapshot(); err != nil {
				return err
			}
			continue
		}
		if err := writer.writeEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// logWriter appends entries that take effect, one per record.
type logWriter struct {
	log   *journaltest.Log
	state *replica.State
	rand  *rand.Rand
	job   model.JobID // whose entries are being written
	// revision is the newest accepted configuration change.
	revision int64
}

// writeEntry appends the i-th entry.
func (l *logWriter) writeEntry(i int) error {
	switch i % 10 {
	case 0, 3:
		l.job = model.JobID(fmt.Sprintf("job-%032d", i))
		shape := model.GangShape{Tasks: 1 + l.rand.IntN(16), Accelerators: 8, Adjacency: model.AdjacentRack}
		job := model.Job{ID: l.job, Organisation: "palvehelmed", Shape: shape, HomeAZ: "harju-a", Payload: "restring"}
		return l.append(journal.KindJobAccepted, journal.JobAccepted{Job: job, Acceptor: "vm"})
	case 1, 4:
		return l.append(journal.KindAttempt, journal.AttemptClaimed{Job: l.job, Attempt: model.AttemptID("a-" + l.job), Number: 1})
	case 2, 5:
		ended := journal.JobEnded{Job: l.job, Attempt: model.AttemptID("a-" + l.job), Final: true, Result: string(replica.ResultDone)}
		return l.append(journal.KindJobEnded, ended)
	default:
		current := sampleConfig(l.rand.IntN(3))
		server := model.BackendServer{
			ID: model.BackendServerID(fmt.Sprintf("b%04d", l.rand.IntN(2_900))), Address: "10.0.0.1:7000",
			AZ: "harju-a", Region: "harju", Rack: "r1", Accelerators: 8, Slots: 8, Connections: 64, Cores: 32, MemoryMB: 65_536,
		}
		current.BackendServers = map[model.BackendServerID]model.BackendServer{server.ID: server}
		change := journal.ConfigChange{ExpectedRevision: l.revision, Records: config.Render(current)}
		l.revision = l.log.Next()
		return l.append(journal.KindConfig, change)
	}
}

// writeSnapshot appends a snapshot of the current state.
func (l *logWriter) writeSnapshot() error {
	state, err := l.state.Encode()
	if err != nil {
		return err
	}
	return l.append(journal.KindSnapshot, journal.Snapshot{Offset: l.state.Applied(), State: state})
}

// append appends one entry and applies it to the state.
func (l *logWriter) append(kind journal.Kind, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	e := journal.Entry{ID: fmt.Sprintf("%016x%016x", l.rand.Uint64(), l.rand.Uint64()), Kind: kind, Author: "vm", Body: data}
	packet, err := journal.EncodePacket([]journal.Entry{e})
	if err != nil {
		return err
	}
	offset := l.log.Append(packet)
	l.state.Apply(journal.LocatedEntry{Offset: offset, Time: time.Now(), Entry: e})
	l.state.Advance(offset + 1)
	return nil
}
