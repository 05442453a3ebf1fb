package fleet

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/guard"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const (
	submissionsTopic = "submissions"
	progressTopic    = "progress"
	vmsTopic         = "vms"

	// submissionPartitions is the number of partitions for submissions. A slow store
	// processes the appends to a partition one at a time.
	submissionPartitions = 4

	claimKey          = "term"
	presenceKey       = "present"
	recordedEndPrefix = "noted/"
	peerPrefix        = "vm/"

	// maxMilliCPU bounds what a VM may announce as its processor capacity: a million cores.
	maxMilliCPU = 1e9

	// maxAge bounds the age that is assumed for a job read at the start, so that a wrong
	// time of day has little effect.
	maxAge = time.Hour
)

// progressPartition is where the holder of the term records its decisions.
var progressPartition = Partition{Topic: progressTopic}

// vmsPartition is where the VMs announce their addresses.
var vmsPartition = Partition{Topic: vmsTopic}

// SubmissionPartition returns the partition for a job's submission and cancellation.
func SubmissionPartition(id model.JobID) Partition {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash's Write never fails
	return Partition{Topic: submissionsTopic, Number: int(h.Sum32() % submissionPartitions)}
}

// Partitions lists the partitions with jobs and their progress, which replicas follow.
func Partitions() []Partition {
	list := []Partition{progressPartition}
	for i := range submissionPartitions {
		list = append(list, Partition{Topic: submissionsTopic, Number: i})
	}
	return list
}

// PeerRecord returns the record by which a VM announces itself to the others.
func PeerRecord(self Identity) (job.Record, error) {
	value, err := json.Marshal(Peer{
		Node: self.Node, Incarnation: self.Incarnation, AZ: self.AZ, Address: self.Address, Forward: self.Forward, MilliCPU: self.MilliCPU,
	})
	return job.Record{Key: peerPrefix + self.Node, Value: value}, err
}

func isSubmission(r StoredRecord, id model.JobID) bool {
	return len(r.Value) > 0 && r.Key == job.SubmissionKey(id)
}

// recordsRead applies the records of a read in order. The holder skips progress records: its state includes those
// before its claim and its own, also if the store has dropped some and it reads the newest of each key again.
func (s *State) recordsRead(e RecordsRead) {
	s.observeStore(nil)
	if e.Generation != s.generation {
		return
	}
	if e.Initial && s.begun[e.Partition] && !s.holdsTerm() && e.Partition != vmsPartition {
		s.resync() // the records that the store has dropped may have deleted jobs
		return
	}
	s.begun[e.Partition] = true
	target := s.replicated
	if s.incoming != nil {
		target = s.incoming
	}
	for _, r := range e.Records {
		if e.Partition == progressPartition && s.holdsTerm() && r.Key != claimKey {
			continue
		}
		s.apply(target, e.Partition, r, e.Initial)
	}
	if e.Generation != s.generation {
		return // a claim among them has ended this VM's term
	}
	if e.Partition == vmsPartition {
		target.forgetGonePeers()
	}
	if e.Partition == progressPartition && e.Synced && !e.Initial {
		s.holderWrites(target, e.Records)
	}
	s.nextOf[e.Partition] = e.Next
	if e.Synced && s.holdsTerm() && e.Partition == progressPartition {
		s.observeUnopposed(e.AsOf)
	}
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

// holderWrites takes new records of the present term for a heartbeat: only the holder can have written
// them. Its heartbeats may be late behind other traffic on its link.
func (s *State) holderWrites(target *replicated, records []StoredRecord) {
	for _, r := range records {
		if r.Key != claimKey && r.Offset > target.claim.Offset && !s.term.handingOver && !s.holdsTerm() {
			s.term.holderHeardAt = s.now
			return
		}
	}
}

// forgetGonePeers removes the VMs that have not announced themselves while the others have done so
// many times. The offsets tell it, since times of day differ between VMs.
func (r *replicated) forgetGonePeers() {
	limit := r.newestPeer - int64(announcementRounds*len(r.peers)+announcementSlack)
	for node, p := range r.peers {
		if p.offset < limit {
			delete(r.peers, node)
		}
	}
}

func (s *State) apply(target *replicated, p Partition, r StoredRecord, initial bool) {
	if id, dropped := job.DroppedJob(r.Record); dropped && s.holdsTerm() && target.jobs.Job(id) != nil {
		s.jobDropped(target.jobs.Job(id))
	}
	var changed *job.State
	known := false
	err := guard.Do(func() (err error) {
		changed, known, err = target.jobs.Apply(r.Record, s.now)
		return err
	})
	if err != nil {
		s.metrics.RecordsSkipped.Inc(1)
		s.log.Error("record skipped: it cannot be read", zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		return
	}
	if known {
		s.jobChanged(changed, initial)
		return
	}
	if err := s.applyOther(target, p, r, initial); err != nil {
		s.metrics.RecordsSkipped.Inc(1)
		s.log.Error("record skipped: it cannot be read", zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
	}
}

func (s *State) jobChanged(changed *job.State, initial bool) {
	if changed == nil {
		return
	}
	if initial {
		changed.ForEachGroup(func(g *job.Group) { g.ForgetReadTimes() }) // the records may be older
	}
	if initial && changed.FirstSeen.Equal(s.now) {
		age := min(max(s.wall.Sub(changed.Job.Accepted), 0), maxAge)
		changed.FirstSeen = s.now.Add(-age)
	}
	if s.holdsTerm() {
		// A previous holder may have placed tasks of a job that is read only now.
		s.adoptJob(changed, s.oldLeasesEnd())
	}
	s.replan = true
}

func (s *State) applyOther(target *replicated, from Partition, r StoredRecord, initial bool) error {
	switch {
	case r.Key == claimKey:
		c := claim{Offset: r.Offset}
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return err
		}
		c.Offset = r.Offset
		s.claimRead(target, c, initial)
	case r.Key == paceKey:
		return target.applyPaces(r.Value, s.now)
	case strings.HasPrefix(r.Key, arrivalPrefix):
		return s.applyArrival(target, r, initial)
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
		target.restartsSeen = target.restartsSeen || n.StartedAgain
	case strings.HasPrefix(r.Key, peerPrefix) && from == vmsPartition:
		return target.applyPeer(r)
	}
	return nil
}

// applyPeer applies the announcement of a VM. One under another name, or with an address that nothing
// can be sent to, is refused.
func (r *replicated) applyPeer(record StoredRecord) error {
	node := strings.TrimPrefix(record.Key, peerPrefix)
	if len(record.Value) == 0 {
		delete(r.peers, node)
		return nil
	}
	var p Peer
	if err := json.Unmarshal(record.Value, &p); err != nil {
		return err
	}
	if p.Node != node || p.Address == "" || p.Forward == "" || p.MilliCPU < 0 || p.MilliCPU > maxMilliCPU {
		return fmt.Errorf("announcement of VM %q: name, address or processor capacity is missing or wrong", p.Node)
	}
	p.offset = record.Offset
	r.newestPeer = max(r.newestPeer, record.Offset)
	r.peers[node] = p
	return nil
}
