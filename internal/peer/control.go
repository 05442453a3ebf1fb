package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/membership"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/peer/peerpb"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// Heartbeat sends a heartbeat to a peer and returns the peer's heartbeat.
func (c *Clients) Heartbeat(ctx context.Context, address string, h membership.Heartbeat) (membership.Heartbeat, error) {
	reply, err := call(ctx, func(ctx context.Context) (*peerpb.HeartbeatMessage, error) {
		return c.stubsFor(address).control.Heartbeat(ctx, heartbeatToProto(h))
	})
	if err != nil {
		return membership.Heartbeat{}, err
	}
	return heartbeatFromProto(reply), nil
}

// OfferJob offers a job that is not in the log to a term holder.
func (c *Clients) OfferJob(ctx context.Context, address string, o control.JobOffer) (control.OfferAnswer, error) {
	job, err := json.Marshal(o.Job)
	if err != nil {
		return control.OfferAnswer{}, fmt.Errorf("%w: encode job: %w", ports.ErrUnavailable, err)
	}
	in := &peerpb.OfferJobRequest{Job: job, Acceptor: string(o.Acceptor), Attempt: string(o.Attempt)}
	reply, err := call(ctx, func(ctx context.Context) (*peerpb.OfferJobReply, error) {
		return c.stubsFor(address).control.OfferJob(ctx, in)
	})
	if err != nil {
		return control.OfferAnswer{}, err
	}
	return control.OfferAnswer{Accepted: reply.Accepted, Reason: model.Reason(reply.Reason)}, nil
}

// HandOverTerm offers a term to another VM and reports whether that VM accepted it.
func (c *Clients) HandOverTerm(ctx context.Context, address string, o control.TermOffer) (bool, error) {
	in := &peerpb.HandOverTermRequest{
		Az:              string(o.AZ),
		TermOffset:      o.Token.Offset,
		TermRank:        int32(o.Token.Rank),
		FromIncarnation: string(o.From),
	}
	reply, err := call(ctx, func(ctx context.Context) (*peerpb.HandOverTermReply, error) {
		return c.stubsFor(address).control.HandOverTerm(ctx, in)
	})
	if err != nil {
		return false, err
	}
	return reply.Accepted, nil
}

// Job returns the status of a job as another VM knows it; known is false if that VM does
// not know the job.
func (c *Clients) Job(ctx context.Context, address string, id model.JobID) (status control.JobStatus, known bool, err error) {
	reply, err := call(ctx, func(ctx context.Context) (*peerpb.GetJobReply, error) {
		return c.stubsFor(address).control.GetJob(ctx, &peerpb.GetJobRequest{Job: string(id)})
	})
	if err != nil || !reply.Known {
		return control.JobStatus{}, false, err
	}
	if err := json.Unmarshal(reply.Status, &status); err != nil {
		return control.JobStatus{}, false, fmt.Errorf("decode job status: %w", err)
	}
	return status, true, nil
}

// fetch reads log records from one VM.
func (c *Clients) fetch(ctx context.Context, address string, from int64, limit int) (journal.FetchResult, error) {
	in := &peerpb.FetchRequest{From: from, Limit: int32(limit)}
	reply, err := call(ctx, func(ctx context.Context) (*peerpb.FetchReply, error) {
		return c.stubsFor(address).control.FetchRecords(ctx, in)
	})
	if err != nil {
		return journal.FetchResult{}, err
	}
	return fetchedFromProto(reply), nil
}

// Fetcher fetches log records from other VMs.
type Fetcher struct {
	Clients *Clients
	// Addresses returns the addresses of the VMs to ask, in order of preference.
	Addresses func() []string
}

// Fetch asks the peers in turn and returns the first answer with new records or a snapshot.
// The error wraps ports.ErrUnavailable if no peer answered.
func (f *Fetcher) Fetch(ctx context.Context, from int64, limit int) (journal.FetchResult, error) {
	err := fmt.Errorf("%w: no peer is known", ports.ErrUnavailable)
	for _, address := range f.Addresses() {
		fetched, failure := f.Clients.fetch(ctx, address, from, limit)
		if failure == nil && (fetched.Next > from || fetched.Snapshot != nil) {
			return fetched, nil
		}
		if failure == nil {
			err = nil
			continue
		}
		if err != nil {
			err = fmt.Errorf("%w: %s: %w", ports.ErrUnavailable, address, failure)
		}
	}
	return journal.FetchResult{Next: from}, err
}

// ControlServer serves the Control service.
type ControlServer struct {
	Loop *control.Loop
	// KeptRecords returns log records that this VM keeps, from an offset on.
	KeptRecords func(from int64, limit int) journal.FetchResult
}

// Heartbeat handles a peer's heartbeat and answers with this VM's heartbeat.
func (s *ControlServer) Heartbeat(ctx context.Context, in *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	return heartbeatToProto(s.Loop.HandleHeartbeat(ctx, heartbeatFromProto(in))), nil
}

// FetchRecords returns log records that this VM keeps.
func (s *ControlServer) FetchRecords(_ context.Context, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return fetchedToProto(s.KeptRecords(in.From, int(in.Limit))), nil
}

