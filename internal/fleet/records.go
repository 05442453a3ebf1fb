package fleet

import (
	"encoding/json"
	"hash/fnv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	submissionsTopic = "submissions"
	progressTopic    = "progress"

	// submissionPartitions is the number of partitions for submissions. A slow store
	// processes the appends to a partition one at a time.
	submissionPartitions = 4

	claimKey          = "term"
	recordedEndPrefix = "noted/"
	peerPrefix        = "vm/"

	// maxAge bounds the age that is assumed for a job read at the start, so that a wrong
	// time of day has little effect.
	maxAge = time.Hour
)

// progressPartition is where the holder of the term records its decisions.
var progressPartition = Partition{Topic: progressTopic}

// SubmissionPartition returns the partition for a job's submission and cancellation.
func SubmissionPartition(id model.JobID) Partition {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash's Write never fails
	return Partition{Topic: submissionsTopic, Number: int(h.Sum32() % submissionPartitions)}
}

// Partitions lists all partitions that a VM follows.
func Partitions() []Partition {
	list := []Partition{progressPartition}
	for i := range submissionPartitions {
		list = append(list, Partition{Topic: submissionsTopic, Number: i})
	}
	return list
}

// PeerRecord returns the record by which a VM announces itself to the others.
func PeerRecord(self Identity) (job.Record, error) {
	value, err := json.Marshal(Peer(self))
	return job.Record{Key: peerPrefix + self.Node, Value: value}, err
}

func isSubmission(r StoredRecord, id model.JobID) bool {
	return len(r.Value) > 0 && r.Key == job.SubmissionKey(id)
}

// recordsRead applies the records of a read in order. The holder skips the progress records
// of its own term, since its state already includes them.
func (s *State) recordsRead(e RecordsRead) {
	s.observeStore(nil)
	if e.Generation != s.generation {
		return
	}
	target := s.replicated
	if s.incoming != nil {
		target = s.incoming
	}
	for _, r := range e.Records {
		if e.Partition == progressPartition && s.holdsTerm() && r.Offset >= s.term.token-1 && r.Key != claimKey {
			continue
		}
		s.apply(target, r, e.Initial)
	}
	s.nextOf[e.Partition] = e.Next
	if e.Synced {
		s.readAsOf[e.Partition] = e.AsOf
	}
	if e.Synced && s.unsynced[e.Partition] {
		delete(s.unsynced, e.Partition)
		s.finishSync()
	}
}

// finishSync replaces the state with the rebuilt one, once all partitions have been read.
func (s *State) finishSync() {
	if len(s.unsynced) > 0 || s.incoming == nil {
		return
	}
	s.replicated, s.incoming = s.incoming, nil
	s.log.Info("stored records read", zap.Int("jobs", s.jobs.Len()), zap.Int64("progress_offset", s.nextOf[progressPartition]))
}

func (s *State) apply(target *replicated, r StoredRecord, initial bool) {
	changed, known, err := target.jobs.Apply(r.Record, s.now)
	if err != nil {
		s.log.Error("record skipped: it cannot be read", zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		return
	}
	if known {
		s.jobChanged(changed, initial)
		return
	}
	if err := s.applyOther(target, r); err != nil {
		s.log.Error("record skipped: it cannot be read", zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
	}
}

func (s *State) jobChanged(changed *job.State, initial bool) {
	if changed == nil {
		return
	}
	if initial && changed.FirstSeen.Equal(s.now) {
		age := min(max(s.wall.Sub(changed.Job.Accepted), 0), maxAge)
		changed.FirstSeen = s.now.Add(-age)
	}
	if s.holdsTerm() {
		// A previous holder may have placed tasks of a job that is read only now.
		s.adoptJob(changed, s.now.Add(s.longestLease()))
	}
	s.replan = true
}

func (s *State) applyOther(target *replicated, r StoredRecord) error {
	switch {
	case r.Key == claimKey:
		c := claim{Offset: r.Offset}
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return err
		}
		c.Offset = r.Offset
		s.claimRead(target, c)
	case strings.HasPrefix(r.Key, recordedEndPrefix):
		id := model.BackendServerID(strings.TrimPrefix(r.Key, recordedEndPrefix))
		if len(r.Value) == 0 {
			delete(target.recordedEnds, id)
			return nil
		}
		var n endPosition
		if err := json.Unmarshal(r.Value, &n); err != nil {
			return err
		}
		target.recordedEnds[id] = n
	case strings.HasPrefix(r.Key, peerPrefix):
		var p Peer
		if err := json.Unmarshal(r.Value, &p); err != nil {
			return err
		}
		target.peers[p.Node] = p
	}
	return nil
}
