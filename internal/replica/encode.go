package replica

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// encoding is the serialized State. Lists are ordered, so that equal states have
// equal encodings.
type encoding struct {
	Applied  int64             `json:"applied"`
	Snapshot snapshotMark      `json:"snapshot"`
	Config   json.RawMessage   `json:"config"`
	Terms    map[model.AZ]Term `json:"terms"`
	Jobs     []*Job            `json:"jobs"`
	Verdicts json.RawMessage   `json:"verdicts"`
	Ended    []endedJob        `json:"ended"`
}

// Encode returns the state in a deterministic form that Restore reads.
func (s *State) Encode() ([]byte, error) {
	cfg, err := s.config.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	e := encoding{
		Applied:  s.applied,
		Snapshot: s.snapshot,
		Config:   cfg,
		Terms:    s.terms,
		Ended:    s.ended,
	}
	for _, j := range s.jobs {
		e.Jobs = append(e.Jobs, j)
	}
	slices.SortFunc(e.Jobs, func(a, b *Job) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	if e.Verdicts, err = s.verdicts.Encode(); err != nil {
		return nil, fmt.Errorf("encode verdicts: %w", err)
	}
	return json.Marshal(e)
}

// Restore replaces the state by an encoded one. The state is unchanged on error.
func (s *State) Restore(data []byte) error {
	var e encoding
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	verdicts, err := journal.RestoreRecentDecisions(e.Verdicts)
	if err != nil {
		return fmt.Errorf("restore verdicts: %w", err)
	}
	if err := s.config.Restore(e.Config); err != nil {
		return fmt.Errorf("restore configuration: %w", err)
	}
	s.applied = e.Applied
	s.snapshot = e.Snapshot
	s.terms = e.Terms
	if s.terms == nil {
		s.terms = make(map[model.AZ]Term)
	}
	s.ended = e.Ended
	s.jobs = make(map[model.JobID]*Job, len(e.Jobs))
	s.open = make(map[model.JobID]*Job)
	for _, j := range e.Jobs {
		s.jobs[j.Job.ID] = j
		if !j.Ended() {
			s.open[j.Job.ID] = j
		}
	}
	s.verdicts = verdicts
	return nil
}
