package fleet

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// newEvacuationWorldWithHolder returns such a world in which a VM holds the term.
func newEvacuationWorldWithHolder(t *testing.T, vms, servers int) *world {
	w := newEvacuationWorld(t, 1, vms, servers)
	w.run(3 * time.Second)
	assert.Assert(t, w.holder() != nil, "no VM took the term")
	return w
}

// startsIn counts the start orders to backend servers in an availability zone that were sent after since.
func (w *world) startsIn(az model.AZ, since time.Time) (count int) {
	for id, s := range w.servers {
		if s.az == az {
			count += len(w.ordersTo(id, since))
		}
	}
	return count
}

// newestRun returns the highest number of the runs of a job that the holder has decided.
func (w *world) newestRun(id model.JobID) int64 { return w.holder().state.jobs.Job(id).NewestRun() }

// submitAllTheTime submits a small job each 100 ms.
func (w *world) submitAllTheTime(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.run(100 * time.Millisecond) {
		w.submit(newJob(2, oneAccelerator, 1))
	}
}

// What runs in the zone may end there. Nothing more is started until it is taken back; then it is used again.
func TestNothingIsStartedInAnEvacuatedZone(t *testing.T) {
	w := newEvacuationWorldWithHolder(t, 2, 6)
	running := w.submit(newJob(6, wholeServer, 4)).ID
	w.run(time.Second)
	assert.Equal(t, w.startsIn("az0", time.Time{}), 2)
	w.evacuate("az0")
	w.run(100 * time.Millisecond)
	known := w.now
	waiting := w.submit(newJob(6, wholeServer, 4)).ID
	w.run(6 * time.Second)
	assert.Equal(t, w.status(running), job.StatusDone)
	assert.Equal(t, w.startsIn("az0", known), 0)
	assert.Equal(t, w.oracle.starts, 10, "four more tasks fit in the other zones")
	assert.Equal(t, w.newestRun(waiting), int64(1), "tasks were placed where they could not be started")
	takenBack := w.now
	w.takeBack("az0")
	w.submit(newJob(6, wholeServer, 4))
	w.run(time.Second)
	assert.Equal(t, w.startsIn("az0", takenBack), 2)
	w.run(10 * time.Second)
	assert.Equal(t, w.status(waiting), job.StatusDone)
}

// A VM that takes the term has followed the requests before.
func TestNewHolderStartsNothingInAnEvacuatedZone(t *testing.T) {
	for before := time.Duration(0); before < 2*time.Second; before += 100 * time.Millisecond {
		w := newEvacuationWorldWithHolder(t, 3, 6)
		w.evacuate("az1")
		w.run(before)
		w.holder().dead = true
		w.run(storeDelay)
		dead := w.now
		w.submitAllTheTime(8 * time.Second)
		assert.Equal(t, w.startsIn("az1", dead), 0, "the holder died %v after the request", before)
		assert.Assert(t, w.startsIn("az0", dead) > 0)
	}
}

// A holder that the store does not serve any more, or serves late, stops in time, whether others take over or not.
func TestHolderThatHearsLateOfAnEvacuation(t *testing.T) {
	for name, disturb := range map[string]func(*world){
		"cut off from the store": func(w *world) { w.cutLinks[link(w.holder().name, "store")] = true },
		"answers are lost":       func(w *world) { w.cutOneWay[[2]string{"store", w.holder().name}] = true },
		"refused by the store":   func(w *world) { w.storeRefuses[w.holder().name] = true },
		"reads 3 s late":         func(w *world) { w.evacuationsLate = 3 * time.Second },
		"reads 6 s late":         func(w *world) { w.evacuationsLate = 6 * time.Second },
		"reads are limited":      func(w *world) { w.evacuationsLimited = true },
		"frozen":                 func(w *world) { n := w.holder(); n.frozen = true; w.at(4*time.Second, func() { w.unfreeze(n) }) },
	} {
		w := newEvacuationWorldWithHolder(t, 3, 6)
		for range 60 { // work that waits when the holder is cut off from new submissions
			w.submit(newJob(4, wholeServer, 1))
		}
		w.run(time.Second)
		disturb(w)
		w.evacuate("az0")
		bound := w.now.Add(evacuationBound)
		w.submitAllTheTime(10 * time.Second)
		assert.Equal(t, w.startsIn("az0", bound), 0, name)
	}
}

