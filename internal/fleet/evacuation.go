package fleet

import (
	"errors"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/guard"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Evacuations are the availability zones in which operators want nothing to be started. All that was stored about
// them before AsOf has been read.
type Evacuations struct {
	AZs  map[model.AZ]bool
	AsOf time.Time
}

// evacuationReport is the time between two log lines about what still runs in evacuated availability zones.
const evacuationReport = 5 * time.Second

// evacuation is what a VM keeps of one evacuated availability zone.
type evacuation struct {
	readAt     time.Time // when this VM learned of it
	reportedAt time.Time
	empty      bool // nothing runs there any more, as far as the holder knows
	// reportedUnknown is set once it was logged that no backend server is there.
	reportedUnknown bool
}

// evacuations is what a VM knows of evacuated availability zones.
type evacuations struct {
	zones map[model.AZ]*evacuation
	// asOf is the time up to which all requests have been read, and awayAt when the store last failed to serve them.
	asOf, awayAt time.Time
}

func (s *State) evacuationsRead(e Evacuations) {
	known := &s.evacuations
	if e.AsOf.Before(known.asOf) {
		return // a later read has told more
	}
	for _, az := range eventloop.SortedKeys(e.AZs) {
		if known.zones[az] != nil {
			continue
		}
		known.zones[az] = &evacuation{readAt: s.now, reportedAt: s.now}
		s.replan = true
		servers, runs := s.inZone(az)
		fields := []zap.Field{zap.String("az", string(az)), zap.Int("servers", servers), zap.Int("runs", runs)}
		if !known.asOf.IsZero() {
			fields = append(fields, zap.Duration("age_at_most", s.now.Sub(known.asOf)))
		}
		s.log.Info("availability zone is evacuated", fields...)
	}
	for _, az := range eventloop.SortedKeys(known.zones) {
		if e.AZs[az] {
			continue
		}
		s.log.Info("availability zone is taken back", zap.String("az", string(az)), zap.Duration("evacuated_for", s.now.Sub(known.zones[az].readAt)))
		delete(known.zones, az)
		s.replan = true
	}
	known.asOf = e.AsOf
	s.metrics.EvacuatedZones.Update(float64(len(known.zones)))
}

// evacuationsUnread handles a failed read of the requests for evacuations, as serversUnread does for the entries.
func (s *State) evacuationsUnread(err error) {
	if !errors.Is(err, ErrTooManyCalls) && s.laggingSince.IsZero() {
		s.evacuations.awayAt = s.now
	}
}

// evacuationsKnownAsOf is the time up to which this VM knows of evacuations. While the store does not serve the
// requests, operators cannot store any either, so that what was read remains valid, for maxListAge at most; not if
// the store turns this VM away and serves others.
func (s *State) evacuationsKnownAsOf() time.Time {
	e := &s.evacuations
	if e.awayAt.After(e.asOf) && e.awayAt.Sub(e.asOf) <= maxListAge && !s.turnedAwayAlone() {
		return e.awayAt
	}
	return e.asOf
}

// turnedAwayAlone reports whether the store does not serve this VM, but one that answers its heartbeats.
func (s *State) turnedAwayAlone() bool {
	if !s.storeLost() {
		return false
	}
	for _, at := range s.term.eligiblePeers {
		if s.now.Sub(at) <= peerAlive {
			return true
		}
	}
	return false
}

// evacuationsKnown reports whether the requests were read recently enough to place tasks: a zone that was evacuated
// more than EvacuationBound before the start is then known.
func (s *State) evacuationsKnown() bool {
	b := s.bounds.EvacuationBound
	return b == 0 || s.now.Sub(s.evacuationsKnownAsOf()) <= b-min(startMargin, b*2/5)
}

// evacuationLimit is the latest time to send a start order with the present knowledge of evacuations.
func (s *State) evacuationLimit() time.Time {
	b := s.bounds.EvacuationBound
	return s.evacuationsKnownAsOf().Add(b - min(deliveryMargin, b/5))
}

// isEvacuated reports whether nothing may be started on a backend server because of its availability zone.
func (s *State) isEvacuated(v *server) bool { return s.evacuations.zones[v.entry.AZ] != nil }

// inZone counts the listed backend servers in an availability zone and all runs there.
func (s *State) inZone(az model.AZ) (servers, runs int) {
	for _, v := range s.servers {
		if v.entry.AZ != az {
			continue
		}
		runs += len(v.runs)
		if v.listed {
			servers++
		}
	}
	return servers, runs
}

// reportEvacuations logs what the holder still has running in evacuated availability zones.
func (s *State) reportEvacuations() {
	total := 0
	for _, az := range eventloop.SortedKeys(s.evacuations.zones) {
		z := s.evacuations.zones[az]
		servers, runs := s.inZone(az)
		total += runs
		if servers == 0 && runs == 0 {
			s.reportUnknownZone(az, z)
			continue
		}
		ended := runs == 0 && !z.empty
		z.empty = runs == 0
		if !ended && (runs == 0 || s.now.Sub(z.reportedAt) < evacuationReport) {
			continue
		}
		z.reportedAt = s.now
		s.log.Info("evacuated availability zone", zap.String("az", string(az)), zap.Int("runs", runs), zap.Int("servers", servers),
			zap.Duration("evacuated_for", s.now.Sub(z.readAt)))
	}
	s.metrics.EvacuatedRuns.Update(float64(total))
}

// reportUnknownZone logs and counts once that no backend server is in an evacuated availability zone: its name may be
// mistyped. Backend servers that come there later get no tasks.
func (s *State) reportUnknownZone(az model.AZ, z *evacuation) {
	if z.reportedUnknown || len(s.servers) == 0 || s.now.Sub(maxTime(z.readAt, s.term.takenAt)) < unlistedRetention {
		return
	}
	z.reportedUnknown = true
	s.metrics.RecordsSkipped.Inc(1)
	s.log.Warn("evacuation without effect: no backend server is in the availability zone", zap.String("az", string(az)))
}

// evacuationReader keeps the set of evacuated availability zones from the records of Sources.Config.
type evacuationReader struct {
	decoder  Decoder
	log      *zap.Logger
	counters Counters
	known    Evacuations
	skipped  map[string]string // reasons by key
}

// read applies the records of one read and returns the whole set. The first read, and the first one after a loss of
// history, replaces it.
func (e *evacuationReader) read(b readBatch, configKey string) Evacuations {
	before := e.known.AZs
	e.known.AZs = make(map[model.AZ]bool)
	if !b.Initial {
		maps.Copy(e.known.AZs, before)
	}
	for _, r := range b.Records {
		if r.Key != configKey {
			e.apply(r, before)
		}
	}
	if b.Synced {
		e.known.AsOf = b.AsOf
	}
	return e.known
}

// apply applies one record. One that cannot be decoded changes nothing, and is logged when its reason is new.
func (e *evacuationReader) apply(r StoredRecord, before map[model.AZ]bool) {
	var az model.AZ
	err := guard.Do(func() (err error) {
		az, err = e.decoder.Evacuation(r.Key, r.Value)
		return err
	})
	switch {
	case err != nil:
		if before[az] {
			e.known.AZs[az] = true
		}
		e.counters.RecordsSkipped.Inc(1)
		if e.skipped[r.Key] != err.Error() {
			e.skipped[r.Key] = err.Error()
			e.log.Warn("evacuation skipped: its record cannot be read", zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		}
	case az == "":
	case len(r.Value) == 0:
		delete(e.known.AZs, az)
		delete(e.skipped, r.Key)
	default:
		e.known.AZs[az] = true
		delete(e.skipped, r.Key)
	}
}
