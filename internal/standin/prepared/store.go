package prepared

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	appendTime  = 4 * time.Millisecond
	keyedPrefix = "keyed."
	newestPage  = 500
	// lengthBytes is the length prefix of a record.
	lengthBytes = 4
)

// StoreFault is how the store treats the calls of one VM.
type StoreFault struct {
	Refuse bool // 503 to each call
	// LoseAnswers is the share of appends that are carried out and not answered.
	LoseAnswers float64
	Delay       time.Duration // before each call is carried out
}

// Rewrite changes a record's value for a reader in the given availability zone.
type Rewrite func(topic, key string, value []byte, zone string) []byte

// Store is the platform's log. Its answers are linearizable.
type Store struct {
	network *Network
	rewrite Rewrite

	mu     sync.Mutex
	parts  map[string]*partition
	faults map[string]StoreFault // by VM
}

type record struct {
	key   string
	value []byte
}

type producerState struct {
	epoch, sequence int64
	offsets         map[int64]int64 // of the last appends, by sequence number
}

type partition struct {
	records   []record
	producers map[string]*producerState
	changed   chan struct{} // closed by the next append
}

// NewStore returns an empty store; rewrite may be nil.
func NewStore(n *Network, rewrite Rewrite) *Store {
	return &Store{network: n, rewrite: rewrite, parts: make(map[string]*partition), faults: make(map[string]StoreFault)}
}

// SetFault changes how the store treats a VM's calls.
func (s *Store) SetFault(vm string, f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[vm] = f
}

func (s *Store) part(topic, number string) *partition {
	name := topic + "/" + number
	if s.parts[name] == nil {
		s.parts[name] = &partition{producers: make(map[string]*producerState), changed: make(chan struct{})}
	}
	return s.parts[name]
}

// Put writes a record of partition 0 as the operator or a backend server does. An empty value deletes
// the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(keyedPrefix+topic, "0").add(record{key, value})
}

// Newest returns the newest value of a key in partition 0; nil if there is none.
func (s *Store) Newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.part(keyedPrefix+topic, "0").records) {
		if r.key == key {
			return r.value
		}
	}
	return nil
}

func (p *partition) add(records ...record) {
	p.records = append(p.records, records...)
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler serves the calls of one VM.
func (s *Store) Handler(vm, zone string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", func(w http.ResponseWriter, r *http.Request) { s.handleRead(w, r, zone) })
	mux.HandleFunc("GET /log-newest", func(w http.ResponseWriter, r *http.Request) { s.handleNewest(w, r, zone) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults[vm]
		s.mu.Unlock()
		time.Sleep(f.Delay)
		if !readBody(r) || !s.network.Open(zone, StoreSite) || !s.network.Open(vm, StoreSite) || s.network.silentRequest(r) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if f.Refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		held := &heldAnswer{header: make(http.Header)}
		mux.ServeHTTP(held, r)
		lost := r.Method == http.MethodPost && rand.Float64() < f.LoseAnswers
		if lost || !s.network.Open(StoreSite, zone) || !s.network.Open(StoreSite, vm) || s.network.silentRequest(r) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		held.writeTo(w)
	})
}

// readBody reads the whole body, without which the end of the connection would not be noticed.
func readBody(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil
}

// heldAnswer keeps an answer back until it is known whether it arrives.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (h *heldAnswer) Header() http.Header    { return h.header }
func (h *heldAnswer) WriteHeader(status int) { h.status = status }
func (h *heldAnswer) Write(b []byte) (int, error) {
	h.body = append(h.body, b...)
	return len(b), nil
}

func (h *heldAnswer) writeTo(w http.ResponseWriter) {
	for k, v := range h.header {
		w.Header()[k] = v
	}
	if h.status != 0 {
		w.WriteHeader(h.status)
	}
	_, _ = w.Write(h.body) // an error means that the caller has disconnected
}

func parseRecords(body []byte) ([]record, bool) {
	var list []record
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n == 0 || n > len(body)-lengthBytes || n < 1+int(body[lengthBytes]) {
			return nil, false
		}
		content := body[lengthBytes : lengthBytes+n]
		end := 1 + int(content[0])
		list = append(list, record{key: string(content[1:end]), value: content[end:]})
		body = body[lengthBytes+n:]
	}
	return list, true
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	records, ok := parseRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), q.Get("part"))
	offset := int64(len(p.records))
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		known := p.producers[name]
		switch {
		case known == nil || epoch > known.epoch:
			known = &producerState{epoch: epoch, offsets: make(map[int64]int64)}
			p.producers[name] = known
		case epoch < known.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		default:
			if first, repeated := known.offsets[sequence]; repeated {
				reply(w, http.StatusOK, map[string]any{"offset": first, "end": offset})
				return
			}
			if sequence != known.sequence+1 {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": known.sequence + 1})
				return
			}
		}
		known.sequence = sequence
		known.offsets[sequence] = offset
		delete(known.offsets, sequence-5)
	}
	p.add(records...)
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request, zone string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		records, changed := p.records, p.changed
		s.mu.Unlock()
		if from < len(records) || !waiting {
			s.writeRead(w, q.Get("topic"), records, from, zone)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-until:
			waiting = false
		}
	}
}

func (s *Store) writeRead(w http.ResponseWriter, topic string, records []record, from int, zone string) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for i := from; i < len(records) && len(b) < 1<<20; i++ {
		key, value := records[i].key, s.seen(topic, records[i], zone)
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(key)+len(value)))
		b = append(append(append(b, byte(len(key))), key...), value...)
	}
	_, _ = w.Write(b) // an error means that the caller has disconnected
}

func (s *Store) seen(topic string, r record, zone string) []byte {
	if s.rewrite == nil || len(r.value) == 0 {
		return r.value
	}
	return s.rewrite(strings.TrimPrefix(topic, keyedPrefix), r.key, r.value, zone)
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request, zone string) {
	q := r.URL.Query()
	s.mu.Lock()
	records := s.part(q.Get("topic"), q.Get("part")).records
	s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := make(map[string]int)
	for i, rec := range records {
		newest[rec.key] = i
	}
	items := []item{}
	for key, i := range newest {
		if len(records[i].value) > 0 && key > q.Get("dependsOn") {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(s.seen(q.Get("topic"), records[i], zone)), i})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > newestPage
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), newestPage)], "hasMore": more, "end": len(records)})
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // all bodies are plain maps and rows
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // an error means that the caller has disconnected
}