// A store that answers reads of the requests 6 s late tells nothing in time, so that nothing is started anywhere; one
// that answers 3 s late does.
func TestStartsWithLateReadsOfEvacuations(t *testing.T) {
	for late, starts := range map[time.Duration]bool{3 * time.Second: true, 6 * time.Second: false} {
		w := newEvacuationWorldWithHolder(t, 2, 6)
		w.evacuationsLate = late
		w.run(evacuationBound)
		since, before := w.now, len(w.startOrders)
		w.submitAllTheTime(4 * time.Second)
		assert.Equal(t, len(w.startOrders) > before, starts, "late by %v", late)
		assert.Assert(t, w.now.After(since))
	}
}

// Start orders are not sent later than what is known allows, and nothing is placed that could not be started.
func TestOldKnowledgeOfEvacuationsLimitsStarts(t *testing.T) {
	w := newEvacuationWorldWithHolder(t, 2, 6)
	w.evacuationsLimited = true
	known := w.holder().state.evacuations.asOf
	w.submitAllTheTime(evacuationBound)
	for _, o := range w.startOrders {
		assert.Assert(t, !o.SendBefore.After(known.Add(evacuationBound-deliveryMargin)), "%v", o.SendBefore.Sub(known))
	}
	id := w.submit(newJob(1, oneAccelerator, 1)).ID
	w.run(3 * time.Second)
	assert.Equal(t, w.newestRun(id), int64(0))
	w.evacuationsLimited = false
	w.run(3 * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
}

// An older read that is delivered later tells nothing.
func TestOlderReadOfEvacuationsIsIgnored(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := NewState(Identity{}, Bounds{}, zap.NewNop(), NewCounters(tally.NoopScope))
	s.evacuationsRead(Evacuations{AZs: map[model.AZ]bool{"a": true}, AsOf: now})
	s.evacuationsRead(Evacuations{AsOf: now.Add(-time.Second)})
	assert.Assert(t, s.evacuations.zones["a"] != nil)
	s.evacuationsRead(Evacuations{AsOf: now.Add(time.Second)})
	assert.Assert(t, s.evacuations.zones["a"] == nil)
}

// While the store does not serve the requests, operators cannot store any. Tasks are started on what was read, but not
// without end.
func TestHolderStartsTasksWhileEvacuationsAreAway(t *testing.T) {
	w := newEvacuationWorldWithHolder(t, 2, 6)
	w.evacuate("az2")
	w.run(time.Second)
	away := w.now
	w.evacuationsUnread = true
	w.submitAllTheTime(20 * time.Second)
	last := w.startOrders[len(w.startOrders)-1].at
	assert.Assert(t, last.After(away.Add(8*time.Second)), "the last start was sent after %v", last.Sub(away))
	assert.Assert(t, last.Before(away.Add(maxListAge+evacuationBound)), "the last start was sent after %v", last.Sub(away))
	assert.Equal(t, w.startsIn("az2", away), 0)
	w.evacuationsUnread = false
	again := w.now
	w.submitAllTheTime(3 * time.Second)
	assert.Assert(t, w.startsIn("az0", again) > 0)
}

// A failed read tells nothing to a VM that the store alone turns away.
func TestEvacuationsKnownAsOf(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name                     string
		age, failedBefore        time.Duration // of the newest read; 0 if none has failed
		storeSilence, peerSilent time.Duration
		want                     time.Duration
	}{
		{"read", time.Second, 0, 0, 0, time.Second},
		{"partition away", 8 * time.Second, time.Second, 0, 0, time.Second},
		{"partition away for long", 12 * time.Second, time.Second, 0, 0, 12 * time.Second},
		{"store away for all", 8 * time.Second, time.Second, 8 * time.Second, 8 * time.Second, time.Second},
		{"turned away alone", 8 * time.Second, time.Second, 8 * time.Second, 100 * time.Millisecond, 8 * time.Second},
		{"read since", time.Second, 2 * time.Second, 0, 0, time.Second},
	} {
		s := NewState(Identity{}, Bounds{}, zap.NewNop(), NewCounters(tally.NoopScope))
		s.now, s.storeAnsweredAt = now, now.Add(-c.storeSilence)
		s.evacuations.asOf = now.Add(-c.age)
		if c.failedBefore > 0 {
			s.evacuations.awayAt = now.Add(-c.failedBefore)
		}
		s.term.eligiblePeers = map[string]time.Time{"other": now.Add(-c.peerSilent)}
		assert.Equal(t, now.Sub(s.evacuationsKnownAsOf()), c.want, c.name)
	}
}

