package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// chunkPrefix is the prefix of the records that hold ChunkTasks tasks of a group each, under
// ID.OCCURRENCE.STEP/FIRST. They replace the records of a whole group, which stay readable.
const chunkPrefix = "tasks/"

// ChunkTasks is the number of tasks in one progress record: a change of one task rewrites so many.
const ChunkTasks = 16

// packedTask is a Task as an array without field names. That of a task that was never stopped to make room ends before
// Stops, as releases without Stops store and read all tasks.
type packedTask struct {
	Phase      Phase
	Run        int64
	Server     model.BackendServerID
	Failures   int
	Checkpoint string
	Crashes    []packedCrash
	Stops      int
}

// packedFields and packedStopped are packedTask without and with Stops.
type packedFields struct {
	_          struct{} `cbor:",toarray"`
	Phase      Phase
	Run        int64
	Server     model.BackendServerID
	Failures   int
	Checkpoint string
	Crashes    []packedCrash
}

type packedStopped struct {
	_          struct{} `cbor:",toarray"`
	Phase      Phase
	Run        int64
	Server     model.BackendServerID
	Failures   int
	Checkpoint string
	Crashes    []packedCrash
	Stops      int
}

// arrayOfSeven is the first byte of an array of seven elements in CBOR.
const arrayOfSeven = 0x87

// MarshalCBOR implements cbor.Marshaler.
func (p packedTask) MarshalCBOR() ([]byte, error) {
	if p.Stops == 0 {
		return cbor.Marshal(packedFields{Phase: p.Phase, Run: p.Run, Server: p.Server, Failures: p.Failures, Checkpoint: p.Checkpoint, Crashes: p.Crashes})
	}
	return cbor.Marshal(packedStopped{
		Phase: p.Phase, Run: p.Run, Server: p.Server, Failures: p.Failures, Checkpoint: p.Checkpoint, Crashes: p.Crashes, Stops: p.Stops,
	})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (p *packedTask) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0] == arrayOfSeven {
		var t packedStopped
		err := chunkDecoding.Unmarshal(data, &t)
		*p = packedTask{Phase: t.Phase, Run: t.Run, Server: t.Server, Failures: t.Failures, Checkpoint: t.Checkpoint, Crashes: t.Crashes, Stops: t.Stops}
		return err
	}
	var t packedFields
	err := chunkDecoding.Unmarshal(data, &t)
	*p = packedTask{Phase: t.Phase, Run: t.Run, Server: t.Server, Failures: t.Failures, Checkpoint: t.Checkpoint, Crashes: t.Crashes}
	return err
}

type packedCrash struct {
	_                struct{} `cbor:",toarray"`
	Server           model.BackendServerID
	IncarnationStart int64
	Blame            Blame
}

// packedChunk is the value of a chunk's record. Count is the number of tasks of the whole group.
type packedChunk struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Tasks []packedTask
}

// chunkDecoding limits what a record can make a reader do, whoever wrote it.
var chunkDecoding = mustDecoding(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 16, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden})

func mustDecoding(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// chunkOf returns the number of the first task in the chunk of a task.
func chunkOf(index int) int { return index - index%ChunkTasks }

// MarkChanged notes that a task is to be stored again.
func (g *Group) MarkChanged(index int) {
	if g.changed == nil {
		g.changed = make(map[int]bool)
	}
	g.changed[chunkOf(index)] = true
}

// MarkAllChanged notes that all tasks are to be stored again.
func (g *Group) MarkAllChanged() {
	for i := 0; i < len(g.Tasks); i += ChunkTasks {
		g.MarkChanged(i)
	}
}

// ProgressRecords returns the records that store the chunks with changed tasks, and forgets that these
// have changed: the caller stores the records, or reads the group again from the store.
func (g *Group) ProgressRecords() ([]Record, error) {
	var records []Record
	for first := 0; first < len(g.Tasks); first += ChunkTasks {
		if !g.changed[first] {
			continue
		}
		r, err := g.chunkRecord(first)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	g.changed = nil
	return records, nil
}

func (g *Group) chunkRecord(first int) (Record, error) {
	tasks := g.Tasks[first:min(first+ChunkTasks, len(g.Tasks))]
	m := packedChunk{Count: len(g.Tasks), Tasks: make([]packedTask, len(tasks))}
	for i, t := range tasks {
		m.Tasks[i] = packedTask{Phase: t.Phase, Run: t.Run, Server: t.Server, Failures: t.Failures, Checkpoint: t.Checkpoint, Stops: t.Stops}
		for _, c := range t.Crashes {
			m.Tasks[i].Crashes = append(m.Tasks[i].Crashes, packedCrash{Server: c.Server, IncarnationStart: c.IncarnationStart, Blame: c.Blame})
		}
	}
	value, err := cbor.Marshal(m)
	if err != nil {
		return Record{}, fmt.Errorf("encode progress of %s from task %d: %w", g.Key(), first, err)
	}
	return Record{Key: chunkKey(g.Key(), first), Value: value}, nil
}

func chunkKey(key GroupKey, first int) string {
	return chunkPrefix + key.String() + "/" + strconv.Itoa(first)
}

// applyChunk applies the record of a chunk. A record without a value was dropped together with its job.
func (t *Table) applyChunk(r Record, now time.Time) (*State, error) {
	name, number, _ := strings.Cut(strings.TrimPrefix(r.Key, chunkPrefix), "/")
	key, err := ParseGroupKey(name)
	if err != nil {
		return nil, err
	}
	first, err := strconv.Atoi(number)
	if err != nil || first < 0 || first%ChunkTasks != 0 {
		return nil, fmt.Errorf("record %s: %q is not the number of a chunk's first task", r.Key, number)
	}
	if len(r.Value) == 0 {
		return nil, nil
	}
	var m packedChunk
	if err := chunkDecoding.Unmarshal(r.Value, &m); err != nil {
		return nil, fmt.Errorf("record %s: %w", r.Key, err)
	}
	p := progress{first: first, count: m.Count, tasks: make([]Task, len(m.Tasks)), readAt: now}
	if len(m.Tasks) == 0 || len(m.Tasks) > ChunkTasks || first+len(m.Tasks) > m.Count {
		return nil, fmt.Errorf("record %s: %d tasks from %d on, of %d", r.Key, len(m.Tasks), first, m.Count)
	}
	for i, packed := range m.Tasks {
		p.tasks[i] = Task{Phase: packed.Phase, Run: packed.Run, Server: packed.Server, Failures: packed.Failures, Checkpoint: packed.Checkpoint, Stops: packed.Stops}
		for _, c := range packed.Crashes {
			p.tasks[i].Crashes = append(p.tasks[i].Crashes, Crash{Server: c.Server, IncarnationStart: c.IncarnationStart, Blame: c.Blame})
		}
		if err := p.tasks[i].check(); err != nil {
			return nil, fmt.Errorf("record %s: task %d: %w", r.Key, first+i, err)
		}
	}
	t.setProgress(key, p)
	return t.jobs[key.Job], nil
}

// check returns an error for a state that no holder stores.
func (t *Task) check() error {
	if t.Phase < Waiting || t.Phase > Done || t.Run < 0 || t.Failures < 0 || t.Stops < 0 {
		return fmt.Errorf("phase %d, run %d, %d failures, %d stops", t.Phase, t.Run, t.Failures, t.Stops)
	}
	return nil
}