// HandOverTerm handles a peer's offer of its term.
func (s *ControlServer) HandOverTerm(ctx context.Context, in *peerpb.HandOverTermRequest) (*peerpb.HandOverTermReply, error) {
	accepted, err := s.Loop.HandleTermOffer(ctx, control.TermOffer{
		AZ:    model.AZ(in.Az),
		Token: model.Token{Offset: in.TermOffset, Rank: int(in.TermRank)},
		From:  model.Incarnation(in.FromIncarnation),
	})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.HandOverTermReply{Accepted: accepted}, nil
}

// OfferJob handles a peer's offer of a job that is not in the log.
func (s *ControlServer) OfferJob(ctx context.Context, in *peerpb.OfferJobRequest) (*peerpb.OfferJobReply, error) {
	var job model.Job
	if err := json.Unmarshal(in.Job, &job); err != nil {
		return nil, twirp.InvalidArgumentError("job", err.Error())
	}
	answer, err := s.Loop.HandleJobOffer(ctx, control.JobOffer{
		Job:      job,
		Acceptor: model.Incarnation(in.Acceptor),
		Attempt:  model.AttemptID(in.Attempt),
	})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.OfferJobReply{Accepted: answer.Accepted, Reason: string(answer.Reason)}, nil
}

// GetJob returns the status of a job as this VM knows it.
func (s *ControlServer) GetJob(_ context.Context, in *peerpb.GetJobRequest) (*peerpb.GetJobReply, error) {
	status, known := s.Loop.View().Job(model.JobID(in.Job))
	if !known {
		return &peerpb.GetJobReply{}, nil
	}
	data, err := json.Marshal(status)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.GetJobReply{Known: true, Status: data}, nil
}

func heartbeatToProto(h membership.Heartbeat) *peerpb.HeartbeatMessage {
	out := &peerpb.HeartbeatMessage{
		Incarnation:       string(h.Incarnation),
		Address:           h.Address,
		Az:                string(h.AZ),
		AppliedOffset:     h.Applied,
		PlatformReachable: h.LogReachable,
		Leaving:           h.Leaving,
		TermOffset:        h.Token.Offset,
		TermRank:          int32(h.Token.Rank),
		FreeSlots:         make(map[string]int32, len(h.FreeSlots)),
	}
	out.LeavingBackendServers = idsToProto(h.LeavingServers)
	out.DownBackendServers = idsToProto(h.DownServers)
	out.QuarantinedBackendServers = idsToProto(h.QuarantinedServers)
	for id, n := range h.FreeSlots {
		out.FreeSlots[string(id)] = int32(n)
	}
	out.CancelledJobs = idsToProto(h.Cancelled)
	return out
}

// idsToProto converts typed IDs to strings. No IDs give nil.
func idsToProto[T ~string](ids []T) []string {
	var out []string
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

// idsFromProto converts strings to typed IDs. No IDs give nil.
func idsFromProto[T ~string](ids []string) []T {
	var out []T
	for _, id := range ids {
		out = append(out, T(id))
	}
	return out
}

func heartbeatFromProto(m *peerpb.HeartbeatMessage) membership.Heartbeat {
	h := membership.Heartbeat{
		Incarnation:  model.Incarnation(m.Incarnation),
		Address:      m.Address,
		AZ:           model.AZ(m.Az),
		Applied:      m.AppliedOffset,
		LogReachable: m.PlatformReachable,
		Leaving:      m.Leaving,
		Token:        model.Token{Offset: m.TermOffset, Rank: int(m.TermRank)},
		FreeSlots:    make(map[model.BackendServerID]int, len(m.FreeSlots)),
	}
	h.LeavingServers = idsFromProto[model.BackendServerID](m.LeavingBackendServers)
	h.DownServers = idsFromProto[model.BackendServerID](m.DownBackendServers)
	h.QuarantinedServers = idsFromProto[model.BackendServerID](m.QuarantinedBackendServers)
	for id, n := range m.FreeSlots {
		h.FreeSlots[model.BackendServerID(id)] = int(n)
	}
	h.Cancelled = idsFromProto[model.JobID](m.CancelledJobs)
	return h
}

func fetchedToProto(f journal.FetchResult) *peerpb.FetchReply {
	out := &peerpb.FetchReply{Next: f.Next}
	for _, r := range f.Records {
		out.Records = append(out.Records, &peerpb.LogRecord{
			Offset:     r.Offset,
			TimeUnixMs: r.Time.UnixMilli(),
			Data:       r.Data,
		})
	}
	if f.Snapshot != nil {
		out.SnapshotOffset = f.Snapshot.Offset
		out.Snapshot = f.Snapshot.State
	}
	return out
}

func fetchedFromProto(r *peerpb.FetchReply) journal.FetchResult {
	f := journal.FetchResult{Next: r.Next}
	for _, record := range r.Records {
		f.Records = append(f.Records, ports.Record{
			Offset: record.Offset,
			Time:   time.UnixMilli(record.TimeUnixMs).UTC(),
			Data:   record.Data,
		})
	}
	if len(r.Snapshot) > 0 {
		f.Snapshot = &journal.Snapshot{Offset: r.SnapshotOffset, State: r.Snapshot}
	}
	return f
}