// A deployment without the bound starts tasks though it has never read the requests, and obeys those that it reads.
func TestWithoutABoundNothingWaitsForEvacuations(t *testing.T) {
	w := newWorldWithHolder(t, 2, 3)
	id := w.submit(newJob(3, wholeServer, 1)).ID
	w.run(3 * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
	w.evacuate("az1")
	w.run(100 * time.Millisecond)
	since := w.now
	w.submit(newJob(3, wholeServer, 1))
	w.run(5 * time.Second)
	assert.Equal(t, w.startsIn("az1", since), 0)
	assert.Assert(t, w.startsIn("az2", since) > 0)
}

// A start order waits until its placement is stored. Its zone may be evacuated meanwhile; no member of a gang is
// started then if one of them is there.
func TestStartThatWaitedForItsRecordIsNotSentToAnEvacuatedZone(t *testing.T) {
	for _, gang := range []bool{false, true} {
		w := newEvacuationWorldWithHolder(t, 2, 3)
		_, stored := submitWhileUnstored(w, func(s *fakeServer) { w.evacuate(s.az) }, gang)
		w.run(6 * time.Second)
		assert.Equal(t, w.startsIn("az0", stored), 0)
		if gang {
			assert.Equal(t, len(w.startOrders), 0)
		}
	}
}

// A start order without an answer is not repeated once its zone is evacuated. The other members of the gang, whose
// starts are without an answer too, are not started either.
func TestUnansweredStartIsNotRepeatedToAnEvacuatedZone(t *testing.T) {
	for _, gang := range []bool{false, true} {
		w := newEvacuationWorldWithHolder(t, 1, 3)
		for id := range w.servers {
			w.cutLinks[link(w.holder().name, string(id))] = true
		}
		j := newJob(3, wholeServer, 1)
		j.Steps[0].Gang = gang
		id := w.submit(j).ID
		w.run(100 * time.Millisecond)
		assert.Equal(t, len(w.startOrders), 3)
		first := w.now
		w.evacuate("az2")
		w.run(600 * time.Millisecond)
		clear(w.cutLinks)
		w.run(2 * time.Second)
		assert.Equal(t, w.startsIn("az2", first), 0, "the start was repeated")
		if gang {
			assert.Equal(t, w.oracle.starts, 0, "half a gang was started")
		}
		w.takeBack("az2")
		w.run(20 * time.Second)
		assert.Equal(t, w.status(id), job.StatusDone)
	}
}

// One zone is evacuated, in the second backend servers leave with and without notice, the third is cut off for a while,
// and the holder dies.
func TestEvacuationBesideLeavingServersAndALostZone(t *testing.T) {
	w := newEvacuationWorldWithHolder(t, 3, 12)
	w.submitAllTheTime(2 * time.Second)
	w.evacuate("az0")
	w.servers["s01"].draining = true
	w.at(4*time.Second, func() { w.servers["s01"].die(w) })
	w.at(500*time.Millisecond, func() { w.servers["s04"].die(w) })
	for id, s := range w.servers {
		if s.az == "az2" {
			s.unlisted = true
			for _, n := range w.nodes {
				w.cutLinks[link(n.name, string(id))] = true
			}
		}
	}
	w.at(time.Second, func() { w.holder().dead = true })
	w.run(storeDelay * 2)
	known := w.now
	w.submitAllTheTime(8 * time.Second)
	clear(w.cutLinks)
	for _, s := range w.servers {
		s.unlisted = false
	}
	w.submitAllTheTime(4 * time.Second)
	assert.Equal(t, w.startsIn("az0", known), 0)
	assert.Assert(t, w.startsIn("az1", known) > 0)
	w.takeBack("az0")
	w.run(60 * time.Second)
	w.oracle.checkAllEnded()
}

// An availability zone without backend servers is named once in the log, and counted. Nothing else changes.
func TestEvacuationOfAnUnknownZone(t *testing.T) {
	w := newEvacuationWorldWithHolder(t, 1, 3)
	core, logs := observer.New(zap.WarnLevel)
	scope := tally.NewTestScope("", nil)
	s := w.holder().state
	s.log, s.metrics = zap.New(core), NewCounters(scope)
	w.evacuate("nowhere")
	id := w.submit(newJob(3, wholeServer, 10)).ID
	w.run(12 * time.Second)
	assert.Equal(t, w.status(id), job.StatusDone)
	assert.Equal(t, logs.Len(), 1)
	assert.Equal(t, logs.All()[0].ContextMap()["az"], "nowhere")
	assert.Equal(t, scope.Snapshot().Counters()["records_skipped+"].Value(), int64(1))
	assert.Equal(t, scope.Snapshot().Gauges()["evacuated_zones+"].Value(), 1.0)
}

// evacuationDecoder decodes values as the deployment's decoder does: only "{}" is sound.
type evacuationDecoder struct{ Decoder }

func (evacuationDecoder) Evacuation(key string, value []byte) (model.AZ, error) {
	az, ok := strings.CutPrefix(key, "evacuate/")
	switch {
	case !ok:
		return "", nil
	case len(value) == 0 || string(value) == "{}":
		return model.AZ(az), nil
	case string(value) == "panic":
		panic("cannot be read")
	default:
		return model.AZ(az), errors.New("not sound")
	}
}

func evacuationRecords(pairs ...string) []StoredRecord {
	var list []StoredRecord
	for i := 0; i < len(pairs); i += 2 {
		list = append(list, StoredRecord{Record: job.Record{Key: pairs[i], Value: []byte(pairs[i+1])}, Offset: int64(i)})
	}
	return list
}

// A record that cannot be read changes nothing. It is counted each time and logged once for each key and reason.
func TestEvacuationReader(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	scope := tally.NewTestScope("", nil)
	e := &evacuationReader{decoder: evacuationDecoder{}, log: zap.New(core), counters: NewCounters(scope), skipped: make(map[string]string)}
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	for _, c := range []struct {
		name  string
		batch readBatch
		want  []model.AZ
		asOf  int64
	}{
		{"nothing", readBatch{Initial: true, Synced: true, AsOf: at(1)}, nil, 1},
		{"two", readBatch{Records: evacuationRecords("evacuate/a", "{}", "evacuate/b", "{}", "config", "{}", "wave/1", "{}"), Synced: true, AsOf: at(2)}, []model.AZ{"a", "b"}, 2},
		{"not read to the end", readBatch{Records: evacuationRecords("evacuate/c", "{}"), AsOf: at(3)}, []model.AZ{"a", "b", "c"}, 2},
		{"bad values", readBatch{Records: evacuationRecords("evacuate/d", "[]", "evacuate/a", "\xff", "evacuate/d", "panic", "evacuate/a", "\xff"), Synced: true, AsOf: at(4)}, []model.AZ{"a", "b", "c"}, 4},
		{"taken back", readBatch{Records: evacuationRecords("evacuate/b", "", "evacuate/e", ""), Synced: true, AsOf: at(5)}, []model.AZ{"a", "c"}, 5},
		{"read again, with a value that cannot be read", readBatch{Initial: true, Records: evacuationRecords("evacuate/a", "[]", "evacuate/f", "{}"), Synced: true, AsOf: at(6)}, []model.AZ{"a", "f"}, 6},
	} {
		got := e.read(c.batch, "config")
		want := make(map[model.AZ]bool)
		for _, az := range c.want {
			want[az] = true
		}
		assert.DeepEqual(t, got.AZs, want)
		assert.Equal(t, got.AsOf, at(c.asOf), c.name)
	}
	assert.Equal(t, logs.Len(), 3)
	assert.Equal(t, logs.All()[0].ContextMap()["key"], "evacuate/d")
	assert.Equal(t, scope.Snapshot().Counters()["records_skipped+"].Value(), int64(5))
}

// forgetfulStore has dropped the removal of a request that its reader has not read.
type forgetfulStore struct {
	Store
	forgets atomic.Bool
}

func (f *forgetfulStore) Newest(context.Context, Partition, string) (NewestPage, error) {
	if f.forgets.Load() {
		return NewestPage{Records: evacuationRecords("evacuate/b", "{}"), End: 9}, nil
	}
	return NewestPage{Records: evacuationRecords("evacuate/a", "{}"), End: 1}, nil
}

func (f *forgetfulStore) Read(_ context.Context, _ Partition, from int64, wait time.Duration) (ReadResult, error) {
	time.Sleep(wait)
	if f.forgets.Load() && from < 9 {
		return ReadResult{First: 9, Next: from, Trimmed: true}, nil
	}
	return ReadResult{Next: from, End: from}, nil
}

// A store that has lost its history tells the newest requests only, which replace what was known.
func TestLostHistoryReplacesTheEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &forgetfulStore{}
		ctx, cancel := context.WithCancel(t.Context())
		l := New(Options{Store: store, Decoder: evacuationDecoder{}, Sources: Sources{ConfigKey: "config"}, Log: zap.NewNop(), Counters: NewCounters(tally.NoopScope)})
		newest := func() (e Evacuations) {
			for len(l.events) > 0 {
				if read, ok := (<-l.events).event.(EvacuationsRead); ok {
					e = read.Evacuations
				}
			}
			return e
		}
		l.goroutines.Go(func() { l.followConfig(ctx) })
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, newest().AZs, map[model.AZ]bool{"a": true})
		store.forgets.Store(true)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, newest().AZs, map[model.AZ]bool{"b": true})
		cancel()
		l.goroutines.Wait()
	})
}
