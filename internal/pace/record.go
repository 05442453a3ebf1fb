package pace

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
)

const (
	// serverBytes is the size of a backend server in a record: the hash of its incarnation, and its pace.
	serverBytes = 5
	// paceUnit is the unit of a pace in a record: its logarithm in fiftieths. maxUnits bounds it.
	paceUnit = 0.02
	maxUnits = 120
	// maxServers bounds the backend servers in a record.
	maxServers = 4000
	// maxLog bounds the logarithms of run times in a record: a hundred days.
	maxLog = 16
)

// record is what one holder tells the next. Backend servers of ordinary or unknown pace are left out.
type record struct {
	Servers []byte       `json:"servers,omitempty"`
	Kinds   []kindRecord `json:"kinds,omitempty"`
}

type kindRecord struct {
	Kind     job.Kind `json:"kind"`
	Estimate float64  `json:"est"`
	Actual   float64  `json:"act"`
	Slope    float64  `json:"slope"`
}

// hash names an incarnation of a backend server in a record. Two with the same hash are taken for each other until
// their own paces are known.
func (s Server) hash() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(s.ID) + "@" + strconv.FormatInt(s.Incarnation, 10))) // a hash's Write never fails
	return h.Sum32()
}

// Encode returns what an estimator of the next holder may start from; nil if nothing is known. It depends only on
// what is known.
func (e *Estimator) Encode() []byte {
	paces := make(map[uint32]float64, len(e.hints))
	for hash, pace := range e.hints {
		paces[hash] = pace
	}
	for key, v := range e.servers {
		delete(paces, key.hash())
		if v.published != 0 && v.published != ordinaryPace {
			paces[key.hash()] = v.published
		}
	}
	var r record
	hashes := make([]uint32, 0, len(paces))
	for hash := range paces {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	for _, hash := range hashes[:min(len(hashes), maxServers)] {
		units := min(max(math.Round(math.Log(paces[hash])/paceUnit), -maxUnits), maxUnits)
		r.Servers = append(binary.BigEndian.AppendUint32(r.Servers, hash), byte(int8(units)))
	}
	for _, s := range e.kindSummaries() {
		k := e.kinds[s.Kind]
		r.Kinds = append(r.Kinds, kindRecord{Kind: s.Kind, Estimate: round(k.estimate), Actual: round(k.actual), Slope: round(k.slope)})
	}
	if len(r.Servers) == 0 && len(r.Kinds) == 0 {
		return nil
	}
	value, err := json.Marshal(r)
	if err != nil {
		return nil // only for numbers that are none, which Decode would refuse
	}
	return value
}

// round keeps records from changing with each observation.
func round(v float64) float64 { return math.Round(v*10) / 10 }

// Decode returns an estimator that starts from what Encode has returned.
func Decode(value []byte, now time.Time) (*Estimator, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, err
	}
	if len(r.Servers)%serverBytes != 0 || len(r.Servers) > maxServers*serverBytes || len(r.Kinds) > maxKinds {
		return nil, fmt.Errorf("paces: %d bytes of backend servers, %d kinds", len(r.Servers), len(r.Kinds))
	}
	e := New()
	e.hints = make(map[uint32]float64, len(r.Servers)/serverBytes)
	for b := r.Servers; len(b) > 0; b = b[serverBytes:] {
		units := int8(b[4])
		if units < -maxUnits || units > maxUnits {
			return nil, fmt.Errorf("paces: %d is out of range", units)
		}
		e.hints[binary.BigEndian.Uint32(b)] = math.Round(20*math.Exp(float64(units)*paceUnit)) / 20
	}
	for _, k := range r.Kinds {
		if math.Abs(k.Estimate) > maxLog || math.Abs(k.Actual) > maxLog || k.Slope < 0 || k.Slope > 1 {
			return nil, fmt.Errorf("paces: kind %q: a run time is out of range", k.Kind)
		}
		e.kinds[k.Kind] = &kindFit{estimate: k.Estimate, actual: k.Actual, slope: k.Slope, steps: minKindSteps, seenAt: now}
	}
	return e, nil
}

// hint returns the pace that an earlier estimator has learned; 0 if none.
func (e *Estimator) hint(key Server) float64 {
	if len(e.hints) == 0 {
		return 0
	}
	return e.hints[key.hash()]
}
